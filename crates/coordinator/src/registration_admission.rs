//! Whether a controller takes a registration.
//!
//! Invariant: a controller never sends instances to another one. It takes what it can
//! pass on soon, and says at once what it can't; so a slow leader is not given the
//! registrations of all instances on top, which would keep it slow.

use courseshunt_types::Millis;

/// A controller that hears a leader takes registrations for so long after it last reached
/// it: they reach it with the next connection. An instance that is not heard for four of
/// its intervals is taken for gone, so this and one interval must stay well below.
pub const HELD: Millis = Millis(2_000);

/// What the decision rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TakingView {
    /// Whether this controller leads.
    pub leads: bool,
    /// Whether it hears a leader. One that is cut off hears none, and instances that it
    /// kept would be known nowhere: they find one that does at once.
    pub hears_leader: bool,
    /// Time since the leader was last reached; none while it is reached.
    pub out_of_reach_for: Option<Millis>,
}

/// The decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taking {
    /// It is taken: here, or for the leader.
    Take,
    /// Another controller may reach the leader.
    TryAnother,
}

/// Decides.
#[must_use]
pub fn decide(view: TakingView) -> Taking {
    let reached = view.out_of_reach_for.is_none_or(|away| away <= HELD);
    match view.leads || view.hears_leader && reached {
        true => Taking::Take,
        false => Taking::TryAnother,
    }
}
