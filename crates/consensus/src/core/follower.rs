//! Follower side of log replication.

use super::{Core, Role};
use crate::entry::Entry;
use crate::message::ConsensusMessage;
use courseshunt_types::{ControllerId, LogIndex, Timestamp};

impl Core {
    /// Records a message from the leader of the current term.
    pub(super) fn record_leader_message(&mut self, from: ControllerId, now: Timestamp) {
        if matches!(self.role, Role::PreCandidate | Role::Candidate) {
            self.become_follower(self.term, Some(from), now);
        }
        self.leader = Some(from);
        self.leader_contact_at = Some(now);
        self.contact.record_leader(now);
        self.refused_vote_as_learner = false;
        self.vote_withheld_until = now + self.settings.election_timeout;
        self.draw_election_deadline(now);
    }

    pub(super) fn on_append(
        &mut self,
        from: ControllerId,
        message: ConsensusMessage,
        now: Timestamp,
    ) {
        let ConsensusMessage::Append {
            previous_index,
            previous_term,
            entries,
            commit,
            round,
            ..
        } = message
        else {
            return;
        };
        if self.role == Role::Leader {
            return;
        }
        self.record_leader_message(from, now);
        self.leader_round = self.leader_round.max(round);
        // Entries covered by a snapshot are committed, so they match the leader's log.
        let behind_snapshot = previous_index < self.log.previous_index();
        if !behind_snapshot && self.log.term_at(previous_index) != Some(previous_term) {
            self.reject_append(from, previous_index);
            return;
        }
        let through = LogIndex(previous_index.0 + entries.len() as u64);
        self.append_entries(entries);
        self.verified = self.verified.max(through);
        let matching = self.verified.min(self.log.last_index());
        self.commit_to(commit.min(matching));
        self.acknowledge_entries(from);
    }

    fn append_entries(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            if entry.index <= self.log.previous_index() {
                continue;
            }
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                // A committed entry is never replaced, even if the leader violates the protocol.
                Some(_) if entry.index <= self.commit => return,
                Some(_) => self.truncate_log_from(entry.index),
                None => {}
            }
            if entry.index == self.log.last_index().next() {
                self.append_entry(entry);
            }
        }
    }

    fn truncate_log_from(&mut self, index: LogIndex) {
        self.log.truncate_from(index);
        self.memberships.truncate_from(index);
        self.durability.truncate_from(index);
        self.apply_membership();
    }

    /// Rejects an append, with a hint where the logs may still match.
    fn reject_append(&mut self, from: ControllerId, previous_index: LogIndex) {
        let last = self.log.last_index();
        let hint = match previous_index > last {
            true => last,
            false => self.log.before_term_of(previous_index).max(self.commit),
        };
        let reply = ConsensusMessage::AppendReply {
            term: self.term,
            accepted: false,
            match_index: hint,
            round: self.leader_round,
        };
        self.send_when_durable(from, reply);
    }

    /// Acknowledges to the leader the matching entries that are durable here.
    fn acknowledge_entries(&mut self, leader: ControllerId) {
        let reply = ConsensusMessage::AppendReply {
            term: self.term,
            accepted: true,
            match_index: self.verified.min(self.durability.through()),
            round: self.leader_round,
        };
        self.send_when_durable(leader, reply);
    }

    pub(super) fn entries_became_durable(&mut self, now: Timestamp) {
        if self.role == Role::Leader {
            self.advance_commit(now);
            // A quorum of the others may have committed entries before they were durable here.
            self.apply_committed();
            return;
        }
        if let Some(leader) = self.leader {
            self.acknowledge_entries(leader);
        }
        self.apply_committed();
    }

    pub(super) fn commit_to(&mut self, index: LogIndex) {
        self.commit = self.commit.max(index);
        self.apply_committed();
    }
}
