//! Decides when a leader may give orders to instances. Pure.
//!
//! Invariants: a member records itself in the log as the holder before its
//! first order, so that a leader that finds itself recorded knows that nobody
//! else gave orders since its own; any other leader waits a lease, in which the
//! orders of the holder before it have ended.

use courseshunt_types::{ControllerId, Millis};
use std::collections::BTreeSet;

/// Least time from an election to the first order: routers report again, and
/// instances register.
const LEAST_LED: Millis = Millis(1_000);
/// A member that started so recently, and leads, was probably elected because
/// the whole group restarted; the holder before is then as good a leader.
const RESTARTED_WITHIN: Millis = Millis(10_000);
/// The leadership is not handed over sooner after the election.
const LEAST_BEFORE_HAND_OVER: Millis = Millis(60);

/// What the decision rests on.
#[derive(Debug, Clone)]
pub struct TurnView<'a> {
    /// This member, the leader.
    pub own: ControllerId,
    /// The recorded holder.
    pub holder: Option<ControllerId>,
    /// Whether everything committed before this leadership is applied here.
    pub caught_up: bool,
    /// Time since this member was elected.
    pub led_for: Millis,
    /// Time since this process started.
    pub up_for: Millis,
    /// Time that must lie between the orders of two holders.
    pub lease: Millis,
    /// Voters that were heard just now.
    pub live: &'a BTreeSet<ControllerId>,
}

/// What to do about orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderTurn {
    /// Give them.
    Give,
    /// Record this member as the holder first.
    Record,
    /// Hand the leadership over to the holder, which need not wait.
    HandOver(ControllerId),
    /// Not yet.
    Wait,
}

/// Decides.
#[must_use]
pub fn decide(view: &TurnView<'_>) -> OrderTurn {
    if !view.caught_up {
        return OrderTurn::Wait;
    }
    match view.holder {
        Some(holder) if holder == view.own => match view.led_for >= LEAST_LED {
            true => OrderTurn::Give,
            false => OrderTurn::Wait,
        },
        None => OrderTurn::Record,
        Some(_) if view.led_for >= view.lease => OrderTurn::Record,
        Some(holder) if may_hand_over(view, holder) => OrderTurn::HandOver(holder),
        Some(_) => OrderTurn::Wait,
    }
}

fn may_hand_over(view: &TurnView<'_>, holder: ControllerId) -> bool {
    view.up_for < RESTARTED_WITHIN
        && view.led_for >= LEAST_BEFORE_HAND_OVER
        && view.live.contains(&holder)
}
