//! Placement at run time: decide → commit → order, and reconcile what the
//! runners hold with what was decided.
//!
//! Only the leader acts. Its soft state ([`SchedulerState`]) is rebuilt by
//! reading the runners; what must survive lies in the log.

mod book;
mod client;
mod explain;
mod journal;
mod loads;
mod orders;
mod plan;
mod reconcile;
mod repair;
mod takeover;
mod usage;
mod view;
mod watch;

pub use book::{RunnerBook, SeenRunner};
pub use client::{OrderOutcome, RunnerClient};
pub use explain::{Explanation, FittingRunner, explain};
pub use journal::{DecisionJournal, JournalEntry};
pub use loads::LoadTracker;
pub use orders::{load_order, unload_order};
pub use reconcile::{ReconcileAction, reconcile};
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

/// The scheduler's soft state.
pub struct SchedulerState {
    /// What the runners said last.
    pub book: RunnerBook,
    /// The last decisions.
    pub journal: DecisionJournal,
    loads: Mutex<LoadTracker>,
    usage: Mutex<ReplicaUsage>,
    planner: Mutex<Planner>,
}

impl std::fmt::Debug for SchedulerState {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("SchedulerState")
            .field("book", &self.book)
            .finish_non_exhaustive()
    }
}

impl SchedulerState {
    /// The state at the start of a controller.
    ///
    /// # Errors
    /// When the policy of the settings is unknown.
    pub fn new(settings: &ControllerSettings) -> Result<Self, ControllerError> {
        let policy = policy(&settings.policy)?;
        let loads = LoadTracker::new(settings.store_loads_per_second, settings.store_concurrency);
        Ok(Self::with(Planner::new(policy), loads))
    }

    /// The state at the start of a controller with this planner and tracker.
    #[must_use]
    pub fn with(planner: Planner, loads: LoadTracker) -> Self {
        Self {
            book: RunnerBook::default(),
            journal: DecisionJournal::default(),
            loads: Mutex::new(loads),
            usage: Mutex::default(),
            planner: Mutex::new(planner),
        }
    }

    /// Loads in progress.
    pub fn loads(&self) -> MutexGuard<'_, LoadTracker> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Use of the replicas.
    pub fn usage(&self) -> MutexGuard<'_, ReplicaUsage> {
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The planner.
    pub fn planner(&self) -> MutexGuard<'_, Planner> {
        self.planner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn observe_inventory(&self, inventory: &Inventory, now: Timestamp) {
        self.loads().observe_inventory(inventory, now);
    }
}

/// Starts the scheduler's tasks. They act only while this member leads.
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
