//! Commit index, leases and linearizable reads.

use super::{Core, Role};
use crate::Mutant;
use crate::input::ReadId;
use crate::output::{Output, RejectionReason};
use courseshunt_types::{ControllerId, LogIndex, Timestamp};

/// A read that waits for a heartbeat round.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitingRead {
    pub(super) read: ReadId,
    /// Round that a quorum must answer.
    pub(super) round: u64,
}

impl Core {
    /// Commits what a quorum has durable.
    pub(super) fn advance_commit(&mut self, now: Timestamp) {
        let Some(leadership) = &self.leadership else {
            return;
        };
        let progress = &leadership.progress;
        let durable = self.durability.through();
        let matched = |id: ControllerId| match id == self.settings.id {
            true => durable.0,
            false => progress.get(&id).map_or(0, |one| one.matched.0),
        };
        let membership = self.memberships.latest();
        let mut index = LogIndex(membership.quorum_value(matched));
        if self.settings.lacks(Mutant::CommitWithoutQuorum) {
            index = durable;
        }
        let own_term = self.log.term_at(index) == Some(self.term)
            || self.settings.lacks(Mutant::CommitEarlierTerm);
        if index <= self.commit || !own_term {
            return;
        }
        self.commit_to(index);
        self.release_reads(now);
        self.change_committed(now);
        self.announce_commit();
    }

    /// Hands out what is committed and durable here.
    pub(super) fn apply_committed(&mut self) {
        let through = self.commit.min(self.durability.through());
        if through <= self.applied {
            return;
        }
        let entries = self.log.range(self.applied, through);
        self.applied = through;
        self.outputs.push(Output::Apply { entries });
    }

    /// Notes which heartbeat rounds a quorum has answered.
    pub(super) fn confirm_rounds(&mut self, now: Timestamp) {
        let own = self.settings.id;
        let membership = self.memberships.latest();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let (progress, own_round) = (&leadership.progress, leadership.round);
        let answered = |id: ControllerId| match id == own {
            true => own_round,
            false => progress.get(&id).map_or(0, |one| one.round),
        };
        let confirmed = membership.quorum_value(answered);
        while let Some(open) = leadership.open_rounds.front() {
            if open.round > confirmed {
                break;
            }
            leadership.confirmed_at = Some(open.started_at);
            leadership.confirmed_round = open.round;
            leadership.open_rounds.pop_front();
        }
        self.release_reads(now);
    }

    /// Whether surely no other member leads now.
    pub(super) fn holds_lease(&self, now: Timestamp) -> bool {
        self.settings.lease_reads && self.is_followed(now)
    }

    /// Whether a quorum answered this leader within a lease, and no hand-over
    /// was ordered.
    pub(super) fn is_followed(&self, now: Timestamp) -> bool {
        let Some(leadership) = &self.leadership else {
            return false;
        };
        let lease = self.settings.lease();
        let confirmed_at = leadership.confirmed_at;
        let fresh = confirmed_at.is_some_and(|at| now.since(at) < lease);
        fresh && !leadership.lease_given_up
    }

    /// Whether this leader knows everything that was committed before its term.
    pub(super) fn knows_commits(&self) -> bool {
        let leadership = self.leadership.as_ref();
        leadership.is_some_and(|leadership| self.commit >= leadership.first_index)
    }

    pub(super) fn on_read(&mut self, read: ReadId, now: Timestamp) {
        if self.role != Role::Leader {
            let reason = RejectionReason::NotLeader {
                leader: self.leader,
            };
            self.outputs.push(Output::ReadRejected { read, reason });
            return;
        }
        let unchecked = self.settings.lacks(Mutant::ReadWithoutLease);
        let ready = self.knows_commits() && self.holds_lease(now);
        if ready || unchecked {
            let index = self.commit;
            self.outputs.push(Output::ReadReady { read, index });
            return;
        }
        if let Some(leadership) = &mut self.leadership {
            let round = leadership.round + 1;
            leadership.reads.push(WaitingRead { read, round });
        }
        self.start_round(now);
    }

    /// Answers the reads whose round a quorum has answered.
    fn release_reads(&mut self, now: Timestamp) {
        if !self.knows_commits() {
            return;
        }
        let index = self.commit;
        let leased = self.holds_lease(now);
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let confirmed = leadership.confirmed_round;
        let mut waiting = Vec::new();
        for one in std::mem::take(&mut leadership.reads) {
            if leased || one.round <= confirmed {
                let read = one.read;
                self.outputs.push(Output::ReadReady { read, index });
            } else {
                waiting.push(one);
            }
        }
        leadership.reads = waiting;
    }
}
