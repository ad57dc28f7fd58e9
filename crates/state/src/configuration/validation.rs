//! Validates a batch against the configuration in force, without changing it.

use super::documents::{ChangeItem, ChangeRequest, DocumentKey, DocumentKind, Removal};
use super::{Configuration, CurrentDocument};
use crate::reply::ConfigurationConflict;
use courseshunt_types::deployment::valid_name;
use courseshunt_types::{DeploymentDocument, DeploymentName, Revision};
use std::cmp::Ordering;
use std::collections::BTreeSet;

/// Limits that a batch must respect besides the documents in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FleetLimits {
    /// Memory of the largest known runner, in MiB; `None` while none is known.
    pub largest_runner_mib: Option<u64>,
}

/// Result of accepting a valid batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ValidationOutcome {
    /// No change: the batch is or was in force since this revision.
    AlreadyApplied(Revision),
    /// The batch sets or removes these documents.
    Changes(BTreeSet<DocumentKey>),
}

impl Configuration {
    /// Validates a batch, and returns what accepting it would change.
    ///
    /// # Errors
    /// The first conflict.
    pub fn validate(
        &self,
        request: &ChangeRequest,
        limits: &FleetLimits,
    ) -> Result<ValidationOutcome, ConfigurationConflict> {
        if let Some(first) = self.first_use(&request.change_id) {
            let revision = first.revision;
            return match first.digest == request.digest() {
                true => Ok(ValidationOutcome::AlreadyApplied(revision)),
                false => Err(ConfigurationConflict::ChangeReused { revision }),
            };
        }
        check_contents(request)?;
        let items = request.items();
        check_repeats(&items)?;
        let changes = self.changes(&items)?;
        if changes.is_empty() {
            return Ok(ValidationOutcome::AlreadyApplied(self.revision_of(&items)));
        }
        self.check_memory(request, &changes, limits)?;
        self.check_references(request, &changes)?;
        Ok(ValidationOutcome::Changes(changes))
    }

    /// Documents that are newer than those in force.
    fn changes(
        &self,
        items: &[ChangeItem],
    ) -> Result<BTreeSet<DocumentKey>, ConfigurationConflict> {
        let mut changes = BTreeSet::new();
        for item in items {
            let current = self.current(&item.key);
            if current.is_none() && is_removal(item) {
                return Err(invalid(&item.key, "name", "there is no such document"));
            }
            if compare(item, current.as_ref())? {
                changes.insert(item.key.clone());
            }
        }
        Ok(changes)
    }

    /// Revision that set the content of a batch which changes nothing.
    fn revision_of(&self, items: &[ChangeItem]) -> Revision {
        let current = items.iter().filter_map(|item| self.current(&item.key));
        let revisions = current.map(|current| current.revision);
        revisions.max().unwrap_or(self.revision)
    }

    fn check_memory(
        &self,
        request: &ChangeRequest,
        changes: &BTreeSet<DocumentKey>,
        limits: &FleetLimits,
    ) -> Result<(), ConfigurationConflict> {
        let Some(largest) = limits.largest_runner_mib else {
            return Ok(());
        };
        for document in changed_deployments(request, changes) {
            let wanted = document.replica_memory_mib();
            if wanted > largest {
                let key = DocumentKey::deployment(&document.name);
                let problem = format!(
                    "a replica takes {wanted} MiB with its adapters; the largest runner has {largest} MiB"
                );
                return Err(invalid(&key, "memory_mib", &problem));
            }
        }
        Ok(())
    }

    /// Checks that names that documents refer to exist after the batch.
    fn check_references(
        &self,
        request: &ChangeRequest,
        changes: &BTreeSet<DocumentKey>,
    ) -> Result<(), ConfigurationConflict> {
        let models = self.models_after(request);
        for document in changed_deployments(request, changes) {
            if !models.is_empty() && !models.contains(document.model.as_str()) {
                let key = DocumentKey::deployment(&document.name);
                let problem = format!("there is no model {} in the catalogue", document.model);
                return Err(invalid(&key, "model", &problem));
            }
        }
        self.check_unused(request)
    }

