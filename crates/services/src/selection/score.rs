//! Scores of instances for a request.
//!
//! Instances with a condition are scored by the predicted first event, pauses and memory (see
//! [`super::pause_cost`]). Other instances, and those of services without models, are scored by
//! the work that is known to be pending there.

use super::loads::held_tokens;
use super::local::{InstanceOption, LocalState};
use super::pause_cost;
use super::prefixes::PrefixKey;
use super::prompt::work_tokens;
use super::request::SelectionRequest;
use super::{DEFAULT_TOKENS_PER_MS, Selector};
use courseshunt_engine_model::{EngineFigures, EngineLimits, EngineRequest, EngineState, predict};
use courseshunt_instance_load::InstanceCondition;
use courseshunt_types::{RunnerId, Timestamp};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Cost of a hop to another zone, in milliseconds; includes the price of the traffic.
const OTHER_ZONE_COST_MS: f64 = 4.0;
/// Upper bound of the fraction of an instance's prompt throughput that other routers are
/// assumed to use for work that they have not reported yet.
const UNREPORTED_WORK_FRACTION: f64 = 0.3;
/// The same for an instance with a condition: its report already shows a part of this work. With
/// 0.3, more requests leave the instance that has their prefix cached.
const UNREPORTED_WORK_FRACTION_WITH_CONDITION: f64 = 0.15;
/// Cost of each request in flight at an instance without a condition, in milliseconds.
const IN_FLIGHT_COST_MS: f64 = 1.0;
/// Cost of an instance of a plain service all of whose slots are taken, in milliseconds.
const PLAIN_FULL_COST_MS: f64 = 20.0;
/// Cost of an instance all of whose requests fail, in milliseconds: for an engine (which
/// serves models), and for an instance of a plain service.
const FAILURE_COST_MS: f64 = 400.0;
const PLAIN_FAILURE_COST_MS: f64 = 20.0;
/// Cost of an instance that is avoided after a failure, in milliseconds: more than any other.
const SUSPECT_COST_MS: f64 = 1e6;

/// Score of one instance for a request.
pub(super) struct Score {
    /// Predicted cost, in milliseconds; the instance with the lowest cost is selected.
    pub(super) cost: f64,
    /// Breaks ties: the instance that was selected least recently is preferred.
    pub(super) last_chosen: u64,
    pub(super) uncached_tokens: u32,
    pub(super) prediction: RequestPrediction,
}

/// What is predicted for a request at one instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct RequestPrediction {
    /// Time to the first answer, in milliseconds.
    pub(super) first_answer_ms: f64,
    /// Duration of work relative to the usual one that `first_answer_ms` contains.
    pub(super) duration_factor: f64,
    /// Longest pause of the stream of the request, in milliseconds; `None` without a condition.
    pub(super) pause_ms: Option<f64>,
}

impl RequestPrediction {
    fn without_condition(first_answer_ms: f64, slowness: f64) -> Self {
        Self {
            first_answer_ms,
            duration_factor: slowness,
            pause_ms: None,
        }
    }
}

/// An instance that is being scored.
struct Scored<'a> {
    option: &'a InstanceOption<'a>,
    local: &'a LocalState,
    is_preferred: bool,
    uncached_tokens: u32,
    now: Timestamp,
}

impl Selector {
    pub(super) fn score(
        &self,
        request: &SelectionRequest<'_>,
        keys: &[PrefixKey],
        option: &InstanceOption<'_>,
        is_preferred: bool,
        now: Timestamp,
    ) -> Score {
        let empty = LocalState::default();
        let local = option.local.unwrap_or(&empty);
        let prompt_tokens = request.shape.prompt_tokens;
        let cached = cached_tokens(local, keys, is_preferred, now).min(prompt_tokens);
        let scored = Scored {
            option,
            local,
            is_preferred,
            uncached_tokens: work_tokens(prompt_tokens, cached),
            now,
        };
        let is_plain = request.shape.model.is_empty();
        let (serving_cost, prediction) = match self.condition(&option.view.id, now) {
            _ if is_plain => plain_service(&scored),
            Some(condition) => self.engine_with_condition(request, &scored, condition),
            None => self.engine_without_condition(&scored),
        };
        Score {
            cost: self.add_instance_costs(serving_cost, &scored, is_plain),
            last_chosen: local.last_chosen,
            uncached_tokens: scored.uncached_tokens,
            prediction,
        }
    }

    /// Adds what the instance costs whatever the request is: overdue answers, failures, its zone.
    fn add_instance_costs(&self, serving_cost: f64, scored: &Scored<'_>, is_plain: bool) -> f64 {
        let Scored { local, now, .. } = *scored;
        let mut cost = serving_cost + local.health.overdue(now).0 as f64;
        let failure_cost = match is_plain {
            true => PLAIN_FAILURE_COST_MS,
            false => FAILURE_COST_MS,
        };
        cost += local.health.failure_rate(now) * failure_cost;
        if scored.option.view.zone != self.zone {
            cost += OTHER_ZONE_COST_MS;
        }
        if now < local.suspect_until {
            cost += SUSPECT_COST_MS;
        }
        cost
    }

