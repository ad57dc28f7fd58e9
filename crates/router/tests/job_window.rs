//! When deferred jobs start: they wait for a batch window, so that one model load
//! serves many jobs.

use courseshunt_router::jobs::{JobTracker, WaitingJob, is_due};
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
fn jobs_wait_for_their_window_unless_a_deadline_is_near_or_the_model_is_loaded() {
    let window = Millis(HOUR);
    let load = Millis(30_000);
    let recent = || job("recent", 10 * HOUR, 20 * HOUR);
    let cases = [
        ("recent", vec![recent()], false, false),
        ("model already loaded", vec![recent()], true, true),
        (
            "the oldest has waited for the window",
            vec![recent(), job("old", 9 * HOUR, 20 * HOUR)],
            false,
            true,
        ),
        (
            "a deadline is near",
            vec![recent(), job("urgent", 10 * HOUR, 10 * HOUR + 39_000)],
            false,
            true,
        ),
        ("no jobs and no loaded model", vec![], false, false),
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
fn requeued_job_is_in_backoff() {
    let tracker = JobTracker::default();
    let queued = |name: &str| QueuedJob {
        job: name.into(),
        deployment: "planificador".into(),
        class: PriorityClass::Batch,
        waited: Millis(0),
        deadline_in: Millis(HOUR),
    };
    tracker.set(vec![queued("a"), queued("b")], Timestamp(0));
    let waiting = |now: u64| {
        let groups = tracker.waiting(Timestamp::at(now));
        groups
            .values()
            .flatten()
            .map(|job| job.job.to_string())
            .collect::<Vec<_>>()
    };
    tracker.begin(&"a".into());
    assert_eq!(waiting(0), ["b"]);
    tracker.end(&"a".into(), true, Timestamp(0));
    assert_eq!(waiting(999), ["b"]);
    assert_eq!(waiting(1_000), ["a", "b"]);
    tracker.begin(&"a".into());
    tracker.end(&"a".into(), true, Timestamp(1_000));
    assert_eq!(waiting(2_999), ["b"]);
    tracker.begin(&"b".into());
    tracker.end(&"b".into(), false, Timestamp(3_000));
    assert_eq!(waiting(3_000), ["a"]);
    assert_eq!(tracker.running(), 0);
}

/// The window of a job starts when the job is accepted. A router that starts later must not
/// restart the window when it receives the job.
#[test]
fn window_counts_time_before_the_router_start() {
    let tracker = JobTracker::default();
    let now = Timestamp::default() + Millis(5_000);
    let queued = QueuedJob {
        job: "old".into(),
        deployment: "planificador".into(),
        class: PriorityClass::Batch,
        waited: Millis(2 * HOUR),
        deadline_in: Millis(10 * HOUR),
    };
    tracker.set(vec![queued], now);
    for jobs in tracker.waiting(now).values() {
        assert!(is_due(jobs, false, Millis(HOUR), Millis(30_000), now));
    }
    assert_eq!(tracker.waiting(now).len(), 1);
}
