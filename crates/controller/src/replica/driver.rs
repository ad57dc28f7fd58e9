//! Executes the outputs of the consensus core: writes, messages, applied entries and replies.
//!
//! Invariant: each proposal and read gets at most one reply.

use super::actor::{ReplicaMessage, Reply};
use super::handle::{ProposeError, ReplicaStatus, SharedState, check_length};
use super::snapshots::Snapshots;
use super::writer::{self, WriteRequest};
use crate::error::ControllerError;
use crate::peers::{GROUP, PeerNetwork};
use courseshunt_consensus::{
    Core, Entry, Input, MembersView, MembershipChange, Output, Payload, ProposalId, ReadId,
    RejectionReason, Role, SnapshotMetadata,
};
use courseshunt_state::{CommandEnvelope, CommandReply, ReplicatedState};
use courseshunt_storage::LogStore;
use courseshunt_types::time::MonotonicClock;
use courseshunt_types::{ControllerId, LogIndex, Term, UnixMillis};
use courseshunt_wire::Message;
use ractor::ActorRef;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, PoisonError};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Parts from which a driver is created.
pub struct DriverArguments {
    pub(super) core: Core,
    pub(super) store: Box<dyn LogStore>,
    pub(super) snapshots: Snapshots,
    pub(super) clock: MonotonicClock,
    pub(super) state: SharedState,
    pub(super) status: watch::Sender<ReplicaStatus>,
    pub(super) quorum_contact: Arc<AtomicI64>,
    pub(super) peers: PeerNetwork,
    pub(super) writer_ended: CancellationToken,
}

/// The consensus core with its outputs' destinations and pending calls.
pub struct Driver {
    core: Core,
    writer: Sender<WriteRequest>,
    snapshots: Snapshots,
    clock: MonotonicClock,
    state: SharedState,
    status: watch::Sender<ReplicaStatus>,
    quorum_contact: Arc<AtomicI64>,
    peers: PeerNetwork,
    proposals: BTreeMap<ProposalId, ProposalReply>,
    waiting: BTreeMap<LogIndex, WaitingProposal>,
    reads: BTreeMap<ReadId, Reply<LogIndex>>,
    last_number: u64,
    disk_full: bool,
}

struct WaitingProposal {
    term: Term,
    reply: ProposalReply,
}

enum ProposalReply {
    Command(Reply<CommandReply>),
    Change(Reply<LogIndex>),
}

impl ProposalReply {
    fn refuse(self, error: ProposeError) {
        match self {
            Self::Command(reply) => drop(reply.send(Err(error))),
            Self::Change(reply) => drop(reply.send(Err(error))),
        }
    }
}

