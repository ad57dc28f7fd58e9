//! Actor that feeds messages and ticks to the consensus core.
//!
//! Invariant: only this actor calls the core, one message at a time.

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

/// Interval between ticks of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between the first ticks. It is short enough to resolve the jitter by which members that
/// start together differ in the time of their first candidacy.
const STARTUP_TICK_INTERVAL: Duration = Duration::from_millis(4);
/// Number of ticks at the shorter interval.
const STARTUP_TICKS: u32 = 15;

/// Channel for the result of a call.
pub(super) type Reply<T> = oneshot::Sender<Result<T, ProposeError>>;

/// Messages to the replica actor.
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
    /// Request an index at which a read is linearizable, if this member leads.
    Read {
        /// Receives the index.
        reply: Reply<LogIndex>,
    },
    /// Request this member's view of the members.
    Members {
        /// Receives the view.
        reply: oneshot::Sender<MembersView>,
    },
    /// A consensus message of another member.
    Receive {
        /// The sender.
        from: ControllerId,
        /// The message.
        message: ConsensusMessage,
    },
    /// Transfer the leadership, if this member leads.
    Transfer {
        /// The next leader; when `None`, the voter with the most complete log.
        to: Option<ControllerId>,
    },
    /// Replace the leader by this member, if the leader consents.
    TakeOver,
    /// Writes are durable up to this number.
    Persisted {
        /// The number.
        number: PersistNumber,
    },
    /// A snapshot is durable.
    SnapshotDurable {
        /// Its last entry and membership.
        metadata: SnapshotMetadata,
        /// Its encoded content.
        bytes: Arc<Vec<u8>>,
    },
    /// The disk is full, or has space again.
    DiskFull {
        /// Whether it is full.
        full: bool,
    },
    /// The store failed permanently.
    StoreFailed {
        /// The cause.
        error: StorageError,
    },
    /// A tick of the core is due.
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
        for number in 1..=STARTUP_TICKS {
            myself.send_after(STARTUP_TICK_INTERVAL * number, || ReplicaMessage::Tick);
        }
        myself.send_interval(TICK_INTERVAL, || ReplicaMessage::Tick);
        Ok(driver)
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        driver: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        if let Err(error) = dispatch(driver, message) {
            log::error!("replica: stopped after an error: {error}");
            driver.fail(&error);
            myself.stop(None);
        }
        Ok(())
    }
}

fn dispatch(
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
        ReplicaMessage::TakeOver => driver.step(Input::TakeOver),
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
