//! Software versions of instances: noted from heartbeats, relayed to the leader, and fed to routers.
//!
//! Invariant: a router that has a list treats a service that is not in it as one of a single version.
//! So the leader sends no list before it has received registrations of all live instances, and sends
//! a list that names a service before the view of the instance that made its versions differ.

use crate::Shared;
use crate::interface::Heartbeat;
use crate::records::ControllerRecord;
use courseshunt_records::emit;
use courseshunt_services::feed::instances_interval;
use courseshunt_services::{FeedMessage, RelayedRegistration, ServiceVersions, SoftwareVersions};
use courseshunt_types::{RunnerId, SoftwareVersion, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Notes the version in a heartbeat that this controller accepts, before its registration.
pub(crate) fn note_heartbeat(heartbeat: &Heartbeat, now: Timestamp, shared: &Shared) {
    let (service, instance) = (&heartbeat.registration.service, &heartbeat.registration.id);
    let version = heartbeat.software_version.as_ref();
    let mut versions = shared.software_versions();
    versions.note(service, instance, version, now);
    drop(versions);
    if let Some(version) = version {
        shared.relay.note_version(service, instance, version, now);
    }
}

/// Notes registrations that another controller relays. It sends their versions before, unless it
/// runs the previous release.
pub(crate) fn note_relayed(batch: &[RelayedRegistration], now: Timestamp, shared: &Shared) {
    let mut versions = shared.software_versions();
    for relayed in batch {
        match relayed {
            RelayedRegistration::Full(one) => versions.note_unheard(&one.service, &one.id, now),
            RelayedRegistration::Unchanged { id, .. } => versions.refresh(id, now),
        }
    }
}

/// What the leader has sent of the versions.
#[derive(Debug, Default)]
pub(crate) struct VersionsFeed {
    /// The last list; `None` before the leadership is settled.
    sent: Option<Vec<ServiceVersions>>,
    sent_at: Timestamp,
    /// The list may differ from the last one.
    is_pending: bool,
}

impl VersionsFeed {
    /// Sends the first list, also when it is empty.
    pub(crate) fn begin(&mut self, now: Timestamp, shared: &Shared) {
        let services = current_services(now, shared);
        self.send(services, now, shared);
    }

    /// Sends the list if it has changed since the first one: at once if a router that has the last
    /// list would treat instances as ones of another version, otherwise at an interval that grows
    /// with the subscribers.
    pub(crate) fn send_changes(&mut self, now: Timestamp, shared: &Shared) {
        let Some(sent) = &self.sent else {
            return;
        };
        let interval = instances_interval(shared.sessions.count());
        let is_due = now.since(self.sent_at) >= interval;
        let mut versions = shared.software_versions();
        versions.expire(now);
        let is_changed = versions.take_changed();
        self.is_pending |= is_changed;
        if !(is_changed || self.is_pending && is_due) {
            return;
        }
        let services = versions.mixed_services();
        let is_contradicted = contradicts(sent, &services, &versions);
        drop(versions);
        if services == *sent {
            self.is_pending = false;
        } else if is_due || is_contradicted {
            self.send(services, now, shared);
        }
    }

    fn send(&mut self, services: Vec<ServiceVersions>, now: Timestamp, shared: &Shared) {
        record_changes(self.sent.as_deref().unwrap_or_default(), &services);
        let message = FeedMessage::SoftwareVersions(services.clone());
        shared.sessions.broadcast(message);
        self.sent = Some(services);
        self.sent_at = now;
        self.is_pending = false;
    }
}

fn current_services(now: Timestamp, shared: &Shared) -> Vec<ServiceVersions> {
    let mut versions = shared.software_versions();
    versions.expire(now);
    versions.take_changed();
    versions.mixed_services()
}

/// Whether the present versions contradict a list that was sent: a service does not run a single
/// version, or an instance does not run the version in the list. Other differences can wait, since
/// routers resume no stream at an instance that the list lacks.
fn contradicts(
    sent: &[ServiceVersions],
    present: &[ServiceVersions],
    versions: &SoftwareVersions,
) -> bool {
    let sent = versions_by_service(sent);
    let is_contradicted = |service: &ServiceVersions| {
        let Some(instances) = sent.get(service.service.as_str()) else {
            return true;
        };
        let mut present = service.instances.iter();
        present.any(|one| {
            let version = instances.get(&one.instance);
            version.is_some_and(|version| **version != one.version)
        }) || instances.keys().any(|id| versions.is_unheard(id))
    };
    present.iter().any(is_contradicted)
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

/// Records each service whose set of versions differs between two lists.
fn record_changes(earlier: &[ServiceVersions], later: &[ServiceVersions]) {
    let earlier = version_sets(earlier);
    let later = version_sets(later);
    let ended = earlier
        .keys()
        .filter(|service| !later.contains_key(*service));
    for service in ended {
        emit(&ControllerRecord::SoftwareVersions {
            service,
            versions: &[],
        });
    }
    for (service, versions) in &later {
        if earlier.get(service) != Some(versions) {
            let versions: Vec<&str> = versions.iter().copied().collect();
            emit(&ControllerRecord::SoftwareVersions {
                service,
                versions: &versions,
            });
        }
    }
}

fn version_sets(services: &[ServiceVersions]) -> BTreeMap<&str, BTreeSet<&str>> {
    let services = services.iter().map(|service| {
        let instances = service.instances.iter();
        let versions = instances.map(|one| one.version.as_str());
        (service.service.as_str(), versions.collect())
    });
    services.collect()
}
