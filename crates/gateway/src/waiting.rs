//! Whether a request that no instance can take now waits or is given up.
//!
//! A request that would be answered late all the same is refused at once and
//! told when to come back: it has not run, and its next attempt finds the model.
//! One that has come back already waits as long as its client does.

use courseshunt_types::Millis;
use std::time::Duration;
use tokio::time::Instant;

/// A refusal is cheap for the client within this part of the objective.
const PROMPT_PART: u32 = 5;
/// Time of an answer once its instance is there, about.
const ANSWER_TIME: Duration = Duration::from_millis(120);
/// Told to come back after so long at least when nothing is known, and after
/// this part of its time if that is longer.
const UNKNOWN_RETURN: Duration = Duration::from_millis(1_200);
const UNKNOWN_RETURN_PART: f64 = 0.2;
/// Added to the expected time, and this part of it, so that the model is surely
/// there.
const RETURN_MARGIN: Duration = Duration::from_millis(60);
const RETURN_MARGIN_PART: f64 = 0.1;
/// A request waits no longer than this part of its client's time.
const CLIENT_TIME_PART: f64 = 0.9;

/// A client that returns and of whose model nothing is known waits this part of
/// its time.
const BLIND_PART: f64 = 0.45;

/// What the decision rests on.
#[derive(Debug, Clone, Copy)]
pub struct WaitContext {
    /// When the request arrived.
    pub arrived: Instant,
    /// When its time is over.
    pub deadline: Instant,
    /// Time within which the answer earns its full credit.
    pub objective: Duration,
    /// How long the client waits for the first part of the answer.
    pub first_byte_timeout: Option<Duration>,
    /// Whether the client was refused before.
    pub is_client_retry: bool,
    /// Whether instances of the service can be told to load the model.
    pub can_load_model: bool,
    /// When an instance is expected to be there: with the model, and its rest over.
    pub expected_at: Option<Instant>,
    /// Whether that instance asked for rest until then, or takes no more until then by its limit.
    pub in_backoff: bool,
    /// Whether its limit allows a request then: a turn can be asked for.
    pub can_request_permit: bool,
}

/// The decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitDecision {
    /// Wait, at most until then.
    Until(Instant),
    /// Give up now.
    GiveUp {
        /// When it makes sense to come back.
        retry_after: Millis,
    },
}

/// Decides.
pub fn decide(situation: &WaitContext, now: Instant) -> WaitDecision {
    let limit = match situation.is_client_retry {
        true => limit_returning(situation, now),
        false => limit_first(situation, now),
    };
    if now < limit {
        return WaitDecision::Until(limit);
    }
    WaitDecision::GiveUp {
        retry_after: retry_after(situation, now),
    }
}

/// How long a request may wait for its turn at an instance: until it would be answered late,
/// or, where a refusal helps no more, as long as its client waits.
pub fn max_permit_wait(situation: &WaitContext, now: Instant) -> Duration {
    let in_time = situation.arrived + situation.objective;
    let refusal_helps = now <= situation.prompt() && !situation.is_client_retry;
    let answered_by = match refusal_helps {
        true => in_time.min(situation.end()),
        false => situation.end(),
    };
    answered_by.saturating_duration_since(now + ANSWER_TIME)
}

/// How long a request waits that has come back: as long as its client does,
/// where that makes sense.
fn limit_returning(situation: &WaitContext, now: Instant) -> Instant {
    match situation.expected_at {
        None if !situation.can_load_model => situation.prompt(),
        None => situation.arrived + situation.whole().mul_f64(BLIND_PART),
        Some(expected) if expected + ANSWER_TIME <= situation.end() => situation.end(),
        // No order makes a rest shorter.
        Some(_) if situation.in_backoff => now,
        Some(_) => situation.prompt(),
    }
}

/// How long a request waits that was not refused before.
fn limit_first(situation: &WaitContext, now: Instant) -> Instant {
    let Some(expected) = situation.expected_at else {
        return situation.prompt();
    };
    let answer = expected + ANSWER_TIME;
    let in_time = answer <= situation.arrived + situation.objective;
    // Refused after that moment it would be late all the same.
    let refusal_helps = now <= situation.prompt();
    match in_time || !refusal_helps && answer <= situation.end() {
        true => situation.end(),
        false => now,
    }
}

/// When it makes sense to come back: surely not before the model is there, since
/// a request that is refused again is lost.
pub(crate) fn retry_after(situation: &WaitContext, now: Instant) -> Millis {
    let wait = match situation.expected_at {
        Some(expected) => {
            let wait = expected.saturating_duration_since(now);
            wait + wait.mul_f64(RETURN_MARGIN_PART) + RETURN_MARGIN
        }
        None => {
            let left = situation.deadline.saturating_duration_since(now);
            left.mul_f64(UNKNOWN_RETURN_PART).max(UNKNOWN_RETURN)
        }
    };
    Millis(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX))
}

impl WaitContext {
    /// Until then a refusal is cheap for the client.
    fn prompt(&self) -> Instant {
        self.arrived + self.objective / PROMPT_PART
    }

    fn whole(&self) -> Duration {
        self.deadline - self.arrived
    }

    /// Until then its client surely waits.
    fn end(&self) -> Instant {
        let whole = self.whole();
        let patience = self.first_byte_timeout.unwrap_or(whole);
        self.arrived + whole.min(patience).mul_f64(CLIENT_TIME_PART)
    }
}
