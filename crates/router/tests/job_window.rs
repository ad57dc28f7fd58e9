//! When deferred jobs begin: one load serves many.

use courseshunt_router::jobs::{JobBoard, WaitingJob, is_due};
use courseshunt_types::{Millis, PriorityClass, Timestamp};
use courseshunt_wire::message::QueuedJob;

const HOUR: u64 = 3_600_000;

fn job(name: &str, since: u64, deadline: u64) -> WaitingJob {
    WaitingJob {
        job: name.into(),
        deployment: "planificador".into(),
        since: Timestamp::at(since),
        deadline: Timestamp::at(deadline),
    }
}

#[test]
fn jobs_wait_for_their_window_unless_a_deadline_or_a_loaded_model_calls() {
    let window = Millis(HOUR);
    let load = Millis(30_000);
    let young = || job("young", 10 * HOUR, 20 * HOUR);
    let cases = [
        ("young", vec![young()], false, false),
        ("loaded anyway", vec![young()], true, true),
        (
            "the oldest waited long",
            vec![young(), job("old", 9 * HOUR, 20 * HOUR)],
            false,
            true,
        ),
        (
            "a deadline comes near",
            vec![young(), job("urgent", 10 * HOUR, 10 * HOUR + 39_000)],
            false,
            true,
        ),
        ("nothing waits, nothing loaded", vec![], false, false),
    ];
    for (name, jobs, is_loaded, expected) in cases {
        let now = Timestamp::at(10 * HOUR);
        assert_eq!(
            is_due(&jobs, is_loaded, window, load, now),
            expected,
            "{name}"
        );
    }
}

#[test]
fn a_job_that_goes_back_rests_a_while() {
    let board = JobBoard::default();
    let queued = |name: &str| QueuedJob {
        job: name.into(),
        deployment: "planificador".into(),
        class: PriorityClass::Batch,
        waited: Millis(0),
        deadline_in: Millis(HOUR),
    };
    board.set(vec![queued("a"), queued("b")], Timestamp(0));
    let waiting = |now: u64| {
        let groups = board.waiting(Timestamp::at(now));
        groups
            .values()
            .flatten()
            .map(|job| job.job.to_string())
            .collect::<Vec<_>>()
    };
    board.begin(&"a".into());
    assert_eq!(waiting(0), ["b"]);
    board.end(&"a".into(), true, Timestamp(0));
    assert_eq!(waiting(999), ["b"]);
    assert_eq!(waiting(1_000), ["a", "b"]);
    board.begin(&"a".into());
    board.end(&"a".into(), true, Timestamp(1_000));
    assert_eq!(waiting(2_999), ["b"]);
    board.begin(&"b".into());
    board.end(&"b".into(), false, Timestamp(3_000));
    assert_eq!(waiting(3_000), ["a"]);
    assert_eq!(board.running(), 0);
}

/// A router that has just started is told of jobs that were accepted before: their window goes
/// on, it does not begin anew.
#[test]
fn a_job_that_waited_before_the_routers_start_is_due_all_the_same() {
    let board = JobBoard::default();
    let now = Timestamp::default() + Millis(5_000);
    let queued = QueuedJob {
        job: "old".into(),
        deployment: "planificador".into(),
        class: PriorityClass::Batch,
        waited: Millis(2 * HOUR),
        deadline_in: Millis(10 * HOUR),
    };
    board.set(vec![queued], now);
    for jobs in board.waiting(now).values() {
        assert!(is_due(jobs, false, Millis(HOUR), Millis(30_000), now));
    }
    assert_eq!(board.waiting(now).len(), 1);
}
