//! Decides when a leader may give orders to instances. Pure.
//!
//! Invariants: a member records itself in the log as the holder of the orders before its first
//! order. A leader that finds itself recorded therefore gave the last orders. Any other leader
//! waits for the lease, within which the orders of the previous holder have ended.

use courseshunt_types::{ControllerId, Millis};
use std::collections::BTreeSet;

/// Minimum time from an election to the first order, in which routers report and instances
/// register again.
const MIN_TIME_SINCE_ELECTION: Millis = Millis(1_000);
/// A leader whose process started within this time was probably elected because the whole group
/// restarted; the previous holder can then lead as well.
const RECENT_START: Millis = Millis(10_000);
/// Minimum time from an election to a hand-over of the leadership.
const MIN_TIME_BEFORE_HAND_OVER: Millis = Millis(60);

/// Inputs of [`decide`].
#[derive(Debug, Clone)]
pub struct OrderView<'a> {
    /// This member, the leader.
    pub own: ControllerId,
    /// The member that is recorded as the holder of the orders.
    pub holder: Option<ControllerId>,
    /// Whether that member is known to run the previous release, whose leaders alone feed the
    /// routers of that release.
    pub holder_is_previous_release: bool,
    /// Whether all entries committed before this leadership are applied here.
    pub caught_up: bool,
    /// Time since this member was elected.
    pub since_election: Millis,
    /// Time since this process started.
    pub uptime: Millis,
    /// Time that must pass between the orders of two holders.
    pub lease: Millis,
    /// Voters that answered recently.
    pub live: &'a BTreeSet<ControllerId>,
}

/// What the leader does before it gives orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderDecision {
    /// Give orders.
    Allow,
    /// Record this member as the holder of the orders first.
    RecordHolder,
    /// Hand the leadership over to the recorded holder, which need not wait for the lease. Never
    /// to one of the previous release.
    HandOver(ControllerId),
    /// Give no orders yet.
    Wait,
}

/// Decides whether the leader gives orders now, and what it does first if not.
#[must_use]
pub fn decide(view: &OrderView<'_>) -> OrderDecision {
    if !view.caught_up {
        return OrderDecision::Wait;
    }
    match view.holder {
        Some(holder) if holder == view.own => {
            match view.since_election >= MIN_TIME_SINCE_ELECTION {
                true => OrderDecision::Allow,
                false => OrderDecision::Wait,
            }
        }
        None => OrderDecision::RecordHolder,
        Some(_) if view.since_election >= view.lease => OrderDecision::RecordHolder,
        Some(holder) if may_hand_over(view, holder) => OrderDecision::HandOver(holder),
        Some(_) => OrderDecision::Wait,
    }
}

fn may_hand_over(view: &OrderView<'_>, holder: ControllerId) -> bool {
    !view.holder_is_previous_release
        && view.uptime < RECENT_START
        && view.since_election >= MIN_TIME_BEFORE_HAND_OVER
        && view.live.contains(&holder)
}
