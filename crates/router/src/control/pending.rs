//! Ledger calls without a reply; does no I/O.
//!
//! Invariants: a call keeps its sequence number over all connections, so that the
//! ledger's session deduplicates a resend and returns the first reply; a call
//! counts as not committed only if each of its sends was refused.

use super::ledger::{InDoubtFlag, LedgerCall};
use courseshunt_state::Command;
use courseshunt_types::{ClientSequence, GroupId};
use courseshunt_wire::Message;
use courseshunt_wire::message::{CallId, LedgerResult};
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// Calls without a reply, by number.
#[derive(Debug, Default)]
pub struct PendingCalls {
    calls: BTreeMap<CallId, PendingCall>,
    last_number: u64,
}

#[derive(Debug)]
struct PendingCall {
    group: GroupId,
    command: Command,
    reply: oneshot::Sender<LedgerResult>,
    in_doubt: InDoubtFlag,
    /// Sent over the current connection and not answered yet.
    in_flight: bool,
    /// A previous send may have been committed.
    earlier_in_doubt: bool,
}

impl PendingCalls {
    /// Adds a call and assigns its sequence number.
    pub fn add(&mut self, call: LedgerCall) {
        self.last_number += 1;
        let pending = PendingCall {
            group: call.group,
            command: call.command,
            reply: call.reply,
            in_doubt: call.in_doubt,
            in_flight: false,
            earlier_in_doubt: false,
        };
        self.calls.insert(CallId(self.last_number), pending);
    }

    /// Returns the messages of all calls that have to be sent, oldest first, and
    /// marks them as in flight.
    pub fn due(&mut self) -> Vec<Message> {
        self.calls
            .retain(|_, call| call.in_flight || call.has_caller());
        let lowest = self.calls.keys().next().copied();
        let lowest = lowest.unwrap_or(CallId(self.last_number));
        let unsent = self.calls.iter_mut().filter(|(_, call)| !call.in_flight);
        unsent.map(|(id, call)| call.message(*id, lowest)).collect()
    }

    /// Handles a reply. Refused and undecided calls become due again.
    pub fn answer(&mut self, id: CallId, result: LedgerResult) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        match result {
            LedgerResult::Committed(_) => {
                if let Some(call) = self.calls.remove(&id) {
                    let _ = call.reply.send(result);
                }
            }
            LedgerResult::NotLeader { .. } => {
                call.in_flight = false;
                call.in_doubt.set(call.earlier_in_doubt);
            }
            LedgerResult::Undecided => call.requeue_in_doubt(),
        }
    }

    /// Handles the loss of the connection: every call in flight becomes due again
    /// and is in doubt.
    pub fn connection_lost(&mut self) {
        let in_flight = self.calls.values_mut().filter(|call| call.in_flight);
        in_flight.for_each(PendingCall::requeue_in_doubt);
    }

    /// Number of calls without a reply.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call is without a reply.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}

impl PendingCall {
    /// Whether the caller still waits. The in-doubt flag is set before the check: a
    /// caller that stops waiting in between is either noticed here or reads the
    /// flag as set.
    fn has_caller(&self) -> bool {
        self.in_doubt.set(true);
        let has_caller = !self.reply.is_closed();
        if !has_caller {
            self.in_doubt.set(self.earlier_in_doubt);
        }
        has_caller
    }

    fn requeue_in_doubt(&mut self) {
        self.in_flight = false;
        self.earlier_in_doubt = true;
    }

    fn message(&mut self, id: CallId, lowest: CallId) -> Message {
        self.in_flight = true;
        Message::Ledger {
            call: id,
            group: self.group,
            sequence: ClientSequence(id.0),
            acknowledged: ClientSequence(lowest.0),
            command: self.command.clone(),
        }
    }
}
