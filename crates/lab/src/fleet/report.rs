//! The verdict of a run.

use super::FleetSettings;
use super::check::{Violation, check, repeated};
use super::history::{FaultSpan, History};
use crate::load::{LoadSummary, RequestRecord};
use std::time::Duration;

/// Violations of one kind that the text shows.
const SHOWN: usize = 10;

/// Beyond this time after its deadline a request counts as late.
const LATE: Duration = Duration::from_millis(500);

/// Longest time without an answer around a fault.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct FaultGap {
    /// The fault.
    pub fault: FaultSpan,
    /// The longest time between two successive answers that overlaps it, in
    /// milliseconds.
    pub longest_gap_ms: u64,
}

/// See the module.
#[derive(Debug, Clone, serde::Serialize)]
pub struct FleetReport {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed.
    pub seed: u64,
    /// The callers' view.
    pub load: LoadSummary,
    /// Executions that the runners logged.
    pub executions: usize,
    /// Requests that may be repeated and ran more than once.
    pub repeated: usize,
    /// Requests without an answer, a refusal or an explicit unknown.
    pub lost: usize,
    /// Once-only requests that ran more than once.
    pub doubled: usize,
    /// Requests that ended well after their deadline.
    pub late: usize,
    /// Faults, with the gap in service around each.
    pub faults: Vec<FaultGap>,
    /// Accepted changes of configuration.
    pub changes: usize,
    /// Looks at runners.
    pub looks: u64,
    /// Promises that did not hold.
    pub violations: Vec<Violation>,
}

impl FleetReport {
    /// Judges a history.
    #[must_use]
    pub fn of(settings: &FleetSettings, history: &History) -> Self {
        let violations = check(history);
        let count = |name: &str| violations.iter().filter(|one| one.check == name).count();
        Self {
            scenario: settings.scenario.name.clone(),
            seed: settings.seed,
            load: LoadSummary::of(&history.records),
            executions: history.executions.len(),
            repeated: repeated(history),
            lost: count("accounted"),
            doubled: count("once-only"),
            late: history.records.iter().filter(|one| is_late(one)).count(),
            faults: gaps(history),
            changes: history.changes.len(),
            looks: history
                .runners
                .iter()
                .map(|one| one.look)
                .max()
                .unwrap_or_default(),
            violations,
        }
    }

    /// The report for a terminal.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = format!(
            "scenario {}, seed {}\n{}",
            self.scenario,
            self.seed,
            self.load.text()
        );
        text.push_str(&format!(
            "executions {}, repeated {}, lost {}, doubled {}, late {}, changes {}, looks at runners {}\n",
            self.executions,
            self.repeated,
            self.lost,
            self.doubled,
            self.late,
            self.changes,
            self.looks
        ));
        for gap in &self.faults {
            text.push_str(&format!(
                "fault {} of {} from {} to {} ms: longest gap in service {} ms\n",
                gap.fault.kind,
                gap.fault.nodes.join(", "),
                gap.fault.from.as_millis(),
                gap.fault.until.as_millis(),
                gap.longest_gap_ms
            ));
        }
        for violation in self.violations.iter().take(SHOWN) {
            text.push_str(&format!(
                "VIOLATION {}: {}\n",
                violation.check, violation.message
            ));
        }
        text.push_str(&format!("{} violations\n", self.violations.len()));
        text
    }
}

/// Whether the answer or refusal came well after the deadline.
fn is_late(record: &RequestRecord) -> bool {
    record.total() > record.request.deadline + LATE
}

fn gaps(history: &History) -> Vec<FaultGap> {
    let answers = answer_times(&history.records);
    let faults = history.faults.iter();
    faults
        .map(|fault| FaultGap {
            fault: fault.clone(),
            longest_gap_ms: gap_during(&answers, fault).as_millis() as u64,
        })
        .collect()
}

/// Times of answers, in order, from the first planned request to the last one,
/// which count as answers: a service that never answers again has a gap.
fn answer_times(records: &[RequestRecord]) -> Vec<Duration> {
    let planned = || records.iter().map(|record| record.request.at);
    let first = planned().min().unwrap_or_default();
    let last = planned().max().unwrap_or_default();
    let answered = records.iter().filter(|record| record.is_answered());
    let within = answered.map(|record| record.ended_at);
    let within = within.filter(|at| *at < last);
    let mut times: Vec<Duration> = within.chain([first, last]).collect();
    times.sort();
    times
}

fn gap_during(answers: &[Duration], fault: &FaultSpan) -> Duration {
    let pairs = answers.windows(2);
    let during = pairs.filter(|pair| fault.overlaps(pair[0], pair[1]));
    let lengths = during.map(|pair| pair[1] - pair[0]);
    lengths.max().unwrap_or_default()
}
