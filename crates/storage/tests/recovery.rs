//! Recovery of the file store: synced data is recovered, a torn tail is dropped,
//! and damage before the tail is reported with file and offset.

use courseshunt_consensus::{Entry, HardState, Membership, Payload, SnapshotMetadata};
use courseshunt_storage::identity::claim_folder;
use courseshunt_storage::{FileLog, LogStore, StorageError};
use courseshunt_types::{ControllerId, LogIndex, Term};
use std::io::Write;

fn entry(index: u64) -> Entry {
    Entry {
        index: LogIndex(index),
        term: Term(1),
        payload: Payload::Command(vec![7; 100]),
    }
}

fn write_two_entries(folder: &std::path::Path) {
    let mut log = FileLog::open(folder).unwrap();
    log.recover().unwrap();
    log.append(None, &[entry(1), entry(2)]).unwrap();
    log.sync().unwrap();
}

#[test]
fn a_torn_tail_is_dropped() {
    let folder = tempfile::tempdir().unwrap();
    write_two_entries(folder.path());
    let path = folder.path().join("segment-0000000000000001");
    let mut file = std::fs::OpenOptions::new()
        .append(true)
        .open(&path)
        .unwrap();
    file.write_all(&[9, 0, 0, 0, 1]).unwrap();
    let mut log = FileLog::open(folder.path()).unwrap();
    let recovered = log.recover().unwrap();
    assert_eq!(recovered.core.entries, [entry(1), entry(2)]);
}

#[test]
fn damage_before_the_tail_is_reported() {
    let folder = tempfile::tempdir().unwrap();
    write_two_entries(folder.path());
    let path = folder.path().join("segment-0000000000000001");
    let mut content = std::fs::read(&path).unwrap();
    content[20] ^= 0xff;
    std::fs::write(&path, content).unwrap();
    let error = FileLog::open(folder.path()).unwrap_err();
    assert!(
        matches!(error, StorageError::Damaged { offset: 0, .. }),
        "{error}"
    );
}

#[test]
fn damage_and_an_invalid_snapshot_are_reported_with_the_file() {
    let folder = tempfile::tempdir().unwrap();
    write_two_entries(folder.path());
    let path = folder.path().join("segment-0000000000000001");
    let before_last = std::fs::read(&path).unwrap().len();
    let mut log = FileLog::open(folder.path()).unwrap();
    log.append(None, &[entry(3)]).unwrap();
    log.sync().unwrap();
    let intact = std::fs::read(&path).unwrap();
    for offset in (0..before_last).step_by(7) {
        let mut content = intact.clone();
        content[offset] ^= 0x5a;
        std::fs::write(&path, content).unwrap();
        let error = FileLog::open(folder.path()).unwrap_err().to_string();
        assert!(error.contains("segment-0000000000000001"), "{error}");
        assert!(error.contains("damaged at offset"), "{error}");
    }
    std::fs::write(&path, intact).unwrap();
    let mut log = FileLog::open(folder.path()).unwrap();
    log.save_snapshot(&metadata(2), b"the state").unwrap();
    let path = folder.path().join("snapshot-0000000000000002");
    let mut content = std::fs::read(&path).unwrap();
    let last = content.len() - 3;
    content[last] ^= 1;
    std::fs::write(&path, content).unwrap();
    let error = FileLog::open(folder.path()).unwrap_err().to_string();
    assert!(error.contains("snapshot-0000000000000002"), "{error}");
}

fn metadata(last_index: u64) -> SnapshotMetadata {
    SnapshotMetadata {
        last_index: LogIndex(last_index),
        last_term: Term(1),
        membership: Membership::of_voters([ControllerId(1)]),
    }
}

#[test]
fn a_snapshot_replaces_the_log_before_it() {
    let folder = tempfile::tempdir().unwrap();
    let mut log = FileLog::open(folder.path()).unwrap();
    log.set_segment_bytes(500);
    let hard_state = HardState {
        term: Term(1),
        voted_for: Some(ControllerId(1)),
    };
    log.append(Some(&hard_state), &[]).unwrap();
    for index in 1..=40 {
        log.append(None, &[entry(index)]).unwrap();
        log.sync().unwrap();
    }
    let before = std::fs::read_dir(folder.path()).unwrap().count();
    log.save_snapshot(&metadata(30), b"the state").unwrap();
    let after = std::fs::read_dir(folder.path()).unwrap().count();
    assert!(after < before / 2, "{before} files before, {after} after");
    let mut log = FileLog::open(folder.path()).unwrap();
    let recovered = log.recover().unwrap();
    assert_eq!(recovered.snapshot, b"the state");
    assert_eq!(recovered.core.hard_state, hard_state);
    let expected: Vec<Entry> = (31..=40).map(entry).collect();
    assert_eq!(recovered.core.entries, expected);
}

#[test]
fn a_snapshot_from_the_leader_replaces_a_conflicting_log() {
    let folder = tempfile::tempdir().unwrap();
    write_two_entries(folder.path());
    let mut log = FileLog::open(folder.path()).unwrap();
    let other_term = SnapshotMetadata {
        last_term: Term(9),
        ..metadata(2)
    };
    log.save_snapshot(&other_term, b"the state").unwrap();
    log.append(None, &[entry(3)]).unwrap();
    log.sync().unwrap();
    let recovered = FileLog::open(folder.path()).unwrap().recover().unwrap();
    assert_eq!(recovered.core.entries, [entry(3)]);
    assert_eq!(recovered.core.snapshot.last_term, Term(9));
}

#[test]
fn a_folder_belongs_to_one_member_and_an_empty_one_needs_permission() {
    let folder = tempfile::tempdir().unwrap();
    let claim = |id, allow_new| claim_folder(folder.path(), ControllerId(id), allow_new);
    let refused = claim(1, false).unwrap_err().to_string();
    assert!(refused.contains("joins under a new id"), "{refused}");
    claim(1, true).unwrap();
    claim(1, false).unwrap();
    let refused = claim(2, true).unwrap_err().to_string();
    assert!(refused.contains("belongs to member 1"), "{refused}");
}
