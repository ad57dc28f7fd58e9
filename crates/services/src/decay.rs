//! A sum whose value decays exponentially with time.

use courseshunt_types::Timestamp;

/// An exponentially decaying sum. The time constant, in milliseconds, must be the same in all
/// calls on one sum.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DecayingSum {
    value: f64,
    updated: Timestamp,
}

impl DecayingSum {
    /// The decayed sum at `now`.
    pub(crate) fn at(self, now: Timestamp, constant_ms: f64) -> f64 {
        let elapsed_ms = now.since(self.updated).0 as f64;
        self.value * (-elapsed_ms / constant_ms).exp()
    }

    /// Adds an amount at `now`.
    pub(crate) fn add(&mut self, amount: f64, now: Timestamp, constant_ms: f64) {
        self.value = self.at(now, constant_ms) + amount;
        self.updated = now;
    }

    /// The amount added per second, averaged over about one time constant.
    pub(crate) fn per_second(self, now: Timestamp, constant_ms: f64) -> f64 {
        self.at(now, constant_ms) * 1_000.0 / constant_ms
    }
}
