//! `courseshunt-lab simulate`.

use super::arguments::{merged_faults, number};
use crate::error::LabError;
use crate::files::read_scenario;
use crate::simulate::{Report, SimulationSettings, simulate};
use courseshunt_placement::policies::POLICY_NAMES;
use std::path::Path;

fn options() -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optopt("", "scenario", "scenario file", "FILE");
    options.optopt(
        "",
        "policy",
        "placement policy [default: load-on-demand]",
        "NAME",
    );
    options.optopt("", "seed", "seed of the run [default: 1]", "NUMBER");
    options.optmulti("", "faults", "fault file; again for more", "FILE");
    options.optopt(
        "",
        "hours",
        "simulated hours, instead of the file's",
        "NUMBER",
    );
    options.optflag("", "json", "print the whole report as JSON");
    options
}

pub fn help() -> String {
    let usage = options().usage("Usage: courseshunt-lab simulate --scenario FILE [OPTIONS]");
    format!("{usage}\nPolicies: {}", POLICY_NAMES.join(", "))
}

pub fn run(arguments: &[String]) -> Result<(), LabError> {
    let matches = options().parse(arguments);
    let matches = matches.map_err(|error| LabError::usage(error.to_string()))?;
    let file = matches.opt_str("scenario");
    let file = file.ok_or_else(|| LabError::usage("`--scenario FILE` is needed"))?;
    let mut scenario = read_scenario(Path::new(&file))?;
    if let Some(hours) = number(&matches, "hours")? {
        scenario.hours = hours;
    }
    let faults = merged_faults(&matches.opt_strs("faults"))?;
    let policy = matches.opt_str("policy");
    let report = simulate(SimulationSettings {
        scenario,
        policy: policy.unwrap_or_else(|| "load-on-demand".to_owned()),
        seed: number(&matches, "seed")?.unwrap_or(1),
        faults,
        mutant: None,
    })?;
    match matches.opt_present("json") {
        true => print!("{}", report.to_json()),
        false => println!("{}", summary(&report)),
    }
    Ok(())
}

fn summary(report: &Report) -> String {
    format!(
        "{} {} seed {}: cold start p99 {:.1} s, max {:.1} s; idle {:.1} accelerator hours; \
         {} loads; {} of {} served, {} deadlines missed; {} violations",
        report.scenario,
        report.policy,
        report.seed,
        report.cold_start_p99_s,
        report.cold_start_max_s,
        report.idle_accelerator_hours,
        report.loads,
        report.served,
        report.requests,
        report.deadline_missed,
        report.violations.total(),
    )
}
