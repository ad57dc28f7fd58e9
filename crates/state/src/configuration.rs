//! Accepted documents, with versions and change identities.
//!
//! Invariant: the version of a name never goes down, also after its removal,
//! and each accepted batch gets the next revision.

use crate::reply::ConfigurationConflict;
use courseshunt_types::deployment::valid_name;
use courseshunt_types::{
    ChangeId, DeploymentDocument, DeploymentName, Digest, Revision, TenantName, UnixMillis, Version,
};
use std::collections::{BTreeMap, VecDeque};

/// History entries kept.
pub const MAX_HISTORY: usize = 4096;

/// A tenant and its bearer tokens, kept as digests.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct TenantDocument {
    /// The tenant.
    pub name: TenantName,
    /// Operator-chosen version; grows with each change.
    pub version: Version,
    /// SHA-256 digests of the bearer tokens.
    pub token_digests: Vec<Digest>,
}

impl TenantDocument {
    /// Digest of the content.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(&serde_json::to_vec(self).unwrap_or_default())
    }
}

/// A batch of documents.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Default,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[serde(deny_unknown_fields, default)]
pub struct ChangeRequest {
    /// Recognises a resend.
    pub change_id: ChangeId,
    /// Deployments to set.
    pub deployments: Vec<DeploymentDocument>,
    /// Tenants to set.
    pub tenants: Vec<TenantDocument>,
    /// Deployments to remove.
    pub removals: Vec<Removal>,
}

/// Removal of one deployment, which takes a version like any change.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct Removal {
    /// The deployment.
    pub name: DeploymentName,
    /// Higher than the version it removes.
    pub version: Version,
}

impl ChangeRequest {
    /// Digest of the content without the change identity.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let content = (&self.deployments, &self.tenants, &self.removals);
        Digest::of(&serde_json::to_vec(&content).unwrap_or_default())
    }
}

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

/// A removed deployment, remembered so that its version never goes down.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Tombstone {
    /// Version of the removal.
    pub version: Version,
    /// Revision of the removal.
    pub revision: Revision,
}

/// One accepted batch.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub struct HistoryEntry {
    /// Its revision.
    pub revision: Revision,
    /// Its change identity.
    pub change_id: ChangeId,
    /// Digest of its content.
    pub digest: Digest,
    /// When it was accepted.
    pub at: UnixMillis,
    /// Names of the changed documents.
    pub names: Vec<String>,
}

/// The configuration in force.
#[derive(Debug, Clone, PartialEq, Default, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Configuration {
    /// Revision of the last accepted batch.
    pub revision: Revision,
    /// Deployments by name.
    pub deployments: BTreeMap<DeploymentName, StoredDeployment>,
    /// Removed deployments.
    pub tombstones: BTreeMap<DeploymentName, Tombstone>,
    /// Tenants by name.
    pub tenants: BTreeMap<TenantName, TenantDocument>,
    /// Accepted batches, the newest last.
    pub history: VecDeque<HistoryEntry>,
}

impl Configuration {
    /// Accepts a batch, whole or not at all.
    ///
    /// # Errors
    /// The first conflict; nothing is changed then.
    pub fn change(
        &mut self,
        request: &ChangeRequest,
        at: UnixMillis,
    ) -> Result<Revision, ConfigurationConflict> {
        let digest = request.digest();
        if let Some(first) = self.first_use(&request.change_id) {
            if first.digest == digest {
                return Ok(first.revision);
            }
            return Err(ConfigurationConflict::ChangeReused {
                revision: first.revision,
            });
        }
        let changed = self.check(request)?;
        if !changed {
            return Ok(self.revision_of(request));
        }
        self.revision = self.revision.next();
        self.store(request);
        self.remember(request, digest, at);
        Ok(self.revision)
    }

    fn first_use(&self, change_id: &ChangeId) -> Option<&HistoryEntry> {
        if change_id.as_str().is_empty() {
            return None;
        }
        self.history
            .iter()
            .find(|entry| entry.change_id == *change_id)
    }

