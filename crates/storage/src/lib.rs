//! Durable log segments, hard state and snapshots.
//!
//! Invariant: what [`LogStore::append`] took in survives once
//! [`LogStore::sync`] returned without error, and is given back unchanged by
//! the next opening. A torn tail is dropped; damage before it is an error that
//! names file and offset.

pub mod error;
mod file_log;
mod memory_log;
mod record;

pub use error::StorageError;
pub use file_log::FileLog;
pub use memory_log::MemoryLog;

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
    /// When writing fails. The store then refuses everything until it is
    /// opened again, unless the error [is temporary](StorageError::is_temporary).
    fn append(
        &mut self,
        hard_state: Option<&HardState>,
        entries: &[Entry],
    ) -> Result<(), StorageError>;

    /// Makes everything taken in durable.
    ///
    /// # Errors
    /// When syncing fails; what was taken in since the last sync may be lost.
    fn sync(&mut self) -> Result<(), StorageError>;

    /// Makes a snapshot durable and drops the log before its last index.
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
