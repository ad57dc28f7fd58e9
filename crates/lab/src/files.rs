//! Scenario and fault files.

use crate::error::LabError;
use courseshunt_standin::faults::FaultSchedule;
use courseshunt_standin::scenario::Scenario;
use std::path::Path;

/// Reads and checks a scenario file.
///
/// # Errors
/// When it can't be read, or a field is wrong; the error names the place.
pub fn read_scenario(path: &Path) -> Result<Scenario, LabError> {
    let scenario: Scenario = read(path)?;
    let checked = scenario.validate();
    checked.map_err(|error| problem(path, &error))?;
    Ok(scenario)
}

/// Reads and checks a fault file.
///
/// # Errors
/// When it can't be read, or a field is wrong; the error names the place.
pub fn read_faults(path: &Path) -> Result<FaultSchedule, LabError> {
    let schedule: FaultSchedule = read(path)?;
    let checked = schedule.validate();
    checked.map_err(|error| problem(path, &error))?;
    Ok(schedule)
}

fn read<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, LabError> {
    let text = std::fs::read_to_string(path).map_err(|error| problem(path, &error))?;
    toml::from_str(&text).map_err(|error| problem(path, &error))
}

fn problem(path: &Path, problem: &dyn std::fmt::Display) -> LabError {
    LabError::usage(format!("{}: {problem}", path.display()))
}
