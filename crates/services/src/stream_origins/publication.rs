//! When the leader sends routers the software versions of services.
//!
//! Invariant: after the first list, the last one that was sent never states what is known to be wrong:
//! that a service runs a single version, by leaving it out, or that an instance runs another version
//! than it does.

use super::{ServiceVersions, SoftwareVersions};
use courseshunt_types::{Millis, RunnerId, SoftwareVersion, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// What the leader has sent of the versions.
#[derive(Debug, Default)]
pub struct VersionPublication {
    /// The last list; `None` before the first one.
    sent: Option<Vec<ServiceVersions>>,
    sent_at: Timestamp,
    /// The present list may differ from the last one.
    is_pending: bool,
}

/// A list to send, and how it differs from the one before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishedVersions {
    /// The complete list.
    pub services: Vec<ServiceVersions>,
    /// Services whose sets of versions have changed.
    pub changes: Vec<VersionSetChange>,
}

/// A changed set of versions of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionSetChange {
    /// Name of the service.
    pub service: String,
    /// The known versions in a fixed order; empty if the service is known to run a single one.
    pub versions: Vec<SoftwareVersion>,
}

impl VersionPublication {
    /// The first list, also if it is empty. To be called once registrations of all live instances
    /// have been received.
    pub fn begin(&mut self, versions: &mut SoftwareVersions, now: Timestamp) -> PublishedVersions {
        versions.expire(now);
        versions.take_changed();
        self.publish(versions.mixed_services(), now)
    }

    /// The next list, if it is to be sent now: at once if the last one is wrong, other changes at this
    /// interval. Nothing before the first list.
    pub fn next(
        &mut self,
        versions: &mut SoftwareVersions,
        interval: Millis,
        now: Timestamp,
    ) -> Option<PublishedVersions> {
        let sent = self.sent.as_ref()?;
        versions.expire(now);
        let is_changed = versions.take_changed();
        self.is_pending |= is_changed;
        let is_due = now.since(self.sent_at) >= interval;
        if !(is_changed || self.is_pending && is_due) {
            return None;
        }
        let services = versions.mixed_services();
        if services == *sent {
            self.is_pending = false;
            return None;
        }
        let is_to_send = is_due || is_wrong(sent, &services, versions);
        is_to_send.then(|| self.publish(services, now))
    }

    /// Number of instances in the last list: the cost of sending one.
    #[must_use]
    pub fn listed_instances(&self) -> usize {
        let services = self.sent.iter().flatten();
        services.map(|service| service.instances.len()).sum()
    }

    fn publish(&mut self, services: Vec<ServiceVersions>, now: Timestamp) -> PublishedVersions {
        let changes = changes(self.sent.as_deref().unwrap_or_default(), &services);
        self.sent = Some(services.clone());
        self.sent_at = now;
        self.is_pending = false;
        PublishedVersions { services, changes }
    }
}

/// Whether the present versions contradict a list that was sent. A listed instance that is gone, an
/// instance that is missing in a listed service, and a listed service that runs a single version now
/// do not: streams are resumed at fewer instances until the next list.
fn is_wrong(
    sent: &[ServiceVersions],
    present: &[ServiceVersions],
    versions: &SoftwareVersions,
) -> bool {
    let sent = versions_by_service(sent);
    present.iter().any(|service| {
        let Some(instances) = sent.get(service.service.as_str()) else {
            return true;
        };
        let mut present = service.instances.iter();
        let has_other_version = present.any(|one| {
            let version = instances.get(&one.instance);
            version.is_some_and(|version| **version != one.version)
        });
        has_other_version || instances.keys().any(|id| versions.has_unknown_version(id))
    })
}

fn versions_by_service(
    services: &[ServiceVersions],
) -> BTreeMap<&str, BTreeMap<&RunnerId, &SoftwareVersion>> {
    let services = services.iter().map(|service| {
        let instances = service.instances.iter();
        let instances = instances.map(|one| (&one.instance, &one.version));
        (service.service.as_str(), instances.collect())
    });
    services.collect()
}

fn changes(earlier: &[ServiceVersions], later: &[ServiceVersions]) -> Vec<VersionSetChange> {
    let earlier = version_sets(earlier);
    let later = version_sets(later);
    let names: BTreeSet<&str> = earlier.keys().chain(later.keys()).copied().collect();
    let changed = names
        .into_iter()
        .filter(|name| earlier.get(name) != later.get(name));
    let changed = changed.map(|name| VersionSetChange {
        service: name.to_owned(),
        versions: later.get(name).into_iter().flatten().cloned().collect(),
    });
    changed.collect()
}

fn version_sets(services: &[ServiceVersions]) -> BTreeMap<&str, BTreeSet<SoftwareVersion>> {
    let services = services.iter().map(|service| {
        let instances = service.instances.iter();
        let versions = instances.map(|one| one.version.clone());
        (service.service.as_str(), versions.collect())
    });
    services.collect()
}
