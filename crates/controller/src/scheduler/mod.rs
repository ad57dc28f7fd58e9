//! Placement at run time: decide → commit → order, and reconcile the runners' inventories with
//! the committed decisions.
//!
//! Invariant: only the leader acts. Its volatile state ([`SchedulerState`]) is rebuilt by
//! probing the runners; everything that must survive a failover is in the log.

mod client;
mod explain;
mod journal;
mod loads;
mod orders;
mod plan;
mod reconcile;
mod repair;
mod runner_table;
mod takeover;
mod usage;
mod view;
mod watch;

pub use client::{OrderOutcome, RunnerClient};
pub use explain::{Explanation, FittingRunner, explain};
pub use journal::{DecisionJournal, JournalEntry};
pub use loads::LoadTracker;
pub use orders::{load_order, unload_order};
pub use reconcile::{ReconcileAction, reconcile};
pub use runner_table::{RunnerObservation, RunnerTable};
pub use takeover::Takeover;
pub use usage::{Moment, ReplicaUsage};
pub use view::cluster_view;

use crate::ControllerContext;
use crate::error::ControllerError;
use courseshunt_placement::policies::{POLICY_NAMES, policy_by_name};
use courseshunt_placement::{PlacementPolicy, Planner};
use courseshunt_settings::ControllerSettings;
use courseshunt_types::Timestamp;
use courseshunt_types::runner_api::Inventory;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Volatile state of the scheduler.
pub struct SchedulerState {
    /// Latest observations of the runners.
    pub runners: RunnerTable,
    /// Latest decisions.
    pub journal: DecisionJournal,
    loads: Mutex<LoadTracker>,
    usage: Mutex<ReplicaUsage>,
    planner: Mutex<Planner>,
}

impl std::fmt::Debug for SchedulerState {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("SchedulerState")
            .field("runners", &self.runners)
            .finish_non_exhaustive()
    }
}

impl SchedulerState {
    /// Creates the state from the settings of a controller.
    ///
    /// # Errors
    /// When the configured policy is unknown.
    pub fn new(settings: &ControllerSettings) -> Result<Self, ControllerError> {
        let policy = policy(&settings.policy)?;
        let loads = LoadTracker::new(settings.store_loads_per_second, settings.store_concurrency);
        Ok(Self::with(Planner::new(policy), loads))
    }

    /// Creates the state with the given planner and load tracker.
    #[must_use]
    pub fn with(planner: Planner, loads: LoadTracker) -> Self {
        Self {
            runners: RunnerTable::default(),
            journal: DecisionJournal::default(),
            loads: Mutex::new(loads),
            usage: Mutex::default(),
            planner: Mutex::new(planner),
        }
    }

    /// Locks the tracker of loads in progress.
    pub fn loads(&self) -> MutexGuard<'_, LoadTracker> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the usage of the replicas.
    pub fn usage(&self) -> MutexGuard<'_, ReplicaUsage> {
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the planner.
    pub fn planner(&self) -> MutexGuard<'_, Planner> {
        self.planner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn observe_inventory(&self, inventory: &Inventory, now: Timestamp) {
        self.loads().observe_inventory(inventory, now);
    }
}

/// Starts the scheduler's tasks. They act only while this member is the leader.
pub fn start(context: &ControllerContext) {
    let stop = context.stop.clone();
    let scheduler = context.scheduler.clone();
    let watching = watch::run(context.clone(), scheduler.clone());
    tokio::spawn(stop.clone().run_until_cancelled_owned(watching));
    let planning = plan::run(context.clone(), scheduler);
    tokio::spawn(stop.run_until_cancelled_owned(planning));
}

fn policy(name: &str) -> Result<Box<dyn PlacementPolicy>, ControllerError> {
    policy_by_name(name).ok_or_else(|| ControllerError::UnknownPolicy {
        name: name.to_owned(),
        allowed: POLICY_NAMES.join(", "),
    })
}
