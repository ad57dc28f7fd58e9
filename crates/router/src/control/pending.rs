//! Calls to the ledger that have no reply yet. Pure.
//!
//! Invariants: a call keeps its number over all connections, so that the
//! ledger's session gives a resend the first answer; a call counts as not
//! committed only when no send of it is left without a refusal.

use super::ledger::{Doubt, LedgerCall};
use courseshunt_state::Command;
use courseshunt_types::{ClientSequence, GroupId};
use courseshunt_wire::Message;
use courseshunt_wire::message::{CallId, LedgerResult};
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// See the module.
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
    doubt: Doubt,
    /// Sent over the connection of now, without an answer so far.
    under_way: bool,
    /// An earlier send may have been committed.
    earlier_doubt: bool,
}

impl PendingCalls {
    /// Takes a call in and gives it its number.
    pub fn add(&mut self, call: LedgerCall) {
        self.last_number += 1;
        let pending = PendingCall {
            group: call.group,
            command: call.command,
            reply: call.reply,
            doubt: call.doubt,
            under_way: false,
            earlier_doubt: false,
        };
        self.calls.insert(CallId(self.last_number), pending);
    }

    /// Messages of all calls that are to be sent now, oldest first.
    pub fn due(&mut self) -> Vec<Message> {
        self.calls
            .retain(|_, call| call.under_way || call.is_wanted());
        let lowest = self.calls.keys().next().copied();
        let lowest = lowest.unwrap_or(CallId(self.last_number));
        let idle = self.calls.iter_mut().filter(|(_, call)| !call.under_way);
        idle.map(|(id, call)| call.message(*id, lowest)).collect()
    }

    /// Takes an answer in. Refused and undecided calls become due again.
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
                call.under_way = false;
                call.doubt.set(call.earlier_doubt);
            }
            LedgerResult::Undecided => call.send_again_in_doubt(),
        }
    }

    /// The connection is lost: every call under way becomes due, in doubt.
    pub fn connection_lost(&mut self) {
        let under_way = self.calls.values_mut().filter(|call| call.under_way);
        under_way.for_each(PendingCall::send_again_in_doubt);
    }

    /// Calls without a reply.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether every call has its reply.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}

impl PendingCall {
    /// Whether somebody waits. The doubt is set first: a caller that gives up
    /// in between either is seen here or sees the doubt.
    fn is_wanted(&self) -> bool {
        self.doubt.set(true);
        let wanted = !self.reply.is_closed();
        if !wanted {
            self.doubt.set(self.earlier_doubt);
        }
        wanted
    }

    fn send_again_in_doubt(&mut self) {
        self.under_way = false;
        self.earlier_doubt = true;
    }

    fn message(&mut self, id: CallId, lowest: CallId) -> Message {
        self.under_way = true;
        Message::Ledger {
            call: id,
            group: self.group,
            sequence: ClientSequence(id.0),
            acknowledged: ClientSequence(lowest.0),
            command: self.command.clone(),
        }
    }
}
