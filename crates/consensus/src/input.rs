//! Inputs that the caller passes to the core.

use crate::entry::SnapshotMetadata;
use crate::membership::MembershipChange;
use crate::message::ConsensusMessage;
use courseshunt_types::ControllerId;

/// Identifier of a proposal, unique within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId(pub u64);

/// Identifier of a linearizable read, unique within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadId(pub u64);

/// Sequence number of an [`Output::Persist`](crate::Output::Persist), unique
/// within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PersistNumber(pub u64);

/// One input of [`Core::step`](crate::Core::step).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Advances time. Passed in at least every tenth of the election timeout.
    Tick,
    /// A message of another member arrived.
    Receive {
        /// The sender, as authenticated by the connection.
        from: ControllerId,
        /// The message.
        message: ConsensusMessage,
    },
    /// Appends a command to the log if this member is the leader.
    Propose {
        /// Identifies the proposal or read in the outputs.
        proposal: ProposalId,
        /// Payload of the entry; opaque to the core.
        command: Vec<u8>,
    },
    /// Changes the membership if this member is the leader.
    ProposeMembership {
        /// Identifies the proposal or read in the outputs.
        proposal: ProposalId,
        /// The requested change.
        change: MembershipChange,
    },
    /// Requests an index at which a read is linearizable.
    Read {
        /// Identifies the proposal or read in the outputs.
        read: ReadId,
    },
    /// This [`Output::Persist`](crate::Output::Persist) and all earlier ones
    /// are durable.
    Persisted {
        /// Number of the completed persist.
        number: PersistNumber,
    },
    /// The state machine saved a snapshot; the log before it may be compacted.
    SnapshotSaved {
        /// Position and membership of the snapshot.
        metadata: SnapshotMetadata,
    },
    /// A snapshot received from the leader is durable and restored.
    SnapshotRestored {
        /// Position and membership of the snapshot.
        metadata: SnapshotMetadata,
    },
    /// Transfers the leadership to another voter, for a planned shutdown.
    TransferLeadership {
        /// The next leader; the most caught-up voter when `None`.
        to: Option<ControllerId>,
    },
    /// Replaces the live leader by this member, if that leader grants its vote.
    TakeOver,
}
