//! Records of log segments and snapshot files.

use courseshunt_consensus::{Entry, HardState, SnapshotMetadata};
use courseshunt_types::{LogIndex, Term};

/// One record of the log.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub(crate) enum Record {
    /// New hard state.
    HardState(HardState),
    /// An entry; replaces the one at its index and all after it.
    Entry(Entry),
    /// A snapshot took the place of all entries before; the log goes on after it.
    Restart(RestartPoint),
}

/// Where the log goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub(crate) struct RestartPoint {
    /// Last entry of the snapshot.
    pub(crate) index: LogIndex,
    /// Its term.
    pub(crate) term: Term,
}

/// Content of a snapshot file.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub(crate) struct SnapshotFile {
    /// What the snapshot holds.
    pub(crate) metadata: SnapshotMetadata,
    /// The state.
    pub(crate) bytes: Vec<u8>,
}

/// Records of one frame as bytes.
pub(crate) fn encode_records(records: &Vec<Record>) -> Vec<u8> {
    let bytes = rkyv::to_bytes::<rkyv::rancor::Error>(records);
    bytes.map(|bytes| bytes.to_vec()).unwrap_or_default()
}

/// Records of one frame; `None` when the bytes are none.
pub(crate) fn decode_records(content: &[u8]) -> Option<Vec<Record>> {
    rkyv::from_bytes::<Vec<Record>, rkyv::rancor::Error>(&aligned(content)).ok()
}

/// A snapshot as bytes.
pub(crate) fn encode_snapshot(snapshot: &SnapshotFile) -> Vec<u8> {
    let bytes = rkyv::to_bytes::<rkyv::rancor::Error>(snapshot);
    bytes.map(|bytes| bytes.to_vec()).unwrap_or_default()
}

/// A snapshot from bytes; `None` when they are none.
pub(crate) fn decode_snapshot(content: &[u8]) -> Option<SnapshotFile> {
    rkyv::from_bytes::<SnapshotFile, rkyv::rancor::Error>(&aligned(content)).ok()
}

fn aligned(content: &[u8]) -> rkyv::util::AlignedVec<16> {
    let mut aligned = rkyv::util::AlignedVec::with_capacity(content.len());
    aligned.extend_from_slice(content);
    aligned
}
