//! Outputs of the core, to be carried out by the caller.

use crate::core::Role;
use crate::entry::{Entry, HardState, SnapshotMetadata};
use crate::input::{PersistNumber, ProposalId, ReadId};
use crate::membership::MembershipError;
use crate::message::ConsensusMessage;
use courseshunt_types::{ControllerId, LogIndex, Term};

/// Why a proposal or read was rejected. A rejected proposal is not in the log,
/// except that after [`RejectionReason::LeadershipLost`] this is unknown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RejectionReason {
    /// This member is not the leader.
    NotLeader {
        /// The leader, if known.
        leader: Option<ControllerId>,
    },
    /// Leadership was lost before the entry was committed; it may still commit.
    LeadershipLost,
    /// The membership change is not allowed.
    Membership(MembershipError),
}

/// One output of [`Core::step`](crate::Core::step), to be carried out in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Make the contents durable, then reply with [`Input::Persisted`](crate::Input::Persisted).
    Persist {
        /// Number to return in [`Input::Persisted`](crate::Input::Persisted).
        number: PersistNumber,
        /// New hard state, if changed.
        hard_state: Option<HardState>,
        /// Entries to append. An entry at an index already stored replaces it
        /// and everything after it.
        entries: Vec<Entry>,
    },
    /// Send a message.
    Send {
        /// The receiver.
        to: ControllerId,
        /// The message.
        message: ConsensusMessage,
    },
    /// Apply committed entries, in order, each exactly once.
    Apply {
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A proposal was appended at this index. It is committed if the entry
    /// applied at that index has the same term.
    Proposed {
        /// The proposal.
        proposal: ProposalId,
        /// Index of its entry.
        index: LogIndex,
        /// Term of its entry.
        term: Term,
    },
    /// A proposal was rejected.
    ProposalRejected {
        /// The proposal.
        proposal: ProposalId,
        /// Reason for the rejection.
        reason: RejectionReason,
    },
    /// A read is linearizable once this index is applied.
    ReadReady {
        /// The read.
        read: ReadId,
        /// Index that must be applied first.
        index: LogIndex,
    },
    /// A read was rejected.
    ReadRejected {
        /// The read.
        read: ReadId,
        /// Reason for the rejection.
        reason: RejectionReason,
    },
    /// The role, term or known leader changed.
    RoleChanged {
        /// The new role.
        role: Role,
        /// The current term.
        term: Term,
        /// The leader, if known.
        leader: Option<ControllerId>,
    },
    /// Send a chunk of the latest snapshot to a member whose next entry has
    /// been compacted away. The caller reads the bytes and sends the chunk.
    SendSnapshotChunk {
        /// The receiver.
        to: ControllerId,
        /// Term of the message.
        term: Term,
        /// Offset of the chunk, in bytes.
        offset: u64,
    },
    /// Store a chunk of a snapshot from the leader. When `done`, make the whole
    /// snapshot durable, restore the state machine from it and reply with
    /// [`Input::SnapshotRestored`](crate::Input::SnapshotRestored).
    StoreSnapshotChunk {
        /// Position and membership of the snapshot.
        metadata: SnapshotMetadata,
        /// Offset of `bytes`, in bytes.
        offset: u64,
        /// The chunk.
        bytes: Vec<u8>,
        /// Whether this is the last chunk.
        done: bool,
    },
}
