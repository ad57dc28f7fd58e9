//! Recovery of the log from its records and the latest snapshot.

use crate::memory_log::push;
use crate::record::Record;
use courseshunt_consensus::{Entry, Recovered, SnapshotMetadata};

/// Replays the records; returns the recovered state, or a description of the damage.
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

/// Entries after the snapshot. If the log has an entry of another term at the
/// last index of the snapshot, the snapshot replaced the whole log.
fn after_snapshot(entries: Vec<Entry>, snapshot: &SnapshotMetadata) -> Vec<Entry> {
    let mut last_included = entries
        .iter()
        .filter(|entry| entry.index == snapshot.last_index);
    let replaced = last_included.any(|entry| entry.term != snapshot.last_term);
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
