//! Leader side of replication: proposals, appends and heartbeats.

use super::change::{PendingChange, Transfer};
use super::commit::WaitingRead;
use super::{Core, Role};
use crate::entry::{Entry, Payload};
use crate::input::ProposalId;
use crate::message::ConsensusMessage;
use crate::output::{Output, RejectionReason};
use crate::progress::{Progress, SendMode};
use courseshunt_types::{ControllerId, LogIndex, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// State that a member has only while it is the leader.
#[derive(Debug)]
pub(super) struct Leadership {
    /// First entry of this term.
    pub(super) first_index: LogIndex,
    pub(super) progress: BTreeMap<ControllerId, Progress>,
    pub(super) round: u64,
    /// Rounds that no quorum has acknowledged yet, oldest first.
    pub(super) open_rounds: VecDeque<OpenRound>,
    /// Start of the last round that a quorum acknowledged.
    pub(super) confirmed_at: Option<Timestamp>,
    /// Last round that a quorum acknowledged.
    pub(super) confirmed_round: u64,
    pub(super) elected_at: Timestamp,
    pub(super) next_heartbeat: Timestamp,
    pub(super) reads: Vec<WaitingRead>,
    pub(super) transfer: Option<Transfer>,
    /// Whether a transfer was started in this term; the lease is then
    /// relinquished for the rest of the term.
    pub(super) lease_relinquished: bool,
    pub(super) pending_change: Option<PendingChange>,
}

/// A heartbeat round in progress.
#[derive(Debug, Clone, Copy)]
pub(super) struct OpenRound {
    pub(super) round: u64,
    pub(super) started_at: Timestamp,
}

impl Leadership {
    fn new(first_index: LogIndex, now: Timestamp) -> Self {
        Self {
            first_index,
            progress: BTreeMap::new(),
            round: 0,
            open_rounds: VecDeque::new(),
            confirmed_at: None,
            confirmed_round: 0,
            elected_at: now,
            next_heartbeat: now,
            reads: Vec::new(),
            transfer: None,
            lease_relinquished: false,
            pending_change: None,
        }
    }

    /// Start of the last round that a quorum acknowledged, or the election.
    pub(super) fn quorum_contact_at(&self) -> Timestamp {
        let confirmed_at = self.confirmed_at.unwrap_or_default();
        confirmed_at.max(self.elected_at)
    }
}

impl Core {
    pub(super) fn become_leader(&mut self, now: Timestamp) {
        self.role = Role::Leader;
        self.leader = Some(self.settings.id);
        self.votes.clear();
        self.incoming = None;
        let first_index = self.log.last_index().next();
        self.leadership = Some(Leadership::new(first_index, now));
        // The first entry of a new group sets its initial membership.
        let payload = match first_index {
            LogIndex(1) => Payload::Membership(self.memberships.latest().clone()),
            _ => Payload::Noop,
        };
        // Called before the append, so that the new entry is the first one sent to each member.
        self.apply_membership();
        self.append_new_entry(payload);
        self.tick_leader(now);
    }

    pub(super) fn on_propose(&mut self, proposal: ProposalId, command: Vec<u8>) {
        if let Some(reason) = self.rejection_reason() {
            self.outputs
                .push(Output::ProposalRejected { proposal, reason });
            return;
        }
        let index = self.append_new_entry(Payload::Command(command));
        self.report_proposed(proposal, index);
        self.send_entries();
    }

    /// Why proposals are rejected now; `None` when they are accepted.
    pub(super) fn rejection_reason(&self) -> Option<RejectionReason> {
        match &self.leadership {
            None => Some(RejectionReason::NotLeader {
                leader: self.leader,
            }),
            Some(leadership) => leadership
                .transfer
                .as_ref()
                .map(|_| RejectionReason::NotLeader { leader: None }),
        }
    }

    pub(super) fn report_proposed(&mut self, proposal: ProposalId, index: LogIndex) {
        self.outputs.push(Output::Proposed {
            proposal,
            index,
            term: self.term,
        });
    }

    /// Appends an entry in this leader's term.
    pub(super) fn append_new_entry(&mut self, payload: Payload) -> LogIndex {
        let index = self.log.last_index().next();
        self.append_entry(Entry {
            index,
            term: self.term,
            payload,
        });
        index
    }

    /// Adapts the role and the set of tracked members to the membership in effect.
    pub(super) fn apply_membership(&mut self) {
        if self.role != Role::Leader {
            if matches!(self.role, Role::Follower | Role::Learner) {
                self.role = self.passive_role();
            }
            return;
        }
        let own = self.settings.id;
        let next = self.log.last_index().next();
        let members = self.memberships.latest().all();
        if let Some(leadership) = &mut self.leadership {
            leadership.progress.retain(|id, _| members.contains(id));
            for member in members.into_iter().filter(|id| *id != own) {
                let new = leadership.progress.entry(member);
                new.or_insert_with(|| Progress::starting_at(next));
            }
        }
    }

    pub(super) fn tick_leader(&mut self, now: Timestamp) {
        let lease = self.settings.lease();
        let heartbeat_interval = self.settings.heartbeat_interval;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if now.since(leadership.quorum_contact_at()) >= lease
            && leadership.confirmed_round < leadership.round
        {
            self.become_follower(self.term, None, now);
            return;
        }
        if now >= leadership.next_heartbeat {
            leadership.next_heartbeat = now + heartbeat_interval;
            self.start_round(now);
            self.resend_lost();
        }
        self.check_pending_change(now);
        self.check_transfer(now);
    }

    /// Starts a heartbeat round with every member.
    pub(super) fn start_round(&mut self, now: Timestamp) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        leadership.round += 1;
        leadership.open_rounds.push_back(OpenRound {
            round: leadership.round,
            started_at: now,
        });
        let members: Vec<ControllerId> = leadership.progress.keys().copied().collect();
        for member in members {
            self.send_append(member, 0);
        }
        self.send_entries();
        self.confirm_rounds(now);
    }

    /// Resends the entries and snapshot chunks that count as lost.
    fn resend_lost(&mut self) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let mut chunks = Vec::new();
        for (member, progress) in &mut leadership.progress {
            let lost = progress.heartbeat();
            if let (true, SendMode::Snapshot { offset }) = (lost, progress.mode) {
                chunks.push((*member, offset));
            }
        }
        for (member, offset) in chunks {
            self.request_chunk(member, offset);
        }
        self.send_entries();
    }

    /// Sends new entries to every member, as far as its flow-control window allows.
    pub(super) fn send_entries(&mut self) {
        let Some(leadership) = &self.leadership else {
            return;
        };
        let members: Vec<ControllerId> = leadership.progress.keys().copied().collect();
        for member in members {
            while self.send_next(member) {}
        }
    }

    /// Sends one message with entries; returns whether another may follow.
    fn send_next(&mut self, member: ControllerId) -> bool {
        let last = self.log.last_index();
        let first = self.log.first_index();
        let window = self.settings.max_entries_in_flight;
        let Some(progress) = self.progress_mut(member) else {
            return false;
        };
        if progress.next > last {
            return false;
        }
        if progress.next < first {
            let started = matches!(progress.mode, SendMode::Snapshot { .. });
            if !started {
                progress.continue_snapshot(0);
                self.request_chunk(member, 0);
            }
            return false;
        }
        let in_flight = progress.next.0 - progress.matched.0 - 1;
        match progress.mode {
            SendMode::Probe { waiting: true } | SendMode::Snapshot { .. } => return false,
            SendMode::Stream if in_flight >= window => return false,
            SendMode::Probe { .. } => progress.mode = SendMode::Probe { waiting: true },
            SendMode::Stream => {}
        }
        let sent = self.send_append(member, self.settings.max_entries_per_append);
        let Some(progress) = self.progress_mut(member) else {
            return false;
        };
        if progress.mode != SendMode::Stream {
            return false;
        }
        progress.next = LogIndex(progress.next.0 + sent);
        true
    }

    pub(super) fn progress_mut(&mut self, member: ControllerId) -> Option<&mut Progress> {
        self.leadership.as_mut()?.progress.get_mut(&member)
    }

    /// Sends at most `max_entries` entries from the member's next one on, or a
    /// heartbeat if it is 0. Returns the number of entries sent.
    fn send_append(&mut self, member: ControllerId, max_entries: usize) -> u64 {
        let max_bytes = self.settings.max_bytes_per_append;
        let commit = self.commit;
        let Some(leadership) = &mut self.leadership else {
            return 0;
        };
        let round = leadership.round;
        let Some(progress) = leadership.progress.get_mut(&member) else {
            return 0;
        };
        progress.commit_sent = commit;
        // A heartbeat refers to the last entry known to match, so that it is
        // not rejected while entries are in flight.
        let previous_index = match max_entries {
            0 => progress.matched.max(self.log.previous_index()),
            _ => LogIndex(progress.next.0 - 1),
        };
        let entries = match max_entries {
            0 => Vec::new(),
            _ => self.log.batch(progress.next, max_entries, max_bytes),
        };
        let count = entries.len() as u64;
        let message = ConsensusMessage::Append {
            term: self.term,
            previous_index,
            previous_term: self.log.term_at(previous_index).unwrap_or_default(),
            entries,
            commit,
            round,
        };
        self.send(member, message);
        count
    }

    /// Sends the commit index to members that have not received it with entries.
    pub(super) fn send_commit_index(&mut self) {
        let commit = self.commit;
        let Some(leadership) = &self.leadership else {
            return;
        };
        let outdated = leadership.progress.iter();
        let outdated = outdated.filter(|(_, one)| one.commit_sent < commit);
        let outdated: Vec<ControllerId> = outdated.map(|(id, _)| *id).collect();
        for member in outdated {
            self.send_append(member, 0);
        }
    }

    pub(super) fn on_append_reply(
        &mut self,
        from: ControllerId,
        accepted: bool,
        match_index: LogIndex,
        round: u64,
        now: Timestamp,
    ) {
        let last = self.log.last_index();
        let Some(progress) = self.progress_mut(from) else {
            return;
        };
        progress.last_message_at = Some(now);
        progress.round = progress.round.max(round);
        match accepted {
            true => progress.accept(match_index.min(last)),
            false => progress.reject(match_index),
        }
        self.confirm_rounds(now);
        self.advance_commit(now);
        self.check_pending_change(now);
        self.check_transfer(now);
        self.send_entries();
    }
}
