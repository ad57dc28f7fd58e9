//! The table of the suite.

use crate::error::LabError;
use crate::fleet::FleetReport;
use std::collections::BTreeMap;

/// Violations that the text shows for each case.
const SHOWN: usize = 3;

/// What came of one case.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct CaseResult {
    /// Its name.
    pub name: String,
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub answered: u64,
    /// Refusals and explicit unknowns.
    pub refused: u64,
    /// Refusals by code and outcome.
    pub refusals: BTreeMap<String, u64>,
    /// Requests without a word for their caller.
    pub lost: usize,
    /// Once-only requests that ran more than once.
    pub doubled: usize,
    /// Requests that ended well after their deadline.
    pub late: usize,
    /// Longest time between two answers around the faults, in milliseconds.
    pub longest_gap_ms: u64,
    /// Promises that did not hold, or why the case could not run.
    pub violations: Vec<String>,
}

/// All cases.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct SuiteReport {
    /// Name of the scenario.
    pub scenario: String,
    /// The cases.
    pub results: Vec<CaseResult>,
}

impl CaseResult {
    /// The result of a fleet's run.
    #[must_use]
    pub fn of(name: &str, report: &FleetReport) -> Self {
        let gaps = report.faults.iter().map(|gap| gap.longest_gap_ms);
        let violations = report.violations.iter();
        Self {
            name: name.to_owned(),
            sent: report.load.planned,
            answered: report.load.count_of("answered"),
            refused: report.load.count_of("refused") + report.load.count_of("stream-error"),
            refusals: report.load.refusals.clone(),
            lost: report.lost,
            doubled: report.doubled,
            late: report.late,
            longest_gap_ms: gaps.max().unwrap_or(report.load.longest_gap_ms),
            violations: violations
                .map(|one| format!("{}: {}", one.check, one.message))
                .collect(),
        }
    }

    /// A case whose fleet could not run.
    #[must_use]
    pub fn not_run(name: &str, error: &LabError) -> Self {
        Self {
            name: name.to_owned(),
            sent: 0,
            answered: 0,
            refused: 0,
            refusals: BTreeMap::new(),
            lost: 0,
            doubled: 0,
            late: 0,
            longest_gap_ms: 0,
            violations: vec![format!("not run: {error}")],
        }
    }

    /// Whether every promise held.
    #[must_use]
    pub fn survived(&self) -> bool {
        self.violations.is_empty()
    }

    /// One line of the table.
    #[must_use]
    pub fn line(&self) -> String {
        format!(
            "{:<48}{:>6}{:>9}{:>8}{:>5}{:>8}{:>6}{:>9}  {}",
            self.name,
            self.sent,
            self.answered,
            self.refused,
            self.lost,
            self.doubled,
            self.late,
            self.longest_gap_ms,
            if self.survived() {
                "survived"
            } else {
                "FAILED"
            }
        )
    }
}

impl SuiteReport {
    /// Cases in which every promise held.
    #[must_use]
    pub fn survived(&self) -> usize {
        self.results.iter().filter(|one| one.survived()).count()
    }

    /// The table.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = format!(
            "scenario {}\n{:<48}{:>6}{:>9}{:>8}{:>5}{:>8}{:>6}{:>9}\n",
            self.scenario,
            "faults",
            "sent",
            "answered",
            "refused",
            "lost",
            "doubled",
            "late",
            "gap ms"
        );
        for result in &self.results {
            text.push_str(&result.line());
            text.push('\n');
            for violation in result.violations.iter().take(SHOWN) {
                text.push_str(&format!("    {violation}\n"));
            }
        }
        let sent: u64 = self.results.iter().map(|one| one.sent).sum();
        let lost: usize = self.results.iter().map(|one| one.lost).sum();
        let doubled: usize = self.results.iter().map(|one| one.doubled).sum();
        text.push_str(&format!(
            "survived {} of {}, requests sent {sent}, lost {lost}, doubled {doubled}\n",
            self.survived(),
            self.results.len()
        ));
        text
    }
}
