//! `courseshunt-lab demo`.

use super::block_on;
use crate::demo;
use crate::error::LabError;
use courseshunt_settings::logging;
use courseshunt_settings::process::LogSettings;
use std::path::PathBuf;

/// The examples of this source tree.
const DEFAULT_EXAMPLES: &str = "examples/souss";

fn options() -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optflag("", "keep", "stay up after the demo and print the addresses");
    options.optopt(
        "",
        "examples",
        "folder with templates and tenants [default: examples/souss]",
        "FOLDER",
    );
    options.optopt(
        "",
        "log-level",
        "least important log lines [default: warn]",
        "LEVEL",
    );
    options
}

pub fn help() -> String {
    options().usage("Usage: courseshunt-lab demo [OPTIONS]")
}

pub fn run(arguments: &[String]) -> Result<(), LabError> {
    let matches = options().parse(arguments);
    let matches = matches.map_err(|error| LabError::usage(error.to_string()))?;
    let level = matches
        .opt_str("log-level")
        .unwrap_or_else(|| "warn".to_owned());
    let format = "text".to_owned();
    logging::start(&LogSettings { level, format });
    let examples = matches.opt_str("examples");
    let settings = demo::DemoSettings {
        examples: PathBuf::from(examples.unwrap_or_else(|| DEFAULT_EXAMPLES.to_owned())),
        keep: matches.opt_present("keep"),
    };
    block_on(demo::run(&settings))
}
