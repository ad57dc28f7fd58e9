//! Once-only requests under faults: at most one execution, and the truth.

mod bench;

use bench::{Answer, Bench, TOKENS, expected_text};
use courseshunt_router::attempt::Count;
use courseshunt_standin::server::{FaultPoint, RunnerFault};
use courseshunt_types::Millis;
use courseshunt_types::runner_api::MachineState;
use hyper::StatusCode;

use FaultPoint::*;
use RunnerFault::*;

fn send(bench: &Bench, router: usize, key: &str, prompt: &str) -> Answer {
    bench.run(bench.complete(router, prompt, false, &[("idempotency-key", key)]))
}

/// Name, faults of the first attempts, status and outcome of the first request,
/// outcome of its repeat through another router, executions.
type Case = (
    &'static str,
    &'static [RunnerFault],
    u16,
    &'static str,
    &'static str,
    usize,
);

const CASES: &[Case] = &[
    ("no fault", &[], 200, "done", "done", 1),
    (
        "dies before admission",
        &[Die(BeforeAdmission)],
        502,
        "unknown",
        "unknown",
        0,
    ),
    (
        "dies after admission",
        &[Die(AfterAdmission)],
        502,
        "unknown",
        "unknown",
        1,
    ),
    (
        "dies amid the answer",
        &[Die(AfterTokens(3))],
        502,
        "unknown",
        "unknown",
        1,
    ),
    (
        "reset before admission",
        &[Reset(BeforeAdmission)],
        200,
        "done",
        "done",
        1,
    ),
    (
        "reset after admission",
        &[Reset(AfterAdmission)],
        200,
        "done",
        "done",
        1,
    ),
    (
        "reset amid the answer",
        &[Reset(AfterTokens(3))],
        200,
        "done",
        "done",
        1,
    ),
    (
        "cut short",
        &[CutShort { tokens: 3 }],
        200,
        "done",
        "done",
        1,
    ),
    (
        "cut short and forgotten",
        &[CutShortAndForget { tokens: 3 }],
        502,
        "unknown",
        "unknown",
        1,
    ),
    ("crossed answer", &[Crossed], 200, "done", "done", 1),
    (
        "head of another request",
        &[WrongRequest],
        200,
        "done",
        "done",
        1,
    ),
    (
        "head of an earlier attempt",
        &[WrongAttempt],
        200,
        "done",
        "done",
        1,
    ),
    ("error without a word", &[Error], 200, "done", "done", 1),
    (
        "refuses: draining",
        &[Refuse("draining")],
        200,
        "done",
        "done",
        1,
    ),
    (
        "both refuse: full",
        &[Refuse("full"), Refuse("full")],
        200,
        "done",
        "done",
        1,
    ),
    (
        "refused three times",
        &[Refuse("full"), Refuse("full"), Refuse("full")],
        502,
        "not-run",
        "done",
        1,
    ),
    ("hangs", &[Hang], 200, "done", "done", 1),
];

