//! The live routers: those with a feed connection. Soft state.

use courseshunt_types::{Epoch, Revision, RouterId};
use courseshunt_wire::message::{FleetUpdate, RouterEndpoint};
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// See the module.
#[derive(Debug)]
pub struct RouterRegistry {
    routers: Mutex<BTreeMap<RouterId, RegisteredRouter>>,
    epoch: watch::Sender<Epoch>,
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
        }
    }
}

impl RouterRegistry {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<RouterId, RegisteredRouter>> {
        self.routers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds or replaces a router.
    pub fn insert(&self, router: RegisteredRouter) {
        self.lock().insert(router.endpoint.router.clone(), router);
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
        drop(routers);
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

    /// The fleet as sent to routers.
    #[must_use]
    pub fn update(&self) -> FleetUpdate {
        let routers = self.all().into_iter().map(|router| router.endpoint);
        FleetUpdate {
            epoch: *self.epoch.borrow(),
            routers: routers.collect(),
        }
    }
}
