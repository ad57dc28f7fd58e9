//! Pages written from the flag tables: completion, manual.

use super::SUBCOMMANDS;
use crate::error::LabError;
use courseshunt_settings::manual::{CommandHelp, bash_completion, manual_page};

const BINARY: &str = "courseshunt-lab";
const SUMMARY: &str = "laboratory of courseshunt: demo, fleet, simulation, load, capacity";

pub fn completion_help() -> String {
    usage("completion")
}

pub fn manual_help() -> String {
    usage("manual")
}

fn usage(name: &str) -> String {
    getopts::Options::new().usage(&format!("Usage: {BINARY} {name}"))
}

pub fn completion(arguments: &[String]) -> Result<(), LabError> {
    show(arguments, &bash_completion(BINARY, &help_of_all()))
}

pub fn manual(arguments: &[String]) -> Result<(), LabError> {
    show(arguments, &manual_page(BINARY, SUMMARY, &help_of_all()))
}

fn show(arguments: &[String], page: &str) -> Result<(), LabError> {
    let parsed = getopts::Options::new().parse(arguments);
    parsed.map_err(|error| LabError::usage(error.to_string()))?;
    print!("{page}");
    Ok(())
}

/// Names, summaries and help texts of all subcommands.
#[must_use]
pub fn help_of_all() -> Vec<CommandHelp> {
    let subcommands = SUBCOMMANDS.iter().map(|one| CommandHelp {
        name: one.name.to_owned(),
        summary: one.summary.to_owned(),
        help: (one.help)(),
    });
    subcommands.collect()
}
