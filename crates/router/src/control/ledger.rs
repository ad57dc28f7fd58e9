//! Commands for the replicated ledger.
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

/// Calls that wait for the link.
const CALL_QUEUE: usize = 4096;
/// Longest time in which [`LedgerClient::commit`] finds a reply.
pub const COMMIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Whether a call may have been committed; shared by the caller and the link.
#[derive(Debug, Clone, Default)]
pub struct Doubt(Arc<AtomicBool>);

impl Doubt {
    /// Notes whether the call may have been committed.
    pub(super) fn set(&self, in_doubt: bool) {
        self.0.store(in_doubt, Ordering::SeqCst);
    }

    /// Whether the call may have been committed.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// One command under way.
#[derive(Debug)]
pub struct LedgerCall {
    /// The group that holds the key.
    pub group: GroupId,
    /// The command.
    pub command: Command,
    /// Receives the result. When its other end is gone, nobody waits any more
    /// and the call is not sent again.
    pub reply: oneshot::Sender<LedgerResult>,
    /// Set by the link before each send.
    pub doubt: Doubt,
}

/// Calls for the link.
pub type LedgerCalls = mpsc::Receiver<LedgerCall>;

/// Why a command has no reply.
#[derive(Debug, Clone, PartialEq, Eq, snafu::Snafu)]
pub enum LedgerError {
    /// Surely not committed, and never will be.
    #[snafu(display("ledger: not available"))]
    NotCommitted,
    /// Perhaps committed.
    #[snafu(display("ledger: no reply in time, the command may be committed"))]
    Undecided,
}

/// Sends commands to the ledger; cheap to clone.
#[derive(Debug, Clone)]
pub struct LedgerClient {
    calls: mpsc::Sender<LedgerCall>,
}

/// A client and the calls that the link carries.
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

    /// Commits a command in group 0. Until `limit` has passed, the link sends it
    /// again over each new connection, under the same session and number.
    ///
    /// # Errors
    /// See [`LedgerError`].
    pub async fn commit_within(
        &self,
        command: Command,
        limit: Duration,
    ) -> Result<CommandReply, LedgerError> {
        let (reply, mut received) = oneshot::channel();
        let doubt = Doubt::default();
        let call = LedgerCall {
            group: GroupId(0),
            command,
            reply,
            doubt: doubt.clone(),
        };
        self.calls
            .try_send(call)
            .map_err(|_| LedgerError::NotCommitted)?;
        let result = match tokio::time::timeout(limit, &mut received).await {
            Ok(received) => received.ok(),
            Err(_) => last_look(&mut received),
        };
        match result {
            Some(LedgerResult::Committed(reply)) => Ok(reply),
            Some(LedgerResult::NotLeader { .. }) => Err(LedgerError::NotCommitted),
            Some(LedgerResult::Undecided) => Err(LedgerError::Undecided),
            None if doubt.is_set() => Err(LedgerError::Undecided),
            None => Err(LedgerError::NotCommitted),
        }
    }
}

/// Closes the channel, so that the link sends no more, then takes a result that
/// came in the meantime. Only after the closing may the doubt be read.
fn last_look(received: &mut oneshot::Receiver<LedgerResult>) -> Option<LedgerResult> {
    received.close();
    received.try_recv().ok()
}
