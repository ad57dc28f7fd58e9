//! Contract of the file store: synced data comes back, a torn tail does not
//! hurt, damage in the middle is named.

use courseshunt_consensus::{Entry, Payload};
use courseshunt_storage::{FileLog, LogStore, StorageError};
use courseshunt_types::{LogIndex, Term};
use std::io::Write;

fn entry(index: u64) -> Entry {
    Entry {
        index: LogIndex(index),
        term: Term(1),
        payload: Payload::Command(vec![7; 100]),
    }
}

fn filled(folder: &std::path::Path) {
    let mut log = FileLog::open(folder).unwrap();
    log.recover().unwrap();
    log.append(None, &[entry(1), entry(2)]).unwrap();
    log.sync().unwrap();
}

#[test]
fn a_torn_tail_is_dropped() {
    let folder = tempfile::tempdir().unwrap();
    filled(folder.path());
    let path = folder.path().join("log.0");
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
fn damage_before_the_tail_is_named() {
    let folder = tempfile::tempdir().unwrap();
    filled(folder.path());
    let path = folder.path().join("log.0");
    let mut content = std::fs::read(&path).unwrap();
    content[20] ^= 0xff;
    std::fs::write(&path, content).unwrap();
    let error = FileLog::open(folder.path()).unwrap().recover().unwrap_err();
    assert!(
        matches!(error, StorageError::Damaged { offset: 0, .. }),
        "{error}"
    );
}
