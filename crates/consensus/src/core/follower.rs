//! Takes entries in from the leader.

use super::{Core, Role};
use crate::entry::Entry;
use crate::message::ConsensusMessage;
use courseshunt_types::{ControllerId, LogIndex, Timestamp};

impl Core {
    /// A message of this term's leader arrived.
    pub(super) fn heard_leader(&mut self, from: ControllerId, now: Timestamp) {
        if matches!(self.role, Role::PreCandidate | Role::Candidate) {
            self.become_follower(self.term, Some(from), now);
        }
        self.leader = Some(from);
        self.heard_leader_at = Some(now);
        self.contact.led(now);
        self.refused_as_voter = false;
        self.lease_promise = now + self.settings.election_timeout;
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
        self.heard_leader(from, now);
        self.leader_round = self.leader_round.max(round);
        // What a snapshot holds is committed and so equal to the leader's.
        let behind_snapshot = previous_index < self.log.previous_index();
        if !behind_snapshot && self.log.term_at(previous_index) != Some(previous_term) {
            self.refuse_append(from, previous_index);
            return;
        }
        let through = LogIndex(previous_index.0 + entries.len() as u64);
        self.take_entries(entries);
        self.verified = self.verified.max(through);
        let known = self.verified.min(self.log.last_index());
        self.commit_to(commit.min(known));
        self.confirm_entries(from);
    }

    fn take_entries(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            if entry.index <= self.log.previous_index() {
                continue;
            }
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                // Never happens while the protocol holds; never obeyed.
                Some(_) if entry.index <= self.commit => return,
                Some(_) => self.drop_from(entry.index),
                None => {}
            }
            if entry.index == self.log.last_index().next() {
                self.append_entry(entry);
            }
        }
    }

    fn drop_from(&mut self, index: LogIndex) {
        self.log.truncate_from(index);
        self.memberships.truncate_from(index);
        self.durability.truncate_from(index);
        self.membership_changed();
    }

    /// Tells the leader where the logs may still be equal.
    fn refuse_append(&mut self, from: ControllerId, previous_index: LogIndex) {
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

    /// Tells the leader what is durable here.
    fn confirm_entries(&mut self, leader: ControllerId) {
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
            // The others may have committed before the own disk was ready.
            self.apply_committed();
            return;
        }
        if let Some(leader) = self.leader {
            self.confirm_entries(leader);
        }
        self.apply_committed();
    }

    pub(super) fn commit_to(&mut self, index: LogIndex) {
        self.commit = self.commit.max(index);
        self.apply_committed();
    }
}
