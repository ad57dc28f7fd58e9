//! Limits on loads from the weight store: a token bucket on starts, and a
//! concurrency limit that falls while the store is slow and recovers after
//! (additive increase, multiplicative decrease).

use courseshunt_types::{Millis, Timestamp};

/// A load that takes this many times its estimate shows a slow store.
const SLOW_RATIO: f64 = 2.0;
/// A load below this many times its estimate shows a healthy store.
const HEALTHY_RATIO: f64 = 1.3;
/// Factor on the concurrency limit at a sign of slowness.
const DECREASE: f64 = 0.7;
/// The limit never falls below this share of the configured one.
const LOWEST_SHARE: f64 = 0.34;
/// Rest of a start that is lost to rounding.
const ROUNDING: f64 = 1e-6;

/// See the module.
#[derive(Debug, Clone)]
pub struct StoreLimiter {
    starts_per_second: f64,
    configured: f64,
    limit: f64,
    tokens: f64,
    refilled_at: Timestamp,
    lowered_at: Option<Timestamp>,
}

impl StoreLimiter {
    /// A limiter of an idle, healthy store.
    #[must_use]
    pub fn new(starts_per_second: f64, concurrency: u32) -> Self {
        Self {
            starts_per_second,
            configured: f64::from(concurrency),
            limit: f64::from(concurrency),
            tokens: starts_per_second.max(1.0),
            refilled_at: Timestamp(0),
            lowered_at: None,
        }
    }

    /// Loads that may start now under the rate.
    pub fn starts_available(&mut self, now: Timestamp) -> u32 {
        self.refill(now);
        (self.tokens + ROUNDING) as u32
    }

    /// Takes one start.
    pub fn take(&mut self, now: Timestamp) {
        self.refill(now);
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Loads that may run together now.
    #[must_use]
    pub fn concurrency(&self) -> u32 {
        (self.limit as u32).max(1)
    }

    /// Whether the store was seen to be slow and has not recovered.
    #[must_use]
    pub fn is_slow(&self) -> bool {
        self.limit < self.configured
    }

    /// Takes in a load that ended, or still runs, `taken` after its start.
    /// The limit falls at most once in the expected time of a load.
    pub fn observe(&mut self, taken: Millis, expected: Millis, ended: bool, now: Timestamp) {
        let ratio = taken.0 as f64 / expected.0.max(1) as f64;
        if ratio > SLOW_RATIO {
            self.lower(expected, now);
        } else if ended && ratio < HEALTHY_RATIO {
            self.limit = (self.limit + 1.0).min(self.configured);
        }
    }

    fn lower(&mut self, expected: Millis, now: Timestamp) {
        let again = self
            .lowered_at
            .is_none_or(|at| now.since(at).0 >= expected.0);
        if again {
            let lowest = (self.configured * LOWEST_SHARE).max(1.0);
            self.limit = (self.limit * DECREASE).max(lowest);
            self.lowered_at = Some(now);
        }
    }

    fn refill(&mut self, now: Timestamp) {
        let passed = now.since(self.refilled_at).as_secs_f64();
        let capacity = self.starts_per_second.max(1.0);
        self.tokens = (self.tokens + passed * self.starts_per_second).min(capacity);
        self.refilled_at = now.max(self.refilled_at);
    }
}
