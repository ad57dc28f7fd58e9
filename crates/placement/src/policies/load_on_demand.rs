//! Baseline: loads a deployment when a request waits, and unloads the least
//! recently used idle replica when memory is short.

use crate::decision::{Decision, DecisionKind};
use crate::policy::{DemandEvent, PlacementPolicy};
use crate::view::{ClusterView, DeploymentView, ReplicaView, RunnerView};
use courseshunt_state::ReplicaPhase;
use courseshunt_types::{RunnerId, Timestamp};
use std::collections::BTreeMap;

/// See the module.
#[derive(Debug, Default)]
pub struct LoadOnDemand;

impl PlacementPolicy for LoadOnDemand {
    fn name(&self) -> &'static str {
        "load-on-demand"
    }

    fn observe(&mut self, _event: &DemandEvent) {}

    fn plan(&mut self, view: &ClusterView) -> Vec<Decision> {
        let mut free = BTreeMap::new();
        for runner in view.runners.iter().filter(|one| one.accepts_loads()) {
            free.insert(runner.runner.clone(), runner.free_mib());
        }
        let cold = |one: &&DeploymentView| one.demand.waiting() > 0 && one.replicas.is_empty();
        let mut cold: Vec<&DeploymentView> = view.deployments.iter().filter(cold).collect();
        cold.sort_by_key(|one| one.demand.earliest_deadline);
        cold.into_iter()
            .flat_map(|one| place(one, view, &mut free))
            .collect()
    }

    fn next_wake(&self, _view: &ClusterView) -> Option<Timestamp> {
        None
    }
}

fn place(
    wanted: &DeploymentView,
    view: &ClusterView,
    free: &mut BTreeMap<RunnerId, u64>,
) -> Vec<Decision> {
    let memory = wanted.document.replica_memory_mib();
    let fits = |runner: &&RunnerView| free.get(&runner.runner).is_some_and(|free| *free >= memory);
    let best = view.runners.iter().filter(fits).min_by_key(|runner| {
        let tier = runner.tier_of(&wanted.document.model);
        (tier, std::cmp::Reverse(free[&runner.runner]))
    });
    let Some(best) = best else {
        return evict(view).into_iter().collect();
    };
    if let Some(left) = free.get_mut(&best.runner) {
        *left -= memory;
    }
    let kind = DecisionKind::Load {
        deployment: wanted.name().clone(),
        runner: best.runner.clone(),
    };
    let reason = "requests wait and no replica is loaded".to_owned();
    vec![Decision { kind, reason }]
}

/// Unloads the least recently used idle replica.
fn evict(view: &ClusterView) -> Option<Decision> {
    let idle =
        |replica: &&ReplicaView| replica.phase == ReplicaPhase::Ready && replica.running == 0;
    let unwanted = view
        .deployments
        .iter()
        .filter(|one| one.demand.waiting() == 0);
    let candidates = unwanted.flat_map(|one| {
        let replicas = one.replicas.iter().filter(idle);
        replicas.map(move |replica| (one, replica))
    });
    let (deployment, replica) = candidates.min_by_key(|(_, replica)| replica.last_used)?;
    let kind = DecisionKind::Unload {
        deployment: deployment.name().clone(),
        runner: replica.runner.clone(),
    };
    let reason = "least recently used; its memory is wanted".to_owned();
    Some(Decision { kind, reason })
}
