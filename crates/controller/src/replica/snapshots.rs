//! Snapshots of the replicated state: when to take one, and the bytes that go
//! to and come from other members in chunks.

use crate::error::ControllerError;
use courseshunt_consensus::{ConsensusMessage, SnapshotMetadata};
use courseshunt_types::{LogIndex, Term};
use std::sync::Arc;

/// Applied entries after which a snapshot is taken.
pub(super) const SNAPSHOT_ENTRIES: usize = 10_000;
/// Content of applied entries, in bytes, after which a snapshot is taken.
pub(super) const SNAPSHOT_BYTES: usize = 16 * 1024 * 1024;
/// Length of one chunk, in bytes.
const CHUNK_BYTES: usize = 256 * 1024;
/// Longest snapshot that is taken in from a leader, in bytes.
const MAX_SNAPSHOT_BYTES: usize = 1024 * 1024 * 1024;

/// See the module.
#[derive(Debug, Default)]
pub(super) struct Snapshots {
    metadata: SnapshotMetadata,
    bytes: Arc<Vec<u8>>,
    incoming: Vec<u8>,
    /// Last index of a snapshot from the leader that is being written.
    awaited: Option<LogIndex>,
    due_after: (usize, usize),
    entries_since: usize,
    bytes_since: usize,
}

impl Snapshots {
    /// Starts with the snapshot that storage held.
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

    /// A snapshot is durable; it is the one to send from now on.
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
        // A newer, shorter snapshot took the place of the one begun: start again.
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

    /// Takes a chunk in; one at offset 0 begins a new snapshot.
    pub(super) fn store_chunk(&mut self, offset: u64, bytes: &[u8]) {
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        self.incoming.truncate(start);
        self.incoming.extend_from_slice(bytes);
    }

    /// The whole snapshot that arrived, once its last chunk is there.
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

    /// Notes that the snapshot up to `index` from the leader is being written.
    pub(super) fn await_restore(&mut self, index: LogIndex) {
        self.awaited = Some(index);
    }

    /// Whether this snapshot came from the leader.
    pub(super) fn take_awaited(&mut self, metadata: &SnapshotMetadata) -> bool {
        let awaited = self.awaited == Some(metadata.last_index);
        if awaited {
            self.awaited = None;
        }
        awaited
    }
}
