//! Replays the records of the log over the latest snapshot.

use crate::memory_log::push;
use crate::record::Record;
use courseshunt_consensus::{Entry, Recovered, SnapshotMetadata};

/// The state that the records leave, or what is wrong with them.
pub(crate) fn replay(
    records: Vec<Record>,
    snapshot: &SnapshotMetadata,
) -> Result<Recovered, String> {
    let mut recovered = Recovered {
        snapshot: snapshot.clone(),
        ..Recovered::default()
    };
    let mut entries = Vec::new();
    for record in records {
        match record {
            Record::HardState(hard_state) => recovered.hard_state = hard_state,
            Record::Entry(entry) => push(&mut entries, entry),
            Record::Restart(_) => entries.clear(),
        }
    }
    recovered.entries = after_snapshot(entries, snapshot);
    check_consecutive(&recovered)?;
    Ok(recovered)
}

/// Entries that go on after the snapshot. A log that holds another entry where
/// the snapshot ends was replaced by it as a whole.
fn after_snapshot(entries: Vec<Entry>, snapshot: &SnapshotMetadata) -> Vec<Entry> {
    let mut at_end = entries
        .iter()
        .filter(|entry| entry.index == snapshot.last_index);
    let replaced = at_end.any(|entry| entry.term != snapshot.last_term);
    if replaced {
        return Vec::new();
    }
    let mut entries = entries;
    entries.retain(|entry| entry.index > snapshot.last_index);
    entries
}

fn check_consecutive(recovered: &Recovered) -> Result<(), String> {
    let mut expected = recovered.snapshot.last_index.next();
    for entry in &recovered.entries {
        if entry.index != expected {
            return Err(format!(
                "entries {expected} to before {} are missing",
                entry.index
            ));
        }
        expected = expected.next();
    }
    Ok(())
}
