//! Builds orders for runners from the replicated state.

use crate::ControllerContext;
use courseshunt_state::ReplicatedState;
use courseshunt_types::runner_api::{CacheTier, OrderAction, OrderRequest};
use courseshunt_types::{DeploymentDocument, DeploymentName, Fence, ReplicaKey, RunnerId};

/// Prefix of the names under which runners keep the fences of staging orders. It can't collide
/// with a deployment, since names of deployments contain no tilde.
const STAGING_PREFIX: &str = "~stage/";

/// The order that loads a decided replica; `None` when the replica or its deployment no longer
/// exists.
#[must_use]
pub fn load_order(
    state: &ReplicatedState,
    replica: &ReplicaKey,
    fence: Fence,
) -> Option<OrderRequest> {
    let stored = state.configuration.deployments.get(&replica.deployment)?;
    let document = &stored.document;
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
        incarnation: Some(record.incarnation),
        action,
    })
}

/// The order that unloads a deployment from a runner.
#[must_use]
pub fn unload_order(
    state: &ReplicatedState,
    runner: &RunnerId,
    deployment: &DeploymentName,
    fence: Fence,
) -> OrderRequest {
    let record = state.placement.runners.get(runner);
    OrderRequest {
        fence,
        deployment: deployment.clone(),
        incarnation: record.map(|record| record.incarnation),
        action: OrderAction::Unload,
    }
}

/// The order that copies a checkpoint to a cache tier of a runner. Its fence carries the current
/// term, so that runners reject the staging of a deposed leader.
#[must_use]
pub fn stage_order(
    context: &ControllerContext,
    document: &DeploymentDocument,
    runner: &RunnerId,
    tier: CacheTier,
) -> OrderRequest {
    let term = context.replica.status().borrow().term;
    let state = context.replica.state();
    let record = state.placement.runners.get(runner);
    OrderRequest {
        fence: Fence {
            term,
            sequence: state.applied.0,
        },
        deployment: DeploymentName(format!("{STAGING_PREFIX}{}", document.model)),
        incarnation: record.map(|record| record.incarnation),
        action: OrderAction::Stage {
            model: document.model.clone(),
            checkpoint_mib: document.checkpoint_size_mib(),
            tier,
        },
    }
}
