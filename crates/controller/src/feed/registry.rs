//! The live routers: those with a feed connection. Soft state.

use super::frames::{FrameCache, Frames};
use courseshunt_types::{Epoch, Revision, RouterId};
use courseshunt_wire::Message;
use courseshunt_wire::message::{FleetUpdate, RouterEndpoint};
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// See the module.
#[derive(Debug)]
pub struct RouterRegistry {
    routers: Mutex<BTreeMap<RouterId, RegisteredRouter>>,
    epoch: watch::Sender<Epoch>,
    frames: Mutex<FrameCache>,
}

/// One live router.
#[derive(Debug, Clone)]
pub struct RegisteredRouter {
    /// As other routers need it.
    pub endpoint: RouterEndpoint,
    /// Address for callers.
    pub http_address: String,
    /// Revision in force there.
    pub revision: Revision,
}

impl Default for RouterRegistry {
    fn default() -> Self {
        Self {
            routers: Mutex::default(),
            epoch: watch::Sender::new(Epoch(0)),
            frames: Mutex::default(),
        }
    }
}

impl RouterRegistry {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<RouterId, RegisteredRouter>> {
        self.routers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds or replaces a router.
    pub fn insert(&self, router: RegisteredRouter) {
        let mut routers = self.lock();
        routers.insert(router.endpoint.router.clone(), router);
        self.epoch.send_modify(|epoch| *epoch = epoch.next());
    }

    /// Removes a router, unless a newer incarnation has taken its place.
    pub fn remove(&self, endpoint: &RouterEndpoint) {
        let mut routers = self.lock();
        let known = routers.get(&endpoint.router);
        let same = known.is_some_and(|known| known.endpoint.incarnation == endpoint.incarnation);
        if !same {
            return;
        }
        routers.remove(&endpoint.router);
        self.epoch.send_modify(|epoch| *epoch = epoch.next());
    }

    /// Notes that a router stops as planned and owns no queues any more.
    pub fn leave(&self, router: &RouterId) {
        if let Some(known) = self.lock().get_mut(router) {
            known.endpoint.leaving = true;
        }
        self.epoch.send_modify(|epoch| *epoch = epoch.next());
    }

    /// Records the revision in force at a router.
    pub fn confirm(&self, router: &RouterId, revision: Revision) {
        if let Some(known) = self.lock().get_mut(router) {
            known.revision = known.revision.max(revision);
        }
    }

    /// All live routers.
    #[must_use]
    pub fn all(&self) -> Vec<RegisteredRouter> {
        self.lock().values().cloned().collect()
    }

    /// The fleet as sent to routers, and its epoch.
    #[must_use]
    pub fn frames(&self) -> (Epoch, Frames) {
        let routers = self.lock();
        let epoch = *self.epoch.borrow();
        let make = || {
            let routers = routers.values().map(|router| router.endpoint.clone());
            let routers = routers.collect();
            vec![Message::Fleet(FleetUpdate { epoch, routers })]
        };
        let frames = self.frames.lock();
        let mut frames = frames.unwrap_or_else(PoisonError::into_inner);
        (epoch, frames.get(0, epoch.0, make))
    }
}
