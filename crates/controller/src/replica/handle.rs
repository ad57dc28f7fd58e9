//! The handle of a replica.

use super::actor::ReplicaMessage;
use courseshunt_consensus::Role;
use courseshunt_state::{Command, CommandEnvelope, CommandReply, ReplicatedState};
use courseshunt_types::{
    ClientId, ClientSequence, ControllerId, LogIndex, Revision, Term, UnixMillis,
};
use ractor::ActorRef;
use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard};
use tokio::sync::{oneshot, watch};

/// Why a command was not, or perhaps not, committed.
#[derive(Debug, Clone, PartialEq, Eq, snafu::Snafu)]
pub enum ProposeError {
    /// This member does not lead; nothing was taken in.
    #[snafu(display("replica: this member does not lead"))]
    NotLeader {
        /// The leader, if known.
        leader: Option<ControllerId>,
    },
    /// Leadership was lost; the command may be committed yet.
    #[snafu(display("replica: leadership was lost before the command was committed"))]
    Undecided,
    /// The store refuses writes, such as on a full disk; nothing was taken in.
    #[snafu(display("replica: the store refuses writes"))]
    StoreUnavailable,
    /// The replica has stopped.
    #[snafu(display("replica: stopped"))]
    Stopped,
}

/// What is known about this member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// The leader, if known.
    pub leader: Option<ControllerId>,
    /// Last applied entry.
    pub applied: LogIndex,
    /// Revision of the configuration.
    pub revision: Revision,
}

impl ReplicaStatus {
    /// Whether this member leads.
    #[must_use]
    pub fn leads(&self) -> bool {
        self.role == Role::Leader
    }
}

/// The replicated state, shared for reading.
pub type SharedState = Arc<RwLock<ReplicatedState>>;

/// Handle of a replica; cheap to clone.
#[derive(Debug, Clone)]
pub struct ReplicaHandle {
    pub(super) actor: ActorRef<ReplicaMessage>,
    pub(super) state: SharedState,
    pub(super) status: watch::Receiver<ReplicaStatus>,
}

impl ReplicaHandle {
    /// Commits a command and returns its reply.
    ///
    /// # Errors
    /// See [`ProposeError`].
    pub async fn propose(&self, envelope: CommandEnvelope) -> Result<CommandReply, ProposeError> {
        let (reply, received) = oneshot::channel();
        let message = ReplicaMessage::Propose { envelope, reply };
        self.actor
            .cast(message)
            .map_err(|_| ProposeError::Stopped)?;
        received.await.unwrap_or(Err(ProposeError::Undecided))
    }

    /// Commits a command whose resends need not be recognised.
    ///
    /// # Errors
    /// See [`ProposeError`].
    pub async fn submit(&self, command: Command) -> Result<CommandReply, ProposeError> {
        self.propose(CommandEnvelope {
            client: ClientId::default(),
            sequence: ClientSequence(0),
            acknowledged: ClientSequence(0),
            proposed_at: UnixMillis::now(),
            command,
        })
        .await
    }

    /// Waits until everything committed before the call is applied here.
    ///
    /// # Errors
    /// When this member does not lead or has stopped.
    pub async fn read_barrier(&self) -> Result<LogIndex, ProposeError> {
        let (reply, received) = oneshot::channel();
        let message = ReplicaMessage::Read { reply };
        self.actor
            .cast(message)
            .map_err(|_| ProposeError::Stopped)?;
        received.await.unwrap_or(Err(ProposeError::Stopped))
    }

    /// The replicated state as applied here. Don't hold it over an `await`.
    pub fn state(&self) -> RwLockReadGuard<'_, ReplicatedState> {
        self.state.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Status, and its changes (each applied batch is one).
    #[must_use]
    pub fn status(&self) -> watch::Receiver<ReplicaStatus> {
        self.status.clone()
    }

    /// Stops the replica after the messages that it has.
    pub async fn stop(&self) {
        let _ = self.actor.stop_and_wait(None, None).await;
    }
}
