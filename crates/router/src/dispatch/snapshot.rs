//! Numbers of the dispatcher for the metrics page.

use super::owned::QueueTotals;
use courseshunt_queue::{HolderCounts, WaitingByClass};
use std::sync::{Arc, Mutex, PoisonError};

/// The numbers of one moment.
#[derive(Debug, Clone, Default)]
pub struct DispatchSnapshot {
    /// Counters of this router's own tickets and grants.
    pub holder: HolderCounts,
    /// Requests of this router's callers that wait.
    pub held: usize,
    /// Queues that this router serves as their owner.
    pub owned_queues: usize,
    /// Tickets in those queues.
    pub waiting: WaitingByClass,
    /// Requests that this router holds at the most, as adapted to its lag.
    pub admission_limit: f64,
    /// Counters of the queues served here.
    pub totals: QueueTotals,
    /// Runners that are ejected now, once for each queue.
    pub ejected: usize,
    /// Tickets in fallback queues.
    pub waiting_fallback: WaitingByClass,
}

/// The numbers of the last tick; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct SharedSnapshot(Arc<Mutex<DispatchSnapshot>>);

impl SharedSnapshot {
    /// Replaces the numbers.
    pub fn set(&self, snapshot: DispatchSnapshot) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = snapshot;
    }

    /// The numbers.
    #[must_use]
    pub fn get(&self) -> DispatchSnapshot {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
