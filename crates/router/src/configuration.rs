//! What the feed has told: configuration, replicas, runners and routers.
//!
//! Invariants: the revision in force never goes down within a process's life;
//! an update in parts comes into force as a whole; the view counts as synced
//! only once it held a revision that a quorum had confirmed shortly before.

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

/// See the module.
#[derive(Debug, Default)]
pub struct ConfigurationView {
    inner: RwLock<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    revision: Revision,
    deployments: BTreeMap<DeploymentName, Arc<DeploymentDocument>>,
    tenants: BTreeMap<Digest, TenantName>,
    /// As fed, for other routers.
    tenant_documents: Vec<TenantDocument>,
    /// Parts of an update whose last part has not come yet.
    parts: Vec<ConfigurationUpdate>,
    placement: LogIndex,
    runners: BTreeMap<RunnerId, RunnerEndpoint>,
    replicas: BTreeMap<DeploymentName, DeploymentReplicas>,
    routers: Vec<RouterEndpoint>,
    confirmed: Option<ConfirmedRevision>,
    synced: bool,
}

/// The newest revision at a moment, as a quorum confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfirmedRevision {
    /// The moment, on this process's clock.
    pub at: Timestamp,
    /// The revision.
    pub revision: Revision,
}

impl Inner {
    fn take(&mut self, update: ConfigurationUpdate) {
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
            self.tenants = tokens(&tenants);
            self.tenant_documents = tenants;
        }
        self.revision = update.revision;
    }

    fn judge_synced(&mut self) {
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

    /// A new connection begins; parts of an unfinished update are dropped.
    pub fn begin_feed(&self) {
        self.write().parts.clear();
    }

    /// Takes an update in, unless it is older than what is in force. Returns
    /// the revision when one came into force.
    pub fn apply_configuration(&self, update: ConfigurationUpdate) -> Option<Revision> {
        let mut inner = self.write();
        if update.revision < inner.revision {
            log::warn!("router: an older revision {} was ignored", update.revision);
            return None;
        }
        let more = update.more;
        inner.parts.push(update);
        if more {
            return None;
        }
        for part in std::mem::take(&mut inner.parts) {
            inner.take(part);
        }
        inner.judge_synced();
        Some(inner.revision)
    }

    /// Takes replicas and runners in, unless they are older.
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

    /// Takes the live routers in.
    pub fn apply_fleet(&self, update: FleetUpdate) {
        self.write().routers = update.routers;
    }

    /// Notes that a quorum confirmed `revision` as the newest, shortly before.
    pub fn confirm(&self, at: Timestamp, revision: Revision) {
        let mut inner = self.write();
        inner.confirmed = Some(ConfirmedRevision { at, revision });
        inner.judge_synced();
    }

    /// What a quorum last confirmed.
    #[must_use]
    pub fn confirmation(&self) -> Option<ConfirmedRevision> {
        self.read().confirmed
    }

    /// The whole configuration for a router that has `revision`; `None` when
    /// that is as new.
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

    /// Whether a confirmed configuration is in force.
    #[must_use]
    pub fn is_synced(&self) -> bool {
        self.read().synced
    }

    /// State of the placement.
    #[must_use]
    pub fn placement(&self) -> LogIndex {
        self.read().placement
    }

    /// The revision in force.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.read().revision
    }

    /// The document of a deployment.
    #[must_use]
    pub fn deployment(&self, name: &DeploymentName) -> Option<Arc<DeploymentDocument>> {
        self.read().deployments.get(name).cloned()
    }

    /// All documents.
    #[must_use]
    pub fn deployments(&self) -> Vec<Arc<DeploymentDocument>> {
        self.read().deployments.values().cloned().collect()
    }

    /// The tenant that a bearer token belongs to.
    #[must_use]
    pub fn tenant_of(&self, token: &str) -> Option<TenantName> {
        let digest = Digest::of(token.as_bytes());
        self.read().tenants.get(&digest).cloned()
    }

    /// A runner.
    #[must_use]
    pub fn runner(&self, runner: &RunnerId) -> Option<RunnerEndpoint> {
        self.read().runners.get(runner).cloned()
    }

    /// Replicas of a deployment.
    #[must_use]
    pub fn replicas(&self, name: &DeploymentName) -> Option<DeploymentReplicas> {
        self.read().replicas.get(name).cloned()
    }

    /// The live routers.
    #[must_use]
    pub fn routers(&self) -> Vec<RouterEndpoint> {
        self.read().routers.clone()
    }
}

fn tokens(tenants: &[TenantDocument]) -> BTreeMap<Digest, TenantName> {
    let pairs = tenants.iter().flat_map(|tenant| {
        let digests = tenant.token_digests.iter();
        digests.map(|digest| (*digest, tenant.name.clone()))
    });
    pairs.collect()
}
