//! Pre-vote, votes and election timeouts.
//!
//! Invariant: a member that received a message from a leader within the election
//! timeout grants no vote, since the leader's lease relies on it. Only a planned
//! transfer and a take-over, for which the leader has relinquished its lease, are exempt.

use super::durability::DeferredAction;
use super::{Core, Role};
use crate::Mutant;
use crate::input::PersistNumber;
use crate::message::ConsensusMessage;
use courseshunt_types::{ControllerId, LogIndex, Millis, Term, Timestamp};
use rand_pcg::rand_core::Rng;

/// Divisor of the election timeout for a member that runs without leases and has
/// received no message from a leader since its start: it starts pre-votes, and
/// repeats them, with this shorter timeout.
const STARTUP_TIMEOUT_DIVISOR: u64 = 8;
/// The same divisor after the member voted, to let that election finish.
const AFTER_VOTE_TIMEOUT_DIVISOR: u64 = 4;

impl Core {
    /// Draws the time of the next election unless a leader sends a message before.
    pub(super) fn draw_election_deadline(&mut self, now: Timestamp) {
        self.draw_deadline(STARTUP_TIMEOUT_DIVISOR, now);
    }

    /// Draws the first deadline of a member that starts. If it may use short
    /// timeouts, the deadline is almost immediate, since the member may complete
    /// a quorum.
    pub(super) fn draw_first_deadline(&mut self, now: Timestamp) {
        if !self.may_use_short_timeout() {
            self.draw_election_deadline(now);
            return;
        }
        let spread = self.settings.election_timeout.0 / STARTUP_TIMEOUT_DIVISOR;
        self.set_deadline(Millis(0), spread, now);
    }

    /// Draws a deadline between one and two election timeouts, or, for a member
    /// that may use short timeouts, between one and three times the election
    /// timeout divided by `divisor`.
    fn draw_deadline(&mut self, divisor: u64, now: Timestamp) {
        let timeout = self.settings.election_timeout.0;
        let (least, spread) = match self.may_use_short_timeout() {
            true => (timeout / divisor, timeout / divisor * 2),
            false => (timeout, timeout),
        };
        self.set_deadline(Millis(least), spread, now);
    }

    /// Sets the deadline to `least` after `now`, plus random jitter of less than
    /// `spread` milliseconds.
    fn set_deadline(&mut self, least: Millis, spread: u64, now: Timestamp) {
        let jitter = self.random.next_u64() % spread.max(1);
        self.election_deadline = now + Millis(least.0 + jitter);
    }

    /// Whether short election timeouts are safe: no leader's lease can rely on
    /// this member.
    fn may_use_short_timeout(&self) -> bool {
        !self.settings.lease_reads && self.leader_contact_at.is_none()
    }

    /// Starts a pre-vote when the election deadline has passed.
    ///
    /// A learner does so only after it refused its vote to a candidate with an older log that
    /// counts the learner as a voter, because of a promotion that is not in the learner's log.
    /// That candidate can't be elected, and possibly no other voter either, as long as the
    /// learner, whose log is the most up to date, does not take part. The learner is elected by
    /// the voters of its own log, without a vote of its own; each quorum of these intersects
    /// each quorum that counts the learner. It is leader until its log is committed, and then
    /// steps down.
    pub(super) fn tick_election(&mut self, now: Timestamp) {
        let membership = self.memberships.latest();
        if !membership.is_voter(self.settings.id) && !self.refused_vote_as_learner {
            self.clear_silent_leader(now);
            return;
        }
        let is_single_voter = membership.voters.len() == 1 && membership.outgoing.is_empty();
        let is_follower = self.role == Role::Follower;
        if now >= self.election_deadline || (is_single_voter && is_follower) {
            self.start_pre_vote(now);
        }
    }

    /// Clears the leader at a learner when the election deadline has passed. A learner does not
    /// start an election, so one that was removed while it was partitioned would otherwise
    /// report its last leader forever and never request to join again.
    fn clear_silent_leader(&mut self, now: Timestamp) {
        let silent = now >= self.election_deadline;
        if silent && !self.settings.omits_rule(Mutant::LearnerKeepsLeader) {
            self.leader = None;
        }
    }

    fn start_pre_vote(&mut self, now: Timestamp) {
        self.draw_election_deadline(now);
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes.clear();
        self.votes.insert(self.settings.id);
        if self.memberships.latest().is_quorum(&self.votes) {
            self.start_election(now, false);
            return;
        }
        self.request_votes(self.term.next(), true, false);
    }

    /// Starts the next term and votes for itself; the votes of the others are
    /// requested once that is durable.
    pub(super) fn start_election(&mut self, now: Timestamp, transfer: bool) {
        self.draw_deadline(AFTER_VOTE_TIMEOUT_DIVISOR, now);
        self.role = Role::Candidate;
        self.leader = None;
        self.term = self.term.next();
        self.voted_for = Some(self.settings.id);
        self.transfer_election = transfer;
        self.votes.clear();
        self.durability.hard_state_changed();
        self.durability.defer_election(self.term);
    }

