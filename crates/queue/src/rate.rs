//! Rate limits per tenant: token buckets.

use courseshunt_types::{Millis, TenantName, Timestamp};
use std::collections::BTreeMap;

/// A bucket holds the requests of this many seconds.
pub const BURST_SECONDS: f64 = 2.0;
/// Milliseconds of a second.
const MILLIS_PER_SECOND: f64 = 1000.0;

#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: f64,
    at: Timestamp,
}

/// The buckets of all tenants of one queue.
#[derive(Debug, Default)]
pub struct RateLimiter {
    /// Requests per second; 0 means no limit.
    per_second: f64,
    buckets: BTreeMap<TenantName, Bucket>,
}

impl RateLimiter {
    /// Sets the rate of each tenant, in requests per second; 0 means no limit.
    pub fn set_rate(&mut self, per_second: f64) {
        if per_second != self.per_second {
            self.per_second = per_second;
            self.buckets.clear();
        }
    }

    fn capacity(&self) -> f64 {
        (self.per_second * BURST_SECONDS).max(1.0)
    }

    /// Takes one token.
    ///
    /// # Errors
    /// The time until there is one again.
    pub fn take(&mut self, tenant: &TenantName, now: Timestamp) -> Result<(), Millis> {
        if self.per_second <= 0.0 {
            return Ok(());
        }
        let capacity = self.capacity();
        let full = Bucket {
            tokens: capacity,
            at: now,
        };
        let bucket = self.buckets.entry(tenant.clone()).or_insert(full);
        let earned = now.since(bucket.at).as_secs_f64() * self.per_second;
        bucket.tokens = (bucket.tokens + earned).min(capacity);
        bucket.at = bucket.at.max(now);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        let missing = (1.0 - bucket.tokens) / self.per_second;
        Err(Millis((missing * MILLIS_PER_SECOND).ceil() as u64))
    }
}
