//! The demand that was refused recently.

use courseshunt_types::{Millis, Timestamp};
use std::collections::VecDeque;

/// A refusal counts for this time. Clients whose requests can't wait return within it; a request
/// that is refused again counts anew.
const RECENT_TIME: Millis = Millis(2_000);
/// Resolution of the count.
const SLOT: Millis = Millis(100);

#[derive(Debug, Clone, Copy)]
struct Slot {
    start: Timestamp,
    /// Units whose clients return.
    returning: f64,
    /// Whether a request was refused that can't wait.
    is_urgent: bool,
}

/// Requests that were refused without a reservation within two seconds. A request whose terms
/// are unknown counts as one that can't wait.
#[derive(Debug, Default)]
pub struct RefusedDemand {
    slots: VecDeque<Slot>,
}

impl RefusedDemand {
    /// Counts a request that could not be admitted at once. `returning` is its units if its client
    /// returns and has no reservation; `is_urgent` whether it can't wait.
    pub fn add(&mut self, returning: f64, is_urgent: bool, now: Timestamp) {
        let start = now.window_start(SLOT);
        if self.slots.back().is_none_or(|slot| slot.start < start) {
            self.slots.push_back(Slot {
                start,
                returning: 0.0,
                is_urgent: false,
            });
        }
        if let Some(slot) = self.slots.back_mut() {
            slot.returning += returning;
            slot.is_urgent |= is_urgent;
        }
    }

    /// Whether work that can't wait needs the units that are available now.
    pub fn has_urgent(&mut self, now: Timestamp) -> bool {
        self.remove_old(now);
        self.slots.iter().any(|slot| slot.is_urgent)
    }

    /// Time in which an account that provides `rate` units per second serves the refused demand
    /// that returns.
    pub fn time_to_serve(&mut self, rate: f64, now: Timestamp) -> Millis {
        self.remove_old(now);
        let units: f64 = self.slots.iter().map(|slot| slot.returning).sum();
        match units > 0.0 {
            true => Millis((units / rate * 1_000.0).min(crate::HORIZON.0 as f64) as u64),
            false => Millis(0),
        }
    }

    fn remove_old(&mut self, now: Timestamp) {
        while let Some(oldest) = self.slots.front() {
            if oldest.start + RECENT_TIME > now {
                break;
            }
            self.slots.pop_front();
        }
    }
}
