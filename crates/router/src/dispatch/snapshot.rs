//! Snapshot of the dispatcher's values for the metrics page.

use super::owned::QueueTotals;
use courseshunt_queue::{HolderCounts, WaitingByClass};
use std::sync::{Arc, Mutex, PoisonError};

/// Values of the dispatcher at one point in time.
#[derive(Debug, Clone, Default)]
pub struct DispatchSnapshot {
    /// Counters of this router's own tickets and grants.
    pub holder: HolderCounts,
    /// Number of requests of this router's callers that wait for a grant.
    pub held: usize,
    /// Number of queues that this router serves as their owner.
    pub owned_queues: usize,
    /// Waiting tickets in the owned queues.
    pub waiting: WaitingByClass,
    /// Maximum number of requests that wait at this router, adapted to its
    /// processing lag.
    pub admission_limit: f64,
    /// Counters of the owned queues.
    pub totals: QueueTotals,
    /// Number of currently ejected runners, counted once for each queue.
    pub ejected: usize,
    /// Waiting tickets in the fallback queues.
    pub waiting_fallback: WaitingByClass,
}

/// The values of the last tick; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct SharedSnapshot(Arc<Mutex<DispatchSnapshot>>);

impl SharedSnapshot {
    /// Replaces the values.
    pub fn set(&self, snapshot: DispatchSnapshot) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = snapshot;
    }

    /// A copy of the values.
    #[must_use]
    pub fn get(&self) -> DispatchSnapshot {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
