//! A token bucket that lets through what is larger than itself, and owes the rest.
//!
//! Invariant: in any time `t`, what is taken with [`TokenBucket::take`] sums up to at
//! most the rate times `t`, the capacity and one amount.

use courseshunt_types::{Millis, Timestamp};

/// See the module. Amounts, capacity and level in units; the rate in units a second.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    rate: f64,
    capacity: f64,
    level: f64,
    updated: Timestamp,
}

impl TokenBucket {
    /// A full bucket.
    #[must_use]
    pub fn full(rate: f64, capacity: f64, now: Timestamp) -> Self {
        Self {
            rate,
            capacity,
            level: capacity,
            updated: now,
        }
    }

    /// An empty bucket.
    #[must_use]
    pub fn empty(rate: f64, capacity: f64, now: Timestamp) -> Self {
        Self {
            level: 0.0,
            ..Self::full(rate, capacity, now)
        }
    }

    /// Follows a changed rate and capacity; the level stays, as far as it fits.
    pub fn resize(&mut self, rate: f64, capacity: f64, now: Timestamp) {
        self.refill(now);
        self.rate = rate;
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    /// Units in the bucket; below 0 what is owed.
    pub fn level(&mut self, now: Timestamp) -> f64 {
        self.refill(now);
        self.level
    }

    /// Most units that it holds.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Units that flow in, in a second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Takes an amount if it is there; an amount above the capacity needs a full
    /// bucket and leaves it owing. Returns whether it was taken.
    pub fn take(&mut self, amount: f64, now: Timestamp) -> bool {
        self.take_if_level_at_least(amount.min(self.capacity), amount, now)
    }

    /// Takes an amount if the bucket holds at least `needed`.
    pub fn take_if_level_at_least(&mut self, needed: f64, amount: f64, now: Timestamp) -> bool {
        self.refill(now);
        if self.level < needed {
            return false;
        }
        self.level -= amount;
        true
    }

    /// Takes an amount whether it is there or not; a negative one is given back.
    pub fn charge(&mut self, amount: f64, now: Timestamp) {
        self.refill(now);
        self.level = (self.level - amount).min(self.capacity);
    }

    /// Forgives what is owed beyond a bound.
    pub fn raise_level_to(&mut self, least: f64) {
        self.level = self.level.max(least);
    }

    /// Time until the bucket holds this, if nothing is taken.
    pub fn time_until(&mut self, needed: f64, now: Timestamp) -> Millis {
        self.refill(now);
        let missing = (needed.min(self.capacity) - self.level).max(0.0);
        match self.rate > 0.0 {
            true => Millis((missing / self.rate * 1_000.0).ceil() as u64),
            false if missing > 0.0 => Millis(u64::MAX),
            false => Millis(0),
        }
    }

    fn refill(&mut self, now: Timestamp) {
        let passed = now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.level = (self.level + passed * self.rate).min(self.capacity);
    }
}
