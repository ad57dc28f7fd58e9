//! Updates of the configuration: what changed since a revision, in parts. Pure.

use courseshunt_state::{Configuration, DocumentKey, DocumentKind, StoredDeployment};
use courseshunt_types::{DeploymentName, Revision};
use courseshunt_wire::Message;
use courseshunt_wire::message::ConfigurationUpdate;

/// Documents in one part of an update at the most.
pub const DOCUMENTS_PER_PART: usize = 128;

/// Changes of the configuration after `since`; everything when it is 0.
#[must_use]
pub fn update(configuration: &Configuration, since: Revision) -> ConfigurationUpdate {
    let full = since == Revision(0);
    let deployments = configuration.deployments.values();
    let changed = deployments.filter(|one| one.revision > since);
    let tombstones = configuration.tombstones.iter();
    let removed: Vec<&DocumentKey> = tombstones
        .filter(|(_, one)| one.revision > since)
        .map(|(key, _)| key)
        .collect();
    let of_kind = |kind| removed.iter().filter(move |key| key.kind == kind);
    let mut tenants = configuration.tenants.values();
    let set_tenants = tenants.any(|one| one.revision > since);
    let tenants_changed = full || set_tenants || of_kind(DocumentKind::Tenant).next().is_some();
    let tenants = configuration.tenants.values();
    let tenants = tenants.map(|one| one.document.clone());
    let removed = of_kind(DocumentKind::Deployment).map(|key| key.name.as_str().into());
    ConfigurationUpdate {
        full,
        revision: configuration.revision,
        deployments: changed.cloned().collect(),
        removed: if full { Vec::new() } else { removed.collect() },
        tenants: tenants_changed.then(|| tenants.collect()),
        more: false,
    }
}

/// Documents that changed after `since`.
#[must_use]
pub fn changed_documents(configuration: &Configuration, since: Revision) -> usize {
    let deployments = configuration.deployments.values();
    deployments.filter(|one| one.revision > since).count()
}

/// An update as messages of at most [`DOCUMENTS_PER_PART`] documents each. The
/// receiver brings it into force with the last one.
#[must_use]
pub fn parts(update: ConfigurationUpdate) -> Vec<Message> {
    let ConfigurationUpdate {
        full,
        revision,
        deployments,
        removed,
        tenants,
        ..
    } = update;
    let mut parts: Vec<ConfigurationUpdate> = deployments
        .chunks(DOCUMENTS_PER_PART)
        .map(|documents| part(revision, documents.to_vec(), Vec::new()))
        .collect();
    let others = removed.chunks(DOCUMENTS_PER_PART);
    parts.extend(others.map(|names| part(revision, Vec::new(), names.to_vec())));
    if parts.is_empty() {
        parts.push(part(revision, Vec::new(), Vec::new()));
    }
    if let Some(first) = parts.first_mut() {
        first.full = full;
        first.tenants = tenants;
    }
    if let Some(last) = parts.last_mut() {
        last.more = false;
    }
    parts.into_iter().map(Message::Configuration).collect()
}

fn part(
    revision: Revision,
    deployments: Vec<StoredDeployment>,
    removed: Vec<DeploymentName>,
) -> ConfigurationUpdate {
    ConfigurationUpdate {
        full: false,
        revision,
        deployments,
        removed,
        tenants: None,
        more: true,
    }
}
