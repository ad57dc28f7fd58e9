//! Messages between members.

use crate::entry::{Entry, SnapshotMetadata};
use courseshunt_types::{LogIndex, Term};

/// A message from one member to another.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum ConsensusMessage {
    /// Asks for a vote, or with `pre_vote` whether a vote would be given.
    VoteRequest {
        /// Term of the election.
        term: Term,
        /// Whether the term is only tried out.
        pre_vote: bool,
        /// Last entry of the candidate.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
        /// Whether the present leader asked for the election (planned transfer).
        transfer: bool,
    },
    /// Answers a vote request.
    VoteReply {
        /// Term of the voter.
        term: Term,
        /// Whether this answers a tried-out vote.
        pre_vote: bool,
        /// Whether the vote is given.
        granted: bool,
    },
    /// The leader's entries and heartbeat.
    Append {
        /// Term of the leader.
        term: Term,
        /// Entry just before `entries`.
        previous_index: LogIndex,
        /// Term of that entry.
        previous_term: Term,
        /// Entries to append; empty for a heartbeat.
        entries: Vec<Entry>,
        /// Committed by the leader.
        commit: LogIndex,
        /// Number of the heartbeat round, for read index and leases.
        round: u64,
    },
    /// Answers an append.
    AppendReply {
        /// Term of the follower.
        term: Term,
        /// Whether the entries fitted.
        accepted: bool,
        /// Last durable matching index, or on refusal where to try next.
        match_index: LogIndex,
        /// The round that is answered.
        round: u64,
    },
    /// One chunk of a snapshot.
    SnapshotChunk {
        /// Term of the leader.
        term: Term,
        /// What the snapshot holds.
        metadata: SnapshotMetadata,
        /// Offset of `bytes` in the snapshot, in bytes.
        offset: u64,
        /// The chunk.
        bytes: Vec<u8>,
        /// Whether it is the last.
        done: bool,
    },
    /// Answers a chunk.
    SnapshotReply {
        /// Term of the follower.
        term: Term,
        /// Last index of the snapshot in progress.
        last_index: LogIndex,
        /// Offset of the next chunk wanted, in bytes.
        next_offset: u64,
        /// Whether the snapshot is durable and restored.
        done: bool,
    },
    /// Asks the receiver to start an election at once.
    TimeoutNow {
        /// Term of the leader.
        term: Term,
    },
}

impl ConsensusMessage {
    /// Term that the message carries.
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
