//! Attempts: which events prove that an attempt has not run, the retry budget, and
//! the service time estimate.

use courseshunt_queue::{AdmissionFailure, AttemptOutcome};
use courseshunt_router::attempt::*;
use courseshunt_types::{Millis, Outcome};

use AttemptEvent::*;

/// Name, events in order, outcome for the caller, report to the queue's owner.
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
const DRAINING: AttemptOutcome = AttemptOutcome::NotAdmitted(AdmissionFailure::Draining);
const UNREACHABLE: AttemptOutcome = AttemptOutcome::NotAdmitted(AdmissionFailure::Unreachable);

const CASES: &[Case] = &[
    ("granted only", &[], Outcome::NotRun, BUSY),
    (
        "runner unknown before the send",
        &[RunnerUnknown],
        Outcome::NotRun,
        AttemptOutcome::Unused,
    ),
    (
        "connect refused",
        &[Sending, ConnectFailed],
        Outcome::NotRun,
        UNREACHABLE,
    ),
    (
        "sent, without an answer",
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
        DRAINING,
    ),
    (
        "full refusal",
        &[Sending, Refused(NotRunCause::Full)],
        Outcome::NotRun,
        BUSY,
    ),
    (
        "cancelled at the runner before its start",
        &[Sending, Fenced],
        Outcome::NotRun,
        UNREACHABLE,
    ),
    (
        "a refusal after the head of the answer does not prove not-run",
        &[Sending, HeadMatched, Refused(NotRunCause::Full)],
        Outcome::Unknown,
        AttemptOutcome::Failed,
    ),
    (
        "a connect error after the head of the answer does not prove not-run",
        &[Sending, HeadMatched, ConnectFailed],
        Outcome::Unknown,
        AttemptOutcome::Failed,
    ),
    (
        "an unknown runner after the send does not prove not-run",
        &[Sending, RunnerUnknown],
        Outcome::Unknown,
        AttemptOutcome::Failed,
    ),
    (
        "truncated answer",
        &[Sending, HeadMatched, Failed(UnknownCause::Truncated)],
        Outcome::Unknown,
        AttemptOutcome::Failed,
    ),
    (
        "complete answer",
        &[Sending, HeadMatched, Finished],
        Outcome::Done,
        DONE,
    ),
    (
        "an end without the head of an answer is a failure",
        &[Sending, Finished],
        Outcome::Unknown,
        AttemptOutcome::Failed,
    ),
    (
        "caller disconnected",
        &[Sending, CallerLeft],
        Outcome::Unknown,
        AttemptOutcome::Cancelled,
    ),
    (
        "caller disconnected before the send",
        &[CallerLeft],
        Outcome::NotRun,
        BUSY,
    ),
    (
        "the first outcome is final",
        &[Sending, Failed(UnknownCause::Mismatched), Fenced, Finished],
        Outcome::Unknown,
        AttemptOutcome::Failed,
    ),
    (
        "the stage does not go back after the head of the answer",
        &[Sending, HeadMatched, Sending, ConnectFailed],
        Outcome::Unknown,
        AttemptOutcome::Failed,
    ),
];

#[test]
fn attempt_counts_as_not_run_only_with_proof() {
    for (name, events, outcome, report) in CASES {
        let mut machine = AttemptMachine::default();
        let ended = events
            .iter()
            .filter_map(|event| machine.step(*event))
            .count();
        assert!(ended <= 1, "{name}: {ended} events ended the attempt");
        assert_eq!(machine.outcome().outcome(), *outcome, "{name}");
        assert_eq!(
            machine.outcome().report(AttemptTimes::default()),
            *report,
            "{name}"
        );
    }
}

#[test]
fn retries_are_limited_to_a_share_of_first_attempts() {
    let budget = RetryBudget::default();
    let mut allowed = 0;
    for _ in 0..1000 {
        budget.deposit();
        allowed += u32::from(budget.withdraw());
    }
    // The initial ten tokens and one for every five first attempts.
    assert!(
        (200..=211).contains(&allowed),
        "{allowed} retries for 1000 first attempts"
    );
    assert!(!budget.withdraw());
    budget.set_limited(false);
    assert!(budget.withdraw());
}

#[test]
fn expected_time_follows_observed_answers() {
    let times = ServiceTimes::default();
    let name = "agro-llm".into();
    assert_eq!(times.expected(&name, 100, false), Millis(0));
    for _ in 0..50 {
        times.observe_answer(&name, 10, Millis(200));
        times.observe_first_event(&name, Millis(60));
    }
    let complete = times.expected(&name, 100, false);
    assert!((1_990..=2_000).contains(&complete.0), "{complete:?}");
    let first = times.expected(&name, 100, true);
    assert!((58..=60).contains(&first.0), "{first:?}");
}
