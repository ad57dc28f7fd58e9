//! Faults of runners, against a real router: each caller gets the whole answer
//! to its own request or the truth about it.

mod bench;

use bench::{Bench, TOKENS, body, expected_text};
use courseshunt_router::attempt::Count;
use courseshunt_standin::server::{ExecutionEnd, FaultPoint, RunnerFault};
use courseshunt_types::Millis;
use hyper::Method;
use std::sync::Mutex;

use FaultPoint::*;
use RunnerFault::*;

/// Name, fault of the first attempt, whether streamed, outcome, executions, and
/// the count that must grow.
type Case = (
    &'static str,
    RunnerFault,
    bool,
    &'static str,
    usize,
    Option<Count>,
);

const CASES: &[Case] = &[
    ("no fault", None, false, "done", 1, Option::None),
    ("no fault, stream", None, true, "done", 1, Option::None),
    (
        "dies before admission",
        Die(BeforeAdmission),
        false,
        "done",
        1,
        Some(Count::Retry),
    ),
    (
        "dies after admission",
        Die(AfterAdmission),
        false,
        "done",
        2,
        Some(Count::Retry),
    ),
    (
        "dies after admission, stream",
        Die(AfterAdmission),
        true,
        "done",
        2,
        Some(Count::Retry),
    ),
    (
        "dies amid a whole answer",
        Die(AfterTokens(3)),
        false,
        "done",
        2,
        Some(Count::Retry),
    ),
    (
        "dies mid-stream",
        Die(AfterTokens(3)),
        true,
        "unknown",
        1,
        Some(Count::Truncated),
    ),
    (
        "dies before the first token",
        Die(AfterTokens(0)),
        true,
        "done",
        2,
        Some(Count::Retry),
    ),
    (
        "reset before admission",
        Reset(BeforeAdmission),
        false,
        "done",
        1,
        Some(Count::Retry),
    ),
    (
        "reset after admission",
        Reset(AfterAdmission),
        false,
        "done",
        1,
        Some(Count::Resumed),
    ),
    (
        "reset after admission, stream",
        Reset(AfterAdmission),
        true,
        "done",
        1,
        Some(Count::Resumed),
    ),
    (
        "reset amid a whole answer",
        Reset(AfterTokens(3)),
        false,
        "done",
        1,
        Some(Count::Resumed),
    ),
    (
        "reset mid-stream",
        Reset(AfterTokens(3)),
        true,
        "done",
        1,
        Some(Count::Resumed),
    ),
    (
        "cut short",
        CutShort { tokens: 3 },
        false,
        "done",
        1,
        Some(Count::Truncated),
    ),
    (
        "cut short, stream",
        CutShort { tokens: 3 },
        true,
        "done",
        1,
        Some(Count::Resumed),
    ),
    (
        "cut before the end event",
        CutShort { tokens: TOKENS },
        true,
        "done",
        1,
        Option::None,
    ),
    (
        "cut short and forgotten",
        CutShortAndForget { tokens: 3 },
        false,
        "done",
        2,
        Some(Count::Retry),
    ),
    (
        "cut short and forgotten, stream",
        CutShortAndForget { tokens: 3 },
        true,
        "unknown",
        1,
        Some(Count::Truncated),
    ),
    (
        "forgotten before the first token",
        CutShortAndForget { tokens: 0 },
        true,
        "done",
        2,
        Some(Count::Retry),
    ),
    (
        "doubled events",
        Doubled,
        true,
        "done",
        1,
        Some(Count::Duplicate),
    ),
    (
        "crossed answer",
        Crossed,
        false,
        "done",
        1,
        Some(Count::Mismatched),
    ),
    (
        "crossed events",
        Crossed,
        true,
        "done",
        1,
        Some(Count::Mismatched),
    ),
    (
        "head of another request",
        WrongRequest,
        false,
        "done",
        1,
        Some(Count::Mismatched),
    ),
    (
        "head of another request, stream",
        WrongRequest,
        true,
        "done",
        1,
        Some(Count::Mismatched),
    ),
    (
        "head of an earlier attempt",
        WrongAttempt,
        true,
        "done",
        1,
        Some(Count::Late),
    ),
    ("late", Late(Millis(200)), false, "done", 1, Option::None),
    (
        "error without a word",
        Error,
        false,
        "done",
        1,
        Some(Count::Resumed),
    ),
    (
        "status over 599",
        Status(600),
        false,
        "done",
        1,
        Some(Count::Resumed),
    ),
    (
        "status over 599, stream",
        Status(999),
        true,
        "done",
        1,
        Some(Count::Resumed),
    ),
    (
        "change of protocol",
        Status(101),
        false,
        "done",
        1,
        Some(Count::Resumed),
    ),
    (
        "change of protocol, stream",
        Status(101),
        true,
        "done",
        1,
        Some(Count::Resumed),
    ),
    (
        "refuses: draining",
        Refuse("draining"),
        false,
        "done",
        1,
        Option::None,
    ),
    (
        "refuses: not loaded",
        Refuse("not_loaded"),
        true,
        "done",
        1,
        Option::None,
    ),
    (
        "refuses: full",
        Refuse("full"),
        false,
        "done",
        1,
        Some(Count::Retry),
    ),
    (
        "refuses: asks for rest",
        AskRest(Millis(300)),
        false,
        "done",
        1,
        Some(Count::Retry),
    ),
    ("hangs", Hang, false, "done", 1, Some(Count::Retry)),
];

