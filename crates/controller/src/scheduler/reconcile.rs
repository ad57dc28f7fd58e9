//! Compares decided replicas with a runner's inventory. Pure.
//!
//! Orders may be lost or late, and a leader may die between decision and
//! order. Whoever leads repeats this comparison until both sides agree. A load
//! that is on its way under the decided fence is adopted as it is.

use courseshunt_state::{ReplicaPhase, ReplicaRecord};
use courseshunt_types::runner_api::{Inventory, InventoryItem, LoadPhase};
use courseshunt_types::{DeploymentName, Fence, ReplicaKey};

/// What to do about one replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReconcileAction {
    /// Order the load, again perhaps.
    OrderLoad(ReplicaKey, Fence),
    /// Order the unload, again perhaps.
    OrderUnload(ReplicaKey, Fence),
    /// Order the unload once more so that no late load order can win, then
    /// record that the memory is free.
    FenceAndRelease(ReplicaKey, Fence),
    /// Record that the replica serves.
    Confirm(ReplicaKey, Fence),
    /// The runner lost a replica that it had taken on: withdraw it, so that
    /// routers leave it and the planner decides anew.
    Withdraw(ReplicaKey, Fence),
    /// Order the unload of a deployment that nobody decided, under the highest
    /// fence that the runner knows.
    OrderUnloadUndecided(DeploymentName, Fence),
}

/// What to do so that the runner holds what was decided. `records` are the
/// replicas decided on this runner, for the runner's present incarnation;
/// `was_accepted` tells whether the runner had taken the load order of a
/// replica before it was asked for the inventory.
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
