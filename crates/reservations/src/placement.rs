//! The choice of a reservation's start.
//!
//! Invariant: after a reservation is added at the chosen start, the units that the forecast
//! provides until the start of each slot cover all reservations up to then, and the reserved units
//! of any interval stay within [`Curve`], apart from a single request above the curve's burst.

use crate::forecast::Forecast;
use crate::limits::{
    NEAR_TIME, RESERVABLE_FRACTION, RESERVABLE_NEAR_FRACTION, SLOT, SLOTS, latest_within,
    rank_factor,
};
use crate::request::{Request, Reservation};
use crate::schedule::{Schedule, time_until_slot};
use courseshunt_types::{Millis, Timestamp};
use std::ops::Range;

/// The current slot is not used. A request that fits at once needs no reservation. A request that
/// was refused to leave units for more urgent ones must not get these units by a reservation that
/// starts at once.
const FIRST_SLOT: usize = 1;

/// Bound on the reserved units of any interval: a burst, plus a rate times the interval.
#[derive(Debug, Clone, Copy)]
struct Curve {
    burst: f64,
    per_slot: f64,
}

impl Curve {
    fn new(fraction: f64, rank: u8, forecast: &Forecast) -> Self {
        let fraction = fraction * rank_factor(rank);
        Self {
            burst: fraction * forecast.capacity,
            per_slot: fraction * forecast.fill_rate * SLOT.as_secs_f64(),
        }
    }
}

/// Finds the slot for a request, as its distance from the current slot; `None` if there is none.
/// `is_near_time_needed` is whether work that can't wait was refused recently.
pub(crate) fn find_slot(
    request: &Request,
    schedule: &Schedule,
    forecast: &Forecast,
    is_near_time_needed: bool,
    now: Timestamp,
) -> Option<usize> {
    let ahead: Vec<f64> = schedule.ahead(now).collect();
    let candidates = Candidates::new(request, &ahead, forecast, now);
    let far = candidates.within(Curve::new(RESERVABLE_FRACTION, request.rank, forecast));
    if !is_near_time_needed {
        return far.earliest(FIRST_SLOT..candidates.end);
    }
    let near_slots = slots_until(NEAR_TIME, now).min(candidates.end);
    let preferred = slots_until(latest_within(request.objective), now);
    let preferred = preferred.clamp(near_slots, candidates.end);
    far.latest(near_slots..preferred)
        .or_else(|| far.earliest(preferred..candidates.end))
        .or_else(|| {
            let near =
                candidates.within(Curve::new(RESERVABLE_NEAR_FRACTION, request.rank, forecast));
            near.earliest(FIRST_SLOT..near_slots)
        })
}

/// Whether a reservation still fits at its start, after a change of the forecast.
pub(crate) fn fits_at(
    reservation: &Reservation,
    schedule: &Schedule,
    forecast: &Forecast,
    now: Timestamp,
) -> bool {
    let request = Request {
        key: reservation.key,
        units: reservation.units,
        rank: reservation.rank,
        objective: reservation.objective,
        latest_return: reservation.start.since(now),
    };
    let ahead: Vec<f64> = schedule.ahead(now).collect();
    let candidates = Candidates::new(&request, &ahead, forecast, now);
    let curve = Curve::new(RESERVABLE_FRACTION, request.rank, forecast);
    let last = candidates.end - 1;
    candidates.within(curve).has_room(last)
}

/// Number of slots that start within this time from now, the current one included.
fn slots_until(time: Millis, now: Timestamp) -> usize {
    let slots = (now + time).window_index(SLOT) - now.window_index(SLOT) + 1;
    usize::try_from(slots).unwrap_or(SLOTS).clamp(1, SLOTS)
}

/// The slots in which the account provides the units of a request.
struct Candidates<'a> {
    needed: f64,
    ahead: &'a [f64],
    /// Units that the account provides beside the reservations, if the request starts in the slot.
    provided: Vec<f64>,
    /// Number of slots until the latest return.
    end: usize,
}

/// Candidates whose start keeps the reserved units within a curve.
struct Bounded<'a> {
    candidates: &'a Candidates<'a>,
    curve: Curve,
    /// Units beyond the rate of the curve in the interval around the slot that has most of them.
    excess: Vec<f64>,
}

impl<'a> Candidates<'a> {
    fn new(request: &Request, ahead: &'a [f64], forecast: &Forecast, now: Timestamp) -> Self {
        let end = slots_until(request.latest_return, now);
        Self {
            needed: f64::from(request.units).min(RESERVABLE_FRACTION * forecast.capacity),
            provided: provided(ahead, end, forecast, now),
            ahead,
            end,
        }
    }

    fn within(&'a self, curve: Curve) -> Bounded<'a> {
        Bounded {
            candidates: self,
            curve,
            excess: excess(self.ahead, self.end, curve),
        }
    }
}

impl Bounded<'_> {
    fn has_room(&self, slot: usize) -> bool {
        let Candidates {
            needed, provided, ..
        } = self.candidates;
        let reserved = needed.min(self.curve.burst);
        provided[slot] >= *needed && self.excess[slot] + reserved <= self.curve.burst
    }

    fn earliest(&self, mut slots: Range<usize>) -> Option<usize> {
        slots.find(|slot| self.has_room(*slot))
    }

    fn latest(&self, slots: Range<usize>) -> Option<usize> {
        slots.rev().find(|slot| self.has_room(*slot))
    }
}

/// For each slot, the least units that are left at its start or at that of a later slot.
fn provided(ahead: &[f64], end: usize, forecast: &Forecast, now: Timestamp) -> Vec<f64> {
    let mut expired = forecast.expired();
    let mut reserved = 0.0;
    let length = end.max(ahead.len());
    let left = (0..length).map(|slot| {
        reserved += ahead.get(slot).copied().unwrap_or(0.0);
        let time = time_until_slot(slot, now);
        let filled = forecast.level + forecast.fill_rate * time.as_secs_f64();
        filled.min(forecast.window_left + expired.until(time)) - reserved
    });
    let mut left: Vec<f64> = left.collect();
    for slot in (1..length).rev() {
        left[slot - 1] = left[slot - 1].min(left[slot]);
    }
    left
}

/// For each slot, the largest sum of reserved units beyond the curve's rate over all intervals
/// that contain the slot.
fn excess(ahead: &[f64], end: usize, curve: Curve) -> Vec<f64> {
    let length = end.max(ahead.len());
    let beyond = |slot: usize| ahead.get(slot).copied().unwrap_or(0.0) - curve.per_slot;
    let mut until = 0.0_f64;
    let mut excess: Vec<f64> = Vec::with_capacity(length);
    for slot in 0..length {
        until = until.max(0.0) + beyond(slot);
        excess.push(until);
    }
    let mut after = 0.0_f64;
    for slot in (0..length).rev() {
        excess[slot] += after;
        after = (after + beyond(slot)).max(0.0);
    }
    excess
}
