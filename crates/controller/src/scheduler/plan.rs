//! Runs the planner on every change of demand or status and at a fixed interval: decide, commit,
//! order.

use super::SchedulerState;
use super::client::{OrderOutcome, RunnerClient};
use super::journal::deployment_of;
use super::orders::{stage_order, unload_order};
use super::repair::order_load;
use super::takeover::Takeover;
use super::view::{cluster_view, present};
use crate::ControllerContext;
use courseshunt_placement::{ClusterView, Decision, DecisionKind, DemandEvent};
use courseshunt_state::{Command, CommandReply, ReplicaPhase};
use courseshunt_types::runner_api::{CacheTier, MachineState};
use courseshunt_types::{
    DeploymentDocument, DeploymentName, Fence, ModelName, PriorityClass, ReplicaKey, RunnerId,
    Timestamp,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Longest time between plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before a plan, so that a burst of signals causes one plan.
const PLAN_DELAY: Duration = Duration::from_millis(5);

/// Runs the planner until cancelled.
pub async fn run(context: ControllerContext, scheduler: Arc<SchedulerState>) {
    let mut status = context.replica.status();
    let mut takeover: Option<Takeover> = None;
    loop {
        tokio::select! {
            () = context.demand.changed() => {}
            changed = status.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            () = tokio::time::sleep(PLAN_INTERVAL) => {}
        }
        tokio::time::sleep(PLAN_DELAY).await;
        observe(&context, &scheduler);
        let (leads, term) = {
            let status = status.borrow_and_update();
            (status.leads(), status.term)
        };
        if !leads {
            takeover = None;
            continue;
        }
        if takeover.is_none_or(|one| one.term != term) {
            takeover = begin_leadership(&context, &scheduler, term).await;
        }
        if takeover.is_some_and(|one| may_plan(&context, &scheduler, one)) {
            plan_once(&context, &scheduler).await;
        }
    }
}

/// Begins a leadership after everything committed before it has been applied here.
async fn begin_leadership(
    context: &ControllerContext,
    scheduler: &SchedulerState,
    term: courseshunt_types::Term,
) -> Option<Takeover> {
    context.replica.read_barrier().await.ok()?;
    scheduler.loads().clear();
    let began = context.clock.now();
    log::info!("scheduler: leads in term {term}");
    Some(Takeover { term, began })
}

fn may_plan(context: &ControllerContext, scheduler: &SchedulerState, takeover: Takeover) -> bool {
    let state = context.replica.state();
    let runners = state.placement.runners.values();
    let in_service = runners.filter(|one| one.state != MachineState::Gone);
    let holders = in_service.filter(|one| {
        let mut replicas = state.placement.on_runner(&one.runner);
        replicas.next().is_some()
    });
    let holders = holders.map(|one| &one.runner);
    let answered = |runner: &RunnerId| scheduler.runners.answered_since(runner, takeover.began);
    takeover.may_plan(context.clock.now(), holders, answered)
}

fn observe(context: &ControllerContext, scheduler: &SchedulerState) {
    let at = context.clock.now();
    let mut planner = scheduler.planner();
    for arrivals in context.demand.take_arrivals() {
        for class in PriorityClass::ALL {
            let count = arrivals.count.of(class);
            if count == 0 {
                continue;
            }
            planner.observe(&DemandEvent::Arrived {
                deployment: arrivals.deployment.clone(),
                class,
                count,
                at,
            });
        }
    }
}

async fn plan_once(context: &ControllerContext, scheduler: &Arc<SchedulerState>) {
    let view = view_now(context, scheduler);
    let mut decisions = unload_unconfigured(context);
    decisions.extend(scheduler.planner().plan(&view));
    let mut commits = JoinSet::new();
    for decision in decisions {
        let source = source_of(&view, &decision.kind);
        let execution = execute(context.clone(), scheduler.clone(), decision, source);
        commits.spawn(execution);
    }
    while commits.join_next().await.is_some() {}
}

/// The planner's view of the cluster at this moment.
pub fn view_now(context: &ControllerContext, scheduler: &SchedulerState) -> ClusterView {
    let moment = present(context.clock.now());
    let state = context.replica.state();
    cluster_view(&state, scheduler, &context.demand, moment)
}

/// Decisions to unload replicas whose deployments were removed from the configuration.
fn unload_unconfigured(context: &ControllerContext) -> Vec<Decision> {
    let state = context.replica.state();
    let replicas = state.placement.replicas.values();
    let orphans = replicas.filter(|record| {
        let deployment = &record.replica.deployment;
        record.phase != ReplicaPhase::Withdrawn
            && !state.configuration.deployments.contains_key(deployment)
    });
    let decisions = orphans.map(|record| Decision {
        kind: DecisionKind::Unload {
            deployment: record.replica.deployment.clone(),
            runner: record.replica.runner.clone(),
        },
        reason: "the deployment is no longer configured".to_owned(),
    });
    decisions.collect()
}

/// The tier from which a load or staging reads the checkpoint.
fn source_of(view: &ClusterView, kind: &DecisionKind) -> CacheTier {
    let (model, runner) = match kind {
        DecisionKind::Load { deployment, runner } => {
            let model = view.deployment(deployment).map(|one| &one.document.model);
            (model, runner)
        }
        DecisionKind::Stage { model, runner, .. } => (Some(model), runner),
        DecisionKind::Unload { .. } => return CacheTier::Accelerator,
    };
    let tier = model.zip(view.runner(runner));
    tier.map_or(CacheTier::Remote, |(model, runner)| runner.tier_of(model))
}

/// Commits a decision and starts to send its order. It does not wait for the order, since an
/// unresponsive runner must not delay the next plan.
async fn execute(
    context: ControllerContext,
    scheduler: Arc<SchedulerState>,
    decision: Decision,
    source: CacheTier,
) {
    log::info!("scheduler: {:?}: {}", decision.kind, decision.reason);
    let outcome = match &decision.kind {
        DecisionKind::Load { deployment, runner } => {
            let replica = replica_key(deployment, runner);
            load(&context, &scheduler, replica, source).await
        }
        DecisionKind::Unload { deployment, runner } => {
            unload(&context, replica_key(deployment, runner)).await
        }
        DecisionKind::Stage {
            model,
            runner,
            tier,
        } => stage(&context, &scheduler, model, runner, source, *tier).await,
    };
    if let Some(deployment) = deployment_of(&decision.kind).cloned() {
        scheduler.journal.note(&deployment, decision, outcome);
    }
}

fn replica_key(deployment: &DeploymentName, runner: &RunnerId) -> ReplicaKey {
    ReplicaKey {
        deployment: deployment.clone(),
        runner: runner.clone(),
    }
}

async fn load(
    context: &ControllerContext,
    scheduler: &Arc<SchedulerState>,
    replica: ReplicaKey,
    source: CacheTier,
) -> String {
    let document = {
        let state = context.replica.state();
        let stored = state.configuration.deployments.get(&replica.deployment);
        stored.map(|stored| stored.document.clone())
    };
    let Some(document) = document else {
        return "no longer configured".to_owned();
    };
    let command = Command::PlaceReplica {
        replica: replica.clone(),
        memory_mib: document.replica_memory_mib(),
    };
    let fence = match commit(context, command).await {
        Ok(fence) => fence,
        Err(problem) => return problem,
    };
    let now = context.clock.now();
    scheduler.loads().begin(&replica, &document, source, now);
    let (context, scheduler) = (context.clone(), scheduler.clone());
    tokio::spawn(async move {
        let Some(address) = address_of(&context, &replica.runner) else {
            return;
        };
        let client = RunnerClient::new(&context, &replica.runner, &address);
        order_load(&context, &scheduler, &client, &replica, fence).await;
    });
    format!("committed under fence {fence}")
}

async fn unload(context: &ControllerContext, replica: ReplicaKey) -> String {
    let fence = {
        let state = context.replica.state();
        let record = state.placement.replicas.get(&replica);
        record.map(|record| record.fence)
    };
    let Some(fence) = fence else {
        return "gone already".to_owned();
    };
    let command = Command::WithdrawReplica {
        replica: replica.clone(),
        fence,
    };
    let fence = match commit(context, command).await {
        Ok(fence) => fence,
        Err(problem) => return problem,
    };
    let context = context.clone();
    tokio::spawn(async move {
        let Some(address) = address_of(&context, &replica.runner) else {
            return;
        };
        let order = {
            let state = context.replica.state();
            unload_order(&state, &replica.runner, &replica.deployment, fence)
        };
        let client = RunnerClient::new(&context, &replica.runner, &address);
        client.order(&order).await;
    });
    format!("committed under fence {fence}")
}

/// Orders the copy of a checkpoint to a cache tier. Nothing is committed: a staging takes no
/// accelerator memory, and a lost order shows as a missing checkpoint in the inventory.
async fn stage(
    context: &ControllerContext,
    scheduler: &Arc<SchedulerState>,
    model: &ModelName,
    runner: &RunnerId,
    source: CacheTier,
    tier: CacheTier,
) -> String {
    let (Some(document), Some(address)) =
        (document_of(context, model), address_of(context, runner))
    else {
        return "no longer configured".to_owned();
    };
    let now = context.clock.now();
    scheduler
        .loads()
        .begin_staging(runner, &document, source, tier, now);
    let (context, scheduler) = (context.clone(), scheduler.clone());
    let runner = runner.clone();
    tokio::spawn(async move {
        let order = stage_order(&context, &document, &runner, tier);
        let client = RunnerClient::new(&context, &runner, &address);
        if let OrderOutcome::Rejected(_) = client.order(&order).await {
            let now: Timestamp = context.clock.now();
            scheduler
                .loads()
                .staging_refused(&runner, &document.model, now);
        }
    });
    "ordered".to_owned()
}

fn document_of(context: &ControllerContext, model: &ModelName) -> Option<DeploymentDocument> {
    let state = context.replica.state();
    let mut stored = state.configuration.deployments.values();
    let found = stored.find(|one| one.document.model == *model);
    found.map(|one| one.document.clone())
}

/// Commits a decision and returns its fence, or the reason why it has no effect.
async fn commit(context: &ControllerContext, command: Command) -> Result<Fence, String> {
    match context.replica.submit_as_leader(command).await {
        Ok(CommandReply::Placed { fence }) => Ok(fence),
        Ok(reply) => {
            log::info!("scheduler: decision rejected by the state machine: {reply:?}");
            Err(format!("dropped: {reply:?}"))
        }
        Err(error) => {
            log::warn!("scheduler: decision not committed: {error}");
            Err(format!("not committed: {error}"))
        }
    }
}

fn address_of(context: &ControllerContext, runner: &RunnerId) -> Option<String> {
    let state = context.replica.state();
    let record = state.placement.runners.get(runner)?;
    Some(record.address.clone())
}
