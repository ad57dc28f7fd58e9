//! Each checker of the fleet fails on a made-up bad history, and passes the
//! good one next to it.

use courseshunt_lab::fleet::check::{Violation, check};
use courseshunt_lab::fleet::history::{
    AcceptedChange, FaultSpan, History, LeavingRunner, LoadedSample, RouterSample, RunnerExecution,
    RunnerSample,
};
use courseshunt_lab::load::{PlannedRequest, RequestForm, RequestRecord, RequestResult, messages};
use courseshunt_types::{Outcome, PriorityClass};
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn record(form: RequestForm, result: RequestResult) -> RequestRecord {
    let request = PlannedRequest {
        number: 7,
        at: ms(1000),
        model: "m".to_owned(),
        class: PriorityClass::Critical,
        form,
        key: "k".to_owned(),
        prompt: "p".to_owned(),
        max_tokens: 1,
        deadline: ms(1000),
    };
    RequestRecord {
        router: "router-1".to_owned(),
        ended_at: ms(1500),
        result,
        ..RequestRecord::not_sent(request)
    }
}

fn refused(outcome: Outcome) -> RequestResult {
    RequestResult::Refused {
        status: 503,
        code: "c".to_owned(),
        outcome,
    }
}

fn broken() -> RequestResult {
    RequestResult::Broken {
        problem: "reset".to_owned(),
    }
}

fn not_connected() -> RequestResult {
    RequestResult::NotConnected {
        problem: "refused".to_owned(),
    }
}

fn execution(request: &str) -> RunnerExecution {
    RunnerExecution {
        runner: "runner-1".to_owned(),
        request: request.to_owned(),
        attempt: 1,
        prompt: messages("p").to_string(),
    }
}

fn fault(kind: &str, node: &str) -> FaultSpan {
    FaultSpan {
        kind: kind.to_owned(),
        nodes: vec![node.to_owned()],
        from: ms(1100),
        until: ms(1400),
    }
}

fn requests(records: Vec<RequestRecord>, executions: Vec<RunnerExecution>) -> History {
    History {
        records,
        executions,
        ..History::default()
    }
}

fn with_fault(result: RequestResult, kind: &str, node: &str) -> History {
    History {
        records: vec![record(RequestForm::Whole, result)],
        faults: vec![fault(kind, node)],
        ..History::default()
    }
}

fn router(at: u64, incarnation: u64, revision: u64) -> RouterSample {
    RouterSample {
        at: ms(at),
        router: "router-1".to_owned(),
        incarnation,
        synced: true,
        revision,
    }
}

fn routers(samples: Vec<RouterSample>) -> History {
    let changes = [(1, 1000), (2, 2000)].map(|(revision, at)| AcceptedChange {
        at: ms(at),
        revision,
    });
    History {
        routers: samples,
        changes: changes.to_vec(),
        ..History::default()
    }
}

fn runner(look: u64, runner: &str, memory_mib: u64, decided: Option<bool>) -> RunnerSample {
    RunnerSample {
        look,
        at: ms(look * 200),
        runner: runner.to_owned(),
        memory_mib: 100,
        loaded: vec![LoadedSample {
            deployment: "m".into(),
            memory_mib,
            unloading: false,
            decided,
        }],
        executions: None,
    }
}

fn runners(samples: Vec<RunnerSample>) -> History {
    History {
        runners: samples,
        max_replicas: [("m".into(), 1)].into(),
        ..History::default()
    }
}

fn leaving(counts: [usize; 3]) -> History {
    let samples = (1..).zip(counts).map(|(second, count)| RunnerSample {
        executions: Some(count),
        ..runner(second * 10, "runner-1", 50, Some(true))
    });
    History {
        leaving: vec![LeavingRunner {
            runner: "runner-1".to_owned(),
            listed_at: ms(500),
            until: None,
        }],
        ..runners(samples.collect())
    }
}

fn found(history: &History) -> Vec<&'static str> {
    let violations: Vec<Violation> = check(history);
    let mut names: Vec<&str> = violations.iter().map(|one| one.check).collect();
    names.dedup();
    names
}

