//! Builds the updates of a feed from the replicated state.

use courseshunt_state::{DocumentKey, DocumentKind, ReplicaPhase, ReplicatedState};
use courseshunt_types::{Millis, Revision};
use courseshunt_wire::message::{
    ConfigurationUpdate, DeploymentReplicas, LoadingReplica, PlacementUpdate, RunnerEndpoint,
};
use std::collections::BTreeMap;

/// Changes of the configuration after `since`; everything when it is 0.
pub fn configuration(state: &ReplicatedState, since: Revision) -> ConfigurationUpdate {
    let configuration = &state.configuration;
    let full = since == Revision(0);
    let deployments = configuration.deployments.values();
    let changed = deployments.filter(|one| one.revision > since);
    let tombstones = configuration.tombstones.iter();
    let removed: Vec<&DocumentKey> = tombstones
        .filter(|(_, one)| one.revision > since)
        .map(|(key, _)| key)
        .collect();
    let of_kind = |kind| removed.iter().filter(move |key| key.kind == kind);
    let set_tenants = configuration
        .tenants
        .values()
        .any(|one| one.revision > since);
    let tenants_changed = full || set_tenants || of_kind(DocumentKind::Tenant).next().is_some();
    let tenants = configuration.tenants.values();
    let tenants = tenants.map(|one| one.document.clone());
    let removed = of_kind(DocumentKind::Deployment).map(|key| key.name.as_str().into());
    ConfigurationUpdate {
        full,
        revision: configuration.revision,
        deployments: changed.cloned().collect(),
        removed: removed.collect(),
        tenants: tenants_changed.then(|| tenants.collect()),
        more: false,
    }
}

/// All runners and replicas.
pub fn placement(state: &ReplicatedState) -> PlacementUpdate {
    let placement = &state.placement;
    let runners = placement.runners.values().map(|record| RunnerEndpoint {
        runner: record.runner.clone(),
        address: record.address.clone(),
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
