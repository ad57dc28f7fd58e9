//! Commands for the replicated ledger.

use courseshunt_state::{Command, CommandReply};
use courseshunt_types::GroupId;
use courseshunt_wire::message::LedgerResult;
use tokio::sync::{mpsc, oneshot};

/// Calls that wait for the link.
const CALL_QUEUE: usize = 4096;

/// One command under way.
#[derive(Debug)]
pub struct LedgerCall {
    /// The group that holds the key.
    pub group: GroupId,
    /// The command.
    pub command: Command,
    /// Receives the result.
    pub reply: oneshot::Sender<LedgerResult>,
}

/// Calls for the link.
pub type LedgerCalls = mpsc::Receiver<LedgerCall>;

/// Why a command has no reply.
#[derive(Debug, Clone, PartialEq, Eq, snafu::Snafu)]
pub enum LedgerError {
    /// Surely not committed.
    #[snafu(display("ledger: not available"))]
    NotCommitted,
    /// Perhaps committed.
    #[snafu(display("ledger: the connection broke before the reply"))]
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
    /// Commits a command in group 0.
    ///
    /// # Errors
    /// See [`LedgerError`].
    pub async fn commit(&self, command: Command) -> Result<CommandReply, LedgerError> {
        let (reply, received) = oneshot::channel();
        let call = LedgerCall {
            group: GroupId(0),
            command,
            reply,
        };
        self.calls
            .try_send(call)
            .map_err(|_| LedgerError::NotCommitted)?;
        match received.await {
            Ok(LedgerResult::Committed(reply)) => Ok(reply),
            Ok(LedgerResult::NotLeader { .. }) => Err(LedgerError::NotCommitted),
            Ok(LedgerResult::Undecided) | Err(_) => Err(LedgerError::Undecided),
        }
    }
}
