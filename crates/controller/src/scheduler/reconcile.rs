//! Compares the decided replicas with a runner's inventory. Pure.
//!
//! Invariant: a load in progress under the decided fence is adopted without a new order.
//! Orders may be lost or delayed, and a leader may fail between decision and order, so the
//! current leader repeats this comparison until both sides agree.

use courseshunt_state::{ReplicaPhase, ReplicaRecord};
use courseshunt_types::runner_api::{Inventory, InventoryItem, LoadPhase};
use courseshunt_types::{DeploymentName, Fence, ReplicaKey};

/// Action that brings one replica of a runner to the decided state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReconcileAction {
    /// Send the load order, possibly again.
    OrderLoad(ReplicaKey, Fence),
    /// Send the unload order, possibly again.
    OrderUnload(ReplicaKey, Fence),
    /// Send the unload order once more, so that the fence rejects a delayed load order, then
    /// record that the memory is free.
    FenceAndRelease(ReplicaKey, Fence),
    /// Record that the replica is ready.
    Confirm(ReplicaKey, Fence),
    /// The runner lost a replica whose load it had accepted: withdraw it, so that routers stop
    /// using it and the planner decides again.
    Withdraw(ReplicaKey, Fence),
    /// Send the unload order for a deployment without a decided replica, under the highest fence
    /// that the runner has.
    OrderUnloadUndecided(DeploymentName, Fence),
}

/// Actions that bring the runner to the decided state. `records` are the replicas decided for
/// the runner's current incarnation; `was_accepted` returns whether the runner had accepted the
/// load order of a replica before the inventory was requested.
#[must_use]
pub fn reconcile(
    records: &[ReplicaRecord],
    inventory: &Inventory,
    was_accepted: impl Fn(&ReplicaKey, Fence) -> bool,
) -> Vec<ReconcileAction> {
    let mut actions: Vec<ReconcileAction> = records
        .iter()
        .filter_map(|record| reconcile_one(record, held(inventory, record), &was_accepted))
        .collect();
    for item in &inventory.deployments {
        let decided = records
            .iter()
            .any(|one| one.replica.deployment == item.deployment);
        if !decided && item.phase != LoadPhase::Unloading {
            let deployment = item.deployment.clone();
            actions.push(ReconcileAction::OrderUnloadUndecided(
                deployment, item.fence,
            ));
        }
    }
    actions
}

fn held<'a>(inventory: &'a Inventory, record: &ReplicaRecord) -> Option<&'a InventoryItem> {
    let deployment = &record.replica.deployment;
    inventory
        .deployments
        .iter()
        .find(|item| item.deployment == *deployment)
}

fn reconcile_one(
    record: &ReplicaRecord,
    held: Option<&InventoryItem>,
    was_accepted: impl Fn(&ReplicaKey, Fence) -> bool,
) -> Option<ReconcileAction> {
    let replica = record.replica.clone();
    let fence = record.fence;
    let Some(item) = held else {
        return Some(match record.phase {
            ReplicaPhase::Loading if !was_accepted(&replica, fence) => {
                ReconcileAction::OrderLoad(replica, fence)
            }
            ReplicaPhase::Loading | ReplicaPhase::Ready => {
                ReconcileAction::Withdraw(replica, fence)
            }
            ReplicaPhase::Withdrawn => ReconcileAction::FenceAndRelease(replica, fence),
        });
    };
    if item.fence > fence || item.phase == LoadPhase::Unloading {
        return None;
    }
    if item.fence < fence {
        return Some(ReconcileAction::OrderUnload(replica, fence));
    }
    match (record.phase, item.phase) {
        (ReplicaPhase::Loading, LoadPhase::Ready) => Some(ReconcileAction::Confirm(replica, fence)),
        (ReplicaPhase::Withdrawn, _) => Some(ReconcileAction::OrderUnload(replica, fence)),
        _ => None,
    }
}
