//! The actor that carries out the consensus core's outputs.

use super::handle::{ProposeError, ReplicaHandle, ReplicaStatus, SharedState};
use crate::error::{ControllerError, StorageSnafu};
use courseshunt_consensus::{
    Core, CoreSettings, Entry, Input, Membership, Output, Payload, ProposalId, ReadId,
    RejectionReason, Role,
};
use courseshunt_settings::ControllerSettings;
use courseshunt_state::{CommandEnvelope, CommandReply, ReplicatedState};
use courseshunt_storage::{LogStore, StorageError};
use courseshunt_types::time::MonotonicClock;
use courseshunt_types::{ControllerId, LogIndex, Term};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use snafu::ResultExt;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// Time between ticks of the core.
const TICK: Duration = Duration::from_millis(50);

type Reply<T> = oneshot::Sender<Result<T, ProposeError>>;

/// Messages of the replica.
#[derive(Debug)]
pub enum ReplicaMessage {
    /// Commit a command.
    Propose {
        /// The command.
        envelope: CommandEnvelope,
        /// Receives the reply.
        reply: Reply<CommandReply>,
    },
    /// Make a read linearizable.
    Read {
        /// Receives the applied index.
        reply: Reply<LogIndex>,
    },
    /// Time passed.
    Tick,
}

/// What the actor works on.
pub struct ReplicaActorState {
    core: Core,
    store: Box<dyn LogStore>,
    clock: MonotonicClock,
    state: SharedState,
    status: watch::Sender<ReplicaStatus>,
    proposals: BTreeMap<ProposalId, Reply<CommandReply>>,
    waiting: BTreeMap<LogIndex, WaitingProposal>,
    reads: BTreeMap<ReadId, Reply<LogIndex>>,
    last_number: u64,
}

struct WaitingProposal {
    term: Term,
    reply: Reply<CommandReply>,
}

struct ReplicaActor;

impl Actor for ReplicaActor {
    type Msg = ReplicaMessage;
    type State = ReplicaActorState;
    type Arguments = ReplicaActorState;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        arguments: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        myself.send_interval(TICK, || ReplicaMessage::Tick);
        Ok(arguments)
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        state.receive(message).map_err(Into::into)
    }
}

/// Restores the state and starts the actor.
pub async fn spawn(
    settings: &ControllerSettings,
    mut store: Box<dyn LogStore>,
    clock: MonotonicClock,
) -> Result<ReplicaHandle, ControllerError> {
    let recovered = store.recover().context(StorageSnafu)?;
    let state = restore(&recovered.snapshot)?;
    let state: SharedState = Arc::new(RwLock::new(state));
    let bootstrap = first_membership(settings);
    let core_settings = CoreSettings::for_member(settings.id);
    let core = Core::new(core_settings, recovered.core, bootstrap, clock.now());
    let (status, status_changes) = watch::channel(ReplicaStatus {
        role: core.role(),
        term: core.term(),
        leader: None,
        applied: LogIndex(0),
        revision: courseshunt_types::Revision(0),
    });
    let arguments = ReplicaActorState {
        core,
        store,
        clock,
        state: state.clone(),
        status,
        proposals: BTreeMap::new(),
        waiting: BTreeMap::new(),
        reads: BTreeMap::new(),
        last_number: 0,
    };
    let spawned = Actor::spawn(None, ReplicaActor, arguments).await;
    let (actor, _) = spawned.map_err(|error| ControllerError::Actor {
        part: "replica",
        message: error.to_string(),
    })?;
    Ok(ReplicaHandle {
        actor,
        state,
        status: status_changes,
    })
}

fn restore(snapshot: &[u8]) -> Result<ReplicatedState, ControllerError> {
    if snapshot.is_empty() {
        return Ok(ReplicatedState::default());
    }
    ReplicatedState::from_snapshot(snapshot).map_err(|error| ControllerError::Restore {
        message: error.to_string(),
    })
}

fn first_membership(settings: &ControllerSettings) -> Membership {
    let voters: Vec<ControllerId> = settings.voters.iter().map(|voter| voter.id).collect();
    match voters.is_empty() {
        true => Membership::of_voters([settings.id]),
        false => Membership::of_voters(voters),
    }
}

impl ReplicaActorState {
    fn receive(&mut self, message: ReplicaMessage) -> Result<(), StorageError> {
        let input = match message {
            ReplicaMessage::Propose { envelope, reply } => {
                self.last_number += 1;
                let proposal = ProposalId(self.last_number);
                self.proposals.insert(proposal, reply);
                let command = envelope.to_payload();
                Input::Propose { proposal, command }
            }
            ReplicaMessage::Read { reply } => {
                self.last_number += 1;
                let read = ReadId(self.last_number);
                self.reads.insert(read, reply);
                Input::Read { read }
            }
            ReplicaMessage::Tick => Input::Tick,
        };
        let outputs = self.core.step(input, self.clock.now());
        self.carry_out(outputs)
    }

    fn carry_out(&mut self, outputs: Vec<Output>) -> Result<(), StorageError> {
        let mut outputs = VecDeque::from(outputs);
        while let Some(output) = outputs.pop_front() {
            match output {
                Output::Persist {
                    hard_state,
                    entries,
                } => {
                    self.store.append(hard_state.as_ref(), &entries)?;
                    self.store.sync()?;
                    if let Some(last) = entries.last() {
                        let persisted = Input::Persisted {
                            through: last.index,
                            term: last.term,
                        };
                        outputs.extend(self.core.step(persisted, self.clock.now()));
                    }
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
                        let _ = reply.send(Err(propose_error(&reason)));
                    }
                }
                Output::ReadReady { read, index } => {
                    if let Some(reply) = self.reads.remove(&read) {
                        let _ = reply.send(Ok(index));
                    }
                }
                Output::ReadRejected { read, reason } => {
                    if let Some(reply) = self.reads.remove(&read) {
                        let _ = reply.send(Err(propose_error(&reason)));
                    }
                }
                Output::RoleChanged { role, term, leader } => self.change_role(role, term, leader),
                Output::Send { .. }
                | Output::SendSnapshotChunk { .. }
                | Output::StoreSnapshotChunk { .. } => {}
            }
        }
        Ok(())
    }

    fn apply(&mut self, entries: &[Entry]) {
        let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
        for entry in entries {
            let reply = apply_one(&mut state, entry);
            if let Some(waiting) = self.waiting.remove(&entry.index) {
                let result = match reply {
                    Some(reply) if waiting.term == entry.term => Ok(reply),
                    _ => Err(ProposeError::Undecided),
                };
                let _ = waiting.reply.send(result);
            }
        }
        let (applied, revision) = (state.applied, state.configuration.revision);
        drop(state);
        self.status.send_modify(|status| {
            status.applied = applied;
            status.revision = revision;
        });
    }

    fn change_role(&mut self, role: Role, term: Term, leader: Option<ControllerId>) {
        log::info!("replica: {role:?} in term {term}");
        self.status.send_modify(|status| {
            status.role = role;
            status.term = term;
            status.leader = leader;
        });
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
            log::error!("replica: entry {} skipped: {error}", entry.index);
            state.skip(entry.index);
            None
        }
    }
}

fn propose_error(reason: &RejectionReason) -> ProposeError {
    match reason {
        RejectionReason::NotLeader { leader } => ProposeError::NotLeader { leader: *leader },
        RejectionReason::LeadershipLost | RejectionReason::Membership(_) => ProposeError::Undecided,
    }
}
