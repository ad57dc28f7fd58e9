//! Decides when this controller replaces a leader of the previous release. Pure.
//!
//! Routers of that release are fed by the leader alone while it is of that release as well, and by
//! any controller otherwise. In an upgrade the first controller that has been replaced takes over,
//! instead of the change of leader at the stop of the older one.

use courseshunt_types::Millis;

/// Shortest time since the start of the process: it has read the log and dialled the members.
const MIN_UPTIME: Millis = Millis(1_000);
/// A process that started within this time is part of an upgrade. On the way back controllers of
/// this release have run for longer, and leave leaders of the previous one in place.
const RECENT_START: Millis = Millis(15_000);
/// Attempts of one process.
const MAX_ATTEMPTS: u32 = 2;
/// Shortest time between two attempts, longer than an election.
const RETRY_DELAY: Millis = Millis(3_000);

/// Inputs of [`decide`].
#[derive(Debug, Clone, Copy)]
pub struct TakeOverView {
    /// Whether there is a leader, and it is known to run the previous release.
    pub leader_is_previous_release: bool,
    /// Whether this member is a voter that follows the leader.
    pub is_following_voter: bool,
    /// Time since this process started.
    pub uptime: Millis,
    /// Attempts of this process so far.
    pub attempts: u32,
    /// Time since the last of them.
    pub since_attempt: Option<Millis>,
}

/// What this controller does about the leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeOverDecision {
    /// Replace the leader, once everything committed is applied here.
    TakeOver,
    /// Leave the leader in place for now.
    Wait,
    /// Leave each leader in place until this process ends.
    Never,
}

/// Decides whether this controller replaces the leader.
#[must_use]
pub fn decide(view: &TakeOverView) -> TakeOverDecision {
    if view.uptime >= RECENT_START || view.attempts >= MAX_ATTEMPTS {
        return TakeOverDecision::Never;
    }
    let is_too_soon = view.uptime < MIN_UPTIME;
    let is_retry_due = view.since_attempt.is_none_or(|since| since >= RETRY_DELAY);
    let can_take_over = view.leader_is_previous_release && view.is_following_voter;
    match can_take_over && is_retry_due && !is_too_soon {
        true => TakeOverDecision::TakeOver,
        false => TakeOverDecision::Wait,
    }
}
