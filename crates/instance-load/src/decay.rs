//! Values that lose weight with their age.
//!
//! Invariant: the half-life is the same in all calls on one average.

use courseshunt_types::{Millis, Timestamp};

/// Fraction of a weight that is left after `age`.
pub(crate) fn remaining_fraction(age: Millis, half_life: Millis) -> f64 {
    if age == Millis(0) {
        return 1.0;
    }
    (-(age.0 as f64) / half_life.0 as f64).exp2()
}

/// Weighted average of measurements; the weight of a measurement halves with each half-life.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DecayingAverage {
    sum: f64,
    weight: f64,
    updated: Timestamp,
}

impl DecayingAverage {
    /// An average of `count` measurements with this sum, made at `now`.
    pub(crate) fn of(sum: f64, count: u32, now: Timestamp) -> Self {
        Self {
            sum,
            weight: f64::from(count),
            updated: now,
        }
    }

    /// Adds `count` measurements with this sum.
    pub(crate) fn add(&mut self, sum: f64, count: u32, half_life: Millis, now: Timestamp) {
        let left = remaining_fraction(now.since(self.updated), half_life);
        self.sum = self.sum * left + sum;
        self.weight = self.weight * left + f64::from(count);
        self.updated = now;
    }

    /// Weight at `now`, in measurements.
    pub(crate) fn weight(&self, half_life: Millis, now: Timestamp) -> f64 {
        self.weight * remaining_fraction(now.since(self.updated), half_life)
    }

    /// Average at `now`, together with `prior`, which counts as `prior_weight` measurements.
    pub(crate) fn with_prior(
        &self,
        prior: f64,
        prior_weight: f64,
        half_life: Millis,
        now: Timestamp,
    ) -> f64 {
        let left = remaining_fraction(now.since(self.updated), half_life);
        let sum = self.sum * left + prior * prior_weight;
        sum / (self.weight * left + prior_weight)
    }
}
