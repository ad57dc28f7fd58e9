//! Values of flags.

use crate::error::LabError;
use std::str::FromStr;

/// The value of a flag that must be given.
pub fn required(matches: &getopts::Matches, name: &str) -> Result<String, LabError> {
    let given = matches.opt_str(name);
    given.ok_or_else(|| LabError::usage(format!("--{name} is missing")))
}

/// A number, or its default.
pub fn value<T: FromStr>(
    matches: &getopts::Matches,
    name: &str,
    default: T,
) -> Result<T, LabError> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(default);
    };
    let parsed = text.parse();
    parsed.map_err(|_| LabError::usage(format!("--{name}: `{text}` is no such number")))
}
