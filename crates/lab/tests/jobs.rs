//! Deferred jobs, from the submission to the answer, under faults.

mod bench;

use bench::{Answer, Bench, TOKENS, body, expected_text};
use courseshunt_standin::server::{FaultPoint, RunnerFault};
use courseshunt_types::Millis;
use hyper::{Method, StatusCode};
use serde_json::Value;

fn submit(bench: &Bench, prompt: &str, headers: &[(&str, &str)]) -> Answer {
    let body = body(prompt, false, TOKENS);
    bench.run(bench.call(0, Method::POST, "/v1/jobs", headers, body))
}

fn view(bench: &Bench, router: usize, job: &str) -> Value {
    let path = format!("/v1/jobs/{job}");
    bench
        .run(bench.call(router, Method::GET, &path, &[], String::new()))
        .json()
}

fn id(answer: &Answer) -> String {
    assert_eq!(answer.status, StatusCode::ACCEPTED, "{answer:?}");
    answer.json()["id"].as_str().unwrap().to_owned()
}

/// Waits until a job has ended, and shows it.
fn ended(bench: &Bench, router: usize, job: &str) -> Value {
    let mut seen = Value::Null;
    bench.wait_for("the job's end", || {
        seen = view(bench, router, job);
        !matches!(seen["state"].as_str(), Some("queued" | "running") | None)
    });
    seen
}

fn text(view: &Value) -> &str {
    let text = view.pointer("/answer/body/choices/0/message/content");
    text.and_then(Value::as_str).unwrap_or_default()
}

#[test]
fn a_job_is_executed_and_its_answer_kept() {
    let bench = Bench::start(2);
    let key = [
        ("idempotency-key", "plan-1"),
        ("x-courseshunt-repeat", "any"),
    ];
    let job = id(&submit(&bench, "weekly plan", &key));
    assert_eq!(id(&submit(&bench, "weekly plan", &key)), job);
    let conflict = submit(&bench, "another plan", &key);
    assert_eq!(conflict.status, StatusCode::UNPROCESSABLE_ENTITY);
    for router in [1, 0] {
        let view = ended(&bench, router, &job);
        assert_eq!(view["state"], "done", "{view}");
        assert_eq!(view["outcome"], "done");
        assert_eq!(text(&view), expected_text("weekly plan", TOKENS));
    }
    assert_eq!(bench.executions("weekly plan"), 1);
    let list = bench.run(bench.call(1, Method::GET, "/v1/jobs", &[], String::new()));
    assert_eq!(list.json()["data"][0]["id"], job);
    let cancel = |job: &str| {
        let path = format!("/v1/jobs/{job}");
        bench.run(bench.call(0, Method::DELETE, &path, &[], String::new()))
    };
    assert_eq!(cancel(&job).status, StatusCode::CONFLICT);
    assert_eq!(cancel("job-of-nobody").status, StatusCode::NOT_FOUND);
}

/// Name, faults, headers, state and outcome at the end, executions.
type Case = (
    &'static str,
    &'static [RunnerFault],
    &'static [(&'static str, &'static str)],
    &'static str,
    &'static str,
    usize,
);

const ONCE: &[(&str, &str)] = &[
    ("x-courseshunt-repeat", "never"),
    ("idempotency-key", "once"),
];
const ONCE_TOO: &[(&str, &str)] = &[
    ("x-courseshunt-repeat", "never"),
    ("idempotency-key", "too"),
];
const SHORT: &[(&str, &str)] = &[("x-courseshunt-deadline-ms", "700")];

const CASES: &[Case] = &[
    (
        "dies amid it",
        &[RunnerFault::Die(FaultPoint::AfterTokens(3))],
        &[],
        "done",
        "done",
        2,
    ),
    (
        "dies amid it, once",
        &[RunnerFault::Die(FaultPoint::AfterTokens(3))],
        ONCE,
        "unknown",
        "unknown",
        1,
    ),
    (
        "draining, once",
        &[RunnerFault::Refuse("draining")],
        ONCE_TOO,
        "done",
        "done",
        1,
    ),
    (
        "too late",
        &[RunnerFault::Late(Millis(60_000))],
        SHORT,
        "deadline_missed",
        "unknown",
        1,
    ),
];

#[test]
fn every_accepted_job_ends_visibly() {
    let bench = Bench::start(2);
    for (name, faults, headers, state, outcome, executions) in CASES {
        bench.plan(faults);
        let job = id(&submit(&bench, name, headers));
        let view = ended(&bench, 1, &job);
        assert_eq!(view["state"], *state, "{name}: {view}");
        assert_eq!(view["outcome"], *outcome, "{name}: {view}");
        assert_eq!(
            bench.executions(&format!("\"{name}\"")),
            *executions,
            "{name}"
        );
        if faults
            .iter()
            .any(|fault| matches!(fault, RunnerFault::Die(_)))
        {
            bench.revive();
        }
    }
}

#[test]
fn a_lost_executor_loses_no_job() {
    let mut bench = Bench::start(2);
    bench.plan(&[
        RunnerFault::Late(Millis(120_000)),
        RunnerFault::Late(Millis(120_000)),
    ]);
    let job = id(&submit(&bench, "lost", &[]));
    let once = id(&submit(&bench, "lost for good", ONCE));
    bench.wait_for("both executions", || bench.executions("lost") == 2);
    let leased = |bench: &Bench, number: usize| bench.router(number).jobs.running() > 0;
    let executor = usize::from(!leased(&bench, 0));
    let other = 1 - executor;
    bench.kill_router(executor);
    let view = ended(&bench, other, &job);
    assert_eq!(view["state"], "done", "{view}");
    assert_eq!(text(&view), expected_text("lost", TOKENS));
    let view = ended(&bench, other, &once);
    assert_eq!(view["state"], "unknown", "{view}");
    assert_eq!(bench.executions("lost for good"), 1);
}