    fn engine_without_condition(&self, scored: &Scored<'_>) -> (f64, RequestPrediction) {
        let slowness = scored.local.slowness.unwrap_or(1.0);
        let backlog = self.known_backlog(scored, 1.0);
        let processing = (backlog + f64::from(scored.uncached_tokens)) / DEFAULT_TOKENS_PER_MS;
        let predicted_ms = (processing + in_flight(scored) * IN_FLIGHT_COST_MS) * slowness;
        let unreported = match scored.is_preferred {
            true => 0.0,
            false => self.unreported_work_ms(&scored.option.view.id, UNREPORTED_WORK_FRACTION),
        };
        let prediction = RequestPrediction::without_condition(predicted_ms, slowness);
        (predicted_ms + unreported, prediction)
    }

    fn engine_with_condition(
        &self,
        request: &SelectionRequest<'_>,
        scored: &Scored<'_>,
        condition: InstanceCondition,
    ) -> (f64, RequestPrediction) {
        let engine_request = EngineRequest {
            uncached_tokens: f64::from(scored.uncached_tokens),
            held_tokens: held_tokens(request.shape, scored.uncached_tokens),
        };
        let figures = EngineFigures::default();
        let state = self.engine_state(request, scored, condition);
        let known = predict(&figures, &state, &engine_request);
        let prediction = RequestPrediction {
            first_answer_ms: known.first_event_ms,
            duration_factor: state.speed_factor(),
            pause_ms: Some(known.own_pause_ms),
        };
        // The draw is part of the backlog, and not of the cost, so that it also separates
        // instances whose pauses are near the longest one that is allowed. It applies to the
        // preferred instance too: many requests may share one prefix.
        let share = UNREPORTED_WORK_FRACTION_WITH_CONDITION;
        let unreported_ms = self.unreported_work_ms(&scored.option.view.id, share);
        let unreported = unreported_ms * figures.prefill_tokens_per_ms / state.speed_factor();
        let assumed = EngineState {
            waiting_prompt_tokens: state.waiting_prompt_tokens + unreported,
            ..state
        };
        let assumed = predict(&figures, &assumed, &engine_request);
        (pause_cost::cost_ms(request, &assumed), prediction)
    }

    /// State of an engine by its own report and by the requests that routers have in flight there.
    ///
    /// Both count the same requests with different lags: the report misses what was sent after it,
    /// and the usage misses what other routers sent after theirs. Their sum would count most
    /// requests twice, so the larger one is taken.
    fn engine_state(
        &self,
        request: &SelectionRequest<'_>,
        scored: &Scored<'_>,
        condition: InstanceCondition,
    ) -> EngineState {
        let local = scored.local;
        let in_flight = local.in_flight + local.others_in_flight;
        let unreported = in_flight.saturating_sub(condition.running + condition.waiting);
        let condition = InstanceCondition {
            running: condition.running + unreported,
            ..condition
        };
        let speed_factor = condition.work_factor * condition.slowness;
        EngineState {
            condition,
            waiting_prompt_tokens: self.known_backlog(scored, speed_factor),
            limits: EngineLimits {
                slots: scored.option.view.slots,
                kv_capacity_tokens: request.kv_capacity_tokens,
            },
        }
    }

    /// Prompt tokens that are known to wait at an instance which takes `speed_factor` times the
    /// usual time for its work.
    fn known_backlog(&self, scored: &Scored<'_>, speed_factor: f64) -> f64 {
        let reported = f64::from(scored.local.others_pending_tokens);
        let age = scored.now.since(self.usage_received_at).0 as f64;
        let processed = age * DEFAULT_TOKENS_PER_MS / speed_factor;
        // Other instances continue to process them after they were reported.
        f64::from(scored.local.pending_tokens) + (reported - processed).max(0.0)
    }

    /// Estimated work that other routers have sent to an instance since their last reported
    /// usage, in milliseconds: drawn anew for each selection, up to a fraction of the time since.
    fn unreported_work_ms(&self, instance: &RunnerId, largest_fraction: f64) -> f64 {
        let draw = xxh3_64_with_seed(instance.as_str().as_bytes(), self.seed ^ self.choices);
        let fraction = draw as f64 / u64::MAX as f64;
        fraction * self.usage_age.0 as f64 * largest_fraction
    }
}

fn plain_service(scored: &Scored<'_>) -> (f64, RequestPrediction) {
    let slowness = scored.local.slowness.unwrap_or(1.0);
    let slots = f64::from(scored.option.view.slots.max(1));
    let predicted_ms = in_flight(scored) / slots * PLAIN_FULL_COST_MS * slowness;
    let prediction = RequestPrediction::without_condition(predicted_ms, slowness);
    (predicted_ms, prediction)
}

/// Requests of all routers in flight at an instance.
fn in_flight(scored: &Scored<'_>) -> f64 {
    f64::from(scored.local.in_flight + scored.local.others_in_flight)
}

/// Tokens of the prompt that are cached at an instance, or will be if it is the preferred one.
fn cached_tokens(
    local: &LocalState,
    keys: &[PrefixKey],
    is_preferred: bool,
    now: Timestamp,
) -> u32 {
    let known = local.prefixes.tokens(keys, now);
    let assumed = match is_preferred {
        true => keys.len().checked_sub(2).map_or(0, |shared| keys[shared].1),
        false => 0,
    };
    known.max(assumed)
}
