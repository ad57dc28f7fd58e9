//! Identities of instances in messages to peers of the previous release.
//!
//! Invariant: such a peer is sent the name of an instance without its start time. It states the
//! identity that it was sent as the instance that a request or an order is meant for, and an instance
//! rejects what is meant for another one.

use courseshunt_services::feed::sum_by_instance;
use courseshunt_services::{InstanceUsage, InstanceView, Registration, RelayedRegistration};
use courseshunt_state::{Command, CommandEnvelope};
use courseshunt_types::RunnerId;
use rkyv::util::AlignedVec;

/// The identity without a start time.
pub(super) fn name_of(id: RunnerId) -> RunnerId {
    match id.started() {
        Some(_) => RunnerId::from(id.name()),
        None => id,
    }
}

pub(super) fn names_of(ids: Vec<RunnerId>) -> Vec<RunnerId> {
    ids.into_iter().map(name_of).collect()
}

pub(super) fn views(views: Vec<InstanceView>) -> Vec<InstanceView> {
    let named = views.into_iter().map(|view| InstanceView {
        id: name_of(view.id),
        ..view
    });
    named.collect()
}

/// The instances that a leader of the previous release has registrations of: it knows one with a start
/// time only from the log, where a leader of this release recorded it, and takes it for another instance.
pub(super) fn registered(mut views: Vec<InstanceView>) -> Vec<InstanceView> {
    views.retain(|view| view.id.started().is_none());
    views
}

/// The usage by name; that of two identities with one name is added up.
pub(super) fn usage(usage: Vec<InstanceUsage>) -> Vec<InstanceUsage> {
    let named = usage.into_iter().map(|one| InstanceUsage {
        instance: name_of(one.instance),
        ..one
    });
    sum_by_instance(named)
}

pub(super) fn registrations(batch: Vec<RelayedRegistration>) -> Vec<RelayedRegistration> {
    batch.into_iter().map(registration).collect()
}

fn registration(relayed: RelayedRegistration) -> RelayedRegistration {
    match relayed {
        RelayedRegistration::Full(registration) => RelayedRegistration::Full(Registration {
            id: name_of(registration.id),
            ..registration
        }),
        RelayedRegistration::Unchanged {
            id,
            sequence,
            previous_sequence,
        } => RelayedRegistration::Unchanged {
            id: name_of(id),
            sequence,
            previous_sequence,
        },
    }
}

/// The bytes of a command for a leader of the previous release. A command that names no
/// instance, or can't be read here, is passed on as it is.
pub(super) fn envelope(bytes: Vec<u8>) -> Vec<u8> {
    let mut aligned = AlignedVec::<16>::with_capacity(bytes.len());
    aligned.extend_from_slice(&bytes);
    let Ok(envelope) = rkyv::from_bytes::<CommandEnvelope, rkyv::rancor::Error>(&aligned) else {
        return bytes;
    };
    let Command::RecordLeaving { instance, ended } = envelope.command else {
        return bytes;
    };
    let named = CommandEnvelope {
        command: Command::RecordLeaving {
            instance: name_of(instance),
            ended,
        },
        ..envelope
    };
    match rkyv::to_bytes::<rkyv::rancor::Error>(&named) {
        Ok(named) => named.to_vec(),
        Err(_) => bytes,
    }
}
