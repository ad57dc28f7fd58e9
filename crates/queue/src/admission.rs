//! An adaptive limit on the requests that one router holds.
//!
//! The limit falls while the router's own work lags and rises while it does
//! not, so that a router under too much load refuses early instead of slowing
//! down for all. Lower classes are refused first.

use courseshunt_types::{Millis, PriorityClass};

/// A lag up to this is ordinary.
pub const LAG_LIMIT: Millis = Millis(100);
/// Requests that are always let in.
pub const MIN_LIMIT: f64 = 256.0;
/// Requests that are let in at the most.
pub const MAX_LIMIT: f64 = 20_000.0;
/// What is left of the limit after a lag.
const DECREASE: f64 = 0.8;
/// Growth at each measurement without a lag.
const INCREASE: f64 = 1.02;
/// Parts of the limit that each class may fill.
const SHARES: [f64; 3] = [1.0, 0.9, 0.7];

/// See the module.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdaptiveLimit {
    limit: f64,
}

impl Default for AdaptiveLimit {
    fn default() -> Self {
        Self { limit: MAX_LIMIT }
    }
}

impl AdaptiveLimit {
    /// Takes a measurement of the lag in; `held` requests are held now.
    pub fn observe(&mut self, lag: Millis, held: usize) {
        self.limit = match lag > LAG_LIMIT {
            // What was never reached did not protect.
            true => self.limit.min(held as f64) * DECREASE,
            false => self.limit * INCREASE,
        };
        self.limit = self.limit.clamp(MIN_LIMIT, MAX_LIMIT);
    }

    /// Whether another request of this class is let in.
    #[must_use]
    pub fn admits(&self, class: PriorityClass, held: usize) -> bool {
        (held as f64) < self.limit * SHARES[class.rank()]
    }

    /// The limit, in requests.
    #[must_use]
    pub fn limit(&self) -> f64 {
        self.limit
    }
}
