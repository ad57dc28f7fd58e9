//! Contract of an attempt: what may be called not-run, and the retry budget.

use courseshunt_queue::{AdmissionFailure, AttemptOutcome};
use courseshunt_router::attempt::*;
use courseshunt_types::{Millis, Outcome};

use AttemptEvent::*;

/// Events in order, what a caller may be told, what the queue's owner is told.
type Case = (
    &'static str,
    &'static [AttemptEvent],
    Outcome,
    AttemptOutcome,
);

const DONE: AttemptOutcome = AttemptOutcome::Done {
    first_byte: Millis(0),
    total: Millis(0),
};
const BUSY: AttemptOutcome = AttemptOutcome::NotAdmitted(AdmissionFailure::Busy);
const DRAINS: AttemptOutcome = AttemptOutcome::NotAdmitted(AdmissionFailure::Draining);
const GONE: AttemptOutcome = AttemptOutcome::NotAdmitted(AdmissionFailure::Unreachable);

const CASES: &[Case] = &[
    ("granted only", &[], Outcome::NotRun, BUSY),
    (
        "runner gone before the send",
        &[RunnerUnknown],
        Outcome::NotRun,
        AttemptOutcome::Unused,
    ),
    (
        "connect refused",
        &[Sending, ConnectFailed],
        Outcome::NotRun,
        GONE,
    ),
    (
        "sent, then nothing",
        &[Sending],
        Outcome::Unknown,
        AttemptOutcome::Failed,
    ),
    (
        "reset after the send",
        &[Sending, Failed(UnknownCause::Broken)],
        Outcome::Unknown,
        AttemptOutcome::Failed,
    ),
    (
        "draining refusal",
        &[Sending, Refused(NotRunCause::Draining)],
        Outcome::NotRun,
        DRAINS,
    ),
    (
        "full refusal",
        &[Sending, Refused(NotRunCause::Full)],
        Outcome::NotRun,
        BUSY,
    ),
    (
        "fenced by the runner",
        &[Sending, Fenced],
        Outcome::NotRun,
        GONE,
    ),
    (
        "a refusal after the answer began proves nothing",
        &[Sending, HeadMatched, Refused(NotRunCause::Full)],
        Outcome::Unknown,
        AttemptOutcome::Failed,
    ),
    (
        "a connect error after the answer began proves nothing",
        &[Sending, HeadMatched, ConnectFailed],
        Outcome::Unknown,
        AttemptOutcome::Failed,
    ),
    (
        "an unknown runner after the send proves nothing",
        &[Sending, RunnerUnknown],
        Outcome::Unknown,
        AttemptOutcome::Failed,
    ),
    (
        "cut short",
        &[Sending, HeadMatched, Failed(UnknownCause::CutShort)],
        Outcome::Unknown,
        AttemptOutcome::Failed,
    ),
    (
        "whole",
        &[Sending, HeadMatched, Finished],
        Outcome::Done,
        DONE,
    ),
    (
        "an end without an answer is no answer",
        &[Sending, Finished],
        Outcome::Unknown,
        AttemptOutcome::Failed,
    ),
    (
        "caller left",
        &[Sending, CallerLeft],
        Outcome::Unknown,
        AttemptOutcome::Cancelled,
    ),
    (
        "caller left before the send",
        &[CallerLeft],
        Outcome::NotRun,
        BUSY,
    ),
    (
        "the first outcome counts",
        &[Sending, Failed(UnknownCause::Crossed), Fenced, Finished],
        Outcome::Unknown,
        AttemptOutcome::Failed,
    ),
    (
        "an answer does not start over",
        &[Sending, HeadMatched, Sending, ConnectFailed],
        Outcome::Unknown,
        AttemptOutcome::Failed,
    ),
];

#[test]
fn only_proof_makes_an_attempt_not_run() {
    for (name, events, outcome, ending) in CASES {
        let mut machine = AttemptMachine::default();
        let settled = events
            .iter()
            .filter_map(|event| machine.step(*event))
            .count();
        assert!(settled <= 1, "{name}: settled {settled} times");
        assert_eq!(machine.outcome().outcome(), *outcome, "{name}");
        assert_eq!(
            machine.outcome().report(AttemptTimes::default()),
            *ending,
            "{name}"
        );
    }
}

#[test]
fn retries_are_a_share_of_first_attempts() {
    let budget = RetryBudget::default();
    let mut allowed = 0;
    for _ in 0..1000 {
        budget.deposit();
        allowed += u32::from(budget.withdraw());
    }
    // The reserve of ten and a fifth of the first attempts.
    assert!((200..=211).contains(&allowed), "{allowed} of 1000");
    assert!(!budget.withdraw());
    budget.set_limited(false);
    assert!(budget.withdraw());
}

#[test]
fn the_expected_time_follows_the_answers() {
    let times = ServiceTimes::default();
    let name = "agro-llm".into();
    assert_eq!(times.expected(&name, 100, false), Millis(0));
    for _ in 0..50 {
        times.learn(&name, 10, Millis(200));
        times.learn_first(&name, Millis(60));
    }
    let whole = times.expected(&name, 100, false);
    assert!((1_990..=2_000).contains(&whole.0), "{whole:?}");
    let first = times.expected(&name, 100, true);
    assert!((58..=60).contains(&first.0), "{first:?}");
}
