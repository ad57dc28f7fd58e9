//! The live routers: those with a feed connection to this controller, and those
//! that other controllers reported. Soft state.
//!
//! Invariant: a router counts as live as long as some controller has its
//! connection and is heard; routers of a controller that is silent for
//! [`HEARD_LIMIT`] are forgotten, since they leave it sooner.

use super::frames::{FrameCache, Frames};
use courseshunt_types::{ControllerId, Epoch, Millis, Revision, RouterId, Timestamp};
use courseshunt_wire::Message;
use courseshunt_wire::message::{FleetUpdate, ReportedRouter, RouterEndpoint, RouterReport};
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A controller that reports nothing for so long has no routers any more.
pub const HEARD_LIMIT: Millis = Millis(10_000);

/// One live router.
pub type RegisteredRouter = ReportedRouter;

/// See the module.
#[derive(Debug, Default)]
pub struct RouterRegistry {
    inner: Mutex<Inner>,
    frames: Mutex<FrameCache>,
}

#[derive(Debug, Default)]
struct Inner {
    local: BTreeMap<RouterId, LocalRouter>,
    remote: BTreeMap<ControllerId, RemoteRouters>,
    /// Grows with each change of the fleet.
    epoch: Epoch,
    /// Grows with each change of a local router.
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
    heard_at: Timestamp,
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

    /// Each router once: as this controller knows it, else as the one that
    /// knows its highest revision.
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

    /// Adds or replaces a router of this controller.
    pub fn insert(&self, router: RegisteredRouter) {
        let mut inner = self.lock();
        let changed = inner.next_change();
        let id = router.endpoint.router.clone();
        inner.local.insert(id, LocalRouter { router, changed });
        inner.fleet_changed();
    }

    /// Removes a router, unless a newer incarnation has taken its place.
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

    /// Notes that a router stops as planned and owns no queues any more.
    pub fn leave(&self, router: &RouterId) {
        let mut inner = self.lock();
        let changed = inner.next_change();
        if let Some(known) = inner.local.get_mut(router) {
            known.router.endpoint.leaving = true;
            known.changed = changed;
        }
        inner.fleet_changed();
    }

    /// Records the revision in force at a router of this controller.
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

    /// The last change of this controller's routers.
    #[must_use]
    pub fn last_change(&self) -> u64 {
        self.lock().last_change
    }

    /// This controller's routers for the others: all of them, or those that
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

    /// Takes another controller's report in.
    pub fn take_report(&self, from: ControllerId, report: RouterReport, now: Timestamp) {
        let mut inner = self.lock();
        let remote = inner.remote.entry(from).or_insert_with(|| RemoteRouters {
            routers: BTreeMap::new(),
            heard_at: now,
        });
        remote.heard_at = now;
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

    /// Forgets the routers of controllers that are silent.
    pub fn expire(&self, now: Timestamp) {
        let mut inner = self.lock();
        let silent = |one: &RemoteRouters| now.since(one.heard_at) > HEARD_LIMIT;
        let before = inner.remote.len();
        inner.remote.retain(|_, one| !silent(one));
        if inner.remote.len() < before {
            inner.fleet_changed();
        }
    }

    /// Controllers among `others` that have not reported yet, while this one
    /// runs too short to know that they have no routers.
    #[must_use]
    pub fn unheard(
        &self,
        others: impl IntoIterator<Item = ControllerId>,
        now: Timestamp,
    ) -> Vec<ControllerId> {
        if now > Timestamp::at(HEARD_LIMIT.0) {
            return Vec::new();
        }
        let inner = self.lock();
        let unheard = others.into_iter();
        unheard
            .filter(|one| !inner.remote.contains_key(one))
            .collect()
    }

    /// All live routers.
    #[must_use]
    pub fn all(&self) -> Vec<RegisteredRouter> {
        self.lock().merged().into_values().collect()
    }

    /// Routers that follow this controller.
    #[must_use]
    pub fn local(&self) -> Vec<RegisteredRouter> {
        let inner = self.lock();
        inner.local.values().map(|one| one.router.clone()).collect()
    }

    /// The fleet as sent to routers, and its epoch.
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
