//! Runs the planner on every change of demand or state.

use super::runners::{RunnerBook, RunnerClient, load_order, unload_order};
use crate::ControllerContext;
use courseshunt_placement::{
    CacheView, ClusterView, Decision, DecisionKind, DemandEvent, DeploymentView, Planner,
    ReplicaView, RunnerView, WeightStoreView,
};
use courseshunt_state::{Command, CommandReply, ReplicaPhase, ReplicatedState, RunnerRecord};
use courseshunt_types::{
    DeploymentName, Fence, Millis, PriorityClass, ReplicaKey, RunnerId, Timestamp, UnixMillis,
};
use std::sync::Arc;
use std::time::Duration;

/// Longest time between plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// A runner whose inventory is older counts as unreachable.
const REACHABLE_FOR: Millis = Millis::from_secs(3);
/// Milliseconds of a day.
const DAY: u64 = 24 * 3600 * 1000;

/// Plans until cancelled.
pub async fn run(context: ControllerContext, book: Arc<RunnerBook>, mut planner: Planner) {
    let mut status = context.replica.status();
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
        observe(&context, &mut planner);
        if !status.borrow_and_update().leads() {
            continue;
        }
        let view = view(&context, &book);
        for decision in planner.plan(&view) {
            carry_out(&context, &decision).await;
        }
    }
}

fn observe(context: &ControllerContext, planner: &mut Planner) {
    let at = context.clock.now();
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

fn view(context: &ControllerContext, book: &RunnerBook) -> ClusterView {
    let now = context.clock.now();
    let state = context.replica.state();
    let runners = state.placement.runners.values();
    let runners = runners.map(|record| runner_view(&state, book, record, now));
    let deployments = state
        .configuration
        .deployments
        .values()
        .map(|stored| DeploymentView {
            document: Arc::new(stored.document.clone()),
            demand: context.demand.view(&stored.document.name),
            replicas: replica_views(&state, context, &stored.document.name, now),
            load_times: None,
        });
    let loading = state.placement.replicas.values();
    let loading = loading
        .filter(|one| one.phase == ReplicaPhase::Loading)
        .count();
    ClusterView {
        now,
        time_of_day: Millis(UnixMillis::now().0 % DAY),
        runners: runners.collect(),
        deployments: deployments.collect(),
        store: WeightStoreView {
            active_loads: u32::try_from(loading).unwrap_or(u32::MAX),
            concurrency_limit: context.settings.store_concurrency,
            starts_available: context.settings.store_loads_per_second,
        },
    }
}

fn runner_view(
    state: &ReplicatedState,
    book: &RunnerBook,
    record: &RunnerRecord,
    now: Timestamp,
) -> RunnerView {
    let seen = book.get(&record.runner);
    let fresh = seen
        .as_ref()
        .is_some_and(|seen| now.since(seen.at) < REACHABLE_FOR);
    let inventory = seen.map(|seen| seen.inventory);
    let (host_memory_mib, disk_mib) = match &inventory {
        Some(inventory) => (inventory.host_memory_mib, inventory.disk_mib),
        None => (0, 0),
    };
    let cached = inventory
        .map(|inventory| inventory.cached)
        .unwrap_or_default();
    let cached = cached.into_iter().map(|item| CacheView {
        model: item.model,
        tier: item.tier,
        size_mib: item.size_mib,
    });
    RunnerView {
        runner: record.runner.clone(),
        zone: record.zone.clone(),
        accelerators: record.accelerators,
        memory_mib: record.memory_mib,
        reserved_mib: state.placement.reserved_mib(&record.runner),
        host_memory_mib,
        disk_mib,
        state: record.state,
        reachable: fresh,
        cached: cached.collect(),
        staging: Vec::new(),
        avoid: Vec::new(),
    }
}

fn replica_views(
    state: &ReplicatedState,
    context: &ControllerContext,
    deployment: &DeploymentName,
    now: Timestamp,
) -> Vec<ReplicaView> {
    let demand = context.demand.view(deployment);
    let last_used = demand.last_arrival.unwrap_or(Timestamp(0));
    let records = state.placement.replicas.values();
    let records = records.filter(|record| record.replica.deployment == *deployment);
    let views = records.map(|record| ReplicaView {
        runner: record.replica.runner.clone(),
        fence: record.fence,
        phase: record.phase,
        since: now,
        last_used: if demand.running > 0 { now } else { last_used },
        running: demand.running,
    });
    views.collect()
}

async fn carry_out(context: &ControllerContext, decision: &Decision) {
    log::info!("scheduler: {:?}: {}", decision.kind, decision.reason);
    match &decision.kind {
        DecisionKind::Load { deployment, runner } => {
            load(context, replica_key(deployment, runner)).await;
        }
        DecisionKind::Unload { deployment, runner } => {
            unload(context, replica_key(deployment, runner)).await;
        }
        DecisionKind::Stage { .. } => {}
    }
}

fn replica_key(deployment: &DeploymentName, runner: &RunnerId) -> ReplicaKey {
    ReplicaKey {
        deployment: deployment.clone(),
        runner: runner.clone(),
    }
}

async fn load(context: &ControllerContext, replica: ReplicaKey) {
    let memory = {
        let state = context.replica.state();
        let stored = state.configuration.deployments.get(&replica.deployment);
        stored.map(|stored| stored.document.replica_memory_mib())
    };
    let Some(memory_mib) = memory else {
        return;
    };
    let place = Command::PlaceReplica {
        replica: replica.clone(),
        memory_mib,
    };
    let Some(fence) = decide(context, place).await else {
        return;
    };
    let address = address_of(context, &replica.runner);
    let order = load_order(context, &replica, fence);
    if let (Some(address), Some(order)) = (address, order) {
        RunnerClient::new(context, &address).order(&order).await;
    }
}

async fn unload(context: &ControllerContext, replica: ReplicaKey) {
    let record = context
        .replica
        .state()
        .placement
        .replicas
        .get(&replica)
        .cloned();
    let Some(record) = record else {
        return;
    };
    let withdraw = Command::WithdrawReplica {
        replica: replica.clone(),
        fence: record.fence,
    };
    let Some(fence) = decide(context, withdraw).await else {
        return;
    };
    if let Some(address) = address_of(context, &replica.runner) {
        let order = unload_order(replica.deployment, fence);
        RunnerClient::new(context, &address).order(&order).await;
    }
}

/// Commits a decision; its fence when it was accepted.
async fn decide(context: &ControllerContext, command: Command) -> Option<Fence> {
    match context.replica.submit_as_leader(command).await {
        Ok(CommandReply::Placed { fence }) => Some(fence),
        Ok(reply) => {
            log::info!("scheduler: decision dropped: {reply:?}");
            None
        }
        Err(error) => {
            log::warn!("scheduler: decision not committed: {error}");
            None
        }
    }
}

fn address_of(context: &ControllerContext, runner: &RunnerId) -> Option<String> {
    let state = context.replica.state();
    let record = state.placement.runners.get(runner)?;
    Some(record.address.clone())
}
