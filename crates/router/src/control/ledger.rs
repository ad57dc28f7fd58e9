//! Client of the replicated ledger.
//!
//! Invariant: a command that may have reached a controller is never reported
//! as not committed.

use courseshunt_state::{Command, CommandReply};
use courseshunt_types::GroupId;
use courseshunt_wire::message::LedgerResult;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Capacity of the queue of calls to the link.
const CALL_QUEUE: usize = 4096;
/// Timeout of [`LedgerClient::commit`].
pub const COMMIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Whether a call may have been committed; shared by the caller and the link.
/// Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct InDoubtFlag(Arc<AtomicBool>);

impl InDoubtFlag {
    /// Sets whether the call may have been committed.
    pub(super) fn set(&self, in_doubt: bool) {
        self.0.store(in_doubt, Ordering::SeqCst);
    }

    /// Whether the call may have been committed.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// A command in flight.
#[derive(Debug)]
pub struct LedgerCall {
    /// The group that holds the key.
    pub group: GroupId,
    /// Command to commit.
    pub command: Command,
    /// Receives the result. When the other end is dropped, the caller has stopped
    /// waiting and the call is not sent again.
    pub reply: oneshot::Sender<LedgerResult>,
    /// Set by the link before each send.
    pub in_doubt: InDoubtFlag,
}

/// Receiving end of the calls, used by the link.
pub type LedgerCalls = mpsc::Receiver<LedgerCall>;

/// Why a command got no reply.
#[derive(Debug, Clone, PartialEq, Eq, snafu::Snafu)]
pub enum LedgerError {
    /// The command was not committed and never will be.
    #[snafu(display("ledger: not available"))]
    NotCommitted,
    /// The command may have been committed.
    #[snafu(display("ledger: no reply in time, the command may be committed"))]
    Undecided,
}

/// Sends commands to the ledger; cheap to clone.
#[derive(Debug, Clone)]
pub struct LedgerClient {
    calls: mpsc::Sender<LedgerCall>,
}

/// Creates a client and the receiving end for the link.
#[must_use]
pub fn ledger_channel() -> (LedgerClient, LedgerCalls) {
    let (calls, receiver) = mpsc::channel(CALL_QUEUE);
    (LedgerClient { calls }, receiver)
}

impl LedgerClient {
    /// Commits a command in group 0 within [`COMMIT_TIMEOUT`].
    ///
    /// # Errors
    /// See [`LedgerError`].
    pub async fn commit(&self, command: Command) -> Result<CommandReply, LedgerError> {
        self.commit_within(command, COMMIT_TIMEOUT).await
    }

    /// Commits a command in group 0 within `limit`. Until then, the link resends it
    /// over each new connection under the same session and sequence number.
    ///
    /// # Errors
    /// See [`LedgerError`].
    pub async fn commit_within(
        &self,
        command: Command,
        limit: Duration,
    ) -> Result<CommandReply, LedgerError> {
        let (reply, mut received) = oneshot::channel();
        let in_doubt = InDoubtFlag::default();
        let call = LedgerCall {
            group: GroupId(0),
            command,
            reply,
            in_doubt: in_doubt.clone(),
        };
        self.calls
            .try_send(call)
            .map_err(|_| LedgerError::NotCommitted)?;
        let result = match tokio::time::timeout(limit, &mut received).await {
            Ok(received) => received.ok(),
            Err(_) => close_and_take(&mut received),
        };
        match result {
            Some(LedgerResult::Committed(reply)) => Ok(reply),
            Some(LedgerResult::NotLeader { .. }) => Err(LedgerError::NotCommitted),
            Some(LedgerResult::Undecided) => Err(LedgerError::Undecided),
            None if in_doubt.is_set() => Err(LedgerError::Undecided),
            None => Err(LedgerError::NotCommitted),
        }
    }
}

/// Closes the channel, so that the link stops sending the call, then returns a
/// result that arrived in the meantime. The in-doubt flag may be read only after
/// the channel is closed.
fn close_and_take(received: &mut oneshot::Receiver<LedgerResult>) -> Option<LedgerResult> {
    received.close();
    received.try_recv().ok()
}
