//! Whether a request waits or is given up, in a table.

use courseshunt_gateway::waiting::{WaitContext, WaitDecision, decide, max_permit_wait};
use courseshunt_types::Millis;
use std::time::Duration;
use tokio::time::Instant;

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

struct Case {
    name: &'static str,
    /// Time since the arrival, in milliseconds.
    now: u64,
    objective: u64,
    patience: Option<u64>,
    returning: bool,
    has_models: bool,
    expected: Option<u64>,
    pushed_back: bool,
    /// Waits until then after the arrival, or is told to come back.
    verdict: Result<u64, u64>,
}

const DEADLINE: u64 = 5_000;

const CASES: [Case; 17] = [
    Case {
        name: "a plain service without an instance is given up promptly",
        now: 0,
        objective: 100,
        patience: None,
        returning: false,
        has_models: false,
        expected: None,
        pushed_back: false,
        verdict: Ok(20),
    },
    Case {
        name: "and then told to come back",
        now: 20,
        objective: 100,
        patience: None,
        returning: false,
        has_models: false,
        expected: None,
        pushed_back: false,
        verdict: Err(1_200),
    },
    Case {
        name: "a model that comes in time is waited for",
        now: 0,
        objective: 4_000,
        patience: Some(16_000),
        returning: false,
        has_models: true,
        expected: Some(2_000),
        pushed_back: false,
        verdict: Ok(4_500),
    },
    Case {
        name: "also when that moves, once a refusal would help no more",
        now: 1_500,
        objective: 4_000,
        patience: Some(16_000),
        returning: false,
        has_models: true,
        expected: Some(4_200),
        pushed_back: false,
        verdict: Ok(4_500),
    },
    Case {
        name: "but not when it moves beyond its client's time",
        now: 1_500,
        objective: 4_000,
        patience: Some(16_000),
        returning: false,
        has_models: true,
        expected: Some(4_600),
        pushed_back: false,
        verdict: Err(3_470),
    },
    Case {
        name: "a late model is waited for after a prompt refusal is too late",
        now: 150,
        objective: 500,
        patience: Some(3_200),
        returning: false,
        has_models: true,
        expected: Some(1_500),
        pushed_back: false,
        verdict: Ok(2_880),
    },
    Case {
        name: "a model that comes late is not",
        now: 50,
        objective: 500,
        patience: Some(3_200),
        returning: false,
        has_models: true,
        expected: Some(1_500),
        pushed_back: false,
        verdict: Err(1_655),
    },
    Case {
        name: "one that has come back waits for it",
        now: 50,
        objective: 500,
        patience: Some(3_200),
        returning: true,
        has_models: true,
        expected: Some(1_500),
        pushed_back: false,
        verdict: Ok(2_880),
    },
    Case {
        name: "but not longer than its client",
        now: 2_900,
        objective: 500,
        patience: Some(3_200),
        returning: true,
        has_models: true,
        expected: Some(3_100),
        pushed_back: false,
        verdict: Err(280),
    },
    Case {
        name: "one that has come back for a model of which nothing is known",
        now: 50,
        objective: 500,
        patience: Some(3_200),
        returning: true,
        has_models: true,
        expected: None,
        pushed_back: false,
        verdict: Ok(2_250),
    },
    Case {
        name: "one that has come back for a model that is too far away",
        now: 150,
        objective: 500,
        patience: Some(3_200),
        returning: true,
        has_models: true,
        expected: Some(4_000),
        pushed_back: false,
        verdict: Err(4_295),
    },
    Case {
        name: "nothing known yet: the leader has a moment to say",
        now: 10,
        objective: 500,
        patience: Some(3_200),
        returning: false,
        has_models: true,
        expected: None,
        pushed_back: false,
        verdict: Ok(100),
    },
    Case {
        name: "nothing known after that moment",
        now: 100,
        objective: 500,
        patience: Some(3_200),
        returning: false,
        has_models: true,
        expected: None,
        pushed_back: false,
        verdict: Err(1_200),
    },
    Case {
        name: "a plain service whose instances rest is waited for if that is in time",
        now: 0,
        objective: 1_000,
        patience: None,
        returning: false,
        has_models: false,
        expected: Some(700),
        pushed_back: true,
        verdict: Ok(4_500),
    },
    Case {
        name: "else refused at once until they have rested",
        now: 0,
        objective: 1_000,
        patience: None,
        returning: false,
        has_models: false,
        expected: Some(3_000),
        pushed_back: true,
        verdict: Err(3_360),
    },
    Case {
        name: "one that has come back waits for the end of a rest",
        now: 0,
        objective: 1_000,
        patience: None,
        returning: true,
        has_models: true,
        expected: Some(3_000),
        pushed_back: true,
        verdict: Ok(4_500),
    },
    Case {
        name: "and is refused at once if that is too late for its client",
        now: 0,
        objective: 1_000,
        patience: None,
        returning: true,
        has_models: true,
        expected: Some(4_400),
        pushed_back: true,
        verdict: Err(4_900),
    },
];

#[tokio::test]
async fn decisions() {
    let arrived = Instant::now() + ms(60_000);
    for case in CASES {
        let situation = WaitContext {
            arrived,
            deadline: arrived + ms(DEADLINE),
            objective: ms(case.objective),
            first_byte_timeout: case.patience.map(ms),
            is_client_retry: case.returning,
            can_load_model: case.has_models,
            expected_at: case.expected.map(|at| arrived + ms(at)),
            in_backoff: case.pushed_back,
            can_request_permit: false,
        };
        let verdict = match decide(&situation, arrived + ms(case.now)) {
            WaitDecision::Until(until) => Ok((until - arrived).as_millis() as u64),
            WaitDecision::GiveUp {
                retry_after: Millis(wait),
            } => Err(wait),
        };
        assert_eq!(verdict, case.verdict, "{}", case.name);
    }
}

/// A request with an objective of a second and a deadline of five; how long it may wait for a
/// turn, so long after its arrival.
#[tokio::test]
async fn a_turn_is_waited_for_as_long_as_the_answer_is_in_time() {
    let arrived = Instant::now() + ms(60_000);
    for (returning, now, waits) in [
        (false, 0, 880),
        (false, 200, 680),
        // From here on a refusal helps no more: as long as its client waits.
        (false, 201, 4_179),
        (false, 4_450, 0),
        (true, 0, 4_380),
    ] {
        let situation = WaitContext {
            arrived,
            deadline: arrived + ms(DEADLINE),
            objective: ms(1_000),
            first_byte_timeout: None,
            is_client_retry: returning,
            can_load_model: true,
            expected_at: None,
            in_backoff: true,
            can_request_permit: true,
        };
        let found = max_permit_wait(&situation, arrived + ms(now));
        assert_eq!(found, ms(waits), "{returning} {now}");
    }
}
