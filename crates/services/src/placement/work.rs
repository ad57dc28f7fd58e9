//! Work of the requests for a model, and the replicas that this work needs.

/// Prompt tokens that an instance processes per second.
pub(super) const PROMPT_TOKENS_PER_SECOND: f64 = 38_000.0;
/// Tokens that one request costs besides its prompt: its share of a batch.
const TOKENS_PER_REQUEST: f64 = 500.0;
/// Minimum rate for more than one replica, in requests per second.
pub(super) const MIN_SCALING_RATE: f64 = 0.6;

/// Work of this rate of requests and of prompt tokens, as a fraction of an instance's throughput.
pub(super) fn work_ratio(rate: f64, tokens: f64) -> f64 {
    (tokens + rate * TOKENS_PER_REQUEST) / PROMPT_TOKENS_PER_SECOND
}

/// Replicas for this rate of requests and of prompt tokens, when each replica may use the fraction
/// `utilisation` of an instance's throughput.
pub(super) fn replicas_for(rate: f64, tokens: f64, utilisation: f64) -> usize {
    if rate < MIN_SCALING_RATE {
        return 1;
    }
    let replicas = work_ratio(rate, tokens) / utilisation;
    (replicas.ceil() as usize).max(1)
}
