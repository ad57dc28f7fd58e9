//! What the core asks of its surroundings.

use crate::core::Role;
use crate::entry::{Entry, HardState, SnapshotMetadata};
use crate::input::{PersistNumber, ProposalId, ReadId};
use crate::membership::MembershipError;
use crate::message::ConsensusMessage;
use courseshunt_types::{ControllerId, LogIndex, Term};

/// Why a proposal or read was refused. Nothing of it stays in the log unless
/// [`RejectionReason::LeadershipLost`] says that this is unknown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RejectionReason {
    /// This member does not lead.
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
    /// Make durable; then answer with [`Input::Persisted`](crate::Input::Persisted).
    Persist {
        /// Comes back in [`Input::Persisted`](crate::Input::Persisted).
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
    /// A proposal was appended at this index; it is decided once that entry is
    /// applied with the same term.
    Proposed {
        /// The proposal.
        proposal: ProposalId,
        /// Where it was appended.
        index: LogIndex,
        /// Under which term.
        term: Term,
    },
    /// A proposal was refused.
    ProposalRejected {
        /// The proposal.
        proposal: ProposalId,
        /// Why.
        reason: RejectionReason,
    },
    /// A read is linearizable once this index is applied.
    ReadReady {
        /// The read.
        read: ReadId,
        /// The index.
        index: LogIndex,
    },
    /// A read was refused.
    ReadRejected {
        /// The read.
        read: ReadId,
        /// Why.
        reason: RejectionReason,
    },
    /// The role, term or known leader changed.
    RoleChanged {
        /// The new role.
        role: Role,
        /// The term.
        term: Term,
        /// The leader, if known.
        leader: Option<ControllerId>,
    },
    /// Send the latest snapshot, from an offset, to a member that is too far
    /// behind: the surroundings read the bytes and send the chunk.
    SendSnapshotChunk {
        /// The receiver.
        to: ControllerId,
        /// Term to put into the message.
        term: Term,
        /// Offset of the chunk, in bytes.
        offset: u64,
    },
    /// Store a chunk of a snapshot from the leader. When `done`, make the whole
    /// durable, restore the state machine and answer with
    /// [`Input::SnapshotRestored`](crate::Input::SnapshotRestored).
    StoreSnapshotChunk {
        /// What the snapshot holds.
        metadata: SnapshotMetadata,
        /// Offset of `bytes`, in bytes.
        offset: u64,
        /// The chunk.
        bytes: Vec<u8>,
        /// Whether it is the last.
        done: bool,
    },
}
