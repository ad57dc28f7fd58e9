//! What the leader's loop does next.
//!
//! Invariant: a leadership belongs to one term. A member that lost the leadership and has it
//! again before its loop looked begins anew: another member may have led in between, and what
//! the earlier leadership believed is not what was recorded since.

use courseshunt_types::Term;

/// A step of the loop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeadStep {
    /// This member does not lead: wait until that changes.
    Wait,
    /// Begin a leadership.
    Begin,
    /// Go on with the one that is held.
    GoOn,
    /// End the one that is held.
    End,
}

/// Decides by the term in which this member leads, if it does, and the term of the leadership
/// that its loop holds.
#[must_use]
pub fn decide(leads: Option<Term>, held: Option<Term>) -> LeadStep {
    match (leads, held) {
        (None, None) => LeadStep::Wait,
        (Some(_), None) => LeadStep::Begin,
        (Some(leads), Some(held)) if leads == held => LeadStep::GoOn,
        (_, Some(_)) => LeadStep::End,
    }
}
