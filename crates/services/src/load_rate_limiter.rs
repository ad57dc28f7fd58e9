//! Rate limit for loads from the weight store, over all instances and all leaders.
//!
//! A new leader has no record of the loads that its predecessor started, so it begins with
//! an empty bucket.

use crate::token_bucket::TokenBucket;
use courseshunt_types::{Millis, Timestamp};

/// Fraction of the store's rate that is used.
const USED_FRACTION: f64 = 0.95;

/// Number of tokens below its capacity down to which a bucket counts as nearly full.
const NEARLY_FULL_MARGIN: f64 = 0.2;

/// Token bucket with one token for each load from the weight store.
#[derive(Debug)]
pub struct LoadRateLimiter {
    bucket: TokenBucket,
}

impl LoadRateLimiter {
    /// Creates an empty bucket for `rate` loads per second, measured over any `window`.
    #[must_use]
    pub fn new(rate: f64, window: Millis, now: Timestamp) -> Self {
        let (rate, capacity) = bucket_parameters(rate, window);
        Self {
            bucket: TokenBucket::empty(rate, capacity, now),
        }
    }

    /// Applies a changed rate; the level stays, up to the new capacity.
    pub fn set_rate(&mut self, rate: f64, window: Millis, now: Timestamp) {
        let (rate, capacity) = bucket_parameters(rate, window);
        self.bucket.resize(rate, capacity, now);
    }

    /// Takes the token of one load; returns whether the load may start.
    pub fn take(&mut self, now: Timestamp) -> bool {
        self.bucket.take(1.0, now)
    }

    /// Number of loads that may start at `now`.
    pub fn tokens(&mut self, now: Timestamp) -> f64 {
        self.bucket.level(now)
    }

    /// Whether a load that no request waits for may start: only with a nearly full bucket, so
    /// that a load with waiting requests still finds a token.
    pub fn is_nearly_full(&mut self, now: Timestamp) -> bool {
        self.bucket.level(now) >= self.bucket.capacity() - NEARLY_FULL_MARGIN
    }

    /// Returns the token of a load that certainly did not start.
    pub fn give_back(&mut self, now: Timestamp) {
        self.bucket.charge(-1.0, now);
    }
}

/// Rate (per second) and capacity of the bucket for a store's rate.
fn bucket_parameters(rate: f64, window: Millis) -> (f64, f64) {
    let rate = rate * USED_FRACTION;
    // A full bucket and the refill of one window stay below the store's rate times the window.
    let capacity = (rate * window.as_secs_f64() / 8.0).max(1.0);
    (rate, capacity)
}
