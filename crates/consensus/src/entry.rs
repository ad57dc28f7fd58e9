//! Log entries and what must be durable besides them.

use crate::membership::Membership;
use courseshunt_types::{ControllerId, LogIndex, Term};

/// What an entry carries.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Payload {
    /// Written by a new leader to commit the entries of earlier terms.
    Noop,
    /// A command of the state machine above, opaque here.
    Command(Vec<u8>),
    /// A new membership, in force as soon as it is appended.
    Membership(Membership),
}

impl Payload {
    /// Size for flow control, in bytes; a small constant stands for the frame.
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
    /// Position; the first is 1.
    pub index: LogIndex,
    /// Term of the leader that wrote it.
    pub term: Term,
    /// Content.
    pub payload: Payload,
}

/// State that must be durable before any message that depends on it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Default, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Vote given in that term.
    pub voted_for: Option<ControllerId>,
}

/// Describes a snapshot of the state machine.
#[derive(
    Debug, Clone, PartialEq, Eq, Default, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub struct SnapshotMetadata {
    /// Last entry whose effect the snapshot holds.
    pub last_index: LogIndex,
    /// Term of that entry.
    pub last_term: Term,
    /// Membership at that entry.
    pub membership: Membership,
}
