//! The capacity measurement: its arithmetic, and one small run of it.

use courseshunt_lab::capacity::fit::{Fit, Point};
use courseshunt_lab::capacity::site::FleetSize;
use courseshunt_lab::capacity::usage::{cpu_microseconds, nanoseconds_on_cpu};
use courseshunt_lab::capacity::{CapacitySettings, documents, run, table};
use std::time::Duration;

fn point(routers: f64, runners: f64, value: f64) -> Point {
    Point {
        sizes: vec![1.0, routers, runners],
        value,
    }
}

#[test]
fn an_exact_plane_is_found_without_spread() {
    let value = |routers: f64, runners: f64| 3.0 + 0.5 * routers + 0.25 * runners;
    let sizes = [
        (10.0, 10.0),
        (10.0, 90.0),
        (80.0, 20.0),
        (80.0, 90.0),
        (40.0, 50.0),
    ];
    let points = sizes.map(|(routers, runners)| point(routers, runners, value(routers, runners)));
    let fit = Fit::of(&points).unwrap();
    for (coefficient, expected) in fit.coefficients.iter().zip([3.0, 0.5, 0.25]) {
        assert!((coefficient.value - expected).abs() < 1e-9, "{fit:?}");
        assert!(coefficient.error < 1e-6, "{fit:?}");
    }
    assert!((fit.at(&[1.0, 340.0, 830.0]) - value(340.0, 830.0)).abs() < 1e-6);
}

#[test]
fn the_spread_is_the_textbook_one() {
    // y = 2x with residuals +1, -1, -1, +1 at x = 0, 1, 2, 3: slope 2 and
    // standard error sqrt(4 / 2 / 5).
    let points = [(0.0, 1.0), (1.0, 1.0), (2.0, 3.0), (3.0, 7.0)];
    let points = points.map(|(x, y)| Point {
        sizes: vec![1.0, x],
        value: y,
    });
    let slope = Fit::of(&points).unwrap().coefficients[1];
    assert!((slope.value - 2.0).abs() < 1e-9, "{slope:?}");
    assert!((slope.error - 0.4_f64.sqrt()).abs() < 1e-9, "{slope:?}");
}

#[test]
fn what_can_not_be_told_apart_is_not_fitted() {
    let along_a_line = [1.0, 2.0, 3.0, 4.0].map(|size| point(size, size * 2.0, size));
    assert_eq!(Fit::of(&along_a_line), None);
    assert_eq!(Fit::of(&along_a_line[..2]), None, "too few points");
    assert_eq!(Fit::of(&[]), None);
}

#[test]
fn processor_time_is_told_by_the_kernel() {
    assert_eq!(nanoseconds_on_cpu("1234 5 6\n"), 1234);
    assert_eq!(nanoseconds_on_cpu(""), 0);
    let worker = std::thread::Builder::new().name("busy-test".to_owned());
    let (done, wait) = std::sync::mpsc::channel::<()>();
    let (busy, ready) = std::sync::mpsc::channel();
    let worker = worker.spawn(move || {
        let sum: u64 = (0..30_000_000_u64)
            .map(|number| number ^ (number >> 3))
            .sum();
        busy.send(sum).unwrap();
        let _ = wait.recv();
    });
    let worker = worker.unwrap();
    ready.recv().unwrap();
    assert!(cpu_microseconds("busy-test") > 0.0);
    assert_eq!(cpu_microseconds("no-such-thread"), 0.0);
    drop(done);
    worker.join().unwrap();
}

#[test]
fn the_configuration_has_the_design_size() {
    let change = documents::whole_configuration().unwrap();
    let adapters = change.deployments.iter().map(|one| one.adapters.len());
    assert_eq!(change.deployments.len(), 97);
    assert_eq!(adapters.sum::<usize>(), 2_900);
}

#[test]
fn only_the_part_between_the_marks_is_replaced() {
    let page = "head\n<!-- measured: begin -->\nold\n<!-- measured: end -->\ntail\n";
    let replaced = table::replace(page, "new").unwrap();
    assert_eq!(
        replaced,
        "head\n<!-- measured: begin -->\n\nnew\n<!-- measured: end -->\ntail\n"
    );
    assert_eq!(table::replace("no marks", "new"), None);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_small_run_counts_every_role() {
    let settings = CapacitySettings {
        sizes: vec![FleetSize {
            controllers: 1,
            routers: 4,
            runners: 3,
        }],
        idle: Duration::from_secs(2),
        changes: 3,
        loads: 3,
    };
    let report = run(&settings).await.unwrap().remove(0);
    assert!(report.idle.leader_cpu_ms > 0.0, "{report:?}");
    assert!(
        report.idle.feed.messages >= 4.0,
        "confirmations: {report:?}"
    );
    assert!(report.idle.reports.messages >= 4.0, "{report:?}");
    assert!(
        report.idle.runners.messages >= 1.0,
        "inventories: {report:?}"
    );
    assert!(report.changes.feed.bytes > 0.0, "{report:?}");
    assert!(report.loads.feed.bytes > 0.0, "{report:?}");
    let text = table::render(&[report], None);
    assert!(text.contains("| 1 | 4 | 3 |"), "{text}");
}
