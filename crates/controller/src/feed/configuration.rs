//! Builds configuration updates: the documents that changed after a revision. Pure.

use courseshunt_state::{Configuration, DocumentKey, DocumentKind};
use courseshunt_types::Revision;
use courseshunt_wire::message::ConfigurationUpdate;

/// The changes of the configuration after `since`; the full configuration when it is 0.
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

/// Number of deployment documents that changed after `since`.
#[must_use]
pub fn changed_documents(configuration: &Configuration, since: Revision) -> usize {
    let deployments = configuration.deployments.values();
    deployments.filter(|one| one.revision > since).count()
}
