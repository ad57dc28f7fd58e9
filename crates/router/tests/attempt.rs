//! Contract of an attempt: what may be called not-run, and the retry budget.

use courseshunt_router::attempt::*;
use courseshunt_types::Outcome;
use courseshunt_wire::message::GrantEnding;

use AttemptEvent::*;

/// Events in order, what a caller may be told, what the queue's owner is told.
type Case = (&'static str, &'static [AttemptEvent], Outcome, GrantEnding);

const CASES: &[Case] = &[
    (
        "granted only",
        &[],
        Outcome::NotRun,
        GrantEnding::RunnerFailed,
    ),
    (
        "runner gone before the send",
        &[RunnerUnknown],
        Outcome::NotRun,
        GrantEnding::Unused,
    ),
    (
        "connect refused",
        &[Sending, ConnectFailed],
        Outcome::NotRun,
        GrantEnding::RunnerFailed,
    ),
    (
        "sent, then nothing",
        &[Sending],
        Outcome::Unknown,
        GrantEnding::RunnerFailed,
    ),
    (
        "reset after the send",
        &[Sending, Failed(UnknownCause::Broken)],
        Outcome::Unknown,
        GrantEnding::RunnerFailed,
    ),
    (
        "draining refusal",
        &[Sending, Refused(NotRunCause::Draining)],
        Outcome::NotRun,
        GrantEnding::RunnerDraining,
    ),
    (
        "full refusal",
        &[Sending, Refused(NotRunCause::Full)],
        Outcome::NotRun,
        GrantEnding::RunnerFailed,
    ),
    (
        "fenced by the runner",
        &[Sending, Fenced],
        Outcome::NotRun,
        GrantEnding::RunnerFailed,
    ),
    (
        "a refusal after the answer began proves nothing",
        &[Sending, HeadMatched, Refused(NotRunCause::Full)],
        Outcome::Unknown,
        GrantEnding::RunnerFailed,
    ),
    (
        "a connect error after the answer began proves nothing",
        &[Sending, HeadMatched, ConnectFailed],
        Outcome::Unknown,
        GrantEnding::RunnerFailed,
    ),
    (
        "an unknown runner after the send proves nothing",
        &[Sending, RunnerUnknown],
        Outcome::Unknown,
        GrantEnding::RunnerFailed,
    ),
    (
        "cut short",
        &[Sending, HeadMatched, Failed(UnknownCause::CutShort)],
        Outcome::Unknown,
        GrantEnding::RunnerFailed,
    ),
    (
        "whole",
        &[Sending, HeadMatched, Finished],
        Outcome::Done,
        GrantEnding::Finished,
    ),
    (
        "an end without an answer is no answer",
        &[Sending, Finished],
        Outcome::Unknown,
        GrantEnding::RunnerFailed,
    ),
    (
        "caller left",
        &[Sending, CallerLeft],
        Outcome::Unknown,
        GrantEnding::Finished,
    ),
    (
        "caller left before the send",
        &[CallerLeft],
        Outcome::NotRun,
        GrantEnding::RunnerFailed,
    ),
    (
        "the first outcome counts",
        &[Sending, Failed(UnknownCause::Crossed), Fenced, Finished],
        Outcome::Unknown,
        GrantEnding::RunnerFailed,
    ),
    (
        "an answer does not start over",
        &[Sending, HeadMatched, Sending, ConnectFailed],
        Outcome::Unknown,
        GrantEnding::RunnerFailed,
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
        assert_eq!(machine.outcome().grant_ending(), *ending, "{name}");
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
    assert!(RetryBudget::unlimited().withdraw());
}
