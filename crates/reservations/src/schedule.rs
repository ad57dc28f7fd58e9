//! The reserved units by the time of their start.
//!
//! Invariant: a slot has the sum of the units of the reservations that start in it and are
//! neither taken nor ended.

use crate::forecast::{Forecast, Withheld};
use crate::limits::SLOT;
use courseshunt_types::{Millis, Timestamp};
use std::collections::VecDeque;

/// Reserved units in slots of [`SLOT`].
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    /// Index of the first slot.
    first: i64,
    units: VecDeque<u64>,
}

/// Index of the slot that contains a time.
pub(crate) fn slot_index(at: Timestamp) -> i64 {
    at.window_index(SLOT)
}

/// Time from `now` until the start of the slot `ahead` slots after the current one.
pub(crate) fn time_until_slot(ahead: usize, now: Timestamp) -> Millis {
    let start = now.window_start(SLOT) + Millis(SLOT.0 * ahead as u64);
    start.since(now)
}

impl Schedule {
    /// Adds the units of a reservation with this start.
    pub(crate) fn add(&mut self, units: u32, start: Timestamp) {
        let index = slot_index(start);
        if self.units.is_empty() {
            self.first = index;
        }
        while index < self.first {
            self.units.push_front(0);
            self.first -= 1;
        }
        let position = self.position(index);
        if position >= self.units.len() {
            self.units.resize(position + 1, 0);
        }
        self.units[position] += u64::from(units);
    }

    /// Removes the units of a reservation with this start.
    pub(crate) fn remove(&mut self, units: u32, start: Timestamp) {
        let position = self.position(slot_index(start));
        if let Some(slot) = self.units.get_mut(position) {
            *slot = slot.saturating_sub(u64::from(units));
        }
        while self.units.front() == Some(&0) {
            self.units.pop_front();
            self.first += 1;
        }
        while self.units.back() == Some(&0) {
            self.units.pop_back();
        }
    }

    fn position(&self, index: i64) -> usize {
        usize::try_from(index - self.first).unwrap_or(usize::MAX)
    }

    /// Units that start in each slot from the current one on. Reservations that have started
    /// already are counted in the current slot.
    pub(crate) fn ahead(&self, now: Timestamp) -> impl Iterator<Item = f64> + '_ {
        let current = slot_index(now);
        let started = usize::try_from(current - self.first + 1).unwrap_or(0);
        let started = started.min(self.units.len());
        let due: u64 = self.units.iter().take(started).sum();
        let empty = usize::try_from(self.first - current - 1).unwrap_or(0);
        let empty = if self.units.is_empty() { 0 } else { empty };
        std::iter::once(due as f64)
            .chain(std::iter::repeat_n(0.0, empty))
            .chain(self.units.iter().skip(started).map(|units| *units as f64))
    }

    /// Units that others must leave now, so that the units provided until each start cover all
    /// reservations that have started by then.
    pub(crate) fn withheld(&self, forecast: &Forecast, now: Timestamp) -> Withheld {
        let mut withheld = Withheld::default();
        let mut expired = forecast.expired();
        let mut reserved = 0.0;
        for (ahead, units) in self.ahead(now).enumerate() {
            reserved += units;
            let time = time_until_slot(ahead, now);
            let filled = forecast.fill_rate * time.as_secs_f64();
            withheld.bucket = withheld.bucket.max(reserved - filled);
            withheld.window = withheld.window.max(reserved - expired.until(time));
        }
        withheld
    }
}
