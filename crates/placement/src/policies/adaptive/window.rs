//! When deferred work is worth a load: it is gathered, so that one load serves
//! many requests. Pure.

use crate::view::DeploymentView;
use courseshunt_types::{Millis, Timestamp};

/// Time left after the load for the gathered work, and for what may go wrong:
/// a share of the time from arrival to deadline, within these bounds.
const LEAST_SLACK: Millis = Millis::from_secs(600);
const MOST_SLACK: Millis = Millis::from_secs(5_400);
const SLACK_SHARE: f64 = 0.25;
/// Time to expect for one deferred request in one slot.
const TIME_FOR_EACH: Millis = Millis::from_secs(45);
/// Gathered requests that are worth a load at once, for each slot.
const ENOUGH_FOR_EACH_SLOT: u32 = 4;

/// When the waiting batch work of a deployment is worth a load; `None` when no
/// batch work waits.
#[must_use]
pub fn load_at(deployment: &DeploymentView, now: Timestamp) -> Option<Timestamp> {
    let demand = &deployment.demand;
    if demand.waiting_batch == 0 {
        return None;
    }
    let document = &deployment.document;
    let slots = document.slots_per_replica.max(1);
    if demand.waiting_batch >= slots * ENOUGH_FOR_EACH_SLOT {
        return Some(now);
    }
    let oldest = demand.oldest_arrival.unwrap_or(now);
    let gathered = oldest + document.batch_window_ms;
    let deadline = demand.earliest_deadline.unwrap_or(gathered);
    let whole = deadline.since(oldest).0 as f64;
    let slack = (whole * SLACK_SHARE) as u64;
    let slack = slack.clamp(LEAST_SLACK.0, MOST_SLACK.0);
    let rounds = u64::from(demand.waiting_batch.div_ceil(slots));
    let work = rounds * TIME_FOR_EACH.0 + deployment.expected_load().remote.0;
    Some(gathered.min(deadline - Millis(slack + work)))
}
