//! Runners: memory, replicas, and no new work for a leaving one.

use super::Violation;
use crate::fleet::history::{History, LoadedSample};
use courseshunt_types::DeploymentName;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// After this time a runner that the platform's list calls leaving gets no new
/// work.
pub const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// Looks in turn after which a replica without a decision is a violation.
const UNDECIDED_LOOKS: u32 = 10;

/// The memory of a runner is never overcommitted.
pub fn memory(history: &History) -> Vec<Violation> {
    let over = history.runners.iter().filter_map(|sample| {
        let used: u64 = sample.loaded.iter().map(|one| one.memory_mib).sum();
        let message = || {
            format!(
                "{} held {used} MiB of {} at {} ms",
                sample.runner,
                sample.memory_mib,
                sample.at.as_millis()
            )
        };
        (used > sample.memory_mib).then(|| Violation::new("memory", message()))
    });
    over.collect()
}

/// No more replicas are loaded than the document allows, and none that the log
/// does not know. A look may fall between a release and its unload, or a new
/// leader may still be applying, so only what several looks in turn saw counts
/// as undecided.
pub fn replicas(history: &History) -> Vec<Violation> {
    let mut violations = too_many(history);
    violations.extend(undecided(history));
    violations
}

fn too_many(history: &History) -> Vec<Violation> {
    let mut holders: BTreeMap<(u64, &DeploymentName), BTreeSet<&str>> = BTreeMap::new();
    let mut times: BTreeMap<u64, Duration> = BTreeMap::new();
    for sample in &history.runners {
        times.insert(sample.look, sample.at);
        for loaded in sample.loaded.iter().filter(|one| !one.unloading) {
            let key = (sample.look, &loaded.deployment);
            holders.entry(key).or_default().insert(&sample.runner);
        }
    }
    let over = holders.iter().filter_map(|((look, deployment), runners)| {
        let allowed = history.max_replicas.get(deployment).copied();
        let allowed = allowed.unwrap_or_default() as usize;
        let message = || {
            let at = times.get(look).copied().unwrap_or_default().as_millis();
            format!("{deployment} was loaded on {runners:?} at {at} ms; allowed: {allowed}")
        };
        (runners.len() > allowed).then(|| Violation::new("replicas", message()))
    });
    over.collect()
}

fn undecided(history: &History) -> Vec<Violation> {
    let mut streaks: BTreeMap<(&str, &DeploymentName), Streak> = BTreeMap::new();
    let mut violations = Vec::new();
    for sample in &history.runners {
        for loaded in sample.loaded.iter().filter(|one| is_undecided(one)) {
            let key = (sample.runner.as_str(), &loaded.deployment);
            let streak = streaks.entry(key).or_default();
            if streak.extend(sample.look) == UNDECIDED_LOOKS {
                let message = format!(
                    "{} held {} at {} ms without a decision in the log",
                    sample.runner,
                    loaded.deployment,
                    sample.at.as_millis()
                );
                violations.push(Violation::new("replicas", message));
            }
        }
    }
    violations
}

/// Looks in turn that saw the same.
#[derive(Default)]
struct Streak {
    last_look: u64,
    length: u32,
}

impl Streak {
    fn extend(&mut self, look: u64) -> u32 {
        let follows = self.last_look + 1 == look;
        self.length = if follows { self.length + 1 } else { 1 };
        self.last_look = look;
        self.length
    }
}

fn is_undecided(loaded: &LoadedSample) -> bool {
    loaded.decided == Some(false)
}

/// A leaving runner gets no new work once the limit has passed.
pub fn leaving(history: &History) -> Vec<Violation> {
    let given = history.leaving.iter().filter_map(|leaving| {
        let since = leaving.listed_at + LEAVING_LIMIT;
        let samples = history.runners.iter();
        let mut counts = samples
            .filter(|one| one.runner == leaving.runner && one.at >= since)
            .filter(|one| leaving.until.is_none_or(|until| one.at < until))
            .filter_map(|one| one.executions.map(|count| (one.at, count)));
        let (_, first) = counts.next()?;
        let (at, count) = counts.find(|(_, count)| *count > first)?;
        let message = format!(
            "{} was listed as leaving at {} ms and got {} more requests by {} ms",
            leaving.runner,
            leaving.listed_at.as_millis(),
            count - first,
            at.as_millis()
        );
        Some(Violation::new("leaving", message))
    });
    given.collect()
}
