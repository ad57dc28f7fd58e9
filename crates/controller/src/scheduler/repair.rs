//! Executes the actions that result from reconciling a runner with the log.

use super::SchedulerState;
use super::client::{OrderOutcome, RunnerClient};
use super::orders::{load_order, unload_order};
use super::reconcile::ReconcileAction;
use super::watch::submit;
use crate::ControllerContext;
use courseshunt_state::{Command, CommandReply};
use courseshunt_types::runner_api::OrderRejection;
use courseshunt_types::{DeploymentName, Fence, ReplicaKey, RunnerId};

/// Executes one action on `runner`.
pub async fn execute_action(
    context: &ControllerContext,
    scheduler: &SchedulerState,
    client: &RunnerClient<'_>,
    runner: &RunnerId,
    action: ReconcileAction,
) {
    match action {
        ReconcileAction::OrderLoad(replica, fence) => {
            order_load(context, scheduler, client, &replica, fence).await;
        }
        ReconcileAction::OrderUnload(replica, fence) => {
            order_unload(context, client, runner, &replica.deployment, fence).await;
        }
        ReconcileAction::FenceAndRelease(replica, fence) => {
            let deployment = &replica.deployment;
            let outcome = order_unload(context, client, runner, deployment, fence).await;
            if outcome == OrderOutcome::Accepted && client.is_free_of(deployment).await {
                submit(context, Command::ReleaseReplica { replica, fence }).await;
            }
        }
        ReconcileAction::Confirm(replica, fence) => {
            confirm(context, scheduler, replica, fence).await;
        }
        ReconcileAction::Withdraw(replica, fence) => {
            log::warn!(
                "scheduler: replica {replica} is missing from its runner's inventory; withdrawing"
            );
            withdraw_failed(context, scheduler, replica, fence).await;
        }
        ReconcileAction::OrderUnloadUndecided(deployment, fence) => {
            unload_undecided(context, client, runner, &deployment, fence).await;
        }
    }
}

/// Sends the order of a decided load. When the runner rejects it, the replica is withdrawn, so
/// that the planner decides again and the reservation is released in the regular way.
pub async fn order_load(
    context: &ControllerContext,
    scheduler: &SchedulerState,
    client: &RunnerClient<'_>,
    replica: &ReplicaKey,
    fence: Fence,
) {
    let order = load_order(&context.replica.state(), replica, fence);
    let Some(order) = order else {
        return;
    };
    match client.order(&order).await {
        OrderOutcome::Accepted => {
            let now = context.clock.now();
            scheduler.loads().order_accepted(replica, fence, now);
        }
        OrderOutcome::Rejected(
            OrderRejection::OutOfMemory { .. }
            | OrderRejection::Draining
            | OrderRejection::Invalid { .. },
        ) => withdraw_failed(context, scheduler, replica.clone(), fence).await,
        OrderOutcome::Rejected(
            OrderRejection::StaleFence { .. } | OrderRejection::OtherIncarnation { .. },
        )
        | OrderOutcome::Unknown => {}
    }
}

async fn order_unload(
    context: &ControllerContext,
    client: &RunnerClient<'_>,
    runner: &RunnerId,
    deployment: &DeploymentName,
    fence: Fence,
) -> OrderOutcome {
    let order = unload_order(&context.replica.state(), runner, deployment, fence);
    client.order(&order).await
}

async fn confirm(
    context: &ControllerContext,
    scheduler: &SchedulerState,
    replica: ReplicaKey,
    fence: Fence,
) {
    let command = Command::ConfirmReplica {
        replica: replica.clone(),
        fence,
    };
    match context.replica.submit_as_leader(command).await {
        Ok(CommandReply::Done { .. }) => {
            scheduler.loads().finished(&replica, context.clock.now());
        }
        Ok(reply) => log::info!("scheduler: {replica} not confirmed: {reply:?}"),
        Err(error) => log::warn!("scheduler: confirming {replica} failed: {error}"),
    }
}

async fn withdraw_failed(
    context: &ControllerContext,
    scheduler: &SchedulerState,
    replica: ReplicaKey,
    fence: Fence,
) {
    let model = {
        let state = context.replica.state();
        let stored = state.configuration.deployments.get(&replica.deployment);
        stored.map(|stored| stored.document.model.clone())
    };
    if let Some(model) = model {
        let now = context.clock.now();
        scheduler.loads().failed(&replica, &model, now);
    }
    submit(context, Command::WithdrawReplica { replica, fence }).await;
}

/// Unloads a deployment without a decided replica. The read barrier comes first: a partitioned
/// member that still considers itself the leader must not unload what a newer leader decided.
async fn unload_undecided(
    context: &ControllerContext,
    client: &RunnerClient<'_>,
    runner: &RunnerId,
    deployment: &DeploymentName,
    fence: Fence,
) {
    if context.replica.read_barrier().await.is_err() {
        return;
    }
    let decided = {
        let state = context.replica.state();
        let replica = ReplicaKey {
            deployment: deployment.clone(),
            runner: runner.clone(),
        };
        state.placement.replicas.contains_key(&replica)
    };
    if !decided {
        log::info!("scheduler: unloading {deployment} from {runner}: no replica is decided there");
        order_unload(context, client, runner, deployment, fence).await;
    }
}
