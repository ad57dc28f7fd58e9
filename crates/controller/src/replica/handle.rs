//! Handle of a replica: proposals, linearizable reads, membership changes and status.
//!
//! Invariant: a command that is sent again keeps its session number, so it takes effect once.

use super::actor::{ReplicaMessage, Reply};
use super::session::ClientSession;
use crate::peers::PeerNetwork;
use courseshunt_consensus::{
    ConsensusMessage, MembersView, MembershipChange, MembershipError, Role,
};
use courseshunt_state::{Command, CommandEnvelope, CommandReply, ReplicatedState};
use courseshunt_types::time::MonotonicClock;
use courseshunt_types::{
    ClientId, ClientSequence, ControllerId, LogIndex, Millis, Revision, Term, Timestamp, UnixMillis,
};
use courseshunt_wire::MAX_COMMAND_BYTES;
use ractor::ActorRef;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard};
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Longest time for which a command or read is retried, for instance without a leader.
const LEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause before a command or read is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// A voter contacted within this time is a candidate for a leadership transfer.
const MAX_VOTER_SILENCE: Millis = Millis(500);
/// Longest wait for the outcome of a take-over.
const TAKE_OVER_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a command was not committed, or may not have been.
#[derive(Debug, Clone, PartialEq, Eq, snafu::Snafu)]
pub enum ProposeError {
    /// This member does not lead; nothing was appended.
    #[snafu(display("replica: this member does not lead"))]
    NotLeader {
        /// The leader, if known.
        leader: Option<ControllerId>,
    },
    /// The leadership was lost or no reply arrived; the command may still be committed.
    #[snafu(display("replica: leadership was lost before the command was committed"))]
    Undecided,
    /// The store refuses writes because its disk is full; nothing was appended.
    #[snafu(display("replica: the store refuses writes, its disk is full"))]
    StoreUnavailable,
    /// The command is longer than the largest message; nothing was appended.
    #[snafu(display("replica: a command of {bytes} bytes is too long, {most} are allowed"))]
    TooLong {
        /// Its length.
        bytes: usize,
        /// Longest command, in bytes.
        most: usize,
    },
    /// The replica has stopped.
    #[snafu(display("replica: stopped"))]
    Stopped,
    /// The membership change is not allowed.
    #[snafu(display("replica: {source}"))]
    Membership {
        /// The cause.
        source: MembershipError,
    },
}

impl ProposeError {
    /// Whether a retry, possibly at another member, may succeed.
    fn is_retryable(&self) -> bool {
        matches!(self, Self::NotLeader { .. } | Self::Undecided)
    }
}

/// Status of this member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// The leader, if known.
    pub leader: Option<ControllerId>,
    /// Whether it has had no leader for longer than an election takes and has no contact with a
    /// quorum; another member may have a leader.
    pub lost_quorum: bool,
    /// Last applied entry.
    pub applied: LogIndex,
    /// Revision of the configuration.
    pub revision: Revision,
    /// Why the replica has failed, if it has.
    pub failure: Option<Arc<str>>,
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
    pub(super) quorum_contact: Arc<AtomicI64>,
    pub(super) clock: MonotonicClock,
    pub(super) peers: PeerNetwork,
    pub(super) session: ClientSession,
    /// Cancelled once the store is closed.
    pub(super) writer_ended: CancellationToken,
}

