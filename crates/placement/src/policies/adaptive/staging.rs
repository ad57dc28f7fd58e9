//! Which checkpoints lie in the runners' host memory and on their disks. That
//! costs no accelerator time, and makes the next load short. Pure.
//!
//! Every checkpoint gets a disk, the most wanted ones two. Host memory is dealt
//! out by what it saves: the calls to expect, times the cost of the longer
//! load, for each MiB; a model that is loaded needs it less.

use super::cost::wait_cost;
use super::forecast::Forecast;
use crate::decision::{Decision, DecisionKind};
use crate::view::{ClusterView, DeploymentView, RunnerView};
use courseshunt_types::runner_api::CacheTier;
use courseshunt_types::{Millis, ModelName, RunnerId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Starts of the weight store that are left to loads.
const STARTS_LEFT: u32 = 1;
/// Copies of a checkpoint on disks, where there is room.
const DISK_COPIES: usize = 2;
/// Share of the weight store's concurrency that staging may take.
const STORE_SHARE: f64 = 0.5;
/// Stagings at the same time on one runner.
const STAGINGS_ON_RUNNER: usize = 1;
/// What host memory is worth for a model while it is loaded there.
const LOADED_WORTH: f64 = 0.3;
/// A checkpoint that is in host memory already is kept in favour of one that
/// is worth up to this many times as much.
const KEEP_FACTOR: f64 = 1.3;

/// A runner whose memory is this many times the replica's is much larger.
const OVERSIZE: u64 = 4;

/// Copies in host memory that shall stay there.
type HostPlan = BTreeMap<RunnerId, BTreeSet<ModelName>>;

/// A checkpoint that may be put into a runner's host memory.
struct Candidate<'a> {
    deployment: &'a DeploymentView,
    runner: &'a RunnerView,
    worth: f64,
}

/// Longest time that a staging is remembered.
const MEMORY: Millis = Millis::from_secs(180);

/// Orders stagings, and remembers those that are on their way.
#[derive(Debug, Clone, Default)]
pub struct Stager {
    ordered: BTreeMap<(RunnerId, ModelName), Timestamp>,
}

impl Stager {
    /// Stagings to order now.
    pub fn stage(&mut self, view: &ClusterView, forecast: &Forecast) -> Vec<Decision> {
        self.ordered.retain(|_, until| *until > view.now);
        let store = &view.store;
        let share = (f64::from(store.concurrency_limit) * STORE_SHARE) as u32;
        let mut from_store = share
            .saturating_sub(store.active_loads)
            .min(store.starts_available.saturating_sub(STARTS_LEFT));
        let mut busy: BTreeMap<RunnerId, usize> = BTreeMap::new();
        for (runner, _) in self.ordered.keys() {
            *busy.entry(runner.clone()).or_default() += 1;
        }
        let mut decisions = Vec::new();
        let (host, kept) = host_wanted(view, forecast);
        let wanted = host.into_iter().chain(disk_wanted(view, forecast));
        for (deployment, runner, tier) in wanted {
            let model = &deployment.document.model;
            let now_in = runner.tier_of(model);
            let key = (runner.runner.clone(), model.clone());
            let running = busy.entry(runner.runner.clone()).or_default();
            if *running >= STAGINGS_ON_RUNNER || self.ordered.contains_key(&key) {
                continue;
            }
            if now_in == CacheTier::Remote {
                if from_store == 0 {
                    continue;
                }
                from_store -= 1;
            }
            *running += 1;
            let length = deployment.expected_load().of(now_in).min(MEMORY);
            self.ordered.insert(key, view.now + length);
            if tier == CacheTier::HostMemory {
                decisions.extend(renewals(runner, &kept));
            }
            decisions.push(staging(model, runner, tier));
        }
        decisions
    }
}

fn staging(model: &ModelName, runner: &RunnerView, tier: CacheTier) -> Decision {
    let reason = match tier {
        CacheTier::HostMemory => "in host memory its next load is short",
        _ => "no runner has it on disk",
    };
    Decision {
        kind: DecisionKind::Stage {
            model: model.clone(),
            runner: runner.runner.clone(),
            tier,
        },
        reason: reason.to_owned(),
    }
}

/// Renews the use of the copies that shall stay, so that another one makes room.
fn renewals(runner: &RunnerView, kept: &HostPlan) -> Vec<Decision> {
    let here = kept.get(&runner.runner).into_iter().flatten();
    here.map(|model| {
        let kind = DecisionKind::Stage {
            model: model.clone(),
            runner: runner.runner.clone(),
            tier: CacheTier::HostMemory,
        };
        let reason = "it shall stay in host memory".to_owned();
        Decision { kind, reason }
    })
    .collect()
}

/// Runners on which a deployment's checkpoint may lie: those that could serve
/// it and are not much larger than it needs, if there are such.
fn able<'a>(view: &'a ClusterView, deployment: &'a DeploymentView) -> Vec<&'a RunnerView> {
    let memory = deployment.document.replica_memory_mib();
    let model = &deployment.document.model;
    let runners = view.runners.iter();
    let able: Vec<&RunnerView> = runners
        .filter(|one| one.accepts_loads() && one.memory_mib >= memory)
        .filter(|one| !one.avoid.contains(model))
        .collect();
    let fitting = able.iter().filter(|one| one.memory_mib < memory * OVERSIZE);
    let fitting: Vec<&RunnerView> = fitting.copied().collect();
    if fitting.is_empty() { able } else { fitting }
}

