//! Table of decisions whether a request waits or is refused.

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
    first_byte_timeout: Option<u64>,
    is_client_retry: bool,
    can_load_model: bool,
    expected: Option<u64>,
    in_backoff: bool,
    /// `Ok`: waits until this time after the arrival; `Err`: Retry-After of the refusal; in
    /// milliseconds.
    decision: Result<u64, u64>,
}

const DEADLINE: u64 = 5_000;

const CASES: [Case; 17] = [
    Case {
        name: "a service without models and instances: refused after a short wait",
        now: 0,
        objective: 100,
        first_byte_timeout: None,
        is_client_retry: false,
        can_load_model: false,
        expected: None,
        in_backoff: false,
        decision: Ok(20),
    },
    Case {
        name: "the same after that wait: refused with Retry-After",
        now: 20,
        objective: 100,
        first_byte_timeout: None,
        is_client_retry: false,
        can_load_model: false,
        expected: None,
        in_backoff: false,
        decision: Err(1_200),
    },
    Case {
        name: "the model is expected within the objective: waits",
        now: 0,
        objective: 4_000,
        first_byte_timeout: Some(16_000),
        is_client_retry: false,
        can_load_model: true,
        expected: Some(2_000),
        in_backoff: false,
        decision: Ok(4_500),
    },
    Case {
        name: "the estimate moves beyond the objective when an early refusal is no longer possible: waits",
        now: 1_500,
        objective: 4_000,
        first_byte_timeout: Some(16_000),
        is_client_retry: false,
        can_load_model: true,
        expected: Some(4_200),
        in_backoff: false,
        decision: Ok(4_500),
    },
    Case {
        name: "the estimate moves beyond the time that the client waits: refused",
        now: 1_500,
        objective: 4_000,
        first_byte_timeout: Some(16_000),
        is_client_retry: false,
        can_load_model: true,
        expected: Some(4_600),
        in_backoff: false,
        decision: Err(3_470),
    },
    Case {
        name: "the model is late, but an early refusal is no longer possible: waits",
        now: 150,
        objective: 500,
        first_byte_timeout: Some(3_200),
        is_client_retry: false,
        can_load_model: true,
        expected: Some(1_500),
        in_backoff: false,
        decision: Ok(2_880),
    },
    Case {
        name: "the model is late and an early refusal is possible: refused",
        now: 50,
        objective: 500,
        first_byte_timeout: Some(3_200),
        is_client_retry: false,
        can_load_model: true,
        expected: Some(1_500),
        in_backoff: false,
        decision: Err(1_655),
    },
    Case {
        name: "a retry waits for a late model",
        now: 50,
        objective: 500,
        first_byte_timeout: Some(3_200),
        is_client_retry: true,
        can_load_model: true,
        expected: Some(1_500),
        in_backoff: false,
        decision: Ok(2_880),
    },
    Case {
        name: "a retry does not wait longer than its client",
        now: 2_900,
        objective: 500,
        first_byte_timeout: Some(3_200),
        is_client_retry: true,
        can_load_model: true,
        expected: Some(3_100),
        in_backoff: false,
        decision: Err(280),
    },
    Case {
        name: "a retry for a model without an estimate: waits for a part of its deadline",
        now: 50,
        objective: 500,
        first_byte_timeout: Some(3_200),
        is_client_retry: true,
        can_load_model: true,
        expected: None,
        in_backoff: false,
        decision: Ok(2_250),
    },
    Case {
        name: "a retry for a model that is expected too late for its client: refused",
        now: 150,
        objective: 500,
        first_byte_timeout: Some(3_200),
        is_client_retry: true,
        can_load_model: true,
        expected: Some(4_000),
        in_backoff: false,
        decision: Err(4_295),
    },
    Case {
        name: "no estimate yet: waits a short time for the leader",
        now: 10,
        objective: 500,
        first_byte_timeout: Some(3_200),
        is_client_retry: false,
        can_load_model: true,
        expected: None,
        in_backoff: false,
        decision: Ok(100),
    },
    Case {
        name: "no estimate after that time: refused",
        now: 100,
        objective: 500,
        first_byte_timeout: Some(3_200),
        is_client_retry: false,
        can_load_model: true,
        expected: None,
        in_backoff: false,
        decision: Err(1_200),
    },
    Case {
        name: "all instances of a service without models are in backoff that ends within the objective: waits",
        now: 0,
        objective: 1_000,
        first_byte_timeout: None,
        is_client_retry: false,
        can_load_model: false,
        expected: Some(700),
        in_backoff: true,
        decision: Ok(4_500),
    },
    Case {
        name: "all instances are in backoff beyond the objective: refused until it ends",
        now: 0,
        objective: 1_000,
        first_byte_timeout: None,
        is_client_retry: false,
        can_load_model: false,
        expected: Some(3_000),
        in_backoff: true,
        decision: Err(3_360),
    },
    Case {
        name: "a retry waits for the end of a backoff",
        now: 0,
        objective: 1_000,
        first_byte_timeout: None,
        is_client_retry: true,
        can_load_model: true,
        expected: Some(3_000),
        in_backoff: true,
        decision: Ok(4_500),
    },
    Case {
        name: "a retry is refused immediately if the backoff ends too late for its client",
        now: 0,
        objective: 1_000,
        first_byte_timeout: None,
        is_client_retry: true,
        can_load_model: true,
        expected: Some(4_400),
        in_backoff: true,
        decision: Err(4_900),
    },
];

