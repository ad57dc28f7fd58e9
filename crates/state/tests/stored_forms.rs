//! What earlier builds stored is read. The files in `forms` are the bytes that they wrote; they
//! are never written anew.

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
    // What it holds is kept in the present form.
    let again = ReplicatedState::from_snapshot(&state.to_snapshot()).expect("a snapshot");
    assert_eq!(again, state);
}

/// Snapshots and an entry that production's build (e7d00e2) wrote.
const PRODUCTION: &[u8] = include_bytes!("forms/snapshot-production");
const PRODUCTION_EMPTY: &[u8] = include_bytes!("forms/snapshot-production-empty");
const PRODUCTION_LEAVING: &[u8] = include_bytes!("forms/entry-production-leaving");

/// Each controller that was replaced ended on its own disk: form 0 can't be read.
#[test]
fn a_snapshot_of_productions_build_is_read() {
    let state = ReplicatedState::from_snapshot(PRODUCTION).expect("a snapshot");
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
    let empty = ReplicatedState::from_snapshot(PRODUCTION_EMPTY).expect("a snapshot");
    assert_eq!(empty, ReplicatedState::default());
    let leaving = CommandEnvelope::from_payload(PRODUCTION_LEAVING).expect("a command");
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
fn a_form_of_a_later_build_is_told_by_its_number() {
    // Only a state that production's form has no place for is written with a mark.
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
fn damaged_bytes_are_no_state() {
    let marked = ReplicatedState::from_snapshot(UNMARKED).expect("a snapshot");
    for whole in [
        marked.to_snapshot(),
        ReplicatedState::default().to_snapshot(),
    ] {
        for length in [0, 1, 7, 11, 12, whole.len() - 1] {
            let read = ReplicatedState::from_snapshot(&whole[..length]);
            assert!(read.is_err(), "{length} bytes");
        }
    }
    for length in 0..PRODUCTION.len() {
        let read = ReplicatedState::from_snapshot(&PRODUCTION[..length]);
        assert!(read.is_err(), "{length} bytes");
    }
    assert!(CommandEnvelope::from_payload(&ENTRY[..8]).is_err());
}

/// In a group of both builds each has to read what the other keeps.
#[test]
fn what_is_written_for_productions_build_is_what_it_writes_itself() {
    for written in [PRODUCTION, PRODUCTION_EMPTY] {
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
