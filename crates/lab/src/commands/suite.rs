//! `courseshunt-lab suite`.

use super::block_on;
use super::flags::{required, value};
use crate::error::LabError;
use crate::files::read_scenario;
use crate::suite::{SuiteSettings, run as run_suite};
use courseshunt_settings::logging;
use courseshunt_settings::process::LogSettings;
use std::path::Path;
use std::time::Duration;

fn options() -> getopts::Options {
    let mut options = getopts::Options::new();
    let mut value = |name: &str, help: &str| {
        options.optopt("", name, help, "VALUE");
    };
    value("scenario", "scenario file (TOML)");
    value(
        "scale",
        "factor on routers, runners, models and adapters [default: 0.3]",
    );
    value("seconds", "length of the load of each case [default: 8]");
    value("rate", "requests per second [default: 20]");
    value(
        "deadline-seconds",
        "longest deadline of a request [default: 8]",
    );
    value("seed", "seed of every random choice [default: 1]");
    value("only", "run the cases whose name holds this text");
    options.optflag("", "pairs", "run each pair of failures too");
    options.optflag("", "json", "print the table as JSON");
    options
}

pub fn help() -> String {
    options().usage(
        "Usage: courseshunt-lab suite --scenario FILE [OPTIONS]\n\n\
         Runs a fleet under each failure, a rolling planned restart and, with --pairs,\n\
         each two failures together. Exits with 1 when a promise did not hold.",
    )
}

pub fn run(arguments: &[String]) -> Result<(), LabError> {
    let matches = options().parse(arguments);
    let matches = matches.map_err(|error| LabError::usage(error.to_string()))?;
    logging::start(&LogSettings {
        level: "error".to_owned(),
        format: "text".to_owned(),
    });
    let settings = SuiteSettings {
        scenario: read_scenario(Path::new(&required(&matches, "scenario")?))?,
        scale: value(&matches, "scale", 0.3)?,
        length: Duration::from_secs(value(&matches, "seconds", 8)?),
        rate_per_second: value(&matches, "rate", 20.0)?,
        max_deadline: Duration::from_secs(value(&matches, "deadline-seconds", 8)?),
        seed: value(&matches, "seed", 1)?,
        pairs: matches.opt_present("pairs"),
        only: matches.opt_str("only"),
    };
    let report = block_on(run_suite(&settings))?;
    match matches.opt_present("json") {
        true => println!(
            "{}",
            serde_json::to_string_pretty(&report).unwrap_or_default()
        ),
        false => print!("{}", report.text()),
    }
    let failed = report.results.len() - report.survived();
    match failed {
        0 => Ok(()),
        count => Err(LabError::violation(format!("{count} cases failed"))),
    }
}
