//! An in-memory store for tests whose writes take as long as a test decides.

use crate::{LogStore, MemoryLog, RecoveredLog, StorageError};
use courseshunt_consensus::{Entry, HardState, SnapshotMetadata};

/// In-memory log store that calls a function before each sync; the sync lasts at least as long as the
/// function. The function is dropped with the store.
pub struct SlowLog<F> {
    log: MemoryLog,
    before_sync: F,
}

impl<F: FnMut()> SlowLog<F> {
    /// An empty store.
    pub fn new(before_sync: F) -> Self {
        Self {
            log: MemoryLog::default(),
            before_sync,
        }
    }
}

impl<F: FnMut() + Send> LogStore for SlowLog<F> {
    fn recover(&mut self) -> Result<RecoveredLog, StorageError> {
        self.log.recover()
    }

    fn append(
        &mut self,
        hard_state: Option<&HardState>,
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        self.log.append(hard_state, entries)
    }

    fn sync(&mut self) -> Result<(), StorageError> {
        (self.before_sync)();
        self.log.sync()
    }

    fn save_snapshot(
        &mut self,
        metadata: &SnapshotMetadata,
        bytes: &[u8],
    ) -> Result<(), StorageError> {
        self.log.save_snapshot(metadata, bytes)
    }
}
