//! Requests that use few units: a tenant that exceeds its quota by expensive requests keeps a part
//! of it for its cheap ones.
//!
//! Invariant: small requests are granted beside the pace only within [`FRACTION`] of the allowance
//! of a window, and only if the window has room for them.

use super::QuotaSettings;
use crate::tenants::Quota;
use crate::token_bucket::TokenBucket;
use courseshunt_types::Timestamp;

/// Fraction of the allowance that is available to small requests beside the pace. It is small, so
/// that expensive requests lose little even if a tenant sends many small ones.
const FRACTION: f64 = 0.05;
/// A request is small if it uses at most this fraction of the units that may be used at once:
/// hundreds of small requests then fit into the time of one expensive request.
const MAX_REQUEST_FRACTION: f64 = 0.001;

/// Units that small requests may still use beside the pace.
#[derive(Debug)]
pub(super) struct SmallRequests {
    bucket: TokenBucket,
    max_units: f64,
}

impl SmallRequests {
    pub(super) fn new(quota: &Quota, settings: &QuotaSettings, now: Timestamp) -> Self {
        let (rate, capacity) = Self::rate_and_capacity(quota, settings);
        Self {
            bucket: TokenBucket::full(rate, capacity, now),
            max_units: Self::max_units(quota, settings),
        }
    }

    /// Applies a changed quota.
    pub(super) fn resize(&mut self, quota: &Quota, settings: &QuotaSettings, now: Timestamp) {
        let (rate, capacity) = Self::rate_and_capacity(quota, settings);
        self.bucket.resize(rate, capacity, now);
        self.max_units = Self::max_units(quota, settings);
    }

    fn rate_and_capacity(quota: &Quota, settings: &QuotaSettings) -> (f64, f64) {
        let capacity = FRACTION * settings.allowance(quota);
        (capacity / settings.window.as_secs_f64(), capacity)
    }

    fn max_units(quota: &Quota, settings: &QuotaSettings) -> f64 {
        let (_, at_once) = settings.pace(quota);
        MAX_REQUEST_FRACTION * at_once
    }

    /// Grants a request if it is small and its units are left; `window_left` is what the window has
    /// left for the tenant.
    pub(super) fn take(&mut self, units: f64, window_left: f64, now: Timestamp) -> bool {
        units <= self.max_units && units <= window_left && self.bucket.take(units, now)
    }

    /// Units of the window that other requests leave free: as many as small requests used recently.
    pub(super) fn withheld(&mut self, now: Timestamp) -> f64 {
        self.bucket.capacity() - self.bucket.level(now)
    }
}