#[tokio::test]
async fn decisions() {
    let arrived = Instant::now() + ms(60_000);
    for case in CASES {
        let context = WaitContext {
            arrived,
            deadline: arrived + ms(DEADLINE),
            objective: ms(case.objective),
            first_byte_timeout: case.first_byte_timeout.map(ms),
            is_client_retry: case.is_client_retry,
            can_load_model: case.can_load_model,
            expected_at: case.expected.map(|at| arrived + ms(at)),
            in_backoff: case.in_backoff,
            can_request_permit: false,
        };
        let decision = match decide(&context, arrived + ms(case.now)) {
            WaitDecision::WaitUntil(until) => Ok((until - arrived).as_millis() as u64),
            WaitDecision::Refuse {
                retry_after: Millis(wait),
            } => Err(wait),
        };
        assert_eq!(decision, case.decision, "{}", case.name);
    }
}

/// How long a request with an objective of 1 s and a deadline of 5 s may wait for a send
/// permit, by the time since its arrival.
#[tokio::test]
async fn send_permit_wait_ends_when_the_response_would_be_late() {
    let arrived = Instant::now() + ms(60_000);
    for (is_client_retry, now, expected) in [
        (false, 0, 880),
        (false, 200, 680),
        // From here on an early refusal is no longer possible: the request waits as long as its
        // client.
        (false, 201, 4_179),
        (false, 4_450, 0),
        (true, 0, 4_380),
    ] {
        let context = WaitContext {
            arrived,
            deadline: arrived + ms(DEADLINE),
            objective: ms(1_000),
            first_byte_timeout: None,
            is_client_retry,
            can_load_model: true,
            expected_at: None,
            in_backoff: true,
            can_request_permit: true,
        };
        let allowed = max_permit_wait(&context, arrived + ms(now));
        assert_eq!(allowed, ms(expected), "{is_client_retry} {now}");
    }
}

/// A fifth of an objective of a minute was waited for at a deadline of 3 s, and an objective that no
/// clock can hold ended the wait never.
#[tokio::test]
async fn a_refusal_is_never_later_than_the_deadline() {
    let arrived = Instant::now() + ms(60_000);
    let deadline = arrived + ms(3_000);
    for objective in [ms(60_000), Duration::from_millis(u64::MAX)] {
        for (is_client_retry, can_load_model, expected) in [
            (false, false, None),
            (false, true, None),
            (false, true, Some(20_000)),
            (true, false, None),
            (true, true, Some(20_000)),
        ] {
            let context = WaitContext {
                arrived,
                deadline,
                objective,
                first_byte_timeout: None,
                is_client_retry,
                can_load_model,
                expected_at: expected.map(|at| arrived + ms(at)),
                in_backoff: false,
                can_request_permit: false,
            };
            if let WaitDecision::WaitUntil(until) = decide(&context, arrived) {
                assert!(until < deadline, "{objective:?} {expected:?}");
            }
            let at_the_end = decide(&context, deadline);
            assert!(matches!(at_the_end, WaitDecision::Refuse { .. }));
            assert!(max_permit_wait(&context, arrived) < ms(3_000));
        }
    }
}
