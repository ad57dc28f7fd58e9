//! What was used lately, in slots of time.

use courseshunt_types::{Millis, Timestamp};
use std::collections::VecDeque;

/// Use within one slot, in units.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Slot {
    /// When it began.
    at: Timestamp,
    /// All that was used.
    units: i64,
    /// The part that the leader doesn't know of.
    untold: i64,
}

/// Slots of the last window, the oldest first. Adding and summing up take a few
/// steps, whatever the number of requests.
#[derive(Debug, Clone)]
pub struct History {
    slot: Millis,
    window: Millis,
    slots: VecDeque<Slot>,
    sum: i64,
}

impl History {
    /// Nothing was used yet. Use is forgotten a window after its slot of this length
    /// has ended.
    #[must_use]
    pub fn new(slot: Millis, window: Millis) -> Self {
        Self {
            slot,
            window,
            slots: VecDeque::new(),
            sum: 0,
        }
    }

    /// Adds use at a moment; `untold` is the part that the leader doesn't know of.
    pub fn add(&mut self, units: i64, untold: i64, at: Timestamp) {
        let begin = at.window_start(self.slot);
        let place = self.slots.partition_point(|slot| slot.at < begin);
        if self.slots.get(place).is_none_or(|slot| slot.at != begin) {
            let slot = Slot {
                at: begin,
                units: 0,
                untold: 0,
            };
            self.slots.insert(place, slot);
        }
        self.slots[place].units += units;
        self.slots[place].untold += untold;
        self.sum += units;
    }

    /// Units used in the last window.
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

    /// Counts what was used as this part of it.
    pub fn scale(&mut self, part: f64) {
        for slot in &mut self.slots {
            slot.units = (slot.units as f64 * part) as i64;
        }
        self.sum = self.slots.iter().map(|slot| slot.units).sum();
    }

    /// Time until so many of the units are forgotten; `None` when there are fewer.
    #[must_use]
    pub fn forgets_after(&self, units: f64, now: Timestamp) -> Option<Millis> {
        let mut forgotten = 0.0;
        let slots = self.slots.iter();
        let mut ends = slots.map(|slot| (slot.units, slot.at + self.slot + self.window));
        let (_, end) = ends.find(|(used, _)| {
            forgotten += *used as f64;
            forgotten >= units
        })?;
        Some(end.since(now))
    }

    /// Marks all as not told: another leader has to learn of it.
    pub fn tell_anew(&mut self) {
        for slot in &mut self.slots {
            slot.untold = slot.units;
        }
    }

    /// Takes what has to be told, each with its age at least; empty slots are left out.
    pub fn take_untold(&mut self, now: Timestamp) -> Vec<(i64, Millis)> {
        let length = self.slot;
        let slots = self.slots.iter_mut().filter(|slot| slot.untold != 0);
        let untold = slots.map(|slot| {
            let age = now.since(slot.at + length);
            (std::mem::take(&mut slot.untold), age)
        });
        untold.collect()
    }
}
