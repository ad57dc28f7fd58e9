//! Faults of runners, against a real router: each caller gets the whole answer
//! to its own request or the truth about it.

mod bench;

use bench::{Bench, TOKENS, expected_text};
use courseshunt_router::attempt::Count;
use courseshunt_standin::server::{FaultPoint, RunnerFault};
use courseshunt_types::Millis;

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
        Some(Count::CutShort),
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
        Some(Count::CutShort),
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
        Some(Count::CutShort),
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
        Some(Count::Doubled),
    ),
    (
        "crossed answer",
        Crossed,
        false,
        "done",
        1,
        Some(Count::Crossed),
    ),
    (
        "crossed events",
        Crossed,
        true,
        "done",
        1,
        Some(Count::Crossed),
    ),
    (
        "head of another request",
        WrongRequest,
        false,
        "done",
        1,
        Some(Count::Crossed),
    ),
    (
        "head of another request, stream",
        WrongRequest,
        true,
        "done",
        1,
        Some(Count::Crossed),
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
    ("hangs", Hang, false, "done", 1, Some(Count::Retry)),
];

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
