//! Decides whether a request that no instance can accept now waits or is refused.
//!
//! A request that would miss its objective anyway is refused immediately with a Retry-After: it
//! has not run, and its retry finds the model loaded. A request that is already such a retry
//! waits as long as its client does.
//!
//! Invariant: no request waits for longer than its client certainly does, whatever its objective.

use courseshunt_types::Millis;
use std::time::Duration;
use tokio::time::Instant;

/// A refusal within the objective divided by this costs the client little.
const EARLY_REFUSAL_DIVISOR: u32 = 5;
/// Estimated time from the moment an instance is available to the response.
const ASSUMED_ANSWER_TIME: Duration = Duration::from_millis(120);
/// Retry-After if there is no estimate when an instance is available: at least this time, or
/// this fraction of the remaining time if that is longer.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(1_200);
const UNKNOWN_RETRY_AFTER_FRACTION: f64 = 0.2;
/// Added to the estimate, together with this fraction of it, so that the model is certainly
/// loaded when the client retries.
const RETRY_AFTER_MARGIN: Duration = Duration::from_millis(60);
const RETRY_AFTER_MARGIN_FRACTION: f64 = 0.1;
/// Maximum wait, as a fraction of the client's timeout.
const CLIENT_TIME_FRACTION: f64 = 0.9;

/// Maximum wait of a retry whose model has no load estimate, as a fraction of its deadline.
const UNKNOWN_WAIT_FRACTION: f64 = 0.45;

/// Input to the decision.
#[derive(Debug, Clone, Copy)]
pub struct WaitContext {
    /// When the request arrived.
    pub arrived: Instant,
    /// When the deadline of the request passes, or its router refuses the requests that wait because
    /// it stops.
    pub deadline: Instant,
    /// Time within which a response meets the service-level objective.
    pub objective: Duration,
    /// How long the client waits for the first byte of the response.
    pub first_byte_timeout: Option<Duration>,
    /// Whether this is the retry of a request that was refused before.
    pub is_client_retry: bool,
    /// Whether the service has instances that can be ordered to load the model.
    pub can_load_model: bool,
    /// When an instance is expected to accept the request: model loaded and backoff over.
    pub expected_at: Option<Instant>,
    /// Whether that instance is in backoff or rate-limited until then.
    pub in_backoff: bool,
    /// Whether the rate limit of that instance allows a request then, so that a send permit can
    /// be requested.
    pub can_request_permit: bool,
}

/// Result of the decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitDecision {
    /// Wait until this time at most.
    WaitUntil(Instant),
    /// Refuse immediately.
    Refuse {
        /// When a retry is likely to succeed.
        retry_after: Millis,
    },
}

/// Decides whether the request waits or is refused.
pub fn decide(context: &WaitContext, now: Instant) -> WaitDecision {
    let limit = match context.is_client_retry {
        true => retry_wait_limit(context, now),
        false => first_wait_limit(context, now),
    };
    let limit = limit.min(context.client_waits_until());
    if now < limit {
        return WaitDecision::WaitUntil(limit);
    }
    WaitDecision::Refuse {
        retry_after: retry_after(context, now),
    }
}

/// How long a request may wait for a send permit: until it would miss its objective, or as long
/// as its client waits if an early refusal is no longer possible.
pub fn max_permit_wait(context: &WaitContext, now: Instant) -> Duration {
    let in_time = context.in_time_until();
    let refusal_helps = now <= context.early_refusal_until() && !context.is_client_retry;
    let answered_by = match refusal_helps {
        true => in_time.min(context.client_waits_until()),
        false => context.client_waits_until(),
    };
    answered_by.saturating_duration_since(now + ASSUMED_ANSWER_TIME)
}

/// Latest time until which a retry waits: as long as its client does, if the instance is
/// available by then.
fn retry_wait_limit(context: &WaitContext, now: Instant) -> Instant {
    match context.expected_at {
        None if !context.can_load_model => context.early_refusal_until(),
        None => context.arrived + context.time_budget().mul_f64(UNKNOWN_WAIT_FRACTION),
        Some(expected) if expected + ASSUMED_ANSWER_TIME <= context.client_waits_until() => {
            context.client_waits_until()
        }
        // A backoff can't be shortened by loading the model elsewhere.
        Some(_) if context.in_backoff => now,
        Some(_) => context.early_refusal_until(),
    }
}

/// Latest time until which a request waits that was not refused before.
fn first_wait_limit(context: &WaitContext, now: Instant) -> Instant {
    let Some(expected) = context.expected_at else {
        return context.early_refusal_until();
    };
    let answer = expected + ASSUMED_ANSWER_TIME;
    let in_time = answer <= context.in_time_until();
    // A refusal after that would not make the retry meet the objective.
    let refusal_helps = now <= context.early_refusal_until();
    match in_time || !refusal_helps && answer <= context.client_waits_until() {
        true => context.client_waits_until(),
        false => now,
    }
}

/// When a retry is likely to succeed: not before the model is loaded, because a request that is
/// refused twice is lost.
pub(crate) fn retry_after(context: &WaitContext, now: Instant) -> Millis {
    let wait = match context.expected_at {
        Some(expected) => {
            let wait = expected.saturating_duration_since(now);
            wait + wait.mul_f64(RETRY_AFTER_MARGIN_FRACTION) + RETRY_AFTER_MARGIN
        }
        None => {
            let left = context.deadline.saturating_duration_since(now);
            left.mul_f64(UNKNOWN_RETRY_AFTER_FRACTION)
                .max(UNKNOWN_RETRY_AFTER)
        }
    };
    Millis(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX))
}

impl WaitContext {
    /// Until then a refusal costs the client little.
    fn early_refusal_until(&self) -> Instant {
        self.arrived
            + self
                .time_budget()
                .min(self.objective / EARLY_REFUSAL_DIVISOR)
    }

    /// Until then a response meets the objective; no later than the deadline.
    fn in_time_until(&self) -> Instant {
        self.arrived + self.time_budget().min(self.objective)
    }

    fn time_budget(&self) -> Duration {
        self.deadline - self.arrived
    }

    /// Until then the client certainly waits.
    pub(crate) fn client_waits_until(&self) -> Instant {
        let budget = self.time_budget();
        let first_byte_timeout = self.first_byte_timeout.unwrap_or(budget);
        self.arrived + budget.min(first_byte_timeout).mul_f64(CLIENT_TIME_FRACTION)
    }
}
