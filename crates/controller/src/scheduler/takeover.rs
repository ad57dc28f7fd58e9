//! What a new leader does before its first plan. Pure.
//!
//! Invariant: no decision before this member has applied all that was committed
//! and has read the inventories of the runners that hold replicas, except of
//! those that stay silent; their replicas and reservations count as they are.

use courseshunt_types::{Millis, RunnerId, Term, Timestamp};

/// How long a new leader waits for silent runners.
pub const PATIENCE: Millis = Millis::from_secs(3);

/// The beginning of a leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Takeover {
    /// The term.
    pub term: Term,
    /// When it began.
    pub began: Timestamp,
}

impl Takeover {
    /// Whether planning may begin. `holders` are the runners in service that
    /// hold replicas; `answered` tells whether one has answered since the
    /// leadership began.
    pub fn may_plan<'a>(
        &self,
        now: Timestamp,
        mut holders: impl Iterator<Item = &'a RunnerId>,
        answered: impl Fn(&RunnerId) -> bool,
    ) -> bool {
        now.since(self.began) >= PATIENCE || holders.all(answered)
    }
}
