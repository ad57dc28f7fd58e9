//! The reports as a Markdown table.

use super::PropagateReport;
use hdrhistogram::Histogram;
use std::fmt::Write;

const HEAD: &str = "\
| routers | accepted p50 / max (ms) | in force at all p50 / max (ms) | bytes to a router per change | bytes of an idle router per s | restart of all at once (ms) | bytes per sync |
|---|---|---|---|---|---|---|
";

/// The table, one row for each run.
#[must_use]
pub fn render(reports: &[PropagateReport]) -> String {
    let mut text = HEAD.to_owned();
    for report in reports {
        // Writing into a string does not fail.
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} | {} | {} |",
            report.routers,
            times(&report.accepted),
            times(&report.in_force),
            report.bytes_per_change,
            report.idle_bytes_per_second,
            report.restart_sync.as_millis(),
            report.bytes_per_sync,
        );
    }
    text
}

fn times(recorded: &Histogram<u64>) -> String {
    let millis = |micros: u64| micros as f64 / 1_000.0;
    let middle = millis(recorded.value_at_quantile(0.5));
    let longest = millis(recorded.max());
    format!("{middle:.1} / {longest:.1}")
}
