//! Decisions that no policy may omit: machines that are leaving are drained,
//! and replicas beyond the maximum are unloaded. Pure.
//!
//! Invariant: a replica on a leaving machine gets no new work anyway; it is
//! withdrawn at once, finishes what runs, and the policy sees the deployment
//! without it, so that it can replace it elsewhere.

use crate::decision::{Decision, DecisionKind};
use crate::view::{ClusterView, DeploymentView, ReplicaView};
use courseshunt_state::ReplicaPhase;
use std::borrow::Cow;

/// Unloads that the limits ask for.
#[must_use]
pub fn upkeep(view: &ClusterView) -> Vec<Decision> {
    let mut decisions = Vec::new();
    for deployment in &view.deployments {
        decisions.extend(drained(view, deployment));
        decisions.extend(surplus(view, deployment));
    }
    decisions
}

fn drained<'a>(
    view: &'a ClusterView,
    deployment: &'a DeploymentView,
) -> impl Iterator<Item = Decision> + 'a {
    let decided = deployment
        .replicas
        .iter()
        .filter(|one| one.phase != ReplicaPhase::Withdrawn);
    let leaving = decided.filter(|one| view.is_leaving(&one.runner));
    leaving.map(|replica| unload(deployment, replica, "its machine is leaving"))
}

/// The least used replicas beyond the maximum.
fn surplus(view: &ClusterView, deployment: &DeploymentView) -> Vec<Decision> {
    let mut staying: Vec<&ReplicaView> = deployment
        .replicas
        .iter()
        .filter(|one| one.phase != ReplicaPhase::Withdrawn && !view.is_leaving(&one.runner))
        .collect();
    let limit = deployment.document.max_replicas as usize;
    let beyond = staying.len().saturating_sub(limit);
    staying.sort_by_key(|one| (one.running, one.last_used));
    staying
        .into_iter()
        .take(beyond)
        .map(|replica| unload(deployment, replica, "more replicas than the maximum"))
        .collect()
}

fn unload(deployment: &DeploymentView, replica: &ReplicaView, reason: &str) -> Decision {
    let kind = DecisionKind::Unload {
        deployment: deployment.name().clone(),
        runner: replica.runner.clone(),
    };
    Decision {
        kind,
        reason: reason.to_owned(),
    }
}

/// The view without replicas on leaving machines, for policies.
#[must_use]
pub fn without_leaving(view: &ClusterView) -> Cow<'_, ClusterView> {
    let leaves = |replica: &ReplicaView| view.is_leaving(&replica.runner);
    let any = view
        .deployments
        .iter()
        .any(|one| one.replicas.iter().any(leaves));
    if !any {
        return Cow::Borrowed(view);
    }
    let mut staying = view.clone();
    for deployment in &mut staying.deployments {
        deployment.replicas.retain(|one| !leaves(one));
    }
    Cow::Owned(staying)
}
