//! Latest inventory and load report of each runner. Volatile state of the leader, rebuilt by
//! probing the runners.

use courseshunt_types::runner_api::{Inventory, LoadReport};
use courseshunt_types::{DeploymentName, Millis, RunnerId, Timestamp};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A runner counts as unreachable when its latest inventory is at least this old.
pub const REACHABILITY_TIMEOUT: Millis = Millis::from_secs(5);

/// Latest observation of each runner.
#[derive(Debug, Default)]
pub struct RunnerTable {
    observations: Mutex<BTreeMap<RunnerId, Arc<RunnerObservation>>>,
}

/// Latest inventory and load report of a runner.
#[derive(Debug, Clone)]
pub struct RunnerObservation {
    /// The inventory.
    pub inventory: Inventory,
    /// The load; it may be older than the inventory.
    pub load: Option<LoadReport>,
    /// When the inventory was requested; its content is at least this recent.
    pub requested_at: Timestamp,
}

impl RunnerObservation {
    /// Running and waiting requests in the engine of a deployment.
    #[must_use]
    pub fn running(&self, deployment: &DeploymentName) -> u32 {
        let loads = self.load.iter().flat_map(|load| &load.deployments);
        let mut here = loads.filter(|one| one.deployment == *deployment);
        here.next().map_or(0, |one| one.running + one.waiting)
    }

    /// Whether the observation is recent enough for the runner to count as reachable.
    #[must_use]
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        now.since(self.requested_at) < REACHABILITY_TIMEOUT
    }
}

impl RunnerTable {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<RunnerId, Arc<RunnerObservation>>> {
        self.observations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The latest observation of a runner.
    #[must_use]
    pub fn get(&self, runner: &RunnerId) -> Option<Arc<RunnerObservation>> {
        self.lock().get(runner).cloned()
    }

    /// Whether a runner answered a probe that was sent at or after `moment`.
    #[must_use]
    pub fn answered_since(&self, runner: &RunnerId, moment: Timestamp) -> bool {
        self.lock()
            .get(runner)
            .is_some_and(|observation| observation.requested_at >= moment)
    }

    /// Replaces the observation of a runner.
    pub fn record(&self, observation: RunnerObservation) {
        let runner = observation.inventory.runner.clone();
        self.lock().insert(runner, Arc::new(observation));
    }

    /// Removes all observations, at the end of the leadership.
    pub fn clear(&self) {
        self.lock().clear();
    }
}
