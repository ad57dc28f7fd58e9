//! Log entries, hard state and snapshot metadata: what a member makes durable.

use crate::membership::Membership;
use courseshunt_types::{ControllerId, LogIndex, Term};

/// Content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Payload {
    /// Written by a new leader to commit the entries of earlier terms.
    Noop,
    /// A command for the replicated state machine; opaque to the core.
    Command(Vec<u8>),
    /// A new membership, which takes effect as soon as it is appended.
    Membership(Membership),
}

impl Payload {
    /// Size for flow control, in bytes. The framing is counted as a small constant.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        const FRAME_BYTES: usize = 32;
        match self {
            Self::Command(bytes) => FRAME_BYTES + bytes.len(),
            Self::Noop | Self::Membership(_) => FRAME_BYTES,
        }
    }
}

/// One entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Entry {
    /// Position in the log; the first entry has index 1.
    pub index: LogIndex,
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Content of the entry.
    pub payload: Payload,
}

/// State that must be durable before any message that depends on it is sent.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Default, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub struct HardState {
    /// Highest term that this member has observed.
    pub term: Term,
    /// Candidate that received this member's vote in that term.
    pub voted_for: Option<ControllerId>,
}

/// Position and membership of a snapshot of the state machine.
#[derive(
    Debug, Clone, PartialEq, Eq, Default, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub struct SnapshotMetadata {
    /// Index of the last entry that the snapshot includes.
    pub last_index: LogIndex,
    /// Term of that entry.
    pub last_term: Term,
    /// Membership in effect at that entry.
    pub membership: Membership,
}
