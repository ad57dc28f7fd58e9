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
    /// Round that a quorum must acknowledge first.
    pub(super) round: u64,
}

impl Core {
    /// Commits the entries that are durable at a quorum.
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
        if self.settings.omits_rule(Mutant::CommitWithoutQuorum) {
            index = durable;
        }
        let own_term = self.log.term_at(index) == Some(self.term)
            || self.settings.omits_rule(Mutant::CommitEarlierTerm);
        if index <= self.commit || !own_term {
            return;
        }
        self.commit_to(index);
        self.release_reads(now);
        self.on_commit_advanced(now);
        self.send_commit_index();
    }

    /// Returns for application the entries that are committed and durable here.
    pub(super) fn apply_committed(&mut self) {
        let through = self.commit.min(self.durability.through());
        if through <= self.applied {
            return;
        }
        let entries = self.log.range(self.applied, through);
        self.applied = through;
        self.outputs.push(Output::Apply { entries });
    }

    /// Updates which heartbeat rounds a quorum has acknowledged.
    pub(super) fn confirm_rounds(&mut self, now: Timestamp) {
        let own = self.settings.id;
        let membership = self.memberships.latest();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let (progress, own_round) = (&leadership.progress, leadership.round);
        let acknowledged = |id: ControllerId| match id == own {
            true => own_round,
            false => progress.get(&id).map_or(0, |one| one.round),
        };
        let confirmed = membership.quorum_value(acknowledged);
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

    /// Whether this leader's lease is valid, so that no other member can be leader.
    pub(super) fn holds_lease(&self, now: Timestamp) -> bool {
        self.settings.lease_reads && self.has_quorum_support(now)
    }

    /// Whether a quorum acknowledged a round that this leader started less than
    /// one lease ago, and no leadership transfer was started.
    pub(super) fn has_quorum_support(&self, now: Timestamp) -> bool {
        let Some(leadership) = &self.leadership else {
            return false;
        };
        let lease = self.settings.lease();
        let confirmed_at = leadership.confirmed_at;
        let fresh = confirmed_at.is_some_and(|at| now.since(at) < lease);
        fresh && !leadership.lease_relinquished
    }

    /// Whether this leader has committed an entry of its term. Its commit index
    /// then covers everything that was committed before its term.
    pub(super) fn has_committed_in_term(&self) -> bool {
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
        let skip_check = self.settings.omits_rule(Mutant::ReadWithoutLease);
        let ready = self.has_committed_in_term() && self.holds_lease(now);
        if ready || skip_check {
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

    /// Releases the reads whose round a quorum has acknowledged.
    fn release_reads(&mut self, now: Timestamp) {
        if !self.has_committed_in_term() {
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
