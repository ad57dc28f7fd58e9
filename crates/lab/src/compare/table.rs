//! Markdown tables of comparisons.

use super::Run;
use crate::simulate::Report;

/// Mean, lowest and highest of a figure over the seeds.
#[derive(Debug, Clone, Copy)]
struct Spread {
    mean: f64,
    lowest: f64,
    highest: f64,
}

impl Spread {
    fn of(runs: &[&Run], figure: impl Fn(&Report) -> f64) -> Self {
        let figures: Vec<f64> = runs.iter().map(|run| figure(&run.report)).collect();
        let sum: f64 = figures.iter().sum();
        Self {
            mean: sum / figures.len().max(1) as f64,
            lowest: figures.iter().copied().fold(f64::INFINITY, f64::min),
            highest: figures.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        }
    }

    fn show(&self) -> String {
        format!("{:.1} ({:.1}–{:.1})", self.mean, self.lowest, self.highest)
    }
}

const POLICY_HEAD: &str = "\
| policy | cold start p50, s | p99, s | longest, s | idle accelerator hours | busy | loads | \
remote | deadlines missed | violations |
|---|---|---|---|---|---|---|---|---|---|
";

/// One line for each policy: means over the seeds, with lowest and highest.
#[must_use]
pub fn by_policy(runs: &[Run], policies: &[String]) -> String {
    let mut text = POLICY_HEAD.to_owned();
    for policy in policies {
        let mine = runs.iter().filter(|run| run.report.policy == *policy);
        let mine: Vec<&Run> = mine.collect();
        text.push_str(&policy_line(policy, &mine));
    }
    text
}

fn policy_line(policy: &str, runs: &[&Run]) -> String {
    let mean = |figure: fn(&Report) -> f64| Spread::of(runs, figure).mean;
    format!(
        "| {policy} | {:.1} | {} | {} | {} | {:.1} | {:.0} | {:.0} | {:.1} | {:.0} |\n",
        mean(|one| one.cold_start_p50_s),
        Spread::of(runs, |one| one.cold_start_p99_s).show(),
        Spread::of(runs, |one| one.cold_start_max_s).show(),
        Spread::of(runs, |one| one.idle_accelerator_hours).show(),
        mean(|one| one.busy_accelerator_hours),
        mean(|one| one.loads as f64),
        mean(|one| one.remote_loads as f64),
        mean(|one| one.deadline_missed as f64),
        runs.iter()
            .map(|run| run.report.violations.total() as f64)
            .sum::<f64>(),
    )
}

const FAULT_HEAD: &str = "\
| faults | policy | requests | served | not run | unknown | interrupted | dropped | doubled | \
deadlines missed | p99, s | violations |
|---|---|---|---|---|---|---|---|---|---|---|---|
";

/// One line for each schedule and policy: sums over the seeds.
#[must_use]
pub fn by_faults(runs: &[Run]) -> String {
    let mut text = FAULT_HEAD.to_owned();
    let mut names: Vec<(&str, &str)> = runs
        .iter()
        .map(|run| (run.faults_name.as_str(), run.report.policy.as_str()))
        .collect();
    names.sort_unstable();
    names.dedup();
    for (faults, policy) in names {
        let mine = runs.iter();
        let mine = mine.filter(|run| run.faults_name == faults && run.report.policy == policy);
        let mine: Vec<&Run> = mine.collect();
        text.push_str(&faults_line(faults, policy, &mine));
    }
    text
}

fn faults_line(faults: &str, policy: &str, runs: &[&Run]) -> String {
    let sum = |figure: fn(&Report) -> u64| runs.iter().map(|run| figure(&run.report)).sum::<u64>();
    format!(
        "| {faults} | {policy} | {} | {} | {} | {} | {} | {} | {} | {} | {:.1} | {} |\n",
        sum(|one| one.requests),
        sum(|one| one.served),
        sum(|one| one.refused_not_run),
        sum(|one| one.unknown),
        sum(|one| one.interrupted),
        sum(|one| one.dropped),
        sum(|one| one.doubled),
        sum(|one| one.deadline_missed),
        Spread::of(runs, |one| one.cold_start_p99_s).mean,
        sum(|one| one.violations.total()),
    )
}
