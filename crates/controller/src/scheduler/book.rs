//! What the runners said last. Soft state of the leader, rebuilt by reading.

use courseshunt_types::runner_api::{Inventory, LoadReport};
use courseshunt_types::{DeploymentName, Millis, RunnerId, Timestamp};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A runner whose inventory is older counts as unreachable.
pub const REACHABLE_FOR: Millis = Millis::from_secs(5);

/// The last inventory and load of each runner.
#[derive(Debug, Default)]
pub struct RunnerBook {
    seen: Mutex<BTreeMap<RunnerId, Arc<SeenRunner>>>,
}

/// What a runner said last.
#[derive(Debug, Clone)]
pub struct SeenRunner {
    /// The inventory.
    pub inventory: Inventory,
    /// The load, which may lag.
    pub load: Option<LoadReport>,
    /// When it was asked; the answer is not older.
    pub asked_at: Timestamp,
}

impl SeenRunner {
    /// Requests in the engine of a deployment, waiting ones included.
    #[must_use]
    pub fn running(&self, deployment: &DeploymentName) -> u32 {
        let loads = self.load.iter().flat_map(|load| &load.deployments);
        let mut here = loads.filter(|one| one.deployment == *deployment);
        here.next().map_or(0, |one| one.running + one.waiting)
    }

    /// Whether it answered a short while ago.
    #[must_use]
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        now.since(self.asked_at) < REACHABLE_FOR
    }
}

impl RunnerBook {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<RunnerId, Arc<SeenRunner>>> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What a runner said last.
    #[must_use]
    pub fn get(&self, runner: &RunnerId) -> Option<Arc<SeenRunner>> {
        self.lock().get(runner).cloned()
    }

    /// Whether a runner has been asked, and answered, since `moment`.
    #[must_use]
    pub fn answered_since(&self, runner: &RunnerId, moment: Timestamp) -> bool {
        self.lock()
            .get(runner)
            .is_some_and(|seen| seen.asked_at >= moment)
    }

    /// Takes an answer in.
    pub fn record(&self, seen: SeenRunner) {
        let runner = seen.inventory.runner.clone();
        self.lock().insert(runner, Arc::new(seen));
    }

    /// Forgets everything, at the end of leadership.
    pub fn clear(&self) {
        self.lock().clear();
    }
}
