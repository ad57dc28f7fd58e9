//! This process's client session of the replicated log: numbers for commands,
//! so that a command sent again after a lost answer gets its first answer.

use courseshunt_types::{ClientId, ClientSequence, ControllerId};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// See the module; cheap to clone.
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

/// One command under way; its answer is no longer wanted once this is dropped.
#[derive(Debug)]
pub(super) struct CommandTicket<'a> {
    session: &'a ClientSession,
    number: u64,
    /// All answers below this number have arrived.
    pub(super) acknowledged: ClientSequence,
}

impl ClientSession {
    /// A new session of this start of the process.
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

    /// Numbers the next command.
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
    /// Number of the command.
    pub(super) fn sequence(&self) -> ClientSequence {
        ClientSequence(self.number)
    }
}

impl Drop for CommandTicket<'_> {
    fn drop(&mut self) {
        self.session.lock().pending.remove(&self.number);
    }
}
