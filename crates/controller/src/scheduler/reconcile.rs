//! Compares decided replicas with a runner's inventory. Pure.
//!
//! Orders may be lost or late, and a leader may die between decision and
//! order. Whoever leads repeats this comparison until both sides agree.

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
    /// Order the unload of a deployment that nobody decided, under the highest
    /// fence that the runner knows.
    OrderUnloadUndecided(DeploymentName, Fence),
}

/// What to do so that the runner holds what was decided. `records` are the
/// replicas decided on this runner, for the runner's present incarnation.
#[must_use]
pub fn reconcile(records: &[ReplicaRecord], inventory: &Inventory) -> Vec<ReconcileAction> {
    let mut actions: Vec<ReconcileAction> = records
        .iter()
        .filter_map(|record| reconcile_one(record, held(inventory, record)))
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

fn reconcile_one(record: &ReplicaRecord, held: Option<&InventoryItem>) -> Option<ReconcileAction> {
    let replica = record.replica.clone();
    let fence = record.fence;
    match (record.phase, held.map(|item| item.phase)) {
        (ReplicaPhase::Loading | ReplicaPhase::Ready, None) => {
            Some(ReconcileAction::OrderLoad(replica, fence))
        }
        (ReplicaPhase::Loading, Some(LoadPhase::Ready)) => {
            Some(ReconcileAction::Confirm(replica, fence))
        }
        (ReplicaPhase::Withdrawn, None) => Some(ReconcileAction::FenceAndRelease(replica, fence)),
        (ReplicaPhase::Withdrawn, Some(LoadPhase::Loading | LoadPhase::Ready)) => {
            Some(ReconcileAction::OrderUnload(replica, fence))
        }
        _ => None,
    }
}
