//! Cost of a prediction: what the request loses by a late first event and by pauses of its
//! stream, and what the streams that run at the instance lose by its prompt.
//!
//! Unit: milliseconds. A request that misses its objective costs [`LOSS_MS`].

use super::request::SelectionRequest;
use courseshunt_engine_model::Prediction;
use courseshunt_types::Millis;

/// Cost of one request that just misses its objective. A higher value sends more requests away from
/// cached prefixes, so that instances process more prompt tokens.
const LOSS_MS: f64 = 300.0;
/// A loss begins at this fraction of the objective, because predictions are not exact.
const LOSS_BEGIN: f64 = 0.5;
/// Largest loss of one request, relative to one that just misses its objective.
const MAX_LOSS: f64 = 4.0;
/// Weight of the loss of a running stream, relative to the loss of the request: only the longest
/// pause of a stream counts, so that a stream which was paused before loses nothing more, and some
/// streams end before the prompt is processed.
const STREAM_LOSS_WEIGHT: f64 = 0.3;
/// Cost of a millisecond by which a running stream is delayed, relative to one by which the
/// first event of the request is delayed: the stream has already begun.
const STREAM_DELAY_WEIGHT: f64 = 0.1;
/// Cost of exceeding the memory: a running stream is preempted, and the memory stays exceeded
/// for the requests that follow.
const OVERFLOW_MS: f64 = 10_000.0;
/// Tokens of overflow that cost as much again as the first one.
const OVERFLOW_TOKENS: f64 = 10_000.0;
/// Weights of the request's own losses by its rank, relative to those of the streams beside it,
/// whose ranks are not known. Further ranks have the last weight.
const WEIGHTS_BY_RANK: [f64; 3] = [2.0, 1.0, 0.5];

/// Cost of sending a request to the instance for which this is predicted.
pub(super) fn cost_ms(request: &SelectionRequest<'_>, prediction: &Prediction) -> f64 {
    own_cost_ms(request, prediction)
        + streams_cost_ms(request, prediction)
        + overflow_cost_ms(prediction)
}

fn own_cost_ms(request: &SelectionRequest<'_>, prediction: &Prediction) -> f64 {
    let late = loss(prediction.first_event_ms, request.objective);
    let pause = request.longest_pause;
    let pause = pause.map_or(0.0, |allowed| loss(prediction.own_pause_ms, allowed));
    let rank = usize::from(request.rank).min(WEIGHTS_BY_RANK.len() - 1);
    prediction.first_event_ms + (late + pause) * LOSS_MS * WEIGHTS_BY_RANK[rank]
}

/// What the streams that run at the instance lose in addition to what they lose already.
fn streams_cost_ms(request: &SelectionRequest<'_>, prediction: &Prediction) -> f64 {
    let allowed = request.streams_longest_pause;
    let loss_by = |pause_ms| allowed.map_or(0.0, |allowed| loss(pause_ms, allowed));
    let before = loss_by(prediction.streams_pause_before_ms);
    let after = loss_by(prediction.streams_pause_ms);
    let delay = prediction.streams_delay_ms * STREAM_DELAY_WEIGHT;
    prediction.streams * ((after - before) * LOSS_MS * STREAM_LOSS_WEIGHT + delay)
}

fn overflow_cost_ms(prediction: &Prediction) -> f64 {
    match prediction.overflow_tokens > 0.0 {
        true => OVERFLOW_MS * (1.0 + prediction.overflow_tokens / OVERFLOW_TOKENS),
        false => 0.0,
    }
}

/// Loss by a duration, relative to one that just misses the objective: 0 up to
/// [`LOSS_BEGIN`], then growing with the square of the excess.
fn loss(duration_ms: f64, objective: Millis) -> f64 {
    let objective = (objective.0 as f64).max(1.0);
    let excess = (duration_ms / objective - LOSS_BEGIN).max(0.0) / (1.0 - LOSS_BEGIN);
    (excess * excess).min(MAX_LOSS)
}