/// Copies missing in host memory, the most wanted first, and those that shall
/// stay.
fn host_wanted<'a>(
    view: &'a ClusterView,
    forecast: &Forecast,
) -> (
    Vec<(&'a DeploymentView, &'a RunnerView, CacheTier)>,
    HostPlan,
) {
    let mut candidates = candidates(view, forecast);
    candidates.sort_by(|one, other| other.worth.total_cmp(&one.worth));
    let mut free: BTreeMap<&RunnerId, u64> = view
        .runners
        .iter()
        .map(|one| (&one.runner, one.host_memory_mib))
        .collect();
    let mut plan = HostPlan::new();
    let mut copies: BTreeMap<&ModelName, u32> = BTreeMap::new();
    let mut missing = Vec::new();
    for one in candidates {
        let model = &one.deployment.document.model;
        let size = one.deployment.document.checkpoint_size_mib();
        let room = free.entry(&one.runner.runner).or_default();
        let count = copies.entry(model).or_default();
        if *count > 0 || *room < size {
            continue;
        }
        *room -= size;
        *count += 1;
        if one.runner.tier_of(model) > CacheTier::HostMemory {
            missing.push((one.deployment, one.runner, CacheTier::HostMemory));
        } else {
            let kept = plan.entry(one.runner.runner.clone()).or_default();
            kept.insert(model.clone());
        }
    }
    (missing, plan)
}

/// All pairs of deployment and runner with their worth for each MiB.
fn candidates<'a>(view: &'a ClusterView, forecast: &Forecast) -> Vec<Candidate<'a>> {
    let mut candidates = Vec::new();
    for deployment in &view.deployments {
        let document = &deployment.document;
        let rate = forecast.mean_rate(deployment.name(), view.now);
        let times = deployment.expected_load();
        let saved = wait_cost(deployment, times.disk) - wait_cost(deployment, times.host_memory);
        let size = document.checkpoint_size_mib().max(1) as f64;
        let loaded = !deployment.replicas.is_empty();
        for runner in able(view, deployment) {
            let tier = runner.tier_of(&document.model);
            if tier == CacheTier::Remote && disk_room(runner) < document.checkpoint_size_mib() {
                continue;
            }
            let here = match tier {
                CacheTier::Accelerator | CacheTier::HostMemory => KEEP_FACTOR,
                CacheTier::Disk => 1.0,
                CacheTier::Remote => 0.9,
            };
            let held = deployment
                .replicas
                .iter()
                .any(|one| one.runner == runner.runner);
            let needed = if loaded && held { LOADED_WORTH } else { 1.0 };
            candidates.push(Candidate {
                deployment,
                runner,
                worth: rate * saved.max(0.0) / size * here * needed,
            });
        }
    }
    candidates
}

/// Copies on disk that are missing: the first of every checkpoint, then seconds
/// while disks have room, the most called first.
fn disk_wanted<'a>(
    view: &'a ClusterView,
    forecast: &Forecast,
) -> Vec<(&'a DeploymentView, &'a RunnerView, CacheTier)> {
    let mut rooms: BTreeMap<&RunnerId, u64> = view
        .runners
        .iter()
        .map(|one| (&one.runner, disk_room(one)))
        .collect();
    let rate = |one: &DeploymentView| forecast.mean_rate(one.name(), view.now);
    let mut deployments: Vec<&DeploymentView> = view.deployments.iter().collect();
    deployments.sort_by(|one, other| rate(other).total_cmp(&rate(one)));
    let mut wanted = Vec::new();
    for copies in 1..=DISK_COPIES {
        for deployment in &deployments {
            let missing = missing_copy(view, deployment, copies, &rooms);
            let Some(runner) = missing else {
                continue;
            };
            let size = deployment.document.checkpoint_size_mib();
            let room = rooms.entry(&runner.runner).or_default();
            *room = room.saturating_sub(size);
            wanted.push((*deployment, runner, CacheTier::Disk));
        }
    }
    wanted
}

/// The runner for the next copy, when there are fewer than `copies`: the one
/// whose disk has the most room.
fn missing_copy<'a>(
    view: &'a ClusterView,
    deployment: &'a DeploymentView,
    copies: usize,
    rooms: &BTreeMap<&RunnerId, u64>,
) -> Option<&'a RunnerView> {
    let model = &deployment.document.model;
    let size = deployment.document.checkpoint_size_mib();
    let able = able(view, deployment);
    let cached = able
        .iter()
        .filter(|one| one.tier_of(model) < CacheTier::Remote);
    if cached.count() >= copies {
        return None;
    }
    let fitting = able
        .into_iter()
        .filter(|one| one.tier_of(model) == CacheTier::Remote && rooms[&one.runner] >= size);
    fitting.max_by_key(|one| (rooms[&one.runner], &one.runner))
}

fn disk_room(runner: &RunnerView) -> u64 {
    let on_disk = runner
        .cached
        .iter()
        .filter(|one| one.tier == CacheTier::Disk);
    let used: u64 = on_disk.map(|one| one.size_mib).sum();
    runner.disk_mib.saturating_sub(used)
}
