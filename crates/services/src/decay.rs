//! A sum that forgets what lies back.

use courseshunt_types::Timestamp;

/// See the module. The time constant, in milliseconds, is the same in all calls
/// for one sum.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DecayingSum {
    value: f64,
    updated: Timestamp,
}

impl DecayingSum {
    /// The sum now.
    pub(crate) fn at(self, now: Timestamp, constant_ms: f64) -> f64 {
        let passed = now.since(self.updated).0 as f64;
        self.value * (-passed / constant_ms).exp()
    }

    /// Adds to it.
    pub(crate) fn add(&mut self, amount: f64, now: Timestamp, constant_ms: f64) {
        self.value = self.at(now, constant_ms) + amount;
        self.updated = now;
    }

    /// The amount added in a second, over about the time constant.
    pub(crate) fn per_second(self, now: Timestamp, constant_ms: f64) -> f64 {
        self.at(now, constant_ms) * 1_000.0 / constant_ms
    }
}
