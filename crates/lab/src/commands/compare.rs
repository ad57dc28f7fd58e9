//! `courseshunt-lab compare`.

use super::arguments;
use crate::compare::{Case, Run, mean_idle_bound, plot, run_all, table};
use crate::error::LabError;
use crate::files::{read_faults, read_scenario};
use crate::simulate::clairvoyant;
use courseshunt_placement::policies::POLICY_NAMES;
use courseshunt_standin::faults::FaultSchedule;
use courseshunt_standin::scenario::Scenario;
use std::path::{Path, PathBuf};

/// Threads, if none are named.
const DEFAULT_THREADS: usize = 3;

fn options() -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optmulti("", "scenario", "scenario file; again for more", "FILE");
    options.optmulti(
        "",
        "policy",
        "policy; again for more [default: all, and the offline bound]",
        "NAME",
    );
    options.optopt("", "seeds", "seeds, as FIRST-LAST [default: 1-5]", "RANGE");
    options.optopt(
        "",
        "hours",
        "simulated hours, instead of the file's",
        "NUMBER",
    );
    options.optmulti("", "faults", "fault file; all of them at once", "FILE");
    options.optopt(
        "",
        "faults-folder",
        "each fault file of a folder by itself",
        "FOLDER",
    );
    options.optflag("", "pairs", "also each pair of the folder's files");
    options.optopt("", "threads", "runs at a time [default: 3]", "NUMBER");
    options.optopt(
        "",
        "output",
        "folder for compare.md and the plots; without it the table is printed",
        "FOLDER",
    );
    options
}

pub fn help() -> String {
    options().usage("Usage: courseshunt-lab compare --scenario FILE [OPTIONS]")
}

/// A schedule and its name.
struct NamedFaults {
    name: String,
    schedule: FaultSchedule,
}

pub fn run(arguments: &[String]) -> Result<(), LabError> {
    let matches = options().parse(arguments);
    let matches = matches.map_err(|error| LabError::usage(error.to_string()))?;
    let seeds = arguments::seeds(matches.opt_str("seeds").as_deref().unwrap_or("1-5"))?;
    let threads = arguments::number(&matches, "threads")?.unwrap_or(DEFAULT_THREADS);
    let policies = match matches.opt_strs("policy") {
        named if named.is_empty() => all_policies(),
        named => named,
    };
    let faults = faults(&matches)?;
    let by_fault = matches.opt_present("faults-folder");
    let mut text = String::new();
    for scenario in scenarios(&matches)? {
        let cases = cases(&scenario, &policies, &seeds, &faults);
        let runs = run_all(&cases, threads)?;
        text.push_str(&section(&scenario, &runs, &policies, &seeds, by_fault));
        if let Some(folder) = matches.opt_str("output") {
            write_plot(Path::new(&folder), &scenario, &runs, &policies)?;
        }
    }
    match matches.opt_str("output") {
        Some(folder) => std::fs::write(Path::new(&folder).join("compare.md"), text)?,
        None => print!("{text}"),
    }
    Ok(())
}

fn all_policies() -> Vec<String> {
    let names = POLICY_NAMES.iter().copied();
    let names = names.chain([clairvoyant::NAME]);
    names.map(str::to_owned).collect()
}

fn scenarios(matches: &getopts::Matches) -> Result<Vec<Scenario>, LabError> {
    let files = matches.opt_strs("scenario");
    if files.is_empty() {
        return Err(LabError::usage("`--scenario FILE` is needed"));
    }
    let hours = arguments::number(matches, "hours")?;
    let read = files.iter().map(|file| {
        let mut scenario = read_scenario(Path::new(file))?;
        scenario.hours = hours.unwrap_or(scenario.hours);
        Ok(scenario)
    });
    read.collect()
}

fn faults(matches: &getopts::Matches) -> Result<Vec<NamedFaults>, LabError> {
    let together = arguments::merged_faults(&matches.opt_strs("faults"))?;
    let Some(folder) = matches.opt_str("faults-folder") else {
        let name = String::new();
        return Ok(vec![NamedFaults {
            name,
            schedule: together,
        }]);
    };
    let mut files: Vec<PathBuf> = Vec::new();
    for entry in std::fs::read_dir(&folder)? {
        let path = entry?.path();
        if path.extension().is_some_and(|one| one == "toml") {
            files.push(path);
        }
    }
    files.sort();
    let mut all = Vec::new();
    for file in &files {
        all.push(NamedFaults {
            name: stem(file),
            schedule: read_faults(file)?,
        });
    }
    if matches.opt_present("pairs") {
        all.extend(pairs(&all));
    }
    Ok(all)
}

fn stem(file: &Path) -> String {
    let stem = file.file_stem().unwrap_or_default();
    stem.to_string_lossy().into_owned()
}

fn pairs(singles: &[NamedFaults]) -> Vec<NamedFaults> {
    let mut all = Vec::new();
    for (number, one) in singles.iter().enumerate() {
        for other in &singles[number + 1..] {
            let mut fault = one.schedule.fault.clone();
            fault.extend(other.schedule.fault.iter().cloned());
            all.push(NamedFaults {
                name: format!("{} + {}", one.name, other.name),
                schedule: FaultSchedule { fault },
            });
        }
    }
    all
}

fn cases(
    scenario: &Scenario,
    policies: &[String],
    seeds: &[u64],
    faults: &[NamedFaults],
) -> Vec<Case> {
    let mut cases = Vec::new();
    for named in faults {
        for policy in policies {
            for seed in seeds {
                cases.push(Case {
                    scenario: scenario.clone(),
                    policy: policy.clone(),
                    seed: *seed,
                    faults_name: named.name.clone(),
                    faults: named.schedule.clone(),
                });
            }
        }
    }
    cases
}

fn section(
    scenario: &Scenario,
    runs: &[Run],
    policies: &[String],
    seeds: &[u64],
    by_fault: bool,
) -> String {
    let (first, last) = (seeds.first().unwrap_or(&0), seeds.last().unwrap_or(&0));
    let head = format!("### {}, seeds {first} to {last}\n\n", scenario.name);
    if by_fault {
        return format!("{head}{}\n", table::by_faults(runs));
    }
    let bound = mean_idle_bound(scenario, seeds);
    let note = format!(
        "Lower bound on idle accelerator hours without any cold wait: {bound:.1} (mean).\n"
    );
    format!("{head}{}\n{note}\n", table::by_policy(runs, policies))
}

fn write_plot(
    folder: &Path,
    scenario: &Scenario,
    runs: &[Run],
    policies: &[String],
) -> Result<(), LabError> {
    std::fs::create_dir_all(folder)?;
    let title = format!("{}: cold starts against idle hours", scenario.name);
    let svg = plot::trade_off(&title, runs, policies).map_err(LabError::violation)?;
    std::fs::write(folder.join(format!("{}.svg", scenario.name)), svg)?;
    Ok(())
}
