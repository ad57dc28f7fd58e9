//! The weight store's ceiling over all instances and all leaders.
//!
//! A new leader doesn't know what its predecessor started, so it begins with
//! an empty bucket.

use crate::token_bucket::TokenBucket;
use courseshunt_types::{Millis, Timestamp};

/// Part of the store's rate that is used.
const USED_PART: f64 = 0.95;

/// What may be missing from a bucket that counts as full.
const SPARE_MARGIN: f64 = 0.2;

/// A token bucket for loads from the weight store.
#[derive(Debug)]
pub struct LoadRateLimiter {
    bucket: TokenBucket,
}

impl LoadRateLimiter {
    /// An empty bucket for `rate` loads a second, judged over `window`.
    #[must_use]
    pub fn new(rate: f64, window: Millis, now: Timestamp) -> Self {
        let (rate, capacity) = used(rate, window);
        Self {
            bucket: TokenBucket::empty(rate, capacity, now),
        }
    }

    /// Follows a changed rate.
    pub fn set_rate(&mut self, rate: f64, window: Millis, now: Timestamp) {
        let (rate, capacity) = used(rate, window);
        self.bucket.resize(rate, capacity, now);
    }

    /// Takes one load out; returns whether it may start.
    pub fn take(&mut self, now: Timestamp) -> bool {
        self.bucket.take(1.0, now)
    }

    /// Loads that may begin now.
    pub fn tokens(&mut self, now: Timestamp) -> f64 {
        self.bucket.level(now)
    }

    /// Whether a load may begin that nobody waits for: only with a bucket that is
    /// nearly full, so that a load that is waited for finds its token.
    pub fn is_nearly_full(&mut self, now: Timestamp) -> bool {
        self.bucket.level(now) >= self.bucket.capacity() - SPARE_MARGIN
    }

    /// Gives one load back that surely did not start.
    pub fn give_back(&mut self, now: Timestamp) {
        self.bucket.charge(-1.0, now);
    }
}

/// Rate and capacity that are used of a store's rate.
fn used(rate: f64, window: Millis) -> (f64, f64) {
    let rate = rate * USED_PART;
    // A full bucket and a window of refill stay below rate times window.
    let capacity = (rate * window.as_secs_f64() / 8.0).max(1.0);
    (rate, capacity)
}
