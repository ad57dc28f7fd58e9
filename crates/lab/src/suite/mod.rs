//! The fault suite: each failure alone, each pair of them, and a rolling planned
//! restart of every node, all under load.

mod catalogue;
mod report;

pub use catalogue::{SuiteCase, cases, pairs, rolling_restart, single};
pub use report::{CaseResult, SuiteReport};

use crate::error::LabError;
use crate::fleet::{FleetSettings, FleetShape, run as run_fleet};
use courseshunt_standin::scenario::Scenario;
use std::time::Duration;

/// What to run.
#[derive(Debug, Clone)]
pub struct SuiteSettings {
    /// Site, models and callers.
    pub scenario: Scenario,
    /// Factor on routers, runners, models and adapters.
    pub scale: f64,
    /// Length of the load of each case (the rolling restart takes longer).
    pub length: Duration,
    /// Requests per second.
    pub rate_per_second: f64,
    /// Longest deadline of a request.
    pub max_deadline: Duration,
    /// Seed.
    pub seed: u64,
    /// Whether the pairs run too.
    pub pairs: bool,
    /// Only cases whose name holds this text.
    pub only: Option<String>,
}

/// Runs all cases one after the other and prints a line for each on standard
/// error.
///
/// # Errors
/// When a fleet can't start; broken promises are in the report.
pub async fn run(settings: &SuiteSettings) -> Result<SuiteReport, LabError> {
    let shape = FleetShape::of(&settings.scenario, settings.scale);
    let mut selected = cases(&shape, settings.length, settings.pairs);
    if let Some(only) = &settings.only {
        selected.retain(|case| case.name.contains(only.as_str()));
    }
    let mut results = Vec::new();
    for case in selected {
        let result = run_case(settings, &case).await;
        eprintln!("suite: {}", result.line());
        results.push(result);
    }
    let scenario = settings.scenario.name.clone();
    Ok(SuiteReport { scenario, results })
}

/// Runs one case; a fleet that could not run counts as a failure.
async fn run_case(settings: &SuiteSettings, case: &SuiteCase) -> CaseResult {
    let fleet = FleetSettings {
        scenario: settings.scenario.clone(),
        faults: case.faults.clone(),
        length: case.length,
        scale: settings.scale,
        rate_per_second: settings.rate_per_second,
        max_deadline: settings.max_deadline,
        seed: settings.seed,
        progress: false,
    };
    match run_fleet(&fleet).await {
        Ok(report) => CaseResult::of(&case.name, &report),
        Err(error) => CaseResult::not_run(&case.name, &error),
    }
}
