//! Index of the placement for routers. It holds the log index of each resource's last change, so
//! that a router receives only the changes since its last update. Pure.
//!
//! Invariant: the stamp of a resource is never lower than the log index of its last change.
//! Therefore the resources stamped after S include every change that a router with state S lacks,
//! whichever controller sent S.

use courseshunt_state::{Placement, ReplicaPhase};
use courseshunt_types::{DeploymentName, LogIndex, Millis, RunnerId};
use courseshunt_wire::message::{
    DeploymentReplicas, LoadingReplica, PlacementUpdate, RunnerEndpoint,
};
use std::collections::BTreeMap;

/// Runners and replicas with the log index of their last change.
#[derive(Debug, Default)]
pub struct PlacementIndex {
    /// Log index of the first build; removals before it are unknown.
    baseline: LogIndex,
    /// Log index of the latest build.
    sequence: LogIndex,
    runners: BTreeMap<RunnerId, Stamped<RunnerEndpoint>>,
    deployments: BTreeMap<DeploymentName, Stamped<DeploymentReplicas>>,
}

#[derive(Debug)]
struct Stamped<T> {
    changed_at: LogIndex,
    value: T,
}

impl PlacementIndex {
    /// Log index of the state that the index holds.
    #[must_use]
    pub fn sequence(&self) -> LogIndex {
        self.sequence
    }

    /// Updates the index to the placement at log index `at`.
    pub fn update(&mut self, placement: &Placement, at: LogIndex) {
        if at <= self.sequence {
            return;
        }
        if self.baseline == LogIndex(0) {
            self.baseline = at;
        }
        self.sequence = at;
        for record in placement.runners.values() {
            let endpoint = RunnerEndpoint {
                runner: record.runner.clone(),
                address: record.address.clone(),
                incarnation: record.incarnation,
                zone: record.zone.clone(),
                state: record.state,
            };
            stamp(&mut self.runners, record.runner.clone(), endpoint, at);
        }
        self.update_deployments(placement, at);
    }

    fn update_deployments(&mut self, placement: &Placement, at: LogIndex) {
        let mut current = replicas_by_deployment(placement);
        let emptied = self
            .deployments
            .keys()
            .filter(|name| !current.contains_key(*name));
        let emptied: Vec<DeploymentName> = emptied.cloned().collect();
        for name in emptied {
            current.insert(name.clone(), without_replicas(name));
        }
        for (name, replicas) in current {
            stamp(&mut self.deployments, name, replicas, at);
        }
    }

    /// The changes after `since`; the full placement for a router without a state, or with one
    /// from before the first build.
    #[must_use]
    pub fn since(&self, since: LogIndex) -> PlacementUpdate {
        let full = since < self.baseline || since == LogIndex(0);
        let from = if full { LogIndex(0) } else { since };
        let deployments = newer(&self.deployments, from);
        PlacementUpdate {
            sequence: self.sequence,
            full,
            runners: newer(&self.runners, from).cloned().collect(),
            deployments: deployments
                .filter(|one| !full || has_replicas(one))
                .cloned()
                .collect(),
        }
    }
}

fn newer<K, T>(resources: &BTreeMap<K, Stamped<T>>, since: LogIndex) -> impl Iterator<Item = &T> {
    let changed = resources.values().filter(move |one| one.changed_at > since);
    changed.map(|one| &one.value)
}

fn stamp<K: Ord, T: PartialEq>(
    resources: &mut BTreeMap<K, Stamped<T>>,
    key: K,
    value: T,
    changed_at: LogIndex,
) {
    if resources
        .get(&key)
        .is_some_and(|known| known.value == value)
    {
        return;
    }
    resources.insert(key, Stamped { changed_at, value });
}

fn replicas_by_deployment(placement: &Placement) -> BTreeMap<DeploymentName, DeploymentReplicas> {
    let mut deployments: BTreeMap<DeploymentName, DeploymentReplicas> = BTreeMap::new();
    for (key, record) in &placement.replicas {
        let name = key.deployment.clone();
        let entry = deployments.entry(name.clone());
        let entry = entry.or_insert_with(|| without_replicas(name));
        match record.phase {
            ReplicaPhase::Ready => entry.ready.push(key.runner.clone()),
            ReplicaPhase::Loading => entry.loading.push(LoadingReplica {
                runner: key.runner.clone(),
                remaining: Millis(0),
            }),
            ReplicaPhase::Withdrawn => {}
        }
    }
    deployments
}

fn without_replicas(deployment: DeploymentName) -> DeploymentReplicas {
    DeploymentReplicas {
        deployment,
        ready: Vec::new(),
        loading: Vec::new(),
    }
}

fn has_replicas(replicas: &DeploymentReplicas) -> bool {
    !replicas.ready.is_empty() || !replicas.loading.is_empty()
}