    fn request_votes(&mut self, term: Term, pre_vote: bool, transfer: bool) {
        let request = self.vote_request(term, pre_vote, transfer);
        for voter in self.other_voters() {
            self.send(voter, request.clone());
        }
    }

    pub(super) fn vote_request(
        &self,
        term: Term,
        pre_vote: bool,
        transfer: bool,
    ) -> ConsensusMessage {
        ConsensusMessage::VoteRequest {
            term,
            pre_vote,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            transfer,
        }
    }

    fn other_voters(&self) -> Vec<ControllerId> {
        let membership = self.memberships.latest();
        let voters = membership.voters.union(&membership.outgoing).copied();
        voters.filter(|id| *id != self.settings.id).collect()
    }

    pub(super) fn on_persisted(&mut self, number: PersistNumber, now: Timestamp) {
        let before = self.durability.through();
        for action in self.durability.persisted(number) {
            match action {
                DeferredAction::Send(output) => self.outputs.push(output),
                DeferredAction::StandForElection(term) => self.stand_for_election(term, now),
            }
        }
        if self.durability.through() > before {
            self.entries_became_durable(now);
        }
    }

    fn stand_for_election(&mut self, term: Term, now: Timestamp) {
        if self.role != Role::Candidate || self.term != term {
            return;
        }
        self.request_votes(term, false, self.transfer_election);
        self.count_vote(self.settings.id, now);
    }

    fn count_vote(&mut self, voter: ControllerId, now: Timestamp) {
        self.votes.insert(voter);
        if !self.memberships.latest().is_quorum(&self.votes) {
            return;
        }
        match self.role {
            Role::PreCandidate => self.start_election(now, false),
            Role::Candidate => self.become_leader(now),
            _ => {}
        }
    }

    pub(super) fn on_vote_request(
        &mut self,
        from: ControllerId,
        request: &ConsensusMessage,
        now: Timestamp,
    ) {
        let ConsensusMessage::VoteRequest {
            term,
            pre_vote,
            last_index,
            last_term,
            transfer,
        } = *request
        else {
            return;
        };
        if !transfer && self.must_withhold_vote(now) {
            return;
        }
        if term > self.term && !pre_vote {
            self.become_follower(term, None, now);
        }
        let can_vote = match pre_vote {
            true => term > self.term,
            false => term == self.term && self.voted_for.is_none_or(|voted| voted == from),
        };
        let is_up_to_date = self.is_up_to_date(last_index, last_term);
        if can_vote && !is_up_to_date && !self.memberships.latest().is_voter(self.settings.id) {
            self.refused_vote_as_learner = true;
        }
        let granted = can_vote && is_up_to_date;
        if granted && !pre_vote {
            self.voted_for = Some(from);
            self.durability.hard_state_changed();
            self.draw_deadline(AFTER_VOTE_TIMEOUT_DIVISOR, now);
        }
        if granted && pre_vote && self.may_use_short_timeout() {
            // The other member started first; two candidates would split the votes.
            self.draw_election_deadline(now);
        }
        let reply = ConsensusMessage::VoteReply {
            term: if granted { term } else { self.term },
            pre_vote,
            granted,
        };
        self.send_when_durable(from, reply);
    }

    /// Whether this member must grant no vote: a leader may hold a lease that
    /// relies on it, or it is itself a leader with the support of a quorum.
    fn must_withhold_vote(&self, now: Timestamp) -> bool {
        match self.role {
            Role::Leader => self.has_quorum_support(now),
            _ => now < self.vote_withheld_until,
        }
    }

    fn is_up_to_date(&self, last_index: LogIndex, last_term: Term) -> bool {
        let own_last = (self.log.last_term(), self.log.last_index());
        (last_term, last_index) >= own_last || self.settings.omits_rule(Mutant::VoteForStaleLog)
    }

    pub(super) fn on_vote_reply(
        &mut self,
        from: ControllerId,
        term: Term,
        pre_vote: bool,
        granted: bool,
        now: Timestamp,
    ) {
        if !granted {
            return;
        }
        let expected_term = match (self.role, pre_vote) {
            (Role::PreCandidate, true) => self.term.next(),
            (Role::Candidate, false) => self.term,
            _ => return,
        };
        if term == expected_term {
            self.count_vote(from, now);
        }
    }

    /// Starts an election immediately, because the leader transfers its leadership.
    pub(super) fn on_timeout_now(&mut self, now: Timestamp) {
        let can_stand = matches!(self.role, Role::Follower | Role::PreCandidate);
        if can_stand && self.memberships.latest().is_voter(self.settings.id) {
            self.start_election(now, true);
        }
    }
}
