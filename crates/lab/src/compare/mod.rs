//! Policies against seeds and faults, side by side.

pub mod plot;
pub mod table;

use crate::callers::arrivals;
use crate::error::LabError;
use crate::simulate::{Report, SimulationSettings, bound, simulate, site};
use courseshunt_standin::faults::FaultSchedule;
use courseshunt_standin::scenario::Scenario;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// One run of a comparison.
#[derive(Debug, Clone)]
pub struct Case {
    /// Scenario.
    pub scenario: Scenario,
    /// Policy.
    pub policy: String,
    /// Seed.
    pub seed: u64,
    /// Name of the faults; empty for none.
    pub faults_name: String,
    /// Faults.
    pub faults: FaultSchedule,
}

/// A finished run.
#[derive(Debug, Clone)]
pub struct Run {
    /// Name of the faults; empty for none.
    pub faults_name: String,
    /// Its report.
    pub report: Report,
}

/// Runs all cases on `threads` threads; the results are in the cases' order.
///
/// # Errors
/// The first error of any case.
pub fn run_all(cases: &[Case], threads: usize) -> Result<Vec<Run>, LabError> {
    let next = AtomicUsize::new(0);
    let results: Vec<Mutex<Option<Result<Run, LabError>>>> =
        cases.iter().map(|_| Mutex::new(None)).collect();
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| work(cases, &next, &results));
        }
    });
    let results = results.into_iter().filter_map(|result| {
        let result = result.into_inner();
        result.unwrap_or_else(std::sync::PoisonError::into_inner)
    });
    results.collect()
}

fn work(cases: &[Case], next: &AtomicUsize, results: &[Mutex<Option<Result<Run, LabError>>>]) {
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        let Some(case) = cases.get(number) else {
            return;
        };
        let result = run(case);
        if let Ok(mut place) = results[number].lock() {
            *place = Some(result);
        }
    }
}

fn run(case: &Case) -> Result<Run, LabError> {
    let report = simulate(SimulationSettings {
        scenario: case.scenario.clone(),
        policy: case.policy.clone(),
        seed: case.seed,
        faults: case.faults.clone(),
        mutant: None,
    })?;
    Ok(Run {
        faults_name: case.faults_name.clone(),
        report,
    })
}

/// Mean over the seeds of the lower bound on idle accelerator hours.
#[must_use]
pub fn mean_idle_bound(scenario: &Scenario, seeds: &[u64]) -> f64 {
    let site = site::deployments(scenario);
    let bounds = seeds.iter().map(|seed| {
        let arrivals = arrivals(scenario, &site, *seed);
        bound::idle_hours(scenario, &arrivals)
    });
    bounds.sum::<f64>() / seeds.len().max(1) as f64
}
