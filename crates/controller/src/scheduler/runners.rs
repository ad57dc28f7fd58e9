//! Watches the platform's list and the runners' inventories, and sends orders.

use super::reconcile::{ReconcileAction, reconcile};
use crate::ControllerContext;
use courseshunt_http::{HttpError, Reply};
use courseshunt_state::{Command, ReplicaRecord, RunnerRecord};
use courseshunt_types::runner_api::{
    Inventory, MachineItem, MachineState, OrderAction, OrderRequest,
};
use courseshunt_types::{DeploymentName, Fence, ReplicaKey, RunnerId, Timestamp};
use hyper::Method;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time between readings of the platform's list and the inventories.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Longest call to a runner or the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The last inventory of each runner. Soft state.
#[derive(Debug, Default)]
pub struct RunnerBook {
    seen: Mutex<BTreeMap<RunnerId, SeenRunner>>,
}

/// A runner's last inventory.
#[derive(Debug, Clone)]
pub struct SeenRunner {
    /// The inventory.
    pub inventory: Inventory,
    /// When it was read.
    pub at: Timestamp,
}

impl RunnerBook {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<RunnerId, SeenRunner>> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The last inventory of a runner.
    #[must_use]
    pub fn get(&self, runner: &RunnerId) -> Option<SeenRunner> {
        self.lock().get(runner).cloned()
    }

    fn record(&self, inventory: Inventory, at: Timestamp) {
        let runner = inventory.runner.clone();
        self.lock().insert(runner, SeenRunner { inventory, at });
    }
}

/// Calls one runner's control interface.
#[derive(Debug, Clone)]
pub struct RunnerClient<'a> {
    context: &'a ControllerContext,
    address: &'a str,
}

impl<'a> RunnerClient<'a> {
    /// A client of the runner at `address`.
    #[must_use]
    pub fn new(context: &'a ControllerContext, address: &'a str) -> Self {
        Self { context, address }
    }

    async fn call(&self, path: &str, order: Option<&OrderRequest>) -> Result<Reply, HttpError> {
        let method = match order {
            Some(_) => Method::POST,
            None => Method::GET,
        };
        let token = Some(&*self.context.runner_token);
        let client = &self.context.client;
        client
            .call(method, self.address, path, token, order, CALL_TIMEOUT)
            .await
    }

    /// Reads the inventory.
    pub async fn inventory(&self) -> Option<Inventory> {
        let reply = self.call("/control/inventory", None).await.ok()?;
        serde_json::from_slice(&reply.body).ok()
    }

    /// Whether the runner surely holds nothing of a replica. Read after the
    /// fence has moved on: an earlier inventory may miss a late load.
    async fn is_free_of(&self, replica: &ReplicaKey) -> bool {
        let inventory = self.inventory().await;
        inventory.is_some_and(|inventory| {
            let mut held = inventory.deployments.iter();
            !held.any(|item| item.deployment == replica.deployment)
        })
    }

    /// Sends an order; returns whether the runner accepted it.
    pub async fn order(&self, order: &OrderRequest) -> bool {
        match self.call("/control/orders", Some(order)).await {
            Ok(reply) if reply.status.is_success() => true,
            Ok(reply) => {
                let text = String::from_utf8_lossy(&reply.body);
                log::warn!("scheduler: {} refused an order: {text}", self.address);
                false
            }
            Err(error) => {
                log::warn!("scheduler: order: {error}");
                false
            }
        }
    }
}

/// Watches until cancelled.
pub async fn watch(context: ControllerContext, book: Arc<RunnerBook>) {
    let mut interval = tokio::time::interval(WATCH_INTERVAL);
    loop {
        interval.tick().await;
        if !context.replica.status().borrow().leads() {
            continue;
        }
        for machine in machines(&context).await {
            visit(&context, &book, &machine).await;
        }
    }
}

async fn machines(context: &ControllerContext) -> Vec<MachineItem> {
    let address = context.settings.platform_address.to_string();
    let client = &context.client;
    let reply = client
        .call::<()>(Method::GET, &address, "/machines", None, None, CALL_TIMEOUT)
        .await;
    match reply {
        Ok(reply) => serde_json::from_slice(&reply.body).unwrap_or_default(),
        Err(error) => {
            log::warn!("scheduler: platform list: {error}");
            Vec::new()
        }
    }
}