#[test]
fn each_checker_tells_bad_histories_from_good_ones() {
    let whole = RequestForm::Whole;
    let once = RequestForm::OnceOnly;
    let answered = RequestResult::Answered;
    let wrong = RequestResult::Wrong {
        problem: "not its own".to_owned(),
    };
    let twice = vec![execution("a"), execution("b")];
    let undecided = |looks: u64| (1..=looks).map(|look| runner(look, "runner-1", 50, Some(false)));
    let cases: Vec<(&str, History, &[&str])> = vec![
        (
            "answered",
            requests(vec![record(whole, answered.clone())], vec![]),
            &[],
        ),
        (
            "silent",
            requests(vec![record(whole, RequestResult::Silent)], vec![]),
            &["accounted"],
        ),
        (
            "not its own",
            requests(vec![record(whole, wrong)], vec![]),
            &["accounted"],
        ),
        (
            "broken without a fault",
            requests(vec![record(whole, broken())], vec![]),
            &["accounted"],
        ),
        (
            "broken by a crash",
            with_fault(broken(), "crash", "router-1"),
            &[],
        ),
        (
            "broken, another crashed",
            with_fault(broken(), "crash", "router-2"),
            &["accounted"],
        ),
        (
            "broken by a planned stop",
            with_fault(broken(), "planned-restart", "router-1"),
            &["accounted"],
        ),
        (
            "not taken in a planned stop",
            with_fault(not_connected(), "planned-restart", "router-1"),
            &[],
        ),
        (
            "unknown without a fault",
            requests(vec![record(whole, refused(Outcome::Unknown))], vec![]),
            &["accounted"],
        ),
        (
            "unknown in a planned stop",
            with_fault(refused(Outcome::Unknown), "planned-restart", "router-1"),
            &["accounted"],
        ),
        (
            "unknown after a crash",
            with_fault(refused(Outcome::Unknown), "crash", "runner-1"),
            &[],
        ),
        (
            "repeated",
            requests(vec![record(whole, answered.clone())], twice.clone()),
            &[],
        ),
        (
            "doubled",
            requests(vec![record(once, answered.clone())], twice),
            &["once-only"],
        ),
        (
            "false not-run",
            requests(
                vec![record(whole, refused(Outcome::NotRun))],
                vec![execution("a")],
            ),
            &["not-run"],
        ),
        (
            "not run after a broken sending",
            requests(
                vec![RequestRecord {
                    earlier: vec![broken()],
                    ..record(whole, refused(Outcome::NotRun))
                }],
                vec![execution("a")],
            ),
            &[],
        ),
        (
            "memory kept",
            runners(vec![runner(1, "runner-1", 100, Some(true))]),
            &[],
        ),
        (
            "overcommitted",
            runners(vec![runner(1, "runner-1", 101, Some(true))]),
            &["memory"],
        ),
        (
            "two replicas at once",
            runners(vec![
                runner(1, "runner-1", 50, Some(true)),
                runner(1, "runner-2", 50, Some(true)),
            ]),
            &["replicas"],
        ),
        (
            "one replica that moved",
            runners(vec![
                runner(1, "runner-1", 50, Some(true)),
                runner(2, "runner-2", 50, Some(true)),
            ]),
            &[],
        ),
        (
            "undecided for a moment",
            runners(undecided(3).collect()),
            &[],
        ),
        ("undecided", runners(undecided(20).collect()), &["replicas"]),
        ("leaving, work within the limit", leaving([3, 8, 8]), &[]),
        (
            "leaving, work after the limit",
            leaving([3, 8, 9]),
            &["leaving"],
        ),
        (
            "revision grows",
            routers(vec![router(1, 1, 1), router(2, 1, 2)]),
            &[],
        ),
        (
            "revision falls",
            routers(vec![router(1, 1, 2), router(2, 1, 1)]),
            &["revision"],
        ),
        (
            "started again with an old revision",
            routers(vec![router(2500, 1, 2), router(3000, 2, 1)]),
            &["revision"],
        ),
        (
            "not in force after 16 s",
            routers(vec![router(18_500, 1, 1)]),
            &["in-force"],
        ),
    ];
    for (name, history, expected) in cases {
        assert_eq!(found(&history), expected, "{name}: {:?}", check(&history));
    }
}
