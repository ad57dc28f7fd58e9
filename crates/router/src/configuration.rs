//! State received from the feed: configuration, replicas, runners and routers.
//!
//! Invariants: the revision in force never decreases while the process runs; an
//! update that arrives in parts is applied atomically; the view counts as synced
//! only after its revision has reached one that a quorum had confirmed shortly
//! before.

use courseshunt_state::{StoredDeployment, TenantDocument};
use courseshunt_types::{
    DeploymentDocument, DeploymentName, Digest, LogIndex, Revision, RunnerId, TenantName, Timestamp,
};
use courseshunt_wire::message::{
    ConfigurationUpdate, DeploymentReplicas, FleetUpdate, PlacementUpdate, RouterEndpoint,
    RunnerEndpoint,
};
use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

/// Thread-safe view of the state received from the feed.
#[derive(Debug, Default)]
pub struct ConfigurationView {
    inner: RwLock<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    revision: Revision,
    deployments: BTreeMap<DeploymentName, Arc<DeploymentDocument>>,
    tenants: BTreeMap<Digest, TenantName>,
    /// Documents as received, kept to relay them to other routers.
    tenant_documents: Vec<TenantDocument>,
    /// Received parts of an update whose last part is still missing.
    parts: Vec<ConfigurationUpdate>,
    placement: LogIndex,
    runners: BTreeMap<RunnerId, RunnerEndpoint>,
    replicas: BTreeMap<DeploymentName, DeploymentReplicas>,
    routers: Vec<RouterEndpoint>,
    confirmed: Option<ConfirmedRevision>,
    synced: bool,
}

/// The newest revision at a point in time, as confirmed by a quorum.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfirmedRevision {
    /// Time of the confirmation, on this process's clock.
    pub at: Timestamp,
    /// The confirmed revision.
    pub revision: Revision,
}

impl Inner {
    fn apply(&mut self, update: ConfigurationUpdate) {
        if update.full {
            self.deployments.clear();
        }
        for name in &update.removed {
            self.deployments.remove(name);
        }
        for stored in update.deployments {
            let document = Arc::new(stored.document);
            self.deployments.insert(document.name.clone(), document);
        }
        if let Some(tenants) = update.tenants {
            self.tenants = tenants_by_token(&tenants);
            self.tenant_documents = tenants;
        }
        self.revision = update.revision;
    }

    fn update_synced(&mut self) {
        let confirmed = self.confirmed.map(|confirmed| confirmed.revision);
        self.synced |= confirmed.is_some_and(|revision| self.revision >= revision);
    }
}

impl ConfigurationView {
    fn read(&self) -> RwLockReadGuard<'_, Inner> {
        self.inner.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self) -> RwLockWriteGuard<'_, Inner> {
        self.inner.write().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a new feed connection; drops the parts of an incomplete update.
    pub fn begin_feed(&self) {
        self.write().parts.clear();
    }

    /// Applies an update unless it is older than the revision in force. Returns
    /// the new revision if the update was applied, `None` if it was ignored or
    /// more parts are to follow.
    pub fn apply_configuration(&self, update: ConfigurationUpdate) -> Option<Revision> {
        let mut inner = self.write();
        if update.revision < inner.revision {
            log::warn!(
                "router: ignored update to revision {}, older than {} in force",
                update.revision,
                inner.revision
            );
            return None;
        }
        let more = update.more;
        inner.parts.push(update);
        if more {
            return None;
        }
        for part in std::mem::take(&mut inner.parts) {
            inner.apply(part);
        }
        inner.update_synced();
        Some(inner.revision)
    }

    /// Applies an update of replicas and runners unless it is older than the last.
    pub fn apply_placement(&self, update: PlacementUpdate) {
        let mut inner = self.write();
        if update.sequence < inner.placement {
            return;
        }
        inner.placement = update.sequence;
        if update.full {
            inner.runners.clear();
            inner.replicas.clear();
        }
        for runner in update.runners {
            inner.runners.insert(runner.runner.clone(), runner);
        }
        for replicas in update.deployments {
            inner.replicas.insert(replicas.deployment.clone(), replicas);
        }
    }

    /// Replaces the list of live routers.
    pub fn apply_fleet(&self, update: FleetUpdate) {
        self.write().routers = update.routers;
    }

    /// Records that at time `at` a quorum confirmed `revision` as the newest.
    pub fn confirm(&self, at: Timestamp, revision: Revision) {
        let mut inner = self.write();
        inner.confirmed = Some(ConfirmedRevision { at, revision });
        inner.update_synced();
    }

    /// The last confirmation by a quorum.
    #[must_use]
    pub fn confirmation(&self) -> Option<ConfirmedRevision> {
        self.read().confirmed
    }

    /// The complete configuration for a router that has `revision`; `None` if
    /// that router is up to date.
    #[must_use]
    pub fn update_after(&self, revision: Revision) -> Option<ConfigurationUpdate> {
        let inner = self.read();
        if revision >= inner.revision {
            return None;
        }
        let documents = inner.deployments.values();
        let deployments = documents.map(|document| StoredDeployment {
            digest: document.digest(),
            revision: inner.revision,
            document: DeploymentDocument::clone(document),
        });
        Some(ConfigurationUpdate {
            full: true,
            revision: inner.revision,
            deployments: deployments.collect(),
            removed: Vec::new(),
            tenants: Some(inner.tenant_documents.clone()),
            more: false,
        })
    }

    /// Whether the configuration has reached a confirmed revision.
    #[must_use]
    pub fn is_synced(&self) -> bool {
        self.read().synced
    }

    /// Log index of the last placement update.
    #[must_use]
    pub fn placement(&self) -> LogIndex {
        self.read().placement
    }

    /// The configuration revision in force.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.read().revision
    }

    /// The document of a deployment; `None` if the deployment does not exist.
    #[must_use]
    pub fn deployment(&self, name: &DeploymentName) -> Option<Arc<DeploymentDocument>> {
        self.read().deployments.get(name).cloned()
    }

    /// The documents of all deployments, in order of their names.
    #[must_use]
    pub fn deployments(&self) -> Vec<Arc<DeploymentDocument>> {
        self.read().deployments.values().cloned().collect()
    }

    /// The tenant that a bearer token belongs to; `None` if no tenant has it.
    #[must_use]
    pub fn tenant_of(&self, token: &str) -> Option<TenantName> {
        let digest = Digest::of(token.as_bytes());
        self.read().tenants.get(&digest).cloned()
    }

    /// The endpoint of a runner; `None` if the runner is not in the placement.
    #[must_use]
    pub fn runner(&self, runner: &RunnerId) -> Option<RunnerEndpoint> {
        self.read().runners.get(runner).cloned()
    }

    /// Ready and loading replicas of a deployment.
    #[must_use]
    pub fn replicas(&self, name: &DeploymentName) -> Option<DeploymentReplicas> {
        self.read().replicas.get(name).cloned()
    }

    /// The live routers, as last received.
    #[must_use]
    pub fn routers(&self) -> Vec<RouterEndpoint> {
        self.read().routers.clone()
    }
}

fn tenants_by_token(tenants: &[TenantDocument]) -> BTreeMap<Digest, TenantName> {
    let pairs = tenants.iter().flat_map(|tenant| {
        let digests = tenant.token_digests.iter();
        digests.map(|digest| (*digest, tenant.name.clone()))
    });
    pairs.collect()
}
