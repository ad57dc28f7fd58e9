//! Data stored by previous builds is read. The files in `forms` contain the bytes that these
//! builds wrote and are never regenerated.

use courseshunt_state::{Command, CommandEnvelope, ReplicatedState, SnapshotError};
use courseshunt_types::{ControllerId, Digest, LogIndex, RunnerId};

/// A snapshot from before forms were marked.
const UNMARKED: &[u8] = include_bytes!("forms/snapshot-0");
/// The first entry of the log that led to it.
const ENTRY: &[u8] = include_bytes!("forms/entry");

#[test]
fn a_snapshot_from_before_forms_were_marked_is_read() {
    let state = ReplicatedState::from_snapshot(UNMARKED).expect("a snapshot");
    assert_eq!(state.applied, LogIndex(5));
    let services = &state.services;
    assert_eq!(
        (services.number, services.document.as_slice()),
        (3, b"document".as_slice())
    );
    let instance = &services.instances[&RunnerId::from("a")];
    assert!(instance.holds("m", Some("x")));
    assert!(services.is_recorded(&RunnerId::from("b"), true));
    assert_eq!(services.orders_holder, Some(ControllerId(9)));
    assert_eq!(services.quarantined[0].content, Digest::of(b"q"));
    // The same content is kept in the current form.
    let again = ReplicatedState::from_snapshot(&state.to_snapshot()).expect("a snapshot");
    assert_eq!(again, state);
}

/// Snapshots and an entry written by the previous release (e7d00e2).
const PREVIOUS_RELEASE: &[u8] = include_bytes!("forms/snapshot-production");
const PREVIOUS_RELEASE_EMPTY: &[u8] = include_bytes!("forms/snapshot-production-empty");
const PREVIOUS_RELEASE_LEAVING: &[u8] = include_bytes!("forms/entry-production-leaving");

/// Guards against an upgrade failure: each controller that was replaced by the new build terminated
/// on its own data with the error that form 0 can't be read.
#[test]
fn a_snapshot_of_the_previous_release_is_read() {
    let state = ReplicatedState::from_snapshot(PREVIOUS_RELEASE).expect("a snapshot");
    assert_eq!(state.applied, LogIndex(6));
    let services = &state.services;
    assert_eq!(
        (services.number, services.document.as_slice()),
        (3, b"document".as_slice())
    );
    assert!(services.instances[&RunnerId::from("a")].holds("m", Some("x")));
    assert!(services.is_recorded(&RunnerId::from("b"), true));
    assert_eq!(services.orders_holder, Some(ControllerId(9)));
    assert_eq!(state.members[&ControllerId(7)], "10.0.0.7:7340");
    assert!(services.quarantined.is_empty());
    let empty = ReplicatedState::from_snapshot(PREVIOUS_RELEASE_EMPTY).expect("a snapshot");
    assert_eq!(empty, ReplicatedState::default());
    let leaving = CommandEnvelope::from_payload(PREVIOUS_RELEASE_LEAVING).expect("a command");
    let expected = Command::RecordLeaving {
        instance: RunnerId::from("b"),
        ended: true,
    };
    assert_eq!(leaving.command, expected);
}

#[test]
fn an_entry_of_the_log_is_read() {
    let envelope = CommandEnvelope::from_payload(ENTRY).expect("a command");
    let document = b"document".to_vec();
    assert_eq!(
        envelope.command,
        Command::PutServices {
            number: 3,
            document
        }
    );
}

#[test]
fn a_form_of_a_later_build_is_refused_with_its_number() {
    // Only a state that the previous release's form can't represent is written with a mark.
    let state = ReplicatedState::from_snapshot(UNMARKED).expect("a snapshot");
    let mut bytes = state.to_snapshot();
    let form = bytes.iter().position(|byte| *byte == 0xfe).expect("a mark") + 1;
    bytes[form] = 200;
    let refused = ReplicatedState::from_snapshot(&bytes);
    assert!(
        matches!(refused, Err(SnapshotError::Newer { form: 200 })),
        "{refused:?}"
    );
}

#[test]
fn truncated_bytes_are_refused() {
    let marked = ReplicatedState::from_snapshot(UNMARKED).expect("a snapshot");
    for complete in [
        marked.to_snapshot(),
        ReplicatedState::default().to_snapshot(),
    ] {
        for length in [0, 1, 7, 11, 12, complete.len() - 1] {
            let read = ReplicatedState::from_snapshot(&complete[..length]);
            assert!(read.is_err(), "{length} bytes");
        }
    }
    for length in 0..PREVIOUS_RELEASE.len() {
        let read = ReplicatedState::from_snapshot(&PREVIOUS_RELEASE[..length]);
        assert!(read.is_err(), "{length} bytes");
    }
    assert!(CommandEnvelope::from_payload(&ENTRY[..8]).is_err());
}

/// In a group with members of both releases, each must read what the other stores.
#[test]
fn snapshots_for_the_previous_release_equal_its_own() {
    for written in [PREVIOUS_RELEASE, PREVIOUS_RELEASE_EMPTY] {
        let state = ReplicatedState::from_snapshot(written).expect("a snapshot");
        assert_eq!(state.to_previous_release_snapshot(), written);
    }
    let mut state = ReplicatedState::from_snapshot(UNMARKED).expect("a snapshot");
    let bytes = state.to_previous_release_snapshot();
    state.services.quarantined.clear();
    assert_eq!(
        ReplicatedState::from_snapshot(&bytes).expect("a snapshot"),
        state
    );
}
