//! Decides the next step of the leader's loop. Pure.
//!
//! Invariant: a leadership belongs to one term. A member that lost the leadership and regained
//! it between two iterations of its loop starts a new one: another member may have led in
//! between, and the state of the earlier leadership is older than what was recorded since.

use courseshunt_types::Term;

/// A step of the leader's loop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaderStep {
    /// This member does not lead: wait until its status changes.
    Wait,
    /// Begin a leadership in the current term.
    Begin,
    /// Continue the leadership that the loop holds.
    Continue,
    /// End the leadership that the loop holds; its term is over.
    End,
}

/// Returns the next step. `leads` is the term in which this member leads, if it does; `held` is
/// the term of the leadership that its loop holds.
#[must_use]
pub fn decide(leads: Option<Term>, held: Option<Term>) -> LeaderStep {
    match (leads, held) {
        (None, None) => LeaderStep::Wait,
        (Some(_), None) => LeaderStep::Begin,
        (Some(leads), Some(held)) if leads == held => LeaderStep::Continue,
        (_, Some(_)) => LeaderStep::End,
    }
}
