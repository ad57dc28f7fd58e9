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
/// Told to come back after so long when nothing is known.
const UNKNOWN_RETURN: Millis = Millis(1_200);
/// Added to the expected time, so that the model is surely there.
const RETURN_MARGIN: Duration = Duration::from_millis(60);
/// A client that returns waits no longer than this part of its time.
const RETURNED_PART: f64 = 0.9;

/// A client that returns and of whose model nothing is known waits this part of
/// its time.
const BLIND_PART: f64 = 0.45;

/// What the decision rests on.
#[derive(Debug, Clone, Copy)]
pub struct Situation {
    /// When the request arrived.
    pub arrived: Instant,
    /// When its time is over.
    pub deadline: Instant,
    /// Time within which the answer earns its full credit.
    pub objective: Duration,
    /// How long the client waits for the first part of the answer.
    pub patience: Option<Duration>,
    /// Whether the client was refused before.
    pub returning: bool,
    /// Whether instances of the service can be told to load the model.
    pub has_models: bool,
    /// When an instance is expected to be there.
    pub expected: Option<Instant>,
}

/// The decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Waiting {
    /// Wait, at most until then.
    Until(Instant),
    /// Give up now.
    GiveUp {
        /// When it makes sense to come back.
        retry_after: Millis,
    },
}

/// Decides.
pub fn decide(situation: &Situation, now: Instant) -> Waiting {
    let prompt = situation.arrived + situation.objective / PROMPT_PART;
    let whole = situation.deadline - situation.arrived;
    let patience = situation.patience.unwrap_or(whole);
    let end = situation.arrived
        + whole
            .mul_f64(RETURNED_PART)
            .min(patience.mul_f64(RETURNED_PART));
    let limit = match (situation.has_models, situation.expected) {
        (false, _) => prompt,
        (true, None) if situation.returning => situation.arrived + whole.mul_f64(BLIND_PART),
        (true, Some(expected)) if situation.returning => match expected + ANSWER_TIME <= end {
            true => end,
            false => prompt,
        },
        (true, None) => prompt,
        (true, Some(expected)) => {
            let in_time = expected + ANSWER_TIME <= situation.arrived + situation.objective;
            match in_time {
                true => (situation.arrived + situation.objective).min(end),
                false => now,
            }
        }
    };
    if now < limit {
        return Waiting::Until(limit);
    }
    let expected = situation
        .expected
        .map(|at| at.saturating_duration_since(now) + RETURN_MARGIN);
    let retry_after = expected.map(|wait| Millis(wait.as_millis() as u64));
    Waiting::GiveUp {
        retry_after: retry_after.unwrap_or(UNKNOWN_RETURN),
    }
}
