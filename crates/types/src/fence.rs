//! Fencing tokens, by which runners reject stale orders.
//!
//! Invariant: tokens are totally ordered, by term first and then by sequence.

use crate::ids::Term;

/// A fencing token. Every order to a runner carries one; a runner refuses an order whose fence is
/// lower than the highest one that it has received for the same deployment.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
pub struct Fence {
    /// Term of the leader that made the decision.
    pub term: Term,
    /// Log index of the decision; unique within the group.
    pub sequence: u64,
}

impl std::fmt::Display for Fence {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}.{}", self.term, self.sequence)
    }
}
