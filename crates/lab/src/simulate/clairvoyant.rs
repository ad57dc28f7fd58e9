//! A policy that knows the arrivals: what a real controller can't have.
//!
//! It is a yardstick. Each replica is loaded just before its next urgent
//! arrival and unloaded when keeping it would cost more idle time than loading
//! it again; memory that is short is taken from the replica whose next use is
//! farthest away (Belady's rule). Deferred requests wait until a deadline comes
//! near or until their model is loaded anyway.

use super::site::SiteDeployment;
use crate::callers::Arrival;
use courseshunt_placement::{
    ClusterView, Decision, DecisionKind, DemandEvent, DeploymentView, PlacementPolicy, ReplicaView,
    RunnerView,
};
use courseshunt_state::ReplicaPhase;
use courseshunt_types::runner_api::CacheTier;
use courseshunt_types::{DeploymentName, Millis, PriorityClass, RunnerId, Timestamp};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Name of the policy in reports.
pub const NAME: &str = "offline-bound";
/// Loads begin this much earlier than the learned load time says.
const MARGIN: Millis = Millis::from_secs(4);
/// Deferred requests are loaded for when this is left until a deadline.
const BATCH_MARGIN: Millis = Millis::from_secs(1800);
/// A replica kept for a next use nearer than this many load times saves idle
/// time, since a load is idle time too.
const BREAK_EVEN_LOADS: u64 = 1;

/// See the module.
#[derive(Debug)]
pub struct Clairvoyant {
    /// Urgent arrivals by deployment, in order.
    urgent: BTreeMap<DeploymentName, Vec<Timestamp>>,
}

impl Clairvoyant {
    /// A policy that knows these arrivals.
    #[must_use]
    pub fn new(site: &[SiteDeployment], arrivals: &[Arrival]) -> Self {
        let mut urgent: BTreeMap<DeploymentName, Vec<Timestamp>> = BTreeMap::new();
        for one in arrivals {
            if one.class != PriorityClass::Batch {
                let name = site[one.deployment].document.name.clone();
                urgent.entry(name).or_default().push(one.at);
            }
        }
        Self { urgent }
    }

    /// The next urgent arrival at or after `now`.
    fn next_use(&self, deployment: &DeploymentName, now: Timestamp) -> Option<Timestamp> {
        let times = self.urgent.get(deployment)?;
        let place = times.partition_point(|at| *at < now);
        times.get(place).copied()
    }

    /// When a load must begin; `None` when nothing is to come.
    fn load_at(&self, one: &DeploymentView, view: &ClusterView) -> Option<Timestamp> {
        let demand = &one.demand;
        if demand.waiting_critical + demand.waiting_interactive > 0 {
            return Some(view.now);
        }
        let lead = expected(one, view) + MARGIN.0;
        let batch = demand
            .earliest_deadline
            .filter(|_| demand.waiting_batch > 0);
        let batch = batch.map(|deadline| deadline - Millis(lead + BATCH_MARGIN.0));
        let urgent = self.next_use(one.name(), view.now);
        let urgent = urgent.map(|at| at - Millis(lead));
        [batch, urgent].into_iter().flatten().min()
    }

    fn unloads(&self, view: &ClusterView) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for one in &view.deployments {
            for replica in one.replicas.iter().filter(|replica| is_idle(one, replica)) {
                let gap = self.gap(one, view.now);
                let kept = expected_reload(one) * BREAK_EVEN_LOADS + MARGIN.0;
                if gap.is_none_or(|gap| gap.0 > kept) {
                    decisions.push(unload(one.name(), &replica.runner));
                }
            }
        }
        decisions
    }

    fn gap(&self, one: &DeploymentView, now: Timestamp) -> Option<Millis> {
        let next = self.next_use(one.name(), now)?;
        Some(next.since(now))
    }

    /// Idle replicas of a runner, those used again last first.
    fn victims<'a>(&self, view: &'a ClusterView, runner: &RunnerId) -> Vec<&'a DeploymentView> {
        let here = |one: &&DeploymentView| {
            let mut replicas = one.replicas.iter();
            replicas.any(|replica| replica.runner == *runner && is_idle(one, replica))
        };
        let mut victims: Vec<&DeploymentView> = view.deployments.iter().filter(here).collect();
        victims.sort_by_key(|one| {
            let next = self.next_use(one.name(), view.now);
            Reverse(next.unwrap_or(Timestamp::at(u64::MAX)))
        });
        victims
    }

    /// Evicts on the runner whose first reused victim is used again last, if
    /// that is after the wanted one.
    fn evict(&self, view: &ClusterView, wanted: &DeploymentView) -> Vec<Decision> {
        let memory = wanted.document.replica_memory_mib();
        let wanted_at = self.load_at(wanted, view).unwrap_or(view.now) + Millis(1);
        let mut best: Option<(Timestamp, &RunnerView, Vec<&DeploymentView>)> = None;
        for runner in view.runners.iter().filter(|one| one.accepts_loads()) {
            let mut room = runner.free_mib();
            let mut taken = Vec::new();
            for victim in self.victims(view, &runner.runner) {
                if room >= memory {
                    break;
                }
                room += victim.document.replica_memory_mib();
                taken.push(victim);
            }
            let reuse = taken
                .iter()
                .filter_map(|one| self.next_use(one.name(), view.now));
            let reuse = reuse.min().unwrap_or(Timestamp::at(u64::MAX));
            let better = best.as_ref().is_none_or(|(known, _, _)| reuse > *known);
            if room >= memory && !taken.is_empty() && reuse > wanted_at && better {
                best = Some((reuse, runner, taken));
            }
        }
        let Some((_, runner, taken)) = best else {
            return Vec::new();
        };
        let unloads = taken.iter();
        unloads
            .map(|one| unload(one.name(), &runner.runner))
            .collect()
    }
}