async fn visit(context: &ControllerContext, book: &RunnerBook, machine: &MachineItem) {
    if machine.state == MachineState::Gone {
        record_state(context, &machine.runner, MachineState::Gone).await;
        return;
    }
    let client = RunnerClient::new(context, &machine.address);
    let Some(inventory) = client.inventory().await else {
        return;
    };
    record_runner(context, machine, &inventory).await;
    reconcile_runner(context, &client, &inventory).await;
    book.record(inventory, context.clock.now());
}

async fn record_state(context: &ControllerContext, runner: &RunnerId, state: MachineState) {
    let incarnation = {
        let replicated = context.replica.state();
        let known = replicated.placement.runners.get(runner);
        known
            .filter(|known| known.state != state)
            .map(|known| known.incarnation)
    };
    if let Some(incarnation) = incarnation {
        let runner = runner.clone();
        submit(
            context,
            Command::SetRunnerState {
                runner,
                incarnation,
                state,
            },
        )
        .await;
    }
}

async fn record_runner(context: &ControllerContext, machine: &MachineItem, inventory: &Inventory) {
    let state = match inventory.draining {
        true => MachineState::Leaving,
        false => machine.state,
    };
    let record = RunnerRecord {
        runner: inventory.runner.clone(),
        address: machine.address.clone(),
        zone: inventory.zone.clone(),
        incarnation: inventory.incarnation,
        accelerators: inventory.accelerators,
        memory_mib: inventory.memory_mib,
        state,
    };
    let known = context
        .replica
        .state()
        .placement
        .runners
        .get(&record.runner)
        .cloned();
    if known.as_ref() != Some(&record) {
        log::info!("scheduler: runner {} is {:?}", record.runner, record.state);
        submit(context, Command::RecordRunner(record)).await;
    }
}

async fn reconcile_runner(
    context: &ControllerContext,
    client: &RunnerClient<'_>,
    inventory: &Inventory,
) {
    let records: Vec<ReplicaRecord> = {
        let state = context.replica.state();
        let replicas = state.placement.replicas.values();
        let here = replicas.filter(|one| one.replica.runner == inventory.runner);
        here.filter(|one| one.incarnation == inventory.incarnation)
            .cloned()
            .collect()
    };
    for action in reconcile(&records, inventory) {
        carry_out(context, client, action).await;
    }
}

async fn carry_out(
    context: &ControllerContext,
    client: &RunnerClient<'_>,
    action: ReconcileAction,
) {
    match action {
        ReconcileAction::OrderLoad(replica, fence) => {
            if let Some(order) = load_order(context, &replica, fence) {
                client.order(&order).await;
            }
        }
        ReconcileAction::OrderUnload(replica, fence) => {
            client.order(&unload_order(replica.deployment, fence)).await;
        }
        ReconcileAction::FenceAndRelease(replica, fence) => {
            let order = unload_order(replica.deployment.clone(), fence);
            if client.order(&order).await && client.is_free_of(&replica).await {
                submit(context, Command::ReleaseReplica { replica, fence }).await;
            }
        }
        ReconcileAction::Confirm(replica, fence) => {
            submit(context, Command::ConfirmReplica { replica, fence }).await;
        }
        ReconcileAction::OrderUnloadUndecided(deployment, fence) => {
            client.order(&unload_order(deployment, fence)).await;
        }
    }
}

/// The order that loads a decided replica; `None` when its deployment is gone.
pub fn load_order(
    context: &ControllerContext,
    replica: &ReplicaKey,
    fence: Fence,
) -> Option<OrderRequest> {
    let state = context.replica.state();
    let document = &state
        .configuration
        .deployments
        .get(&replica.deployment)?
        .document;
    let record = state.placement.replicas.get(replica)?;
    let action = OrderAction::Load {
        model: document.model.clone(),
        checkpoint_mib: document.checkpoint_size_mib(),
        memory_mib: record.memory_mib,
        slots: document.slots_per_replica,
        adapters: document
            .adapters
            .iter()
            .map(|one| one.name.clone())
            .collect(),
    };
    Some(OrderRequest {
        fence,
        deployment: replica.deployment.clone(),
        action,
    })
}

/// The order that unloads a deployment.
pub fn unload_order(deployment: DeploymentName, fence: Fence) -> OrderRequest {
    OrderRequest {
        fence,
        deployment,
        action: OrderAction::Unload,
    }
}

async fn submit(context: &ControllerContext, command: Command) {
    if let Err(error) = context.replica.submit_as_leader(command).await {
        log::warn!("scheduler: {error}");
    }
}
