//! `GET /admin/v1/overview`: summary of the control group, routers, runners and deployments.

use crate::ControllerContext;
use crate::feed::RegisteredRouter;
use courseshunt_consensus::MembersView;
use courseshunt_membership::Redundancy;
use courseshunt_state::{ReplicaPhase, ReplicaRecord, ReplicatedState, RunnerRecord};
use courseshunt_types::overview::{
    ControlGroupOverview, DeploymentOverview, Overview, ReplicaOverview, RouterOverview,
    RunnerOverview, Warmth,
};
use courseshunt_types::{ControllerId, DeploymentDocument, Millis, Revision};

/// Builds the overview from the current state.
pub async fn overview(context: &ControllerContext) -> Overview {
    let members = context.replica.members().await;
    let status = context.replica.status().borrow().clone();
    let leads = status.leads();
    let routers = context.routers.all();
    let state = context.replica.state();
    let revision = state.configuration.revision;
    let runners = state.placement.runners.values();
    let documents = state.configuration.deployments.values();
    Overview {
        controller: context.settings.id,
        role: format!("{:?}", status.role).to_lowercase(),
        term: status.term,
        leader: status.leader,
        applied: state.applied,
        revision,
        control_group: leads.then(|| control_group(context.settings.id, &members)),
        routers: routers.iter().map(|one| router(one, revision)).collect(),
        runners: runners.map(|one| runner(one, &state)).collect(),
        deployments: documents
            .map(|stored| deployment(&stored.document, &state, context))
            .collect(),
    }
}

fn control_group(own: ControllerId, members: &MembersView) -> ControlGroupOverview {
    let redundancy = Redundancy::of(own, members, 0);
    ControlGroupOverview {
        voters: redundancy.voters,
        live_voters: redundancy.live_voters,
        bearable_losses: redundancy.bearable_losses,
    }
}

fn router(known: &RegisteredRouter, revision: Revision) -> RouterOverview {
    RouterOverview {
        router: known.endpoint.router.clone(),
        zone: known.endpoint.zone.clone(),
        http_address: known.http_address.clone(),
        revision: known.revision,
        behind: revision.0.saturating_sub(known.revision.0),
    }
}

fn runner(record: &RunnerRecord, state: &ReplicatedState) -> RunnerOverview {
    let replicas = state.placement.replicas.values();
    let here = replicas.filter(|one| one.replica.runner == record.runner);
    RunnerOverview {
        runner: record.runner.clone(),
        zone: record.zone.clone(),
        state: record.state,
        memory_mib: record.memory_mib,
        reserved_mib: here.map(|one| one.memory_mib).sum(),
    }
}

fn deployment(
    document: &DeploymentDocument,
    state: &ReplicatedState,
    context: &ControllerContext,
) -> DeploymentOverview {
    let records = state.placement.replicas.values();
    let records = records.filter(|one| one.replica.deployment == document.name);
    let records: Vec<&ReplicaRecord> = records.collect();
    let demand = context.demand.view(&document.name);
    let oldest = demand.oldest_arrival;
    DeploymentOverview {
        deployment: document.name.clone(),
        warmth: warmth(&records),
        replicas: records.iter().map(|record| replica(record)).collect(),
        max_replicas: document.max_replicas,
        waiting_critical: demand.waiting_critical,
        waiting_interactive: demand.waiting_interactive,
        waiting_batch: demand.waiting_batch,
        running: demand.running,
        oldest_wait_ms: oldest.map_or(Millis(0), |at| context.clock.now().since(at)),
    }
}

fn warmth(records: &[&ReplicaRecord]) -> Warmth {
    let any = |phase: ReplicaPhase| records.iter().any(|one| one.phase == phase);
    match (any(ReplicaPhase::Ready), any(ReplicaPhase::Loading)) {
        (true, _) => Warmth::Warm,
        (false, true) => Warmth::Loading,
        (false, false) => Warmth::Cold,
    }
}

fn replica(record: &ReplicaRecord) -> ReplicaOverview {
    ReplicaOverview {
        runner: record.replica.runner.clone(),
        phase: format!("{:?}", record.phase).to_lowercase(),
        fence: record.fence,
    }
}