fn is_idle(one: &DeploymentView, replica: &ReplicaView) -> bool {
    let ready = replica.phase == ReplicaPhase::Ready && replica.running == 0;
    ready && one.demand.waiting() == 0 && one.demand.running == 0
}

/// Load time from the best tier of any runner, in milliseconds.
fn expected(one: &DeploymentView, view: &ClusterView) -> u64 {
    let tiers = view
        .runners
        .iter()
        .map(|runner| runner.tier_of(&one.document.model));
    let tier = tiers.min().unwrap_or(CacheTier::Remote);
    one.expected_load().of(tier).0
}

/// Load time if it is loaded again on the same runner, in milliseconds.
fn expected_reload(one: &DeploymentView) -> u64 {
    one.expected_load().of(CacheTier::HostMemory).0
}

fn unload(deployment: &DeploymentName, runner: &RunnerId) -> Decision {
    Decision {
        kind: DecisionKind::Unload {
            deployment: deployment.clone(),
            runner: runner.clone(),
        },
        reason: "the next use is far away".to_owned(),
    }
}

impl PlacementPolicy for Clairvoyant {
    fn name(&self) -> &'static str {
        NAME
    }

    fn observe(&mut self, _event: &DemandEvent) {}

    fn plan(&mut self, view: &ClusterView) -> Vec<Decision> {
        let mut decisions = self.unloads(view);
        let cold = view
            .deployments
            .iter()
            .filter(|one| one.replicas.is_empty());
        let due = cold.filter_map(|one| {
            let at = self.load_at(one, view)?;
            (at <= view.now).then_some((at, one))
        });
        let mut due: Vec<(Timestamp, &DeploymentView)> = due.collect();
        due.sort_by_key(|(at, one)| (*at, one.name().clone()));
        let mut free: BTreeMap<&RunnerId, u64> = view
            .runners
            .iter()
            .filter(|one| one.accepts_loads())
            .map(|one| (&one.runner, one.free_mib()))
            .collect();
        let freeing = view.deployments.iter().flat_map(|one| &one.replicas);
        let freeing = freeing.filter(|one| one.phase == ReplicaPhase::Withdrawn);
        let mut may_evict = freeing.count() == 0 && decisions.is_empty();
        for (_, one) in due {
            let memory = one.document.replica_memory_mib();
            let fitting = view.runners.iter();
            let fitting = fitting
                .filter(|runner| free.get(&runner.runner).is_some_and(|free| *free >= memory));
            let best = fitting
                .min_by_key(|runner| (runner.tier_of(&one.document.model), free[&runner.runner]));
            if let Some(runner) = best {
                if let Some(free) = free.get_mut(&runner.runner) {
                    *free -= memory;
                }
                decisions.push(Decision {
                    kind: DecisionKind::Load {
                        deployment: one.name().clone(),
                        runner: runner.runner.clone(),
                    },
                    reason: "the next use is near".to_owned(),
                });
            } else if may_evict {
                let evictions = self.evict(view, one);
                may_evict = evictions.is_empty();
                decisions.extend(evictions);
            }
        }
        decisions
    }

    fn next_wake(&self, view: &ClusterView) -> Option<Timestamp> {
        let cold = view
            .deployments
            .iter()
            .filter(|one| one.replicas.is_empty());
        let loads = cold.filter_map(|one| self.load_at(one, view));
        loads.min()
    }
}
