//! The consensus state machine of one member.
//!
//! Invariants: a term has at most one leader; an entry is committed only when
//! it is durable at a quorum and it, or a later such entry, has the leader's
//! term; no message that depends on persisted state is sent before that state
//! is durable.

mod change;
mod commit;
mod contact;
mod durability;
mod election;
mod follower;
mod leader;
mod settings;
mod snapshot;
mod status;
mod take_over;

pub use settings::{CoreSettings, Mutant};
pub use status::{MemberProgress, MembersView};

use crate::entry::{Entry, HardState, SnapshotMetadata};
use crate::entry_log::EntryLog;
use crate::input::Input;
use crate::membership::Membership;
use crate::membership_log::MembershipLog;
use crate::message::ConsensusMessage;
use crate::output::{Output, RejectionReason};
use contact::Contact;
use courseshunt_types::{ControllerId, LogIndex, Term, Timestamp};
use durability::Durability;
use leader::Leadership;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::SeedableRng;
use snapshot::IncomingSnapshot;
use std::collections::BTreeSet;
use take_over::TakeOver;

/// Role of a member in its term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Receives the log but does not vote.
    Learner,
    /// Votes, and accepts entries from a leader.
    Follower,
    /// Asks the voters, before it starts a term, whether they would vote for it (pre-vote).
    PreCandidate,
    /// Requests votes in its own term.
    Candidate,
    /// Replicates its log to the other members.
    Leader,
}

/// State that storage recovered at the start.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Recovered {
    /// Durable term and vote.
    pub hard_state: HardState,
    /// Latest snapshot; the state machine has already been restored from it.
    pub snapshot: SnapshotMetadata,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// The consensus core of one member.
#[derive(Debug)]
pub struct Core {
    settings: CoreSettings,
    random: Pcg32,
    term: Term,
    voted_for: Option<ControllerId>,
    role: Role,
    leader: Option<ControllerId>,
    log: EntryLog,
    memberships: MembershipLog,
    snapshot: SnapshotMetadata,
    commit: LogIndex,
    applied: LogIndex,
    durability: Durability,
    election_deadline: Timestamp,
    /// No vote is granted before this time, since the last observed leader may hold a lease.
    vote_withheld_until: Timestamp,
    /// When the last message from a leader was received.
    leader_contact_at: Option<Timestamp>,
    contact: Contact,
    votes: BTreeSet<ControllerId>,
    /// Whether this member, a learner by its own log, refused its vote to a candidate that
    /// counts it among the voters: see [`Core::tick_election`].
    refused_vote_as_learner: bool,
    transfer_election: bool,
    take_over: Option<TakeOver>,
    /// Last entry known to match the current leader's log.
    verified: LogIndex,
    leader_round: u64,
    incoming: Option<IncomingSnapshot>,
    leadership: Option<Leadership>,
    outputs: Vec<Output>,
    reported: Option<(Role, Term, Option<ControllerId>)>,
}

impl Core {
    /// Starts a member from recovered state. `bootstrap` is the membership of a
    /// new group; it applies until the log or a snapshot contains one.
    #[must_use]
    pub fn new(
        settings: CoreSettings,
        recovered: Recovered,
        bootstrap: Membership,
        now: Timestamp,
    ) -> Self {
        let snapshot = recovered.snapshot;
        let is_new = recovered.hard_state.term == Term(0);
        let base = if snapshot.membership.voters.is_empty() {
            bootstrap
        } else {
            snapshot.membership.clone()
        };
        let mut memberships = MembershipLog::new(snapshot.last_index, base);
        for entry in &recovered.entries {
            memberships.append(entry);
        }
        let last_entry_term = recovered.entries.last().map(|entry| entry.term);
        let log = EntryLog::new(snapshot.last_index, snapshot.last_term, recovered.entries);
        let recovered_term = recovered.hard_state.term;
        let term = recovered_term.max(last_entry_term.unwrap_or_default());
        let voted_for = recovered.hard_state.voted_for;
        // A leader's lease may still rely on a reply that this member sent before the restart.
        let vote_withheld_until = match is_new || !settings.lease_reads {
            true => now,
            false => now + settings.election_timeout,
        };
        let mut core = Self {
            random: Pcg32::seed_from_u64(settings.seed),
            term,
            voted_for: voted_for.filter(|_| term == recovered_term),
            role: Role::Follower,
            leader: None,
            memberships,
            commit: snapshot.last_index,
            applied: snapshot.last_index,
            durability: Durability::new(log.last_index()),
            log,
            snapshot,
            election_deadline: now,
            vote_withheld_until,
            leader_contact_at: None,
            contact: Contact::new(now),
            refused_vote_as_learner: false,
            votes: BTreeSet::new(),
            transfer_election: false,
            take_over: None,
            verified: LogIndex(0),
            leader_round: 0,
            incoming: None,
            leadership: None,
            outputs: Vec::new(),
            reported: None,
            settings,
        };
        core.role = core.passive_role();
        core.draw_first_deadline(now);
        core
    }

    /// Processes one input and returns the outputs to carry out, in order.
    pub fn step(&mut self, input: Input, now: Timestamp) -> Vec<Output> {
        match input {
            Input::Tick => self.on_tick(now),
            Input::Receive { from, message } => self.on_message(from, message, now),
            Input::Propose { proposal, command } => self.on_propose(proposal, command),
            Input::ProposeMembership { proposal, change } => {
                self.on_propose_membership(proposal, change, now);
            }
            Input::Read { read } => self.on_read(read, now),
            Input::Persisted { number } => self.on_persisted(number, now),
            Input::SnapshotSaved { metadata } => self.on_snapshot_saved(metadata),
            Input::SnapshotRestored { metadata } => self.on_snapshot_restored(metadata),
            Input::TransferLeadership { to } => self.on_transfer(to, now),
            Input::TakeOver => self.on_take_over(now),
        }
        self.finish_step()
    }

