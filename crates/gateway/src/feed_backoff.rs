//! Backoff of a router between the controllers that it asks for a feed. Pure.
//!
//! Load pattern: all routers ask at once, after a long election or a start of the whole site,
//! while the controllers have no feed yet. Each request costs a controller a handshake, so more
//! frequent requests delay the feed.
//!
//! Bound: the interval between two requests of a router grows to two thirds of a second on
//! average, whether a controller lets the router wait for a feed or refuses immediately. This
//! gives 1.6 requests per second and router, so 1,000 routers with 15 controllers cause 105
//! handshakes per second at each controller.

use std::time::Duration;

/// Pause after a controller that was unreachable: another one may be reachable.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(30);
/// Minimum pause after a controller without a feed, and first interval between two requests; it
/// doubles with each request.
const FIRST_INTERVAL: Duration = Duration::from_millis(30);
/// Maximum interval, before jitter is applied.
const MAX_INTERVAL: Duration = Duration::from_millis(640);

/// Backoff state of one router.
#[derive(Debug, Clone, Copy)]
pub struct FeedBackoff {
    next: Duration,
}

impl Default for FeedBackoff {
    fn default() -> Self {
        Self {
            next: FIRST_INTERVAL,
        }
    }
}

impl FeedBackoff {
    /// Pause after a controller that was unreachable.
    #[must_use]
    pub fn after_unreachable(&self) -> Duration {
        UNREACHABLE_PAUSE
    }

    /// Pause after a controller that reported after `waited` that it has no feed. `random` adds
    /// jitter for routers that lost the feed at the same time: the interval is multiplied by
    /// 0.5 to 1.5.
    pub fn after_no_feed(&mut self, random: u32, waited: Duration) -> Duration {
        let spread = 0.5 + f64::from(random) / f64::from(u32::MAX);
        let interval = self.next.mul_f64(spread);
        self.next = (self.next * 2).min(MAX_INTERVAL);
        let shortest = FIRST_INTERVAL.mul_f64(spread);
        interval.saturating_sub(waited).max(shortest)
    }
}
