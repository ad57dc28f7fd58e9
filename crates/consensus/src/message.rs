//! Messages between members of the group.

use crate::entry::{Entry, SnapshotMetadata};
use courseshunt_types::{LogIndex, Term};

/// A message from one member to another.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum ConsensusMessage {
    /// Requests a vote or, with `pre_vote`, asks whether a vote would be granted.
    VoteRequest {
        /// Term of the election.
        term: Term,
        /// Whether this is a pre-vote, which does not start the term.
        pre_vote: bool,
        /// Index of the candidate's last entry.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
        /// Whether the current leader requested the election (planned transfer), or is asked
        /// to consent to it (take-over).
        transfer: bool,
    },
    /// Reply to a vote request.
    VoteReply {
        /// Term of the vote if granted, otherwise the voter's current term.
        term: Term,
        /// Whether this replies to a pre-vote.
        pre_vote: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries from the leader; without entries, a heartbeat.
    Append {
        /// Term of the leader.
        term: Term,
        /// Index of the entry just before `entries`.
        previous_index: LogIndex,
        /// Term of that entry.
        previous_term: Term,
        /// Entries to append; empty for a heartbeat.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// Number of the heartbeat round, used by reads and leases.
        round: u64,
    },
    /// Reply to an append.
    AppendReply {
        /// Term of the follower.
        term: Term,
        /// Whether the previous entry matched the follower's log.
        accepted: bool,
        /// Last durable matching index; on rejection, the last index that may match.
        match_index: LogIndex,
        /// Highest heartbeat round that the follower has received.
        round: u64,
    },
    /// One chunk of a snapshot.
    SnapshotChunk {
        /// Term of the leader.
        term: Term,
        /// Position and membership of the snapshot.
        metadata: SnapshotMetadata,
        /// Offset of `bytes` in the snapshot, in bytes.
        offset: u64,
        /// The chunk.
        bytes: Vec<u8>,
        /// Whether this is the last chunk.
        done: bool,
    },
    /// Reply to a snapshot chunk.
    SnapshotReply {
        /// Term of the follower.
        term: Term,
        /// Last index of the snapshot in progress.
        last_index: LogIndex,
        /// Offset of the next chunk expected, in bytes.
        next_offset: u64,
        /// Whether the snapshot is durable and restored.
        done: bool,
    },
    /// Requests that the receiver starts an election immediately.
    TimeoutNow {
        /// Term of the leader.
        term: Term,
    },
}

impl ConsensusMessage {
    /// Term field of the message.
    #[must_use]
    pub fn term(&self) -> Term {
        match self {
            Self::VoteRequest { term, .. }
            | Self::VoteReply { term, .. }
            | Self::Append { term, .. }
            | Self::AppendReply { term, .. }
            | Self::SnapshotChunk { term, .. }
            | Self::SnapshotReply { term, .. }
            | Self::TimeoutNow { term } => *term,
        }
    }
}
