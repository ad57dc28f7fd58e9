//! Accepted documents, with versions and change identifiers.
//!
//! Invariant: the version of a document never decreases, even after its
//! removal, and each accepted batch gets the next revision.

mod documents;
mod validation;

pub use documents::{
    ChangeItem, ChangeRequest, DocumentKey, DocumentKind, ModelDocument, Removal, TenantDocument,
};
pub use validation::{FleetLimits, ValidationOutcome};

use crate::reply::ConfigurationConflict;
use courseshunt_types::{
    ChangeId, DeploymentDocument, DeploymentName, Digest, ModelName, Revision, TenantName,
    UnixMillis, Version,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of history entries; the oldest are dropped.
pub const MAX_HISTORY: usize = 4096;
/// Maximum number of documents listed in one history entry.
pub const MAX_HISTORY_DOCUMENTS: usize = 32;

/// An accepted deployment.
#[derive(Debug, Clone, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct StoredDeployment {
    /// The document.
    pub document: DeploymentDocument,
    /// Digest of the document.
    pub digest: Digest,
    /// Revision that set it.
    pub revision: Revision,
}

/// An accepted tenant.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct StoredTenant {
    /// The document.
    pub document: TenantDocument,
    /// Revision that set it.
    pub revision: Revision,
}

/// An accepted model.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct StoredModel {
    /// The document.
    pub document: ModelDocument,
    /// Revision that set it.
    pub revision: Revision,
}

/// A removed document, kept so that its version never decreases.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Tombstone {
    /// Version of the removal.
    pub version: Version,
    /// Revision of the removal.
    pub revision: Revision,
}

/// Version, digest and revision of a document that is or was in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CurrentDocument {
    /// Its version.
    pub version: Version,
    /// Digest of its content.
    pub digest: Digest,
    /// Revision that set or removed it.
    pub revision: Revision,
}

/// One accepted batch.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub struct HistoryEntry {
    /// Its revision.
    pub revision: Revision,
    /// Its change identifier.
    pub change_id: ChangeId,
    /// The operator that sent it.
    pub operator: String,
    /// When it was accepted.
    pub at: UnixMillis,
    /// Digest of its content.
    pub digest: Digest,
    /// Number of changed documents.
    pub changed: u32,
    /// The first changed documents, at most [`MAX_HISTORY_DOCUMENTS`].
    pub documents: Vec<DocumentKey>,
}

/// The configuration in force.
#[derive(Debug, Clone, PartialEq, Default, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Configuration {
    /// Revision of the last accepted batch.
    pub revision: Revision,
    /// Deployments by name.
    pub deployments: BTreeMap<DeploymentName, StoredDeployment>,
    /// Tenants by name.
    pub tenants: BTreeMap<TenantName, StoredTenant>,
    /// Models by name.
    pub models: BTreeMap<ModelName, StoredModel>,
    /// Removed documents.
    pub tombstones: BTreeMap<DocumentKey, Tombstone>,
    /// Accepted batches, the newest last.
    pub history: VecDeque<HistoryEntry>,
}

impl Configuration {
    /// Accepts a batch atomically.
    ///
    /// # Errors
    /// The first conflict; the configuration is then unchanged.
    pub fn change(
        &mut self,
        request: &ChangeRequest,
        limits: &FleetLimits,
        at: UnixMillis,
    ) -> Result<Revision, ConfigurationConflict> {
        match self.validate(request, limits)? {
            ValidationOutcome::AlreadyApplied(revision) => Ok(revision),
            ValidationOutcome::Changes(changes) => {
                self.revision = self.revision.next();
                self.store(request, &changes);
                self.record_history(request, changes, at);
                Ok(self.revision)
            }
        }
    }

    /// The batch that first used a change identifier, if it is still in the history.
    #[must_use]
    pub fn first_use(&self, change_id: &ChangeId) -> Option<&HistoryEntry> {
        if change_id.as_str().is_empty() {
            return None;
        }
        self.history
            .iter()
            .rev()
            .find(|entry| entry.change_id == *change_id)
    }

    /// Version, digest and revision of a document, even after its removal.
    #[must_use]
    pub fn current(&self, key: &DocumentKey) -> Option<CurrentDocument> {
        self.stored(key).or_else(|| {
            let tombstone = self.tombstones.get(key)?;
            Some(CurrentDocument {
                version: tombstone.version,
                digest: Removal::digest(),
                revision: tombstone.revision,
            })
        })
    }

    fn stored(&self, key: &DocumentKey) -> Option<CurrentDocument> {
        match key.kind {
            DocumentKind::Deployment => {
                let stored = self.deployments.get(&key.name.as_str().into())?;
                Some(CurrentDocument {
                    version: stored.document.version,
                    digest: stored.digest,
                    revision: stored.revision,
                })
            }
            DocumentKind::Tenant => {
                let stored = self.tenants.get(&key.name.as_str().into())?;
                Some(CurrentDocument {
                    version: stored.document.version,
                    digest: stored.document.digest(),
                    revision: stored.revision,
                })
            }
            DocumentKind::Model => {
                let stored = self.models.get(&key.name.as_str().into())?;
                Some(CurrentDocument {
                    version: stored.document.version,
                    digest: stored.document.digest(),
                    revision: stored.revision,
                })
            }
        }
    }

    fn store(&mut self, request: &ChangeRequest, changes: &BTreeSet<DocumentKey>) {
        let revision = self.revision;
        for document in &request.deployments {
            let key = DocumentKey::deployment(&document.name);
            if !changes.contains(&key) {
                continue;
            }
            let stored = StoredDeployment {
                document: document.clone(),
                digest: document.digest(),
                revision,
            };
            self.tombstones.remove(&key);
            self.deployments.insert(document.name.clone(), stored);
        }
        for document in &request.tenants {
            let key = DocumentKey::tenant(&document.name);
            if !changes.contains(&key) {
                continue;
            }
            let document = document.clone();
            self.tombstones.remove(&key);
            self.tenants
                .insert(document.name.clone(), StoredTenant { document, revision });
        }
        for document in &request.models {
            let key = DocumentKey::model(&document.name);
            if !changes.contains(&key) {
                continue;
            }
            let document = document.clone();
            self.tombstones.remove(&key);
            self.models
                .insert(document.name.clone(), StoredModel { document, revision });
        }
        for removal in &request.removals {
            if changes.contains(&removal.key()) {
                self.remove(removal);
            }
        }
    }

    fn remove(&mut self, removal: &Removal) {
        let name = removal.name.as_str();
        match removal.kind {
            DocumentKind::Deployment => drop(self.deployments.remove(&name.into())),
            DocumentKind::Tenant => drop(self.tenants.remove(&name.into())),
            DocumentKind::Model => drop(self.models.remove(&name.into())),
        }
        let tombstone = Tombstone {
            version: removal.version,
            revision: self.revision,
        };
        self.tombstones.insert(removal.key(), tombstone);
    }

    fn record_history(
        &mut self,
        request: &ChangeRequest,
        changes: BTreeSet<DocumentKey>,
        at: UnixMillis,
    ) {
        let changed = u32::try_from(changes.len()).unwrap_or(u32::MAX);
        let documents = changes.into_iter().take(MAX_HISTORY_DOCUMENTS);
        self.history.push_back(HistoryEntry {
            revision: self.revision,
            change_id: request.change_id.clone(),
            operator: request.operator.clone(),
            at,
            digest: request.digest(),
            changed,
            documents: documents.collect(),
        });
        while self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }
}