    /// Collects the outputs of a step: the persist first, a role change last.
    fn finish_step(&mut self) -> Vec<Output> {
        let hard_state = HardState {
            term: self.term,
            voted_for: self.voted_for,
        };
        let mut outputs = Vec::new();
        if let Some(persist) = self.durability.take_persist(hard_state) {
            outputs.push(persist);
        }
        outputs.append(&mut self.outputs);
        let current = (self.role, self.term, self.leader);
        if self.reported != Some(current) {
            self.reported = Some(current);
            outputs.push(Output::RoleChanged {
                role: self.role,
                term: self.term,
                leader: self.leader,
            });
        }
        outputs
    }

    fn on_tick(&mut self, now: Timestamp) {
        match self.role {
            Role::Leader => self.tick_leader(now),
            _ => self.tick_election(now),
        }
    }

    fn on_message(&mut self, from: ControllerId, message: ConsensusMessage, now: Timestamp) {
        if self.memberships.latest().is_voter(from) {
            self.contact.record_message(from, now);
        }
        if self.continue_take_over(from, &message, now) {
            return;
        }
        if !self.admit_term(from, &message, now) {
            return;
        }
        match message {
            ConsensusMessage::VoteRequest { .. } => self.on_vote_request(from, &message, now),
            ConsensusMessage::VoteReply {
                term,
                pre_vote,
                granted,
            } => self.on_vote_reply(from, term, pre_vote, granted, now),
            ConsensusMessage::Append { .. } => self.on_append(from, message, now),
            ConsensusMessage::AppendReply {
                accepted,
                match_index,
                round,
                ..
            } => self.on_append_reply(from, accepted, match_index, round, now),
            ConsensusMessage::SnapshotChunk { .. } => self.on_snapshot_chunk(from, message, now),
            ConsensusMessage::SnapshotReply {
                last_index,
                next_offset,
                done,
                ..
            } => self.on_snapshot_reply(from, last_index, next_offset, done, now),
            ConsensusMessage::TimeoutNow { .. } => self.on_timeout_now(now),
        }
    }

    /// Compares the message's term with the current one and adopts a later term.
    /// Returns whether the message is to be processed.
    fn admit_term(
        &mut self,
        from: ControllerId,
        message: &ConsensusMessage,
        now: Timestamp,
    ) -> bool {
        if let ConsensusMessage::VoteRequest { .. } = message {
            return true;
        }
        let term = message.term();
        let is_granted_pre_vote = matches!(
            message,
            ConsensusMessage::VoteReply {
                pre_vote: true,
                granted: true,
                ..
            }
        );
        if is_granted_pre_vote {
            return true;
        }
        if term > self.term {
            self.become_follower(term, None, now);
            return true;
        }
        if term < self.term {
            self.reply_to_stale_leader(from, message);
            return false;
        }
        true
    }

    /// Replies to the leader of an earlier term with the current term.
    fn reply_to_stale_leader(&mut self, from: ControllerId, message: &ConsensusMessage) {
        let from_leader = matches!(
            message,
            ConsensusMessage::Append { .. } | ConsensusMessage::SnapshotChunk { .. }
        );
        if from_leader {
            let reply = ConsensusMessage::AppendReply {
                term: self.term,
                accepted: false,
                match_index: LogIndex(0),
                round: 0,
            };
            self.send_when_durable(from, reply);
        }
    }

    /// Role of a member that is neither leader nor candidate.
    fn passive_role(&self) -> Role {
        match self.memberships.latest().is_voter(self.settings.id) {
            true => Role::Follower,
            false => Role::Learner,
        }
    }

    fn become_follower(&mut self, term: Term, leader: Option<ControllerId>, now: Timestamp) {
        if term > self.term {
            self.term = term;
            self.voted_for = None;
            self.durability.hard_state_changed();
        }
        if let Some(leadership) = self.leadership.take() {
            self.contact.record_leader(now);
            self.reject_pending(leadership);
            self.draw_election_deadline(now);
        }
        self.role = self.passive_role();
        self.leader = leader;
        self.votes.clear();
        self.verified = LogIndex(0);
        self.leader_round = 0;
        self.incoming = None;
    }

    /// Rejects the reads and the membership change that wait for this leadership.
    fn reject_pending(&mut self, leadership: Leadership) {
        for waiting in leadership.reads {
            self.outputs.push(Output::ReadRejected {
                read: waiting.read,
                reason: RejectionReason::LeadershipLost,
            });
        }
        if let Some(pending) = leadership.pending_change {
            self.outputs.push(Output::ProposalRejected {
                proposal: pending.proposal,
                reason: RejectionReason::NotLeader { leader: None },
            });
        }
    }

    fn send(&mut self, to: ControllerId, message: ConsensusMessage) {
        self.outputs.push(Output::Send { to, message });
    }

    fn send_when_durable(&mut self, to: ControllerId, message: ConsensusMessage) {
        if let Some(ready) = self.durability.defer_send(to, message) {
            self.outputs.push(ready);
        }
    }

    /// Appends an entry, created here as leader or received from the leader.
    fn append_entry(&mut self, entry: Entry) {
        if self.memberships.append(&entry) {
            self.apply_membership();
        }
        self.durability.entry_appended(entry.clone());
        self.log.push(entry);
    }
}
