//! Software versions of instances: noted from heartbeats, relayed to the leader, and fed to routers.
//!
//! Invariant: a router that has a list treats a service that is not in it as one of a single version.
//! So the leader sends no list before it has received registrations of all live instances, and sends
//! a list that names a service before the view of the instance that made its versions differ. A leader
//! that started after the list of the previous one names all services: their instances may have run
//! other versions and left.

use crate::Shared;
use crate::interface::Heartbeat;
use crate::records::ControllerRecord;
use courseshunt_records::emit;
use courseshunt_services::feed::instances_interval;
use courseshunt_services::{
    FeedMessage, PublishedVersions, RelayedRegistration, VersionPublication,
};
use courseshunt_types::{Millis, SoftwareVersion, Term, Timestamp};

/// The term of the first leader of a group.
const FIRST_TERM: Term = Term(1);
/// Instances in the list that add one millisecond to the time between lists: each subscriber is sent
/// all of them, and a rolling update changes the list all the time.
const INSTANCES_PER_INTERVAL_MS: u64 = 1;

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
        let instance = match relayed {
            RelayedRegistration::Full(one) => {
                versions.note_unknown_version(&one.service, &one.id, now);
                &one.id
            }
            RelayedRegistration::Unchanged { id, .. } => id,
        };
        versions.refresh(instance, now);
    }
}

/// Notes that this member leads, and whether any stream can have begun under an earlier leader: none
/// without a configuration. To be called once all earlier commits are applied.
pub(crate) fn begin_leadership(term: Term, now: Timestamp, shared: &Shared) {
    let is_unconfigured = shared.replica.state().services.number == 0;
    let mut versions = shared.software_versions();
    versions.lead(now);
    if term == FIRST_TERM || is_unconfigured {
        versions.note_no_earlier_streams();
    }
}

/// Sends the first list of a leadership.
pub(crate) fn begin_feed(publication: &mut VersionPublication, now: Timestamp, shared: &Shared) {
    let knows_past = shared.software_versions().knows_past();
    if !knows_past && !count_all_as_mixed(now, shared) {
        return;
    }
    let published = publication.begin(&mut shared.software_versions(), now);
    send(published, shared);
}

/// Counts all services as mixed; returns whether their names are known.
fn count_all_as_mixed(now: Timestamp, shared: &Shared) -> bool {
    let document = shared.replica.state().services.document.clone();
    let services = match shared.interface.read_configuration(&document) {
        Ok(configuration) => configuration.services,
        Err(error) => {
            log::error!("coordinator: read committed configuration for the versions: {error}");
            return false;
        }
    };
    let names: Vec<String> = services.into_iter().map(|service| service.name).collect();
    emit(&ControllerRecord::EarlierVersionsUnknown {
        services: names.len(),
    });
    shared.software_versions().count_as_mixed(names, now);
    true
}

/// Sends the list again if it is due.
pub(crate) fn feed_changes(publication: &mut VersionPublication, now: Timestamp, shared: &Shared) {
    let listed = u64::try_from(publication.listed_instances()).unwrap_or(u64::MAX);
    let interval = instances_interval(shared.sessions.count());
    let interval = Millis(interval.0 + listed / INSTANCES_PER_INTERVAL_MS);
    let published = publication.next(&mut shared.software_versions(), interval, now);
    if let Some(published) = published {
        send(published, shared);
    }
}

fn send(published: PublishedVersions, shared: &Shared) {
    for change in &published.changes {
        let versions = change.versions.iter().map(SoftwareVersion::as_str);
        emit(&ControllerRecord::SoftwareVersions {
            service: &change.service,
            versions: &versions.collect::<Vec<_>>(),
        });
    }
    let message = FeedMessage::SoftwareVersions(published.services);
    shared.sessions.broadcast(message);
}