impl ReplicaHandle {
    /// Commits a command and returns its reply. A member that does not lead forwards it to the
    /// leader. After a lost reply or a change of leader it is retried under the same number, so
    /// that it takes effect once.
    ///
    /// # Errors
    /// See [`ProposeError`]. `Undecided` when no reply arrived in time.
    pub async fn propose(
        &self,
        mut envelope: CommandEnvelope,
    ) -> Result<CommandReply, ProposeError> {
        let ticket = self.session.begin();
        if envelope.client.as_str().is_empty() {
            envelope.client = self.session.client().clone();
            envelope.sequence = ticket.sequence();
            envelope.acknowledged = ticket.acknowledged;
        }
        let mut undecided = false;
        let deadline = Instant::now() + LEADER_TIMEOUT;
        loop {
            let error = match self.propose_once(&envelope).await {
                Err(error) if error.is_retryable() => error,
                Err(ProposeError::Stopped) if undecided => return Err(ProposeError::Undecided),
                Err(_) if undecided => ProposeError::Undecided,
                finished => return finished,
            };
            undecided |= error == ProposeError::Undecided;
            if Instant::now() >= deadline {
                return Err(if undecided {
                    ProposeError::Undecided
                } else {
                    error
                });
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn propose_once(&self, envelope: &CommandEnvelope) -> Result<CommandReply, ProposeError> {
        if self.leads() {
            return self.propose_here(envelope.clone()).await;
        }
        let leader = self.status.borrow().leader;
        match leader {
            Some(leader) => {
                let payload = envelope.to_payload();
                check_length(&payload)?;
                let forwarded = self.peers.forward(leader, payload).await;
                forwarded.ok_or(ProposeError::Undecided)
            }
            None => Err(ProposeError::NotLeader { leader: None }),
        }
    }

    /// Commits a command only if this member leads.
    ///
    /// # Errors
    /// See [`ProposeError`].
    pub async fn propose_here(
        &self,
        envelope: CommandEnvelope,
    ) -> Result<CommandReply, ProposeError> {
        let call = |reply| ReplicaMessage::Propose { envelope, reply };
        self.call(call, ProposeError::Undecided).await
    }

    async fn call<T>(
        &self,
        message: impl FnOnce(Reply<T>) -> ReplicaMessage,
        on_lost_reply: ProposeError,
    ) -> Result<T, ProposeError> {
        let (reply, received) = oneshot::channel();
        let sent = self.actor.cast(message(reply));
        sent.map_err(|_| ProposeError::Stopped)?;
        received.await.unwrap_or(Err(on_lost_reply))
    }

    /// Commits a command through the current leader.
    ///
    /// # Errors
    /// See [`ProposeError`].
    pub async fn submit(&self, command: Command) -> Result<CommandReply, ProposeError> {
        self.propose(without_session(command)).await
    }

    /// Commits a decision that only the leader may make. A member that does not lead, or no
    /// longer does, refuses it.
    ///
    /// # Errors
    /// See [`ProposeError`].
    pub async fn submit_as_leader(&self, command: Command) -> Result<CommandReply, ProposeError> {
        self.propose_here(without_session(command)).await
    }

    /// Waits until everything committed before the call is applied here. It works on any
    /// member.
    ///
    /// # Errors
    /// When no leader replies in time, or this member has stopped.
    pub async fn read_barrier(&self) -> Result<LogIndex, ProposeError> {
        let deadline = Instant::now() + LEADER_TIMEOUT;
        let index = loop {
            let error = match self.read_index().await {
                Ok(index) => break index,
                Err(error) => error,
            };
            if !error.is_retryable() || Instant::now() >= deadline {
                return Err(error);
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        };
        let mut status = self.status.clone();
        let applied = status.wait_for(|status| status.applied >= index);
        match tokio::time::timeout_at(deadline, applied).await {
            Ok(Ok(_)) => Ok(index),
            Ok(Err(_)) => Err(ProposeError::Stopped),
            Err(_) => Err(ProposeError::Undecided),
        }
    }

    async fn read_index(&self) -> Result<LogIndex, ProposeError> {
        if self.leads() {
            return self.read_index_here().await;
        }
        let leader = self.status.borrow().leader;
        let index = match leader {
            Some(leader) => self.peers.read_index(leader).await,
            None => None,
        };
        index.ok_or(ProposeError::NotLeader { leader })
    }

    /// An index at which a read is linearizable, if this member leads.
    ///
    /// # Errors
    /// When this member does not lead, or loses the leadership before the index is confirmed.
    pub async fn read_index_here(&self) -> Result<LogIndex, ProposeError> {
        let call = |reply| ReplicaMessage::Read { reply };
        self.call(call, ProposeError::Stopped).await
    }

    /// Changes the membership through the current leader; returns the index of the committed
    /// change.
    ///
    /// # Errors
    /// The reason of the refusal, or that the result is unknown.
    pub async fn change_membership(&self, change: MembershipChange) -> Result<LogIndex, String> {
        let leader = self.status.borrow().leader;
        let unknown = || "the result of the change is not known; list the members".to_owned();
        if self.leads() {
            let changed = self.change_membership_here(change).await;
            return changed.map_err(|error| error.to_string());
        }
        let Some(leader) = leader else {
            return Err("there is no leader now; try again".to_owned());
        };
        let changed = self.peers.change_membership(leader, change).await;
        changed.unwrap_or_else(|| Err(unknown()))
    }

    /// Changes the membership only if this member leads.
    ///
    /// # Errors
    /// See [`ProposeError`].
    pub async fn change_membership_here(
        &self,
        change: MembershipChange,
    ) -> Result<LogIndex, ProposeError> {
        let call = |reply| ReplicaMessage::ChangeMembership { change, reply };
        self.call(call, ProposeError::Undecided).await
    }

    /// This member's view of the members; empty when it has stopped.
    pub async fn members(&self) -> MembersView {
        let (reply, received) = oneshot::channel();
        let _ = self.actor.cast(ReplicaMessage::Members { reply });
        received.await.unwrap_or_default()
    }

    /// Passes a message of another member to the consensus core.
    pub fn receive(&self, from: ControllerId, message: ConsensusMessage) {
        let _ = self.actor.cast(ReplicaMessage::Receive { from, message });
    }

    /// Locks the replicated state, as applied here, for reading. Do not hold the guard across an
    /// `await`.
    pub fn state(&self) -> RwLockReadGuard<'_, ReplicatedState> {
        self.state.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Subscription to the status; each applied batch of entries is a change.
    #[must_use]
    pub fn status(&self) -> watch::Receiver<ReplicaStatus> {
        self.status.clone()
    }

    /// Waits until the replica fails, for example by a permanent failure of its store, and
    /// returns the cause. The process serves no requests from then on and must exit.
    pub fn failed(&self) -> impl Future<Output = Arc<str>> + Send + use<> {
        let mut status = self.status.clone();
        async move {
            let failed = status.wait_for(|status| status.failure.is_some()).await;
            let failure = failed.ok().and_then(|status| status.failure.clone());
            match failure {
                Some(failure) => failure,
                // The replica was shut down without a failure.
                None => std::future::pending().await,
            }
        }
    }

    /// Whether this member leads.
    #[must_use]
    pub fn leads(&self) -> bool {
        self.status.borrow().leads()
    }

    /// Whether this member has no contact with a quorum, so that another member may have a
    /// leader.
    #[must_use]
    pub fn has_lost_quorum(&self) -> bool {
        self.status.borrow().lost_quorum
    }

    /// Waits until this member has lost contact with a quorum.
    pub async fn until_quorum_lost(&self) {
        let mut status = self.status.clone();
        if status.wait_for(|status| status.lost_quorum).await.is_err() {
            // The replica has stopped; its status does not change any more.
            std::future::pending::<()>().await;
        }
    }

    /// Time since this member was last confirmed to be in contact with a quorum, or with a leader
    /// that was; `None` before the first contact. The applied state is at most this old, plus the
    /// replication delay.
    #[must_use]
    pub fn confirmation_age(&self) -> Option<Millis> {
        let contact = self.quorum_contact.load(Ordering::Relaxed);
        (contact != super::NO_CONTACT).then(|| self.clock.now().since(Timestamp(contact)))
    }

    /// Starts a leadership transfer to a voter, if this member leads.
    pub fn transfer_leadership(&self, to: ControllerId) {
        let _ = self.actor.cast(ReplicaMessage::Transfer { to: Some(to) });
    }

    /// Replaces the leader by this member, if that leader consents; returns the leader that is
    /// known in the end.
    pub async fn take_over(&self) -> Option<ControllerId> {
        let mut status = self.status.clone();
        let before = status.borrow_and_update().leader;
        let _ = self.actor.cast(ReplicaMessage::TakeOver);
        let replaced = status.wait_for(|status| status.leader.is_some() && status.leader != before);
        let _ = tokio::time::timeout(TAKE_OVER_TIMEOUT, replaced).await;
        self.status.borrow().leader
    }

    /// Transfers the leadership, if this member leads and another voter can take it. It waits for
    /// that until `deadline` at the latest.
    pub async fn hand_over(&self, deadline: Instant) {
        let _ = tokio::time::timeout_at(deadline, self.transferred()).await;
    }

    async fn transferred(&self) {
        let members = self.members().await;
        let has_successor = members.live_voters(MAX_VOTER_SILENCE).next().is_some();
        if self.leads() && has_successor {
            let _ = self.actor.cast(ReplicaMessage::Transfer { to: None });
            let mut status = self.status.clone();
            let _ = status.wait_for(|status| !status.leads()).await;
        }
    }

    /// Stops the replica: pending calls end, and nothing is applied any more. It waits for the work
    /// in progress until `deadline` at the latest. The last write of the log may still run then.
    pub async fn stop(&self, deadline: Instant) {
        let stopping = self.actor.stop_and_wait(None, None);
        if tokio::time::timeout_at(deadline, stopping).await.is_err() {
            log::warn!("replica: still at work at the end of its time to stop");
        }
    }

    /// Waits until a replica that was stopped has closed its store, until `deadline` at the latest;
    /// a disk may stall for longer.
    pub async fn store_closed(&self, deadline: Instant) {
        let closed = self.writer_ended.cancelled();
        if tokio::time::timeout_at(deadline, closed).await.is_err() {
            log::warn!("replica: stopped while its last write of the log still runs");
        }
    }
}

/// Refuses a command that exceeds the longest message between members.
pub(super) fn check_length(payload: &[u8]) -> Result<(), ProposeError> {
    match payload.len() > MAX_COMMAND_BYTES {
        true => Err(ProposeError::TooLong {
            bytes: payload.len(),
            most: MAX_COMMAND_BYTES,
        }),
        false => Ok(()),
    }
}

/// An envelope without a client; the session of this process fills in client and sequence.
fn without_session(command: Command) -> CommandEnvelope {
    CommandEnvelope {
        client: ClientId::default(),
        sequence: ClientSequence(0),
        acknowledged: ClientSequence(0),
        proposed_at: UnixMillis::now(),
        command,
    }
}
