//! Tracks what is durable, and defers the actions that depend on it.

use crate::entry::{Entry, HardState};
use crate::input::PersistNumber;
use crate::message::ConsensusMessage;
use crate::output::Output;
use courseshunt_types::{ControllerId, LogIndex, Term};
use std::collections::VecDeque;

/// Persisted and pending state of one member, with the actions deferred until it is durable.
#[derive(Debug)]
pub(super) struct Durability {
    /// Last entry that is durable here.
    through: LogIndex,
    entries: Vec<Entry>,
    hard_state_dirty: bool,
    last_number: PersistNumber,
    durable_number: PersistNumber,
    /// Number of the persist that contains the latest hard state.
    hard_state_number: PersistNumber,
    pending: VecDeque<PendingPersist>,
    deferred: VecDeque<Deferred>,
}

#[derive(Debug)]
struct PendingPersist {
    number: PersistNumber,
    last_index: LogIndex,
}

#[derive(Debug)]
struct Deferred {
    number: PersistNumber,
    action: DeferredAction,
}

/// An action that is deferred until the hard state is durable.
#[derive(Debug)]
pub(super) enum DeferredAction {
    /// Send a message.
    Send(Output),
    /// Count the member's own vote and request those of the others.
    StandForElection(Term),
}

impl Durability {
    pub(super) fn new(through: LogIndex) -> Self {
        Self {
            through,
            entries: Vec::new(),
            hard_state_dirty: false,
            last_number: PersistNumber(0),
            durable_number: PersistNumber(0),
            hard_state_number: PersistNumber(0),
            pending: VecDeque::new(),
            deferred: VecDeque::new(),
        }
    }

    pub(super) fn through(&self) -> LogIndex {
        self.through
    }

    pub(super) fn hard_state_changed(&mut self) {
        self.hard_state_dirty = true;
    }

    pub(super) fn entry_appended(&mut self, entry: Entry) {
        self.entries.push(entry);
    }

    /// Records that the entries from `index` on are replaced: writes of the
    /// replaced entries no longer count as durable, even if they complete later.
    pub(super) fn truncate_from(&mut self, index: LogIndex) {
        let last = LogIndex(index.0 - 1);
        self.through = self.through.min(last);
        for pending in &mut self.pending {
            pending.last_index = pending.last_index.min(last);
        }
    }

    /// Records that a restored snapshot made everything up to `index` durable.
    /// `log_continues` is whether the log continues after the snapshot.
    pub(super) fn restored(&mut self, index: LogIndex, log_continues: bool) {
        if !log_continues {
            self.pending
                .iter_mut()
                .for_each(|one| one.last_index = index);
            self.through = index;
        }
        self.through = self.through.max(index);
    }

    /// The persist of this step, if there is anything to write.
    pub(super) fn take_persist(&mut self, hard_state: HardState) -> Option<Output> {
        if self.entries.is_empty() && !self.hard_state_dirty {
            return None;
        }
        self.last_number = self.next_number();
        let entries = std::mem::take(&mut self.entries);
        let last_index = entries
            .last()
            .map_or(LogIndex(0), |entry: &Entry| entry.index);
        self.pending.push_back(PendingPersist {
            number: self.last_number,
            last_index,
        });
        let dirty = std::mem::take(&mut self.hard_state_dirty);
        if dirty {
            self.hard_state_number = self.last_number;
        }
        Some(Output::Persist {
            number: self.last_number,
            hard_state: dirty.then_some(hard_state),
            entries,
        })
    }

    fn next_number(&self) -> PersistNumber {
        PersistNumber(self.last_number.0 + 1)
    }

    /// Number of the persist that makes the current hard state durable; `None`
    /// if it is already durable.
    fn required_persist(&self) -> Option<PersistNumber> {
        if self.hard_state_dirty {
            return Some(self.next_number());
        }
        let number = self.hard_state_number;
        (number > self.durable_number).then_some(number)
    }

    /// Returns the message for sending now if the hard state is durable, or
    /// defers it until it is.
    pub(super) fn defer_send(
        &mut self,
        to: ControllerId,
        message: ConsensusMessage,
    ) -> Option<Output> {
        let send = Output::Send { to, message };
        let Some(number) = self.required_persist() else {
            return Some(send);
        };
        let action = DeferredAction::Send(send);
        self.deferred.push_back(Deferred { number, action });
        None
    }

    /// Defers the vote requests until the member's own vote is durable.
    pub(super) fn defer_election(&mut self, term: Term) {
        let number = self.required_persist().unwrap_or(self.durable_number);
        let action = DeferredAction::StandForElection(term);
        self.deferred.push_back(Deferred { number, action });
    }

    /// Records a completed persist. Returns the actions that it releases.
    pub(super) fn persisted(&mut self, number: PersistNumber) -> Vec<DeferredAction> {
        self.durable_number = self.durable_number.max(number);
        while let Some(pending) = self.pending.front() {
            if pending.number > number {
                break;
            }
            self.through = self.through.max(pending.last_index);
            self.pending.pop_front();
        }
        let mut ready = Vec::new();
        while let Some(deferred) = self.deferred.front() {
            if deferred.number > number {
                break;
            }
            ready.extend(self.deferred.pop_front().map(|one| one.action));
        }
        ready
    }
}
