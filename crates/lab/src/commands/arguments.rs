//! Flags that several subcommands share.

use crate::error::LabError;
use crate::files::read_faults;
use courseshunt_standin::faults::FaultSchedule;
use std::path::Path;

/// The number that an option gives, if it is there.
pub(super) fn number<T: std::str::FromStr>(
    matches: &getopts::Matches,
    name: &str,
) -> Result<Option<T>, LabError> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(None);
    };
    let parsed = text.parse();
    parsed
        .map(Some)
        .map_err(|_| LabError::usage(format!("`--{name} {text}`: not a number")))
}

/// Seeds written as `FIRST-LAST` or as one number.
pub(super) fn seeds(text: &str) -> Result<Vec<u64>, LabError> {
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    let problem = || LabError::usage(format!("`--seeds {text}`: write FIRST-LAST, such as 1-5"));
    let first: u64 = first.parse().map_err(|_| problem())?;
    let last: u64 = last.parse().map_err(|_| problem())?;
    match first <= last {
        true => Ok((first..=last).collect()),
        false => Err(problem()),
    }
}

/// All faults of several files together.
pub(super) fn merged_faults(files: &[String]) -> Result<FaultSchedule, LabError> {
    let mut schedule = FaultSchedule::default();
    for file in files {
        schedule.fault.extend(read_faults(Path::new(file))?.fault);
    }
    Ok(schedule)
}
