//! The value of replicas in a common unit: requests that are late because a replica is missing. A
//! request that waits within its latency objective counts as a fraction of a late request, since
//! the model may take longer to load than expected.

use super::demand::DemandSummary;
use courseshunt_types::Millis;

/// Approximate time of an answer once its model is loaded.
const ANSWER_TIME: Millis = Millis(120);
/// A request that waits for its whole objective counts as this fraction of a late request; a
/// shorter wait counts less, in proportion to the square of its time.
const WAIT_COST: f64 = 0.5;
/// Addition to the cost of a late request for each further objective that it is late.
const LATER_COST: f64 = 0.1;
/// Maximum number of objectives that count for this addition.
const MAX_LATER_OBJECTIVES: f64 = 5.0;
/// The absence of a model costs nothing if it is not requested within this time, in seconds:
/// another load may bring it back meanwhile.
pub(super) const HORIZON_S: f64 = 10.0;
/// Cost of the absence of a model without requests so far, for each second that its reload would
/// take.
const NO_DEMAND_COST_PER_S: f64 = 0.03;
/// A model that had several replicas from the start is likely to be requested: the cost of its
/// absence is multiplied by this factor.
const NO_DEMAND_REPLICA_FACTOR: f64 = 3.0;
/// Value of a load that requests wait for, in late requests: a base value, and an addition for each
/// waiting request.
const WAITING_BASE_VALUE: f64 = 0.4;
const VALUE_PER_WAITING_REQUEST: f64 = 0.6;

/// Cost of one request that waits for `time`.
pub(super) fn wait_cost(objective: Millis, time: Millis) -> f64 {
    let objectives = (time.0 + ANSWER_TIME.0) as f64 / objective.0.max(1) as f64;
    match objectives <= 1.0 {
        true => WAIT_COST * objectives * objectives,
        false => 1.0 + LATER_COST * (objectives - 1.0).min(MAX_LATER_OBJECTIVES),
    }
}

/// Cost of the absence of a model whose reload takes `reload_time` once the next request arrives.
pub(super) fn absence_cost(demand: &DemandSummary, reload_time: Millis) -> f64 {
    let Some(objective) = demand.objective else {
        return NO_DEMAND_COST_PER_S * reload_time.as_secs_f64();
    };
    let rate = demand_rate(demand);
    let request_probability = 1.0 - (-rate * HORIZON_S).exp();
    request_probability * delay_cost(objective, rate, 1.0, reload_time)
}

/// Cost of `waiting` requests, and of those that arrive meanwhile, when the model is loaded after
/// `time`.
pub(super) fn delay_cost(objective: Millis, rate: f64, waiting: f64, time: Millis) -> f64 {
    let arriving = rate * time.as_secs_f64();
    let half = Millis(time.0 / 2);
    waiting * wait_cost(objective, time) + arriving * wait_cost(objective, half)
}

/// Cost of the absence of one of `replicas` replicas that are all needed.
pub(super) fn missing_replica_cost(
    demand: &DemandSummary,
    replicas: usize,
    reload_time: Millis,
) -> f64 {
    if demand.objective.is_none() {
        return NO_DEMAND_COST_PER_S * NO_DEMAND_REPLICA_FACTOR * reload_time.as_secs_f64();
    }
    demand_rate(demand) / replicas.max(1) as f64 * reload_time.as_secs_f64()
}

/// Value of the first replica of a model that `count` requests wait for.
pub(super) fn waiting_value(count: u32) -> f64 {
    WAITING_BASE_VALUE + VALUE_PER_WAITING_REQUEST * f64::from(count)
}

fn demand_rate(demand: &DemandSummary) -> f64 {
    demand.slow.max(demand.fast)
}
