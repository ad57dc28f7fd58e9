//! Durable log segments, hard state and snapshots.
//!
//! Invariant: what [`LogStore::append`] took in survives once
//! [`LogStore::sync`] returned without error, and is given back unchanged by
//! the next opening. A torn tail is dropped; damage before it is an error that
//! names file and offset.

pub mod error;
pub mod folder;
mod frame;
pub mod identity;
mod memory_log;
mod record;
mod replay;
mod segment_log;
pub mod small_file;
mod sync_times;
mod terms;

pub use error::StorageError;
pub use folder::{Folder, RealFolder};
pub use memory_log::MemoryLog;
pub use segment_log::{FileLog, SegmentLog};
pub use sync_times::sync_times;

use courseshunt_consensus::{Entry, HardState, Recovered, SnapshotMetadata};

/// The durable side of the consensus core, for one group of one member.
pub trait LogStore: Send {
    /// What was durable at the opening, with the bytes of the latest snapshot.
    ///
    /// # Errors
    /// When the store is damaged or can't be read.
    fn recover(&mut self) -> Result<RecoveredLog, StorageError>;

    /// Takes new hard state and entries in. An entry at a stored index replaces
    /// that entry and everything after it. Durable only after [`Self::sync`].
    ///
    /// # Errors
    /// When an earlier error left the store unusable.
    fn append(
        &mut self,
        hard_state: Option<&HardState>,
        entries: &[Entry],
    ) -> Result<(), StorageError>;

    /// Makes everything taken in durable, with one sync.
    ///
    /// # Errors
    /// When the error [is temporary](StorageError::is_temporary) the same call
    /// may be tried again; nothing is lost. After any other error the store
    /// refuses everything until it is opened again, and what was taken in since
    /// the last sync may be lost.
    fn sync(&mut self) -> Result<(), StorageError>;

    /// Makes a snapshot durable and drops the log before its last index. Later
    /// entries stay only when the log holds the snapshot's last entry. A
    /// snapshot older than the stored one changes nothing.
    ///
    /// # Errors
    /// When writing or syncing fails; the earlier snapshot then stays.
    fn save_snapshot(
        &mut self,
        metadata: &SnapshotMetadata,
        bytes: &[u8],
    ) -> Result<(), StorageError>;
}

/// What a store held at the opening.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecoveredLog {
    /// Input for the consensus core.
    pub core: Recovered,
    /// Bytes of the latest snapshot; empty when there is none.
    pub snapshot: Vec<u8>,
}
