//! Records of log segments and snapshot files.

use courseshunt_consensus::{Entry, HardState, SnapshotMetadata};
use courseshunt_types::{LogIndex, Term};

/// One record of a log segment.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub(crate) enum Record {
    /// New hard state.
    HardState(HardState),
    /// An entry; it replaces the entry at its index and all after it.
    Entry(Entry),
    /// A snapshot replaced all entries before this record; the log continues after it.
    Restart(RestartPoint),
}

/// Last entry of a snapshot, after which the log continues.
#[derive(Debug, Clone, Copy, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub(crate) struct RestartPoint {
    /// Last entry of the snapshot.
    pub(crate) index: LogIndex,
    /// Term of that entry.
    pub(crate) term: Term,
}

/// Content of a snapshot file.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub(crate) struct SnapshotFile {
    /// Position and membership of the snapshot.
    pub(crate) metadata: SnapshotMetadata,
    /// The serialised state.
    pub(crate) bytes: Vec<u8>,
}

/// Serialises the records of one frame.
pub(crate) fn encode_records(records: &Vec<Record>) -> Vec<u8> {
    let bytes = rkyv::to_bytes::<rkyv::rancor::Error>(records);
    bytes.map(|bytes| bytes.to_vec()).unwrap_or_default()
}

/// Reads the records of one frame; `None` when the bytes are not valid records.
pub(crate) fn decode_records(content: &[u8]) -> Option<Vec<Record>> {
    rkyv::from_bytes::<Vec<Record>, rkyv::rancor::Error>(&aligned(content)).ok()
}

/// Serialises a snapshot file.
pub(crate) fn encode_snapshot(snapshot: &SnapshotFile) -> Vec<u8> {
    let bytes = rkyv::to_bytes::<rkyv::rancor::Error>(snapshot);
    bytes.map(|bytes| bytes.to_vec()).unwrap_or_default()
}

/// Reads a snapshot file; `None` when the bytes are not a valid one.
pub(crate) fn decode_snapshot(content: &[u8]) -> Option<SnapshotFile> {
    rkyv::from_bytes::<SnapshotFile, rkyv::rancor::Error>(&aligned(content)).ok()
}

fn aligned(content: &[u8]) -> rkyv::util::AlignedVec<16> {
    let mut aligned = rkyv::util::AlignedVec::with_capacity(content.len());
    aligned.extend_from_slice(content);
    aligned
}
