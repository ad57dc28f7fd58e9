//! Take-over: a follower replaces a live leader, which need not know of it.
//!
//! Invariant: the other voters are asked only after the leader of this term has granted its vote
//! in the next one. They withhold their votes because the leader's lease relies on them; a leader
//! that grants its vote has ended its leadership, and its lease with it. From then on the election
//! is that of a planned transfer.
//!
//! Until then this member stays a follower of the current term, so that a failed attempt deposes
//! nobody, except where the leader's log has grown between its pre-vote and its vote. The log that
//! the requests state is durable, since a granted vote may arrive after a restart.

use super::{Core, Role};
use crate::Mutant;
use crate::message::ConsensusMessage;
use courseshunt_types::{ControllerId, Millis, Term, Timestamp};

/// Divisor of the election timeout: the pre-vote of the leader is void after this time.
const PRE_VOTE_TIMEOUT_DIVISOR: u64 = 2;

/// An attempt to replace the leader.
#[derive(Debug, Clone, Copy)]
pub(super) struct TakeOver {
    leader: ControllerId,
    /// The leader's term.
    term: Term,
    stage: TakeOverStage,
    deadline: Timestamp,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TakeOverStage {
    /// The leader was asked whether it would grant its vote.
    PreVote,
    /// The leader was asked for its vote.
    Vote,
}

impl Core {
    /// Starts to replace the leader, if this member can be elected now.
    pub(super) fn on_take_over(&mut self, now: Timestamp) {
        let Some(leader) = self.replaceable_leader() else {
            return;
        };
        if self.settings.omits_rule(Mutant::TakeOverAsksAll) {
            self.start_election(now, true);
            return;
        }
        let timeout = Millis(self.settings.election_timeout.0 / PRE_VOTE_TIMEOUT_DIVISOR);
        self.take_over = Some(TakeOver {
            leader,
            term: self.term,
            stage: TakeOverStage::PreVote,
            deadline: now + timeout,
        });
        self.request_leader_vote(leader, true);
    }

    /// The leader, if this member is a voter that follows it and whose log is durable.
    fn replaceable_leader(&self) -> Option<ControllerId> {
        let membership = self.memberships.latest();
        let can_stand = self.role == Role::Follower && membership.is_voter(self.settings.id);
        let leader = self.leader.filter(|leader| membership.is_voter(*leader));
        leader.filter(|_| can_stand && self.log_is_durable())
    }

    fn log_is_durable(&self) -> bool {
        self.durability.through() >= self.log.last_index()
    }

    fn request_leader_vote(&mut self, leader: ControllerId, pre_vote: bool) {
        let request = self.vote_request(self.term.next(), pre_vote, true);
        self.send_when_durable(leader, request);
    }

    /// Continues a take-over if the message is the leader's consent; returns whether it is.
    pub(super) fn continue_take_over(
        &mut self,
        from: ControllerId,
        message: &ConsensusMessage,
        now: Timestamp,
    ) -> bool {
        let ConsensusMessage::VoteReply {
            term,
            pre_vote,
            granted: true,
        } = *message
        else {
            return false;
        };
        let current = self.take_over.filter(|one| self.is_current(one));
        let Some(take_over) = current.filter(|one| one.leader == from) else {
            return false;
        };
        if term != self.term.next() {
            return false;
        }
        match (take_over.stage, pre_vote) {
            (TakeOverStage::PreVote, true) => self.on_leader_pre_vote(take_over, now),
            (TakeOverStage::Vote, false) => self.on_leader_vote(take_over, now),
            _ => return false,
        }
        true
    }

    /// Whether this member still follows the leader that it is to replace.
    fn is_current(&self, take_over: &TakeOver) -> bool {
        self.role == Role::Follower
            && self.term == take_over.term
            && self.leader == Some(take_over.leader)
    }

    fn on_leader_pre_vote(&mut self, take_over: TakeOver, now: Timestamp) {
        if now >= take_over.deadline || !self.log_is_durable() {
            self.take_over = None;
            return;
        }
        self.take_over = Some(TakeOver {
            stage: TakeOverStage::Vote,
            ..take_over
        });
        self.request_leader_vote(take_over.leader, false);
    }

    /// The leader's vote counts however late it arrives: it leads no more.
    fn on_leader_vote(&mut self, take_over: TakeOver, now: Timestamp) {
        self.take_over = None;
        self.start_election(now, true);
        self.votes.insert(take_over.leader);
    }
}