impl Driver {
    pub(super) fn new(
        arguments: DriverArguments,
        myself: ActorRef<ReplicaMessage>,
    ) -> Result<Self, ControllerError> {
        let writer = writer::start(arguments.store, myself, arguments.writer_ended);
        let writer = writer.map_err(|error| ControllerError::Actor {
            part: "log writer",
            message: error.to_string(),
        })?;
        Ok(Self {
            core: arguments.core,
            writer,
            snapshots: arguments.snapshots,
            clock: arguments.clock,
            state: arguments.state,
            status: arguments.status,
            quorum_contact: arguments.quorum_contact,
            peers: arguments.peers,
            proposals: BTreeMap::new(),
            waiting: BTreeMap::new(),
            reads: BTreeMap::new(),
            last_number: 0,
            disk_full: false,
        })
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    pub(super) fn propose(
        &mut self,
        mut envelope: CommandEnvelope,
        reply: Reply<CommandReply>,
    ) -> Result<(), ControllerError> {
        if self.disk_full {
            let _ = reply.send(Err(ProposeError::StoreUnavailable));
            return Ok(());
        }
        envelope.proposed_at = UnixMillis::now();
        let command = envelope.to_payload();
        if let Err(error) = check_length(&command) {
            let _ = reply.send(Err(error));
            return Ok(());
        }
        let proposal = ProposalId(self.next_number());
        self.proposals
            .insert(proposal, ProposalReply::Command(reply));
        self.step(Input::Propose { proposal, command })
    }

    pub(super) fn change(
        &mut self,
        change: MembershipChange,
        reply: Reply<LogIndex>,
    ) -> Result<(), ControllerError> {
        let proposal = ProposalId(self.next_number());
        self.proposals
            .insert(proposal, ProposalReply::Change(reply));
        self.step(Input::ProposeMembership { proposal, change })
    }

    pub(super) fn read(&mut self, reply: Reply<LogIndex>) -> Result<(), ControllerError> {
        let read = ReadId(self.next_number());
        self.reads.insert(read, reply);
        self.step(Input::Read { read })
    }

    pub(super) fn members(&self) -> MembersView {
        self.core.members_view(self.clock.now())
    }

    pub(super) fn disk_full(&mut self, full: bool) {
        self.disk_full = full;
    }

    /// Publishes the failure of this replica and refuses pending proposals, so that no caller
    /// treats this member as serving any more.
    pub(super) fn fail(&mut self, problem: &ControllerError) {
        self.refuse_all();
        self.status.send_modify(|status| {
            status.failure = Some(problem.to_string().into());
            status.role = Role::Learner;
            status.leader = None;
        });
    }

    /// Passes one input to the core and executes the outputs.
    pub(super) fn step(&mut self, input: Input) -> Result<(), ControllerError> {
        let now = self.clock.now();
        let outputs = self.core.step(input, now);
        for output in outputs {
            self.execute(output)?;
        }
        if let Some(at) = self.core.quorum_contact() {
            self.quorum_contact.store(at.0, Ordering::Relaxed);
        }
        let lost_quorum = self.core.has_lost_quorum(now);
        self.status.send_if_modified(|status| {
            let changed = status.lost_quorum != lost_quorum;
            status.lost_quorum = lost_quorum;
            changed
        });
        Ok(())
    }

    fn execute(&mut self, output: Output) -> Result<(), ControllerError> {
        match output {
            Output::Persist {
                number,
                hard_state,
                entries,
            } => self.write(WriteRequest::Persist {
                number,
                hard_state,
                entries,
            }),
            Output::Send { to, message } => {
                let group = GROUP;
                self.peers.send(to, Message::Consensus { group, message });
            }
            Output::Apply { entries } => self.apply(&entries),
            Output::Proposed {
                proposal,
                index,
                term,
            } => {
                if let Some(reply) = self.proposals.remove(&proposal) {
                    self.waiting.insert(index, WaitingProposal { term, reply });
                }
            }
            Output::ProposalRejected { proposal, reason } => {
                if let Some(reply) = self.proposals.remove(&proposal) {
                    reply.refuse(propose_error(reason));
                }
            }
            Output::ReadReady { read, index } => {
                if let Some(reply) = self.reads.remove(&read) {
                    let _ = reply.send(Ok(index));
                }
            }
            Output::ReadRejected { read, reason } => {
                if let Some(reply) = self.reads.remove(&read) {
                    let _ = reply.send(Err(propose_error(reason)));
                }
            }
            Output::RoleChanged { role, term, leader } => self.change_role(role, term, leader),
            Output::SendSnapshotChunk { to, term, offset } => {
                if let Some(message) = self.snapshots.chunk(term, offset) {
                    let group = GROUP;
                    self.peers.send(to, Message::Consensus { group, message });
                }
            }
            Output::StoreSnapshotChunk {
                metadata,
                offset,
                bytes,
                done,
            } => {
                self.snapshots.store_chunk(offset, &bytes);
                if done {
                    let bytes = self.snapshots.take_incoming()?;
                    self.snapshots.await_restore(metadata.last_index);
                    self.write(WriteRequest::Snapshot { metadata, bytes });
                }
            }
        }
        Ok(())
    }

    fn write(&self, request: WriteRequest) {
        // A failed writer has already reported its error to the actor.
        let _ = self.writer.send(request);
    }

    /// Handles a durable snapshot. One from the leader that goes beyond the applied entries
    /// replaces the state.
    pub(super) fn snapshot_durable(
        &mut self,
        metadata: SnapshotMetadata,
        bytes: Arc<Vec<u8>>,
    ) -> Result<(), ControllerError> {
        let restored = metadata.last_index > self.core.applied();
        if restored {
            let state = super::restore(&bytes)?;
            *self.state.write().unwrap_or_else(PoisonError::into_inner) = state;
        }
        self.snapshots.saved(metadata.clone(), bytes);
        let from_leader = self.snapshots.take_awaited(&metadata);
        if !restored && !from_leader {
            return self.step(Input::SnapshotSaved { metadata });
        }
        log::info!(
            "replica: restored a snapshot up to entry {}",
            metadata.last_index
        );
        self.step(Input::SnapshotRestored { metadata })?;
        self.publish_applied();
        Ok(())
    }

    fn apply(&mut self, entries: &[Entry]) {
        let shared = self.state.clone();
        let mut state = shared.write().unwrap_or_else(PoisonError::into_inner);
        let mut bytes = 0;
        for entry in entries {
            bytes += entry.payload.size_bytes();
            let reply = apply_one(&mut state, entry);
            if let Some(waiting) = self.waiting.remove(&entry.index) {
                complete(waiting, entry, reply);
            }
        }
        drop(state);
        self.publish_applied();
        self.take_snapshot(entries.len(), bytes);
    }

    fn take_snapshot(&mut self, entries: usize, bytes: usize) {
        if !self.snapshots.is_due(entries, bytes) {
            return;
        }
        let metadata = self.core.snapshot_metadata();
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        let members = self.core.membership().all();
        let bytes = match self.peers.addresses().all_at_current_version(&members) {
            true => state.to_snapshot(),
            false => state.to_previous_release_snapshot(),
        };
        let bytes = Arc::new(bytes);
        drop(state);
        self.write(WriteRequest::Snapshot { metadata, bytes });
    }

    fn publish_applied(&mut self) {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        let (applied, revision) = (state.applied, state.configuration.revision);
        self.peers.addresses().set_all(&state.members);
        drop(state);
        self.status.send_modify(|status| {
            status.applied = applied;
            status.revision = revision;
        });
    }

    fn change_role(&mut self, role: Role, term: Term, leader: Option<ControllerId>) {
        log::info!("replica: {role:?} in term {term}");
        if role != Role::Leader {
            self.refuse_all();
        }
        self.status.send_modify(|status| {
            status.role = role;
            status.term = term;
            status.leader = leader;
        });
    }

    /// Refuses the waiting proposals with an unknown result: entries that were appended under
    /// this member's leadership may or may not be committed.
    fn refuse_all(&mut self) {
        for (_, waiting) in std::mem::take(&mut self.waiting) {
            waiting.reply.refuse(ProposeError::Undecided);
        }
    }
}

fn complete(waiting: WaitingProposal, entry: &Entry, reply: Option<CommandReply>) {
    let same_term = waiting.term == entry.term;
    match (waiting.reply, reply) {
        (ProposalReply::Command(channel), Some(reply)) if same_term => {
            drop(channel.send(Ok(reply)))
        }
        (ProposalReply::Change(channel), _) if same_term => drop(channel.send(Ok(entry.index))),
        (channel, _) => channel.refuse(ProposeError::Undecided),
    }
}

fn apply_one(state: &mut ReplicatedState, entry: &Entry) -> Option<CommandReply> {
    let Payload::Command(bytes) = &entry.payload else {
        state.skip(entry.index);
        return None;
    };
    match CommandEnvelope::from_payload(bytes) {
        Ok(envelope) => Some(state.apply(entry.index, entry.term, &envelope)),
        Err(error) => {
            log::error!(
                "replica: skipping entry {}, which can't be decoded: {error}",
                entry.index
            );
            state.skip(entry.index);
            None
        }
    }
}

fn propose_error(reason: RejectionReason) -> ProposeError {
    match reason {
        RejectionReason::NotLeader { leader } => ProposeError::NotLeader { leader },
        RejectionReason::LeadershipLost => ProposeError::Undecided,
        RejectionReason::Membership(error) => ProposeError::Membership { source: error },
    }
}
