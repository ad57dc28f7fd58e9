//! An in-memory store for tests and simulations. [`MemoryLog::crash`] discards
//! unsynced data.

use crate::{LogStore, RecoveredLog, StorageError};
use courseshunt_consensus::{Entry, HardState, SnapshotMetadata};

/// In-memory log store with a durable and a volatile copy.
#[derive(Debug, Clone, Default)]
pub struct MemoryLog {
    durable: RecoveredLog,
    volatile: RecoveredLog,
}

impl MemoryLog {
    /// Discards everything that was not synced.
    pub fn crash(&mut self) {
        self.volatile = self.durable.clone();
    }
}

impl LogStore for MemoryLog {
    fn recover(&mut self) -> Result<RecoveredLog, StorageError> {
        Ok(self.volatile.clone())
    }

    fn append(
        &mut self,
        hard_state: Option<&HardState>,
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        if let Some(hard_state) = hard_state {
            self.volatile.core.hard_state = *hard_state;
        }
        for entry in entries {
            push(&mut self.volatile.core.entries, entry.clone());
        }
        Ok(())
    }

    fn sync(&mut self) -> Result<(), StorageError> {
        self.durable = self.volatile.clone();
        Ok(())
    }

    fn save_snapshot(
        &mut self,
        metadata: &SnapshotMetadata,
        bytes: &[u8],
    ) -> Result<(), StorageError> {
        let core = &mut self.volatile.core;
        if metadata.last_index <= core.snapshot.last_index {
            return Ok(());
        }
        let is_last_included = |entry: &Entry| entry.index == metadata.last_index;
        let last = core.entries.iter().find(|entry| is_last_included(entry));
        if last.is_none_or(|entry| entry.term != metadata.last_term) {
            core.entries.clear();
        }
        core.snapshot = metadata.clone();
        core.entries
            .retain(|entry| entry.index > metadata.last_index);
        self.volatile.snapshot = bytes.to_vec();
        self.sync()
    }
}

/// Appends `entry`, which replaces the entry at its index and all after it.
pub(crate) fn push(entries: &mut Vec<Entry>, entry: Entry) {
    while entries.last().is_some_and(|last| last.index >= entry.index) {
        entries.pop();
    }
    entries.push(entry);
}
