//! `courseshunt-lab fleet`.

use super::block_on;
use super::flags::{required, value};
use crate::error::LabError;
use crate::files::{read_faults, read_scenario};
use crate::fleet::{FleetSettings, run as run_fleet};
use courseshunt_settings::logging;
use courseshunt_settings::process::LogSettings;
use courseshunt_standin::faults::FaultSchedule;
use std::path::Path;
use std::time::Duration;

fn options() -> getopts::Options {
    let mut options = getopts::Options::new();
    let mut value = |name: &str, help: &str| {
        options.optopt("", name, help, "VALUE");
    };
    value("scenario", "scenario file (TOML)");
    value(
        "faults",
        "file with the faults and their times (TOML) [default: none]",
    );
    value("seconds", "length of the load [default: 20]");
    value(
        "scale",
        "factor on routers, runners, models and adapters [default: 1]",
    );
    value("rate", "requests per second [default: 20]");
    value(
        "deadline-seconds",
        "longest deadline of a request [default: 20]",
    );
    value("seed", "seed of every random choice [default: 1]");
    value("log-level", "least important log lines [default: error]");
    options.optflag("", "json", "print the report as JSON");
    options
}

pub fn help() -> String {
    options().usage(
        "Usage: courseshunt-lab fleet --scenario FILE [OPTIONS]\n\n\
         Real controllers, routers and stand-ins over loopback sockets in one process,\n\
         under load and faults. Exits with 1 when a promise did not hold.",
    )
}

pub fn run(arguments: &[String]) -> Result<(), LabError> {
    let matches = options().parse(arguments);
    let matches = matches.map_err(|error| LabError::usage(error.to_string()))?;
    let level = matches.opt_str("log-level");
    logging::start(&LogSettings {
        level: level.unwrap_or_else(|| "error".to_owned()),
        format: "text".to_owned(),
    });
    let faults = match matches.opt_str("faults") {
        Some(path) => read_faults(Path::new(&path))?,
        None => FaultSchedule::default(),
    };
    let seconds: u64 = value(&matches, "seconds", 20)?;
    let settings = FleetSettings {
        scenario: read_scenario(Path::new(&required(&matches, "scenario")?))?,
        faults,
        length: Duration::from_secs(seconds),
        scale: value(&matches, "scale", 1.0)?,
        rate_per_second: value(&matches, "rate", 20.0)?,
        max_deadline: Duration::from_secs(value(&matches, "deadline-seconds", 20)?),
        seed: value(&matches, "seed", 1)?,
        progress: true,
    };
    let report = block_on(run_fleet(&settings))?;
    match matches.opt_present("json") {
        true => println!(
            "{}",
            serde_json::to_string_pretty(&report).unwrap_or_default()
        ),
        false => print!("{}", report.text()),
    }
    match report.violations.len() {
        0 => Ok(()),
        count => Err(LabError::violation(format!(
            "{count} promises did not hold"
        ))),
    }
}
