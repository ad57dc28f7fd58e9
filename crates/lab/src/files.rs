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
    read(path)
}

/// Reads and checks a fault file.
///
/// # Errors
/// When it can't be read, or a field is wrong; the error names the place.
pub fn read_faults(path: &Path) -> Result<FaultSchedule, LabError> {
    read(path)
}

fn read<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, LabError> {
    let problem = |problem: String| LabError::usage(format!("{}: {problem}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|error| problem(error.to_string()))?;
    toml::from_str(&text).map_err(|error| problem(error.to_string()))
}
