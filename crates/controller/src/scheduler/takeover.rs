//! Condition for the first plan of a new leader. Pure.
//!
//! Invariant: a new leader decides nothing before it has applied all committed entries and read
//! the inventories of the runners that hold replicas. Runners that do not respond in time are
//! excepted; their replicas and reservations count as recorded in the log.

use courseshunt_types::{Millis, RunnerId, Term, Timestamp};

/// Longest time that a new leader waits for unresponsive runners.
pub const INVENTORY_TIMEOUT: Millis = Millis::from_secs(3);

/// Start of a leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Takeover {
    /// The term.
    pub term: Term,
    /// When the leadership began.
    pub began: Timestamp,
}

impl Takeover {
    /// Whether planning may begin. `holders` are the runners in service that hold replicas;
    /// `answered` returns whether a runner has responded since the leadership began.
    pub fn may_plan<'a>(
        &self,
        now: Timestamp,
        mut holders: impl Iterator<Item = &'a RunnerId>,
        answered: impl Fn(&RunnerId) -> bool,
    ) -> bool {
        now.since(self.began) >= INVENTORY_TIMEOUT || holders.all(answered)
    }
}
