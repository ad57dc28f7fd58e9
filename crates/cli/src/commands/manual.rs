//! Pages written from the tables: settings, completion, manual.

use super::{SUBCOMMANDS, parse};
use crate::error::CommandError;
use courseshunt_settings::manual::{CommandHelp, bash_completion, manual_page};
use courseshunt_settings::settings_reference;

const BINARY: &str = "courseshunt";
const SUMMARY: &str = "serves rarely used language models";

pub fn reference_help() -> String {
    usage("settings-reference")
}

pub fn completion_help() -> String {
    usage("completion")
}

pub fn manual_help() -> String {
    usage("manual")
}

fn usage(name: &str) -> String {
    getopts::Options::new().usage(&format!("Usage: {BINARY} {name}"))
}

pub fn reference(arguments: &[String]) -> Result<(), CommandError> {
    show(arguments, &settings_reference())
}

pub fn completion(arguments: &[String]) -> Result<(), CommandError> {
    show(arguments, &bash_completion(BINARY, &help_of_all()))
}

pub fn manual(arguments: &[String]) -> Result<(), CommandError> {
    show(arguments, &manual_page(BINARY, SUMMARY, &help_of_all()))
}

fn show(arguments: &[String], page: &str) -> Result<(), CommandError> {
    parse(&getopts::Options::new(), arguments)?;
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
