//! Client session of this process: numbers commands for deduplication.
//!
//! Invariant: a command that is retried after a lost reply keeps its number and gets the reply of
//! its first execution.

use courseshunt_types::{ClientId, ClientSequence, ControllerId};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Name and sequence numbers of the session; cheap to clone.
#[derive(Debug, Clone)]
pub(super) struct ClientSession {
    client: ClientId,
    numbers: Arc<Mutex<Numbers>>,
}

#[derive(Debug, Default)]
struct Numbers {
    last: u64,
    pending: BTreeSet<u64>,
}

/// A command in flight. Dropping the ticket acknowledges the reply.
#[derive(Debug)]
pub(super) struct CommandTicket<'a> {
    session: &'a ClientSession,
    number: u64,
    /// Replies to all commands below this number have arrived.
    pub(super) acknowledged: ClientSequence,
}

impl ClientSession {
    /// Creates a session for this run of the process.
    pub(super) fn new(id: ControllerId) -> Self {
        let incarnation = rand::random::<u64>();
        Self {
            client: format!("controller-{id}/{incarnation:016x}").into(),
            numbers: Arc::default(),
        }
    }

    /// Name of the session.
    pub(super) fn client(&self) -> &ClientId {
        &self.client
    }

    fn lock(&self) -> MutexGuard<'_, Numbers> {
        self.numbers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Assigns a number to the next command.
    pub(super) fn begin(&self) -> CommandTicket<'_> {
        let mut numbers = self.lock();
        numbers.last += 1;
        let number = numbers.last;
        numbers.pending.insert(number);
        let lowest = numbers.pending.first().copied().unwrap_or(number);
        CommandTicket {
            session: self,
            number,
            acknowledged: ClientSequence(lowest),
        }
    }
}

impl CommandTicket<'_> {
    /// The number of the command.
    pub(super) fn sequence(&self) -> ClientSequence {
        ClientSequence(self.number)
    }
}

impl Drop for CommandTicket<'_> {
    fn drop(&mut self) {
        self.session.lock().pending.remove(&self.number);
    }
}
