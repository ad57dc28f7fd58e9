//! Recent use of a quota, in time slots.
//!
//! Invariant: `sum` is the sum of the units of all slots.

use courseshunt_types::{Millis, Timestamp};
use std::collections::VecDeque;

/// Use within one slot, in units.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Slot {
    /// Start of the slot.
    at: Timestamp,
    /// Units used in the slot.
    units: i64,
    /// Units that have not been reported to the leader.
    unreported: i64,
}

/// Slots of the last window, oldest first. The cost of adding and summing does not depend on the
/// number of requests.
#[derive(Debug, Clone)]
pub struct History {
    slot: Millis,
    window: Millis,
    slots: VecDeque<Slot>,
    sum: i64,
}

impl History {
    /// Creates an empty history with slots of the length `slot`. Use expires when `window` has
    /// passed since the end of its slot.
    #[must_use]
    pub fn new(slot: Millis, window: Millis) -> Self {
        Self {
            slot,
            window,
            slots: VecDeque::new(),
            sum: 0,
        }
    }

    /// Adds `units` used at a time; `unreported` of them have not been reported to the leader.
    pub fn add(&mut self, units: i64, unreported: i64, at: Timestamp) {
        let start = at.window_start(self.slot);
        let position = self.slots.partition_point(|slot| slot.at < start);
        if self.slots.get(position).is_none_or(|slot| slot.at != start) {
            let slot = Slot {
                at: start,
                units: 0,
                unreported: 0,
            };
            self.slots.insert(position, slot);
        }
        self.slots[position].units += units;
        self.slots[position].unreported += unreported;
        self.sum += units;
    }

    /// Units used in the last window; removes expired slots.
    pub fn sum(&mut self, now: Timestamp) -> i64 {
        while let Some(oldest) = self.slots.front() {
            if oldest.at + self.slot + self.window > now {
                break;
            }
            self.sum -= oldest.units;
            self.slots.pop_front();
        }
        self.sum
    }

    /// Scales all use by a factor.
    pub fn scale(&mut self, factor: f64) {
        for slot in &mut self.slots {
            slot.units = (slot.units as f64 * factor) as i64;
        }
        self.sum = self.slots.iter().map(|slot| slot.units).sum();
    }

    /// Time until at least `units` have expired; `None` if the history has fewer.
    #[must_use]
    pub fn expires_after(&self, units: f64, now: Timestamp) -> Option<Millis> {
        let mut expired = 0.0;
        let slots = self.slots.iter();
        let mut ends = slots.map(|slot| (slot.units, slot.at + self.slot + self.window));
        let (_, end) = ends.find(|(used, _)| {
            expired += *used as f64;
            expired >= units
        })?;
        Some(end.since(now))
    }

    /// Units of each slot and the time until they expire, oldest first.
    pub fn expiring(&self, now: Timestamp) -> impl Iterator<Item = (Millis, i64)> + '_ {
        let length = self.slot + self.window;
        let slots = self.slots.iter();
        slots.map(move |slot| ((slot.at + length).since(now), slot.units))
    }

    /// Marks all use as unreported, after a change of leader.
    pub fn mark_all_unreported(&mut self) {
        for slot in &mut self.slots {
            slot.unreported = slot.units;
        }
    }

    /// Takes the unreported units of each slot with the age of the slot's end, which is a lower
    /// bound of the age of the use; slots without unreported units are omitted.
    pub fn take_unreported(&mut self, now: Timestamp) -> Vec<(i64, Millis)> {
        let length = self.slot;
        let slots = self.slots.iter_mut().filter(|slot| slot.unreported != 0);
        let unreported = slots.map(|slot| {
            let age = now.since(slot.at + length);
            (std::mem::take(&mut slot.unreported), age)
        });
        unreported.collect()
    }
}
