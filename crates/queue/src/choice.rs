//! The choice of a runner for the next ticket.

use crate::slots::SlotTable;
use crate::ticket::Ticket;
use courseshunt_types::{RunnerId, Timestamp};

/// Chooses runners. A choice only names runners with a free slot.
pub trait RunnerChoice {
    /// A runner with a free slot, or `None` when the ticket must wait.
    fn choose(&mut self, ticket: &Ticket, slots: &SlotTable, now: Timestamp) -> Option<RunnerId>;
}

/// Chooses the runner with the most free slots; avoided runners come last.
#[derive(Debug, Clone, Copy, Default)]
pub struct FreestRunner;

impl RunnerChoice for FreestRunner {
    fn choose(&mut self, ticket: &Ticket, slots: &SlotTable, _: Timestamp) -> Option<RunnerId> {
        slots.freest(&ticket.avoid)
    }
}