#[test]
fn a_command_runs_at_most_once() {
    let bench = Bench::start(2);
    for (name, faults, status, outcome, repeated, executions) in CASES {
        bench.plan(faults);
        let first = send(&bench, 0, name, name);
        assert_eq!(first.status.as_u16(), *status, "{name}: {first:?}");
        assert_eq!(first.outcome(), *outcome, "{name}: {first:?}");
        bench.plan(&[]);
        let repeat = send(&bench, 1, name, name);
        assert_eq!(repeat.outcome(), *repeated, "{name}: {repeat:?}");
        if *outcome == "done" {
            assert_eq!(first.body, repeat.body, "{name}");
        }
        if *repeated == "done" {
            assert_eq!(repeat.text(), expected_text(name, TOKENS), "{name}");
        }
        assert_eq!(
            bench.executions(&format!("\"{name}\"")),
            *executions,
            "{name}"
        );
        if faults.iter().any(|fault| matches!(fault, Die(_))) {
            bench.revive();
        }
    }
    let conflict = send(&bench, 1, "no fault", "another body");
    assert_eq!(conflict.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(conflict.outcome(), "not-run");
    assert_eq!(bench.executions("another body"), 0);
}

#[test]
fn a_repeat_while_the_first_runs_waits_for_it() {
    let bench = Bench::start(2);
    bench.plan(&[Late(Millis(1_500))]);
    let first = bench.complete(0, "slow", false, &[("idempotency-key", "slow")]);
    let first = bench.spawn(first);
    bench.wait_for("the first execution", || bench.executions("slow") == 1);
    let repeat = send(&bench, 1, "slow", "slow");
    assert_eq!(repeat.status, StatusCode::CONFLICT, "{repeat:?}");
    assert!(repeat.headers.contains_key("retry-after"));
    let first = bench.run(first).unwrap();
    assert_eq!(first.outcome(), "done");
    assert_eq!(send(&bench, 1, "slow", "slow").body, first.body);
    // A caller that leaves finds the answer later.
    bench.plan(&[Late(Millis(300))]);
    let left = bench.complete(0, "left", false, &[("idempotency-key", "left")]);
    let left = bench.spawn(left);
    bench.wait_for("the execution", || bench.executions("left") == 1);
    left.abort();
    bench.wait_for("the recorded answer", || {
        send(&bench, 1, "left", "left").outcome() == "done"
    });
    assert_eq!(bench.executions("left"), 1);
}

#[test]
fn a_claim_outlives_its_router() {
    let mut bench = Bench::start(3);
    // The runner still runs it: the repeat gets that very answer.
    bench.plan(&[Late(Millis(1_000))]);
    let lost = bench.complete(0, "outlives", false, &[("idempotency-key", "a")]);
    let lost = bench.spawn(lost);
    bench.wait_for("the execution", || bench.executions("outlives") == 1);
    bench.kill_router(0);
    assert!(bench.run(lost).is_err());
    bench.wait_for("the recovered answer", || {
        let repeat = send(&bench, 1, "a", "outlives");
        assert_ne!(repeat.outcome(), "not-run", "{repeat:?}");
        repeat.outcome() == "done" && repeat.text() == expected_text("outlives", TOKENS)
    });
    assert_eq!(bench.router(1).counts.get(Count::ClaimRecovered), 1);
    assert_eq!(send(&bench, 2, "a", "outlives").outcome(), "done");
    assert_eq!(bench.executions("outlives"), 1);
    // The runner died too: nobody can know, and it never runs again.
    bench.plan(&[Late(Millis(60_000))]);
    let lost = bench.complete(1, "both-die", false, &[("idempotency-key", "b")]);
    let lost = bench.spawn(lost);
    bench.wait_for("the execution", || bench.executions("both-die") == 1);
    bench.kill_router(1);
    assert!(bench.run(lost).is_err());
    bench.runners.iter().for_each(|runner| runner.kill());
    bench.revive();
    bench.wait_for("the fleet without the router", || {
        bench.router(2).view.routers().len() == 1
    });
    for _ in 0..2 {
        let repeat = send(&bench, 2, "b", "both-die");
        assert_eq!(repeat.outcome(), "unknown", "{repeat:?}");
    }
    assert_eq!(bench.executions("both-die"), 1);
}

#[test]
fn without_a_quorum_nothing_once_only_runs_and_no_key_is_stuck() {
    let mut bench = Bench::start(2);
    assert_eq!(send(&bench, 0, "before", "before").outcome(), "done");
    bench.kill_controller();
    let refused = send(&bench, 0, "during", "during");
    assert_eq!(
        refused.status,
        StatusCode::SERVICE_UNAVAILABLE,
        "{refused:?}"
    );
    assert_eq!(refused.outcome(), "not-run");
    assert!(refused.headers.contains_key("retry-after"));
    assert_eq!(bench.executions("during"), 0);
    let repeatable = bench.run(bench.complete(0, "goes on", true, &[]));
    assert_eq!(repeatable.text(), expected_text("goes on", TOKENS));
    bench.start_controller();
    bench.wait_for("the key to be free", || {
        let repeat = send(&bench, 1, "during", "during");
        repeat.outcome() == "done"
    });
    assert_eq!(bench.executions("during"), 1);
    assert_eq!(send(&bench, 0, "during", "during").outcome(), "done");
    assert_eq!(send(&bench, 0, "before", "before").outcome(), "done");
    assert_eq!(bench.executions("before"), 1);
}

#[test]
fn a_planned_stop_cuts_nothing() {
    let mut bench = Bench::start(2);
    bench.plan(&[Late(Millis(400)), Late(Millis(400)), Late(Millis(400))]);
    let once = bench.spawn(bench.complete(0, "once", false, &[("idempotency-key", "k")]));
    let whole = bench.spawn(bench.complete(0, "whole", false, &[]));
    let stream = bench.spawn(bench.complete(0, "stream", true, &[]));
    bench.wait_for("three executions", || {
        ["once", "whole", "stream"]
            .iter()
            .all(|prompt| bench.executions(prompt) == 1)
    });
    bench.stop_router(0);
    for (work, prompt) in [(once, "once"), (whole, "whole"), (stream, "stream")] {
        let answer = bench.run(work).unwrap();
        assert_eq!(answer.outcome(), "done", "{prompt}: {answer:?}");
        assert_eq!(answer.text(), expected_text(prompt, TOKENS), "{prompt}");
    }
    assert_eq!(send(&bench, 1, "k", "once").outcome(), "done");
    assert_eq!(bench.executions("once"), 1);
}

#[test]
fn a_drained_router_and_a_drained_runner_get_no_new_work() {
    let mut bench = Bench::start(2);
    let admin = bench.admin();
    assert!(bench.run(admin.drain("runner", "runner-9")).is_err());
    bench.run(admin.drain("router", "router-1")).unwrap();
    bench.wait_for("the request to stop", || {
        bench.router(0).drain.is_cancelled()
    });
    bench.stop_router(0);
    bench.wait_for("the fleet without the router", || {
        bench.router(1).view.routers().len() == 1
    });
    // A router of that name that starts again is not drained again.
    bench.restart_router(0);
    bench.warm();
    assert!(!bench.router(0).drain.is_cancelled());

    bench.run(admin.drain("runner", "runner-1")).unwrap();
    let leaving = |router: usize| {
        let runner = bench.router(router).view.runner(&"runner-1".into());
        runner.is_some_and(|runner| runner.state != MachineState::Live)
    };
    bench.wait_for("the runner leaving at both routers", || {
        leaving(0) && leaving(1)
    });
    let before = bench.runners[0].executions().len();
    for number in 0..10 {
        let answer = bench.run(bench.complete(number % 2, "after the drain", false, &[]));
        assert_eq!(answer.outcome(), "done");
    }
    assert_eq!(bench.runners[0].executions().len(), before);
}
