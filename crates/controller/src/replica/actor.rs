//! The actor around the consensus core: a mailbox and a tick.

use super::driver::Driver;
use super::handle::ProposeError;
use courseshunt_consensus::{
    ConsensusMessage, Input, MembersView, MembershipChange, PersistNumber, SnapshotMetadata,
};
use courseshunt_state::{CommandEnvelope, CommandReply};
use courseshunt_storage::StorageError;
use courseshunt_types::{ControllerId, LogIndex};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Time between ticks of the core.
const TICK: Duration = Duration::from_millis(50);
/// Ticks are finer at the start: members that start together differ by their
/// jitter in when they first stand for election.
const FIRST_TICK: Duration = Duration::from_millis(4);
const FIRST_TICKS: u32 = 15;

/// Receives the result of a call.
pub(super) type Reply<T> = oneshot::Sender<Result<T, ProposeError>>;

/// Messages of the replica.
#[derive(Debug)]
pub enum ReplicaMessage {
    /// Commit a command, if this member leads.
    Propose {
        /// The command.
        envelope: CommandEnvelope,
        /// Receives the reply.
        reply: Reply<CommandReply>,
    },
    /// Change the membership, if this member leads.
    ChangeMembership {
        /// The change.
        change: MembershipChange,
        /// Receives the index of the committed change.
        reply: Reply<LogIndex>,
    },
    /// Ask for an index at which a read is linearizable, if this member leads.
    Read {
        /// Receives the index.
        reply: Reply<LogIndex>,
    },
    /// What is known about the members.
    Members {
        /// Receives the view.
        reply: oneshot::Sender<MembersView>,
    },
    /// A message of another member.
    Receive {
        /// The sender.
        from: ControllerId,
        /// The message.
        message: ConsensusMessage,
    },
    /// Hand the leadership over, if this member leads.
    Transfer {
        /// The next leader; the voter that has the most of the log when `None`.
        to: Option<ControllerId>,
    },
    /// Writes are durable up to this number.
    Persisted {
        /// The number.
        number: PersistNumber,
    },
    /// A snapshot is durable.
    SnapshotDurable {
        /// What it holds.
        metadata: SnapshotMetadata,
        /// Its bytes.
        bytes: Arc<Vec<u8>>,
    },
    /// The disk is full, or has space again.
    DiskFull {
        /// Whether it is full.
        full: bool,
    },
    /// The store failed for good.
    StoreFailed {
        /// Why.
        error: StorageError,
    },
    /// Time passed.
    Tick,
}

pub(super) struct ReplicaActor;

impl Actor for ReplicaActor {
    type Msg = ReplicaMessage;
    type State = Driver;
    type Arguments = super::driver::DriverArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        arguments: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        let driver = Driver::new(arguments, myself.clone())?;
        for number in 1..=FIRST_TICKS {
            myself.send_after(FIRST_TICK * number, || ReplicaMessage::Tick);
        }
        myself.send_interval(TICK, || ReplicaMessage::Tick);
        Ok(driver)
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        driver: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        if let Err(error) = receive(driver, message) {
            log::error!("replica: stopped: {error}");
            driver.stopped(&error);
            myself.stop(None);
        }
        Ok(())
    }
}

fn receive(
    driver: &mut Driver,
    message: ReplicaMessage,
) -> Result<(), crate::error::ControllerError> {
    match message {
        ReplicaMessage::Propose { envelope, reply } => driver.propose(envelope, reply),
        ReplicaMessage::ChangeMembership { change, reply } => driver.change(change, reply),
        ReplicaMessage::Read { reply } => driver.read(reply),
        ReplicaMessage::Members { reply } => {
            let _ = reply.send(driver.members());
            Ok(())
        }
        ReplicaMessage::Receive { from, message } => driver.step(Input::Receive { from, message }),
        ReplicaMessage::Transfer { to } => driver.step(Input::TransferLeadership { to }),
        ReplicaMessage::Persisted { number } => driver.step(Input::Persisted { number }),
        ReplicaMessage::SnapshotDurable { metadata, bytes } => {
            driver.snapshot_durable(metadata, bytes)
        }
        ReplicaMessage::DiskFull { full } => {
            driver.disk_full(full);
            Ok(())
        }
        ReplicaMessage::StoreFailed { error } => {
            Err(crate::error::ControllerError::Storage { source: error })
        }
        ReplicaMessage::Tick => driver.step(Input::Tick),
    }
}
