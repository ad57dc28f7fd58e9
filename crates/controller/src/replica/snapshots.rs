//! Snapshots of the replicated state: when one is due, and the chunks sent to and received from
//! other members.
//!
//! Invariant: only durable snapshots are sent.

use crate::error::ControllerError;
use courseshunt_consensus::{ConsensusMessage, SnapshotMetadata};
use courseshunt_types::{LogIndex, Term};
use std::sync::Arc;

/// Number of applied entries after which a snapshot is taken.
pub(super) const SNAPSHOT_ENTRIES: usize = 10_000;
/// Size of applied payloads, in bytes, after which a snapshot is taken.
pub(super) const SNAPSHOT_BYTES: usize = 16 * 1024 * 1024;
/// Size of one chunk, in bytes.
const CHUNK_BYTES: usize = 256 * 1024;
/// Largest snapshot that is accepted from a leader, in bytes.
const MAX_SNAPSHOT_BYTES: usize = 1024 * 1024 * 1024;

/// The newest durable snapshot, and one that is being received.
#[derive(Debug, Default)]
pub(super) struct Snapshots {
    metadata: SnapshotMetadata,
    bytes: Arc<Vec<u8>>,
    incoming: Vec<u8>,
    /// Last index of a snapshot from the leader that is being written to disk.
    awaited: Option<LogIndex>,
    due_after: (usize, usize),
    entries_since: usize,
    bytes_since: usize,
}

impl Snapshots {
    /// Starts with the snapshot that was recovered from storage.
    pub(super) fn new(
        metadata: SnapshotMetadata,
        bytes: Vec<u8>,
        due_after: (usize, usize),
    ) -> Self {
        Self {
            metadata,
            bytes: Arc::new(bytes),
            due_after,
            ..Self::default()
        }
    }

    /// Counts applied entries; returns whether a snapshot is due.
    pub(super) fn is_due(&mut self, entries: usize, bytes: usize) -> bool {
        self.entries_since += entries;
        self.bytes_since += bytes;
        let due = self.entries_since >= self.due_after.0 || self.bytes_since >= self.due_after.1;
        if due {
            self.entries_since = 0;
            self.bytes_since = 0;
        }
        due
    }

    /// Records a durable snapshot. The newest one is sent to other members.
    pub(super) fn saved(&mut self, metadata: SnapshotMetadata, bytes: Arc<Vec<u8>>) {
        if metadata.last_index > self.metadata.last_index {
            self.metadata = metadata;
            self.bytes = bytes;
        }
    }

    /// The message with the chunk at `offset`; `None` when there is no snapshot.
    pub(super) fn chunk(&self, term: Term, offset: u64) -> Option<ConsensusMessage> {
        if self.bytes.is_empty() {
            return None;
        }
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        // The snapshot was replaced by a newer, shorter one during the transfer: restart.
        let start = if start < self.bytes.len() { start } else { 0 };
        let end = (start + CHUNK_BYTES).min(self.bytes.len());
        Some(ConsensusMessage::SnapshotChunk {
            term,
            metadata: self.metadata.clone(),
            offset: start as u64,
            bytes: self.bytes[start..end].to_vec(),
            done: end == self.bytes.len(),
        })
    }

    /// Appends a received chunk; one at offset 0 starts a new snapshot.
    pub(super) fn store_chunk(&mut self, offset: u64, bytes: &[u8]) {
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        self.incoming.truncate(start);
        self.incoming.extend_from_slice(bytes);
    }

    /// Returns the received snapshot after its last chunk, if it can be decoded.
    pub(super) fn take_incoming(&mut self) -> Result<Arc<Vec<u8>>, ControllerError> {
        let bytes = std::mem::take(&mut self.incoming);
        if bytes.len() > MAX_SNAPSHOT_BYTES {
            return Err(ControllerError::Restore {
                message: format!("a snapshot of {} bytes is too long", bytes.len()),
            });
        }
        super::restore(&bytes)?;
        Ok(Arc::new(bytes))
    }

    /// Records that the leader's snapshot up to `index` is being written to disk.
    pub(super) fn await_restore(&mut self, index: LogIndex) {
        self.awaited = Some(index);
    }

    /// Whether this snapshot is the awaited one from the leader; clears the mark.
    pub(super) fn take_awaited(&mut self, metadata: &SnapshotMetadata) -> bool {
        let awaited = self.awaited == Some(metadata.last_index);
        if awaited {
            self.awaited = None;
        }
        awaited
    }
}
