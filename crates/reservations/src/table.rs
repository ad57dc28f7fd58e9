//! The reservations of one account.
//!
//! Invariant: the schedule has the units of exactly the reservations in the table.

use crate::forecast::{Forecast, Withheld};
use crate::limits::{EARLY_TOLERANCE, GRACE, MAX_RESERVATIONS, SLOT};
use crate::placement::{find_slot, fits_at};
use crate::request::{Request, RequestRefusal, Reservation};
use crate::schedule::{Schedule, time_until_slot};
use courseshunt_types::{Millis, Timestamp};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Start and number of a reservation, in the order of the starts.
type Position = (Timestamp, u64);

/// The reservations of one account. See the crate's documentation.
#[derive(Debug, Default)]
pub struct Reservations {
    last_number: u64,
    by_start: BTreeMap<Position, Reservation>,
    by_key: HashMap<u64, BTreeSet<Position>>,
    schedule: Schedule,
}

impl Reservations {
    /// Whether there are no reservations.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_start.is_empty()
    }

    /// Number of reservations.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_start.len()
    }

    /// All reservations, by start.
    pub fn iter(&self) -> impl Iterator<Item = &Reservation> {
        self.by_start.values()
    }

    /// Units that requests without a reservation must leave now.
    #[must_use]
    pub fn withheld(&self, forecast: &Forecast, now: Timestamp) -> Withheld {
        self.schedule.withheld(forecast, now)
    }

    /// Makes a reservation; returns the time until its start. `is_near_time_needed` is whether
    /// work that can't wait needs the units of the near time; the start is then as late as the
    /// objective allows, and otherwise as early as possible.
    ///
    /// # Errors
    /// If the terms are invalid, or no units can be kept for the request.
    pub fn reserve(
        &mut self,
        request: &Request,
        forecast: &Forecast,
        is_near_time_needed: bool,
        now: Timestamp,
    ) -> Result<Millis, RequestRefusal> {
        if request.latest_return == Millis(0) {
            return Err(RequestRefusal::InvalidTerms);
        }
        if self.by_start.len() >= MAX_RESERVATIONS {
            return Err(RequestRefusal::TooMany);
        }
        let slot = find_slot(request, &self.schedule, forecast, is_near_time_needed, now);
        let slot = slot.ok_or(RequestRefusal::NoRoom)?;
        let start = self.start_in(slot, request, now);
        self.insert(Reservation {
            key: request.key,
            units: request.units,
            rank: request.rank,
            objective: request.objective,
            start,
        });
        Ok(start.since(now))
    }

    /// Takes the earliest reservation with this key that has started and covers the units.
    pub fn take(&mut self, key: u64, units: u32, now: Timestamp) -> Option<Reservation> {
        let positions = self.by_key.get(&key)?.iter();
        let mut started = positions.take_while(|(start, _)| *start <= now + EARLY_TOLERANCE);
        let position = *started.find(|position| {
            let covers = |reservation: &Reservation| reservation.units >= units;
            now <= position.0 + GRACE && self.by_start.get(position).is_some_and(covers)
        })?;
        self.remove(position)
    }

    /// Removes the reservations that have ended.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Reservation> {
        let mut ended = Vec::new();
        while let Some((position, _)) = self.by_start.first_key_value() {
            let position = *position;
            if now <= position.0 + GRACE {
                break;
            }
            ended.extend(self.remove(position));
        }
        ended
    }

    /// Drops the reservations that no longer fit after a change of the quota, the least urgent
    /// first, and returns them. The others keep their starts.
    pub fn refit(&mut self, forecast: &Forecast, now: Timestamp) -> Vec<Reservation> {
        let previous = std::mem::take(self);
        self.last_number = previous.last_number;
        let mut reservations: Vec<Reservation> = previous.by_start.into_values().collect();
        reservations.sort_by_key(|one| (one.rank, one.objective, one.start));
        let mut dropped = Vec::new();
        for reservation in reservations {
            let fits = fits_at(&reservation, &self.schedule, forecast, now);
            match fits {
                true => self.insert(reservation),
                false => dropped.push(reservation),
            }
        }
        dropped
    }

    /// Start within a slot. The reservations of a slot are spread over it, so that their clients
    /// do not return at the same time.
    fn start_in(&self, slot: usize, request: &Request, now: Timestamp) -> Timestamp {
        let earliest = now + time_until_slot(slot, now);
        let end = now.window_start(SLOT) + Millis(SLOT.0 * (slot as u64 + 1));
        let latest = end.min(now + request.latest_return + Millis(1));
        let length = latest.since(earliest).0.max(1);
        // Multiples of an odd number visit all offsets before one is repeated.
        earliest + Millis(self.last_number.wrapping_mul(37) % length)
    }

    fn insert(&mut self, reservation: Reservation) {
        self.last_number += 1;
        let position = (reservation.start, self.last_number);
        self.schedule.add(reservation.units, reservation.start);
        let positions = self.by_key.entry(reservation.key).or_default();
        positions.insert(position);
        self.by_start.insert(position, reservation);
    }

    fn remove(&mut self, position: Position) -> Option<Reservation> {
        let reservation = self.by_start.remove(&position)?;
        self.schedule.remove(reservation.units, reservation.start);
        if let Some(positions) = self.by_key.get_mut(&reservation.key) {
            positions.remove(&position);
            if positions.is_empty() {
                self.by_key.remove(&reservation.key);
            }
        }
        Some(reservation)
    }
}
