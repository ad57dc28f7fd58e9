//! Explains why a deployment is or is not loaded.

use super::journal::JournalEntry;
use super::plan::view_now;
use crate::ControllerContext;
use courseshunt_placement::{
    ClusterView, DeploymentView, LoadEstimates, ReplicaView, RunnerView, WeightStoreView,
};
use courseshunt_types::runner_api::{CacheTier, MachineState};
use courseshunt_types::{DeploymentName, RunnerId, Timestamp};
use std::collections::BTreeMap;

/// Response of the `explain` page.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Explanation {
    /// The deployment.
    pub deployment: DeploymentName,
    /// The placement policy.
    pub policy: &'static str,
    /// Reasons, one sentence each, the most important first.
    pub reasons: Vec<String>,
    /// Expected load time from each cache tier, in milliseconds.
    pub load_times: LoadEstimates,
    /// Number of runners that can't take a replica, by reason.
    pub refused_runners: BTreeMap<String, u32>,
    /// Runners that could take a replica now.
    pub fitting_runners: Vec<FittingRunner>,
    /// Latest decisions, the newest first.
    pub decisions: Vec<JournalEntry>,
}

/// A runner that could take a replica.
#[derive(Debug, Clone, serde::Serialize)]
pub struct FittingRunner {
    /// The runner.
    pub runner: RunnerId,
    /// Free accelerator memory, in MiB.
    pub free_mib: u64,
    /// The fastest tier that holds the checkpoint.
    pub tier: CacheTier,
}

/// Explains one deployment; `None` when it is not configured.
#[must_use]
pub fn explain(context: &ControllerContext, name: &DeploymentName) -> Option<Explanation> {
    let scheduler = &context.scheduler;
    let view = view_now(context, scheduler);
    let deployment = view.deployment(name)?;
    let (policy, policy_reasons) = {
        let planner = scheduler.planner();
        (planner.policy_name(), planner.explain(&view, name))
    };
    let mut reasons = replica_reasons(&view, deployment);
    reasons.extend(demand_reason(&view, deployment));
    reasons.extend(store_reason(&view.store, scheduler.loads().store_is_slow()));
    reasons.extend(limit_reason(&view, deployment));
    reasons.extend(policy_reasons);
    let (fitting_runners, refused_runners) = runners(&view, deployment);
    Some(Explanation {
        deployment: name.clone(),
        policy,
        reasons,
        load_times: deployment.expected_load(),
        refused_runners,
        fitting_runners,
        decisions: scheduler.journal.of(name),
    })
}

fn replica_reasons(view: &ClusterView, deployment: &DeploymentView) -> Vec<String> {
    if deployment.replicas.is_empty() {
        return vec!["not loaded: no replica is decided".to_owned()];
    }
    let replicas = deployment.replicas.iter();
    replicas.map(|one| replica_reason(view, one)).collect()
}

fn replica_reason(view: &ClusterView, replica: &ReplicaView) -> String {
    let seconds = |since: Timestamp| view.now.since(since).0 / 1000;
    let runner = view.runner(&replica.runner);
    let health = match runner {
        Some(one) if one.state == MachineState::Leaving => ", whose machine is leaving",
        Some(one) if one.reachable => "",
        _ => ", which is silent; its memory stays reserved and it counts as a replica",
    };
    format!(
        "{:?} on {}{health} for {} s, {} requests running, last used {} s ago",
        replica.phase,
        replica.runner,
        seconds(replica.since),
        replica.running,
        seconds(replica.last_used)
    )
}

fn demand_reason(view: &ClusterView, deployment: &DeploymentView) -> Option<String> {
    let demand = &deployment.demand;
    let last = demand.last_arrival.map_or_else(
        || "no request since this controller leads".to_owned(),
        |at| format!("last request {} s ago", view.now.since(at).0 / 1000),
    );
    Some(format!(
        "demand: {} critical, {} interactive, {} batch waiting; {} running; {last}",
        demand.waiting_critical, demand.waiting_interactive, demand.waiting_batch, demand.running
    ))
}

fn store_reason(store: &WeightStoreView, slow: bool) -> Option<String> {
    let slow = if slow {
        "; it is slow, so fewer loads run together"
    } else {
        ""
    };
    let full = store.active_loads >= store.concurrency_limit || store.starts_available == 0;
    let waits = if full {
        "; loads from it wait for their turn"
    } else {
        ""
    };
    Some(format!(
        "weight store: {} of {} loads run{slow}{waits}",
        store.active_loads, store.concurrency_limit
    ))
}

fn limit_reason(view: &ClusterView, deployment: &DeploymentView) -> Option<String> {
    let counted = view.count_against_limit(deployment);
    let limit = deployment.document.max_replicas;
    (counted >= limit).then(|| format!("{counted} of at most {limit} replicas are decided"))
}

fn runners(
    view: &ClusterView,
    deployment: &DeploymentView,
) -> (Vec<FittingRunner>, BTreeMap<String, u32>) {
    let mut fitting = Vec::new();
    let mut refused = BTreeMap::new();
    for runner in &view.runners {
        match obstacle(runner, deployment) {
            Some(obstacle) => *refused.entry(obstacle.to_owned()).or_default() += 1,
            None => fitting.push(FittingRunner {
                runner: runner.runner.clone(),
                free_mib: runner.free_mib(),
                tier: runner.tier_of(&deployment.document.model),
            }),
        }
    }
    (fitting, refused)
}

fn obstacle(runner: &RunnerView, deployment: &DeploymentView) -> Option<&'static str> {
    let document = &deployment.document;
    let mut replicas = deployment.replicas.iter();
    if replicas.any(|one| one.runner == runner.runner) {
        return Some("has a replica");
    }
    if runner.state != MachineState::Live {
        return Some("machine leaving or gone");
    }
    if !runner.reachable {
        return Some("silent");
    }
    if runner.avoid.contains(&document.model) {
        return Some("failed to load it a short while ago");
    }
    if runner.free_mib() < document.replica_memory_mib() {
        return Some("too little free accelerator memory");
    }
    None
}