    fn models_after(&self, request: &ChangeRequest) -> BTreeSet<String> {
        let stored = self.models.keys().map(|name| name.0.clone());
        let added = request.models.iter().map(|one| one.name.0.clone());
        let mut models: BTreeSet<String> = stored.chain(added).collect();
        for removal in &request.removals {
            if removal.kind == DocumentKind::Model {
                models.remove(&removal.name);
            }
        }
        models
    }

    /// Checks that no deployment refers to a removed model or tenant.
    fn check_unused(&self, request: &ChangeRequest) -> Result<(), ConfigurationConflict> {
        let removals = request.removals.iter().map(Removal::key);
        let removed: BTreeSet<DocumentKey> = removals.collect();
        if removed.is_empty() {
            return Ok(());
        }
        let set = request.deployments.iter().map(|one| &one.name);
        let set: BTreeSet<&DeploymentName> = set.collect();
        let stays = |document: &&DeploymentDocument| {
            let key = DocumentKey::deployment(&document.name);
            !set.contains(&document.name) && !removed.contains(&key)
        };
        let stored = self.deployments.values().map(|stored| &stored.document);
        let kept = stored.filter(stays);
        for document in request.deployments.iter().chain(kept) {
            let used = [
                DocumentKey::tenant(&document.tenant),
                DocumentKey::model(&document.model),
            ];
            if let Some(missing) = used.iter().find(|key| removed.contains(key)) {
                let problem = format!("deployment {} uses it", document.name);
                return Err(invalid(missing, "name", &problem));
            }
        }
        Ok(())
    }
}

fn changed_deployments<'a>(
    request: &'a ChangeRequest,
    changes: &'a BTreeSet<DocumentKey>,
) -> impl Iterator<Item = &'a DeploymentDocument> {
    let changed =
        |document: &&DeploymentDocument| changes.contains(&DocumentKey::deployment(&document.name));
    request.deployments.iter().filter(changed)
}

/// Checks each document on its own, without reference to others.
fn check_contents(request: &ChangeRequest) -> Result<(), ConfigurationConflict> {
    for document in &request.deployments {
        let key = DocumentKey::deployment(&document.name);
        let checked = document.validate();
        checked.map_err(|error| invalid(&key, error.field, &error.problem))?;
    }
    for item in request.items() {
        if !valid_name(&item.key.name) {
            return Err(invalid(&item.key, "name", "is no valid name"));
        }
        if item.version.0 == 0 {
            return Err(invalid(&item.key, "version", "must be 1 or more"));
        }
    }
    Ok(())
}

fn check_repeats(items: &[ChangeItem]) -> Result<(), ConfigurationConflict> {
    let mut seen = BTreeSet::new();
    for item in items {
        if !seen.insert(&item.key) {
            return Err(invalid(&item.key, "name", "is more than once in the batch"));
        }
    }
    Ok(())
}

fn is_removal(item: &ChangeItem) -> bool {
    item.digest == Removal::digest()
}

fn invalid(document: &DocumentKey, field: &str, problem: &str) -> ConfigurationConflict {
    ConfigurationConflict::Invalid {
        document: document.clone(),
        field: field.to_owned(),
        problem: problem.to_owned(),
    }
}

/// Compares a document with the current one: `Ok(true)` when it is newer,
/// `Ok(false)` when both are equal.
fn compare(
    item: &ChangeItem,
    current: Option<&CurrentDocument>,
) -> Result<bool, ConfigurationConflict> {
    let Some(current) = current else {
        return Ok(true);
    };
    let document = item.key.clone();
    match item.version.cmp(&current.version) {
        Ordering::Greater => Ok(true),
        Ordering::Equal if item.digest == current.digest => Ok(false),
        Ordering::Equal => Err(ConfigurationConflict::SameVersion {
            document,
            version: item.version,
            winner: current.digest,
        }),
        Ordering::Less => Err(ConfigurationConflict::LowerVersion {
            document,
            current: current.version,
        }),
    }
}
