//! Builds the updates of a feed from the replicated state.

use courseshunt_state::{ReplicaPhase, ReplicatedState};
use courseshunt_types::{Millis, Revision};
use courseshunt_wire::message::{
    ConfigurationUpdate, DeploymentReplicas, LoadingReplica, PlacementUpdate, RunnerEndpoint,
};
use std::collections::BTreeMap;

/// Changes of the configuration after `since`; everything when it is 0.
pub fn configuration(state: &ReplicatedState, since: Revision) -> ConfigurationUpdate {
    let configuration = &state.configuration;
    let changed = configuration
        .deployments
        .values()
        .filter(|one| one.revision > since);
    let removed = configuration
        .tombstones
        .iter()
        .filter(|(_, one)| one.revision > since);
    ConfigurationUpdate {
        full: since == Revision(0),
        revision: configuration.revision,
        deployments: changed.cloned().collect(),
        removed: removed.map(|(name, _)| name.clone()).collect(),
        tenants: Some(configuration.tenants.values().cloned().collect()),
        more: false,
    }
}

/// All runners and replicas.
pub fn placement(state: &ReplicatedState) -> PlacementUpdate {
    let placement = &state.placement;
    let runners = placement.runners.values().map(|record| RunnerEndpoint {
        runner: record.runner.clone(),
        address: record.address.clone(),
        incarnation: record.incarnation,
        zone: record.zone.clone(),
        state: record.state,
    });
    let mut deployments = BTreeMap::new();
    for name in state.configuration.deployments.keys() {
        deployments.insert(
            name,
            DeploymentReplicas {
                deployment: name.clone(),
                ready: Vec::new(),
                loading: Vec::new(),
            },
        );
    }
    for (key, record) in &placement.replicas {
        let Some(entry) = deployments.get_mut(&key.deployment) else {
            continue;
        };
        match record.phase {
            ReplicaPhase::Ready => entry.ready.push(key.runner.clone()),
            ReplicaPhase::Loading => entry.loading.push(LoadingReplica {
                runner: key.runner.clone(),
                remaining: Millis(0),
            }),
            ReplicaPhase::Withdrawn => {}
        }
    }
    PlacementUpdate {
        sequence: state.applied,
        full: true,
        runners: runners.collect(),
        deployments: deployments.into_values().collect(),
    }
}