    /// Whether anything changes, once every document is found right.
    fn check(&self, request: &ChangeRequest) -> Result<bool, ConfigurationConflict> {
        let mut changed = false;
        for document in &request.deployments {
            document
                .validate()
                .map_err(|error| invalid(&document.name.0, error.to_string()))?;
            let current = self.deployments.get(&document.name);
            let current = current.map(|stored| (stored.document.version, stored.digest));
            let removed = self.tombstones.get(&document.name);
            let current = current.or(removed.map(|one| (one.version, Digest::default())));
            let name = &document.name.0;
            changed |= compare(name, document.version, document.digest(), current)?;
        }
        for tenant in &request.tenants {
            if !valid_name(tenant.name.as_str()) {
                return Err(invalid(
                    &tenant.name.0,
                    "field `name` is no valid name".to_owned(),
                ));
            }
            let current = self.tenants.get(&tenant.name);
            let current = current.map(|one| (one.version, one.digest()));
            changed |= compare(&tenant.name.0, tenant.version, tenant.digest(), current)?;
        }
        for removal in &request.removals {
            changed |= self.check_removal(removal)?;
        }
        Ok(changed)
    }

    fn check_removal(&self, removal: &Removal) -> Result<bool, ConfigurationConflict> {
        if let Some(tombstone) = self.tombstones.get(&removal.name) {
            let current = Some((tombstone.version, Digest::default()));
            return compare(&removal.name.0, removal.version, Digest::default(), current);
        }
        let Some(stored) = self.deployments.get(&removal.name) else {
            return Err(invalid(
                &removal.name.0,
                "there is no such deployment".to_owned(),
            ));
        };
        let current = Some((stored.document.version, stored.digest));
        compare(&removal.name.0, removal.version, Digest::default(), current)
    }

    /// Revision that set the content of a batch that changes nothing.
    fn revision_of(&self, request: &ChangeRequest) -> Revision {
        let set = request.deployments.iter();
        let set = set.filter_map(|one| self.deployments.get(&one.name));
        let set = set.map(|stored| stored.revision);
        let removed = request.removals.iter();
        let removed = removed.filter_map(|one| self.tombstones.get(&one.name));
        let removed = removed.map(|tombstone| tombstone.revision);
        set.chain(removed).max().unwrap_or(self.revision)
    }

    fn store(&mut self, request: &ChangeRequest) {
        for document in &request.deployments {
            let digest = document.digest();
            let unchanged = self.deployments.get(&document.name);
            if unchanged.is_some_and(|stored| stored.digest == digest) {
                continue;
            }
            let stored = StoredDeployment {
                document: document.clone(),
                digest,
                revision: self.revision,
            };
            self.tombstones.remove(&document.name);
            self.deployments.insert(document.name.clone(), stored);
        }
        for tenant in &request.tenants {
            self.tenants.insert(tenant.name.clone(), tenant.clone());
        }
        for removal in &request.removals {
            if self.deployments.remove(&removal.name).is_none() {
                continue;
            }
            let tombstone = Tombstone {
                version: removal.version,
                revision: self.revision,
            };
            self.tombstones.insert(removal.name.clone(), tombstone);
        }
    }

    fn remember(&mut self, request: &ChangeRequest, digest: Digest, at: UnixMillis) {
        let deployments = request.deployments.iter().map(|one| one.name.0.clone());
        let tenants = request.tenants.iter().map(|one| one.name.0.clone());
        let removals = request.removals.iter().map(|one| one.name.0.clone());
        self.history.push_back(HistoryEntry {
            revision: self.revision,
            change_id: request.change_id.clone(),
            digest,
            at,
            names: deployments.chain(tenants).chain(removals).collect(),
        });
        while self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }
}

fn invalid(name: &str, problem: String) -> ConfigurationConflict {
    ConfigurationConflict::Invalid {
        name: name.to_owned(),
        problem,
    }
}

/// Compares a document with the current one: `Ok(true)` when it is newer,
/// `Ok(false)` when it is the same.
fn compare(
    name: &str,
    version: Version,
    digest: Digest,
    current: Option<(Version, Digest)>,
) -> Result<bool, ConfigurationConflict> {
    let Some((current_version, current_digest)) = current else {
        return Ok(true);
    };
    match version.cmp(&current_version) {
        std::cmp::Ordering::Greater => Ok(true),
        std::cmp::Ordering::Equal if digest == current_digest => Ok(false),
        std::cmp::Ordering::Equal => Err(ConfigurationConflict::SameVersion {
            name: name.to_owned(),
            version,
            winner: current_digest,
        }),
        std::cmp::Ordering::Less => Err(ConfigurationConflict::LowerVersion {
            name: name.to_owned(),
            current: current_version,
        }),
    }
}
