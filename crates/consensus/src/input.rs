//! What the surroundings tell the core.

use crate::entry::SnapshotMetadata;
use crate::membership::MembershipChange;
use crate::message::ConsensusMessage;
use courseshunt_types::ControllerId;

/// Identity of a proposal within this process's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId(pub u64);

/// Identity of a linearizable read within this process's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadId(pub u64);

/// Number of an [`Output::Persist`](crate::Output::Persist) within this
/// process's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PersistNumber(pub u64);

/// One input of [`Core::step`](crate::Core::step).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Time passed; sent at least every tenth of the election timeout.
    Tick,
    /// A message of another member arrived.
    Receive {
        /// The sender, as proved by the connection.
        from: ControllerId,
        /// The message.
        message: ConsensusMessage,
    },
    /// Append a command, if this member leads.
    Propose {
        /// Comes back in the outputs.
        proposal: ProposalId,
        /// Content of the entry.
        command: Vec<u8>,
    },
    /// Change the membership, if this member leads.
    ProposeMembership {
        /// Comes back in the outputs.
        proposal: ProposalId,
        /// The change.
        change: MembershipChange,
    },
    /// Ask for an index at which a read is linearizable.
    Read {
        /// Comes back in the outputs.
        read: ReadId,
    },
    /// This [`Output::Persist`](crate::Output::Persist) and all earlier ones
    /// are durable.
    Persisted {
        /// Its number.
        number: PersistNumber,
    },
    /// The state machine saved a snapshot; the log before it may go.
    SnapshotSaved {
        /// What it holds.
        metadata: SnapshotMetadata,
    },
    /// A snapshot received from the leader is durable and restored.
    SnapshotRestored {
        /// What it holds.
        metadata: SnapshotMetadata,
    },
    /// Hand the leadership to another voter, for a planned stop.
    TransferLeadership {
        /// The next leader; the most caught-up voter when `None`.
        to: Option<ControllerId>,
    },
}
