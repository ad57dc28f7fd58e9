//! A token bucket that admits amounts above its capacity by going into debt.
//!
//! Invariant: in any time `t`, the amounts taken with [`TokenBucket::take`] sum up to at most
//! the rate times `t`, plus the capacity, plus one amount.

use courseshunt_types::{Millis, Timestamp};

/// A token bucket. Amounts, capacity and level are in units, the rate in units per second.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    rate: f64,
    capacity: f64,
    level: f64,
    updated: Timestamp,
}

impl TokenBucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn full(rate: f64, capacity: f64, now: Timestamp) -> Self {
        Self {
            rate,
            capacity,
            level: capacity,
            updated: now,
        }
    }

    /// Creates an empty bucket.
    #[must_use]
    pub fn empty(rate: f64, capacity: f64, now: Timestamp) -> Self {
        Self {
            level: 0.0,
            ..Self::full(rate, capacity, now)
        }
    }

    /// Changes rate and capacity; the level stays, up to the new capacity.
    pub fn resize(&mut self, rate: f64, capacity: f64, now: Timestamp) {
        self.refill(now);
        self.rate = rate;
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    /// Units in the bucket; negative while the bucket is in debt.
    pub fn level(&mut self, now: Timestamp) -> f64 {
        self.refill(now);
        self.level
    }

    /// Maximum level, in units.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Refill rate, in units per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Takes an amount if the level covers it; returns whether it was taken. An amount above the
    /// capacity needs a full bucket and leaves it in debt.
    pub fn take(&mut self, amount: f64, now: Timestamp) -> bool {
        self.take_if_level_at_least(amount.min(self.capacity), amount, now)
    }

    /// Takes an amount if the level is at least `needed`; returns whether it was taken.
    pub fn take_if_level_at_least(&mut self, needed: f64, amount: f64, now: Timestamp) -> bool {
        self.refill(now);
        if self.level < needed {
            return false;
        }
        self.level -= amount;
        true
    }

    /// Takes an amount whatever the level; a negative amount is a refund.
    pub fn charge(&mut self, amount: f64, now: Timestamp) {
        self.refill(now);
        self.level = (self.level - amount).min(self.capacity);
    }

    /// Raises the level to a minimum, which cancels debt below it.
    pub fn raise_level_to(&mut self, min_level: f64) {
        self.level = self.level.max(min_level);
    }

    /// Time until the level reaches `needed` (at most the capacity) if nothing is taken;
    /// `u64::MAX` milliseconds if it never does.
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
        let elapsed_s = now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.level = (self.level + elapsed_s * self.rate).min(self.capacity);
    }
}
