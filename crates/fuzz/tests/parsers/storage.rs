//! Files of the durable store: damage never gives entries that were not
//! written, and never panics.

use courseshunt_consensus::{Entry, Payload};
use courseshunt_fuzz::{Edit, config};
use courseshunt_storage::{FileLog, LogStore};
use courseshunt_types::{LogIndex, Term};
use proptest::prelude::*;
use std::path::{Path, PathBuf};

/// Entries in the store before it is damaged.
const ENTRIES: u64 = 6;

fn entry(index: u64) -> Entry {
    Entry {
        index: LogIndex(index),
        term: Term(1),
        payload: Payload::Command(vec![index as u8; 20]),
    }
}

fn fill(folder: &Path) -> Vec<Entry> {
    let entries: Vec<Entry> = (1..=ENTRIES).map(entry).collect();
    let mut log = FileLog::open(folder).unwrap();
    log.recover().unwrap();
    log.append(None, &entries).unwrap();
    log.sync().unwrap();
    entries
}

fn largest_file(folder: &Path) -> PathBuf {
    let files = std::fs::read_dir(folder).unwrap();
    let files = files.map(|entry| entry.unwrap().path());
    let size = |path: &PathBuf| std::fs::metadata(path).unwrap().len();
    files.max_by_key(size).unwrap()
}

proptest! {
    #![proptest_config(config(200))]

    #[test]
    fn a_damaged_log_gives_a_prefix_or_an_error(place in any::<usize>(), byte in any::<u8>(), cut in any::<bool>()) {
        let folder = tempfile::tempdir().unwrap();
        let written = fill(folder.path());
        let file = largest_file(folder.path());
        let content = std::fs::read(&file).unwrap();
        let edit = match cut {
            true => Edit::Cut(place),
            false => Edit::Replace(place, byte),
        };
        std::fs::write(&file, edit.apply(content)).unwrap();
        let recovered = FileLog::open(folder.path()).and_then(|mut log| log.recover());
        match recovered {
            Ok(recovered) => {
                let entries = recovered.core.entries;
                prop_assert!(entries.len() <= written.len());
                prop_assert_eq!(&entries[..], &written[..entries.len()]);
            }
            Err(error) => prop_assert!(!error.to_string().is_empty()),
        }
    }
}
