//! Conditions under which a controller replaces a leader of the previous release.

use courseshunt_coordinator::take_over::{TakeOverDecision, TakeOverView, decide};
use courseshunt_types::Millis;

const DUE: TakeOverView = TakeOverView {
    leader_is_previous_release: true,
    is_following_voter: true,
    uptime: Millis(1_000),
    attempts: 0,
    since_attempt: None,
};

#[test]
fn a_voter_that_started_recently_replaces_a_leader_of_the_previous_release() {
    assert_eq!(decide(&DUE), TakeOverDecision::TakeOver);
}

#[test]
fn a_leader_of_this_release_is_left_in_place() {
    let view = TakeOverView {
        leader_is_previous_release: false,
        ..DUE
    };
    assert_eq!(decide(&view), TakeOverDecision::Wait);
}

#[test]
fn a_learner_or_candidate_waits() {
    let view = TakeOverView {
        is_following_voter: false,
        ..DUE
    };
    assert_eq!(decide(&view), TakeOverDecision::Wait);
}

#[test]
fn a_process_that_has_just_started_waits() {
    let view = TakeOverView {
        uptime: Millis(999),
        ..DUE
    };
    assert_eq!(decide(&view), TakeOverDecision::Wait);
}

/// On the way back, each controller of this release would replace each leader of the previous one.
#[test]
fn a_process_that_has_run_for_long_never_takes_over() {
    let view = TakeOverView {
        uptime: Millis(15_000),
        ..DUE
    };
    assert_eq!(decide(&view), TakeOverDecision::Never);
}

#[test]
fn a_failed_attempt_is_repeated_once_after_a_delay() {
    let failed = |attempts, since| TakeOverView {
        attempts,
        since_attempt: Some(Millis(since)),
        uptime: Millis(9_000),
        ..DUE
    };
    assert_eq!(decide(&failed(1, 2_999)), TakeOverDecision::Wait);
    assert_eq!(decide(&failed(1, 3_000)), TakeOverDecision::TakeOver);
    assert_eq!(decide(&failed(2, 3_000)), TakeOverDecision::Never);
}
