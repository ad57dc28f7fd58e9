//! Durable log segments, hard state and snapshots.
//!
//! Invariant: data passed to [`LogStore::append`] is durable once
//! [`LogStore::sync`] has returned without error, and is recovered unchanged
//! when the store is opened again. A torn tail is dropped; damage before it is
//! an error with file and offset.

pub mod error;
pub mod folder;
mod frame;
pub mod identity;
mod memory_log;
mod record;
mod replay;
mod segment_log;
mod slow_log;
pub mod small_file;
mod sync_times;
mod terms;

pub use error::StorageError;
pub use folder::{Folder, RealFolder};
pub use memory_log::MemoryLog;
pub use segment_log::{FileLog, SegmentLog};
pub use slow_log::SlowLog;
pub use sync_times::sync_times;

use courseshunt_consensus::{Entry, HardState, Recovered, SnapshotMetadata};

/// Durable storage of the consensus core, for one member of one group.
pub trait LogStore: Send {
    /// The state that was durable when the store was opened, with the bytes of the
    /// latest snapshot.
    ///
    /// # Errors
    /// When the store is damaged or can't be read.
    fn recover(&mut self) -> Result<RecoveredLog, StorageError>;

    /// Appends new hard state and entries. An entry at a stored index replaces
    /// that entry and everything after it. Durable only after [`Self::sync`].
    ///
    /// # Errors
    /// When an earlier error left the store unusable.
    fn append(
        &mut self,
        hard_state: Option<&HardState>,
        entries: &[Entry],
    ) -> Result<(), StorageError>;

    /// Makes everything that was appended durable, with one sync.
    ///
    /// # Errors
    /// When the error [is temporary](StorageError::is_temporary) the same call
    /// may be retried; nothing is lost. After any other error the store refuses
    /// all operations until it is opened again, and what was appended since the
    /// last sync may be lost.
    fn sync(&mut self) -> Result<(), StorageError>;

    /// Makes a snapshot durable and removes the log up to its last index. Later
    /// entries stay only if the log contains the snapshot's last entry. A snapshot
    /// that is not newer than the stored one has no effect.
    ///
    /// # Errors
    /// When writing or syncing fails; the previous snapshot then stays.
    fn save_snapshot(
        &mut self,
        metadata: &SnapshotMetadata,
        bytes: &[u8],
    ) -> Result<(), StorageError>;
}

/// Contents of a store when it was opened.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecoveredLog {
    /// Input for the consensus core.
    pub core: Recovered,
    /// Bytes of the latest snapshot; empty when there is none.
    pub snapshot: Vec<u8>,
}
