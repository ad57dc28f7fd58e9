//! Prediction for one request at one engine.

use crate::engine::EngineState;
use crate::figures::EngineFigures;

/// A request, as far as its prediction needs it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineRequest {
    /// Work of the prompt without cached prefixes, in tokens of a short prompt.
    pub uncached_tokens: f64,
    /// Tokens that the request holds in memory at its end, without those of cached prefixes.
    pub held_tokens: u32,
}

/// Prediction for a request that is sent to an instance now. Durations are in milliseconds and
/// contain the speed of the instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prediction {
    /// Time to the first event.
    pub first_event_ms: f64,
    /// Longest pause of the stream of the request after its first event.
    pub own_pause_ms: f64,
    /// Number of streams that run there.
    pub streams: f64,
    /// Longest pause of these streams without the request.
    pub streams_pause_before_ms: f64,
    /// Longest pause of these streams with the request.
    pub streams_pause_ms: f64,
    /// Time by which the prompt of the request delays each of these streams.
    pub streams_delay_ms: f64,
    /// Tokens by which the memory for running requests would be exceeded; 0 if it suffices.
    pub overflow_tokens: f64,
    /// Pause of a stream that is preempted because the memory is exceeded.
    pub preemption_ms: f64,
}

/// Predicts how an engine would serve a request, and what the streams that run there would see.
#[must_use]
pub fn predict(
    figures: &EngineFigures,
    state: &EngineState,
    request: &EngineRequest,
) -> Prediction {
    let speed = state.speed_factor();
    let usual_first_event_ms = first_event_at_usual_speed_ms(figures, state, request);
    let overflow_tokens = state.overflow_tokens(figures, f64::from(request.held_tokens));
    let preemption_ms = state.preemption_ms(figures);
    let before = state.streams_pause_ms(figures, 0.0);
    let after = state.streams_pause_ms(figures, request.uncached_tokens);
    Prediction {
        first_event_ms: usual_first_event_ms * speed,
        own_pause_ms: own_pause_ms(figures, state),
        streams: state.running(),
        streams_pause_before_ms: before,
        streams_pause_ms: after,
        streams_delay_ms: figures.prefill_ms(request.uncached_tokens) * speed,
        overflow_tokens,
        preemption_ms,
    }
}

fn first_event_at_usual_speed_ms(
    figures: &EngineFigures,
    state: &EngineState,
    request: &EngineRequest,
) -> f64 {
    let running = state.running();
    let tokens = state.waiting_prompt_tokens + request.uncached_tokens;
    let prefill = figures.interleaved_prefill_ms(running, tokens);
    slot_wait_ms(figures, state) + prefill + figures.event_ms(running + 1.0)
}

/// Time until a slot is free for one more request, at usual speed. Requests that wait although
/// slots are free wait for memory, which is also freed when a request ends.
fn slot_wait_ms(figures: &EngineFigures, state: &EngineState) -> f64 {
    let slots = f64::from(state.slots());
    let waiting = f64::from(state.condition.waiting);
    let before_it = (state.present() + 1.0 - slots).max(waiting);
    before_it * figures.slot_time_ms / slots
}

/// Longest pause of the stream of a request. Prompts that wait now may be processed after its
/// first event, and others arrive while the stream runs.
fn own_pause_ms(figures: &EngineFigures, state: &EngineState) -> f64 {
    let later = state.present() * figures.later_prompt_tokens_per_request;
    let tokens = state.waiting_prompt_tokens.max(later);
    figures.event_beside_prompts_ms(state.running() + 1.0, tokens) * state.speed_factor()
}