/// The access log's lines.
static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct AccessLog;

impl log::Log for AccessLog {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let line = record.args().to_string();
        if line.starts_with("access: ") {
            LINES.lock().unwrap().push(line);
        }
    }

    fn flush(&self) {}
}

/// Lines whose fields are `fields`, among those of requests of `class`.
fn access_lines(class: &str, fields: &[&str]) -> usize {
    let lines = LINES.lock().unwrap();
    let class = format!(" class={class} ");
    let own = lines.iter().filter(|line| line.contains(&class));
    own.filter(|line| fields.iter().all(|field| line.contains(field)))
        .count()
}

#[test]
fn each_request_has_one_access_line() {
    let _ = log::set_logger(&AccessLog).map(|()| log::set_max_level(log::LevelFilter::Info));
    let bench = Bench::start(1);
    let critical = [("x-courseshunt-class", "critical")];
    let call = |stream| bench.run(bench.complete(0, "logged", stream, &critical));
    call(false);
    call(true);
    bench.plan(&[Refuse("draining")]);
    call(false);
    bench.plan(&[Refuse("full"), Refuse("full"), Refuse("full")]);
    call(false);
    bench.wait_for("four lines", || access_lines("critical", &[]) == 4);
    let done = [
        "access: id=req-",
        " tenant=souss deployment=climate-ctl-vents runner=runner-",
        " outcome=done result=answered wait_ms=",
    ];
    assert_eq!(access_lines("critical", &done), 3);
    assert_eq!(access_lines("critical", &[" attempts=1 outcome=done "]), 2);
    assert_eq!(access_lines("critical", &[" attempts=2 outcome=done "]), 1);
    let refused = " attempts=3 outcome=not-run result=runner_failed ";
    assert_eq!(access_lines("critical", &[refused, " first_ms=- "]), 1);
}

#[test]
fn a_request_whose_caller_left_ends_at_the_runner() {
    let bench = Bench::start(1);
    for stream in [false, true] {
        let prompt = format!("left, streamed: {stream}");
        let body = body(&prompt, stream, 100_000);
        let path = "/v1/chat/completions";
        let work = bench.spawn(bench.call(0, Method::POST, path, &[], body));
        bench.wait_for("the execution", || bench.executions(&prompt) == 1);
        work.abort();
        bench.wait_for("its end at the runner", || {
            let all = bench.runners.iter().flat_map(|runner| runner.executions());
            let mut own = all.filter(|one| one.prompt.contains(&prompt));
            own.any(|one| one.end == ExecutionEnd::Cancelled)
        });
    }
    assert_eq!(bench.router(0).counts.get(Count::Cancelled), 2);
}

#[test]
fn each_caller_gets_its_whole_answer_or_the_truth() {
    let bench = Bench::start(1);
    for (name, fault, stream, outcome, executions, count) in CASES {
        let counts = &bench.router(0).counts;
        let before = count.map(|count| counts.get(count));
        bench.plan(&[*fault]);
        let answer = bench.run(bench.complete(0, name, *stream, &[]));
        assert_eq!(answer.outcome(), *outcome, "{name}: {answer:?}");
        let text = expected_text(name, TOKENS);
        match *outcome {
            "done" => assert_eq!(answer.text(), text, "{name}: {answer:?}"),
            _ => assert!(text.starts_with(&answer.text()), "{name}: {answer:?}"),
        }
        assert_eq!(
            bench.executions(&format!("\"{name}\"")),
            *executions,
            "{name}"
        );
        let after = count.map(|count| counts.get(count));
        assert!(count.is_none() || after > before, "{name}: {count:?}");
        if matches!(fault, Die(_)) {
            bench.revive();
        }
    }
    let page = bench.run(bench.call(0, hyper::Method::GET, "/metrics", &[], String::new()));
    for line in [
        "courseshunt_attempts_total{event=\"crossed\"}",
        "courseshunt_retry_budget ",
    ] {
        assert!(
            page.body.contains(line),
            "{line} is missing:\n{}",
            page.body
        );
    }
}
