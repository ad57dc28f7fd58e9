//! Registry of the live routers: those with a feed connection to this controller, and those that
//! other controllers reported. Volatile state.
//!
//! Invariant: a router counts as live while some controller has its connection and reports it.
//! The routers of a controller that has not reported for [`REPORT_TIMEOUT`] are removed; routers
//! leave such a controller earlier than that.

use super::frames::{FrameCache, Frames};
use courseshunt_types::{ControllerId, Epoch, Millis, Revision, RouterId, Timestamp};
use courseshunt_wire::Message;
use courseshunt_wire::message::{FleetUpdate, ReportedRouter, RouterEndpoint, RouterReport};
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A controller without a report for this long counts as having no routers.
pub const REPORT_TIMEOUT: Millis = Millis(10_000);

/// A live router.
pub type RegisteredRouter = ReportedRouter;

/// Local and reported routers, with the encoded fleet update.
#[derive(Debug, Default)]
pub struct RouterRegistry {
    inner: Mutex<Inner>,
    frames: Mutex<FrameCache>,
}

#[derive(Debug, Default)]
struct Inner {
    local: BTreeMap<RouterId, LocalRouter>,
    remote: BTreeMap<ControllerId, RemoteRouters>,
    /// Incremented with each change of the fleet.
    epoch: Epoch,
    /// Incremented with each change of a local router.
    last_change: u64,
}

#[derive(Debug)]
struct LocalRouter {
    router: RegisteredRouter,
    changed: u64,
}

#[derive(Debug)]
struct RemoteRouters {
    routers: BTreeMap<RouterId, RegisteredRouter>,
    reported_at: Timestamp,
}

impl RemoteRouters {
    fn endpoints(&self) -> Vec<RouterEndpoint> {
        let routers = self.routers.values();
        routers.map(|one| one.endpoint.clone()).collect()
    }
}

impl Inner {
    fn fleet_changed(&mut self) {
        self.epoch = self.epoch.next();
    }

    fn next_change(&mut self) -> u64 {
        self.last_change += 1;
        self.last_change
    }

    /// Each router once: the local entry if there is one, else the reported entry with the
    /// highest revision.
    fn merged(&self) -> BTreeMap<RouterId, RegisteredRouter> {
        let mut merged: BTreeMap<RouterId, RegisteredRouter> = BTreeMap::new();
        let remote = self.remote.values().flat_map(|one| one.routers.values());
        for router in remote {
            let known = merged.get(&router.endpoint.router);
            if known.is_none_or(|known| known.revision < router.revision) {
                merged.insert(router.endpoint.router.clone(), router.clone());
            }
        }
        for (id, local) in &self.local {
            merged.insert(id.clone(), local.router.clone());
        }
        merged
    }
}

impl RouterRegistry {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds or replaces a router that is connected to this controller.
    pub fn insert(&self, router: RegisteredRouter) {
        let mut inner = self.lock();
        let changed = inner.next_change();
        let id = router.endpoint.router.clone();
        inner.local.insert(id, LocalRouter { router, changed });
        inner.fleet_changed();
    }

    /// Removes a router, unless it was replaced by another incarnation.
    pub fn remove(&self, endpoint: &RouterEndpoint) {
        let mut inner = self.lock();
        let known = inner.local.get(&endpoint.router);
        let known = known.map(|known| known.router.endpoint.incarnation);
        if known != Some(endpoint.incarnation) {
            return;
        }
        inner.local.remove(&endpoint.router);
        inner.next_change();
        inner.fleet_changed();
    }

    /// Marks a router as leaving: it is shutting down and owns no queues any more.
    pub fn mark_leaving(&self, router: &RouterId) {
        let mut inner = self.lock();
        let changed = inner.next_change();
        if let Some(known) = inner.local.get_mut(router) {
            known.router.endpoint.leaving = true;
            known.changed = changed;
        }
        inner.fleet_changed();
    }

    /// Records the revision in force at a router that is connected to this controller.
    pub fn confirm(&self, router: &RouterId, revision: Revision) {
        let mut inner = self.lock();
        let change = inner.last_change + 1;
        let Some(known) = inner.local.get_mut(router) else {
            return;
        };
        if revision > known.router.revision {
            known.router.revision = revision;
            known.changed = change;
            inner.last_change = change;
        }
    }

    /// Number of the last change of this controller's routers.
    #[must_use]
    pub fn last_change(&self) -> u64 {
        self.lock().last_change
    }

    /// Report of this controller's routers for the other controllers: all of them, or those that
    /// changed after `since`.
    #[must_use]
    pub fn report(&self, since: Option<u64>) -> RouterReport {
        let inner = self.lock();
        let routers = inner.local.values();
        let changed = routers.filter(|one| since.is_none_or(|since| one.changed > since));
        RouterReport {
            full: since.is_none(),
            present: inner.local.keys().cloned().collect(),
            routers: changed.map(|one| one.router.clone()).collect(),
        }
    }

    /// Applies the report of another controller.
    pub fn apply_report(&self, from: ControllerId, report: RouterReport, now: Timestamp) {
        let mut inner = self.lock();
        let remote = inner.remote.entry(from).or_insert_with(|| RemoteRouters {
            routers: BTreeMap::new(),
            reported_at: now,
        });
        remote.reported_at = now;
        let before = remote.endpoints();
        if report.full {
            remote.routers.clear();
        }
        remote.routers.retain(|id, _| report.present.contains(id));
        for router in report.routers {
            let id = router.endpoint.router.clone();
            remote.routers.insert(id, router);
        }
        if remote.endpoints() != before {
            inner.fleet_changed();
        }
    }

    /// Removes the routers of controllers whose reports have timed out.
    pub fn expire(&self, now: Timestamp) {
        let mut inner = self.lock();
        let timed_out = |one: &RemoteRouters| now.since(one.reported_at) > REPORT_TIMEOUT;
        let before = inner.remote.len();
        inner.remote.retain(|_, one| !timed_out(one));
        if inner.remote.len() < before {
            inner.fleet_changed();
        }
    }

    /// Controllers among `others` that have not reported yet. Empty once this process has run for
    /// [`REPORT_TIMEOUT`], since a controller without a report then counts as having no routers.
    #[must_use]
    pub fn controllers_without_report(
        &self,
        others: impl IntoIterator<Item = ControllerId>,
        now: Timestamp,
    ) -> Vec<ControllerId> {
        if now > Timestamp::at(REPORT_TIMEOUT.0) {
            return Vec::new();
        }
        let inner = self.lock();
        let others = others.into_iter();
        others
            .filter(|one| !inner.remote.contains_key(one))
            .collect()
    }

    /// All live routers.
    #[must_use]
    pub fn all(&self) -> Vec<RegisteredRouter> {
        self.lock().merged().into_values().collect()
    }

    /// Routers that are connected to this controller.
    #[must_use]
    pub fn local(&self) -> Vec<RegisteredRouter> {
        let inner = self.lock();
        inner.local.values().map(|one| one.router.clone()).collect()
    }

    /// The encoded fleet update for routers, and its epoch.
    #[must_use]
    pub fn frames(&self) -> (Epoch, Frames) {
        let inner = self.lock();
        let epoch = inner.epoch;
        let make = || {
            let routers = inner.merged().into_values().map(|router| router.endpoint);
            let routers = routers.collect();
            vec![Message::Fleet(FleetUpdate { epoch, routers })]
        };
        let frames = self.frames.lock();
        let mut frames = frames.unwrap_or_else(PoisonError::into_inner);
        (epoch, frames.get(0, epoch.0, make))
    }
}
