//! `courseshunt-lab propagate`.

use super::block_on;
use crate::error::LabError;
use crate::propagate::{PropagateSettings, render, run as run_sizes};
use courseshunt_settings::logging;
use courseshunt_settings::process::LogSettings;

/// Routers of each run.
const DEFAULT_ROUTERS: &str = "3,30,100,340";

fn options() -> getopts::Options {
    let mut options = getopts::Options::new();
    let routers = format!("numbers of hollow routers [default: {DEFAULT_ROUTERS}]");
    options.optopt("", "routers", &routers, "N,N,...");
    options.optopt("", "controllers", "voting controllers [default: 3]", "N");
    options.optopt("", "changes", "changes in each run [default: 20]", "N");
    options
}

pub fn help() -> String {
    options().usage("Usage: courseshunt-lab propagate [OPTIONS]")
}

pub fn run(arguments: &[String]) -> Result<(), LabError> {
    let matches = options().parse(arguments);
    let matches = matches.map_err(|error| LabError::usage(error.to_string()))?;
    logging::start(&LogSettings {
        level: "error".to_owned(),
        format: "text".to_owned(),
    });
    let routers = matches.opt_str("routers");
    let routers = routers.unwrap_or_else(|| DEFAULT_ROUTERS.to_owned());
    let routers = routers.split(',').map(|text| number("routers", text));
    let settings = PropagateSettings {
        routers: routers.collect::<Result<_, _>>()?,
        controllers: count(&matches, "controllers", 3)?,
        changes: count(&matches, "changes", 20)?,
    };
    let reports = block_on(run_sizes(&settings))?;
    println!("{}", render(&reports));
    Ok(())
}

fn count(matches: &getopts::Matches, flag: &str, default: usize) -> Result<usize, LabError> {
    let given = matches.opt_str(flag);
    given.map_or(Ok(default), |text| number(flag, &text))
}

fn number(flag: &str, text: &str) -> Result<usize, LabError> {
    let number = text.parse().ok().filter(|number| *number > 0);
    number.ok_or_else(|| LabError::usage(format!("--{flag} is `{text}`; allowed: from 1")))
}
