//! How fast a router looks for a feed. Pure.
//!
//! Load pattern: all routers look at once, after an election that took long or a start of
//! everything, and the controllers that they ask have no feed to give yet. The more often
//! they ask, the later the feed: each question costs a controller a handshake.
//!
//! Bound: from one question to the next passes two thirds of a second in the end, whether
//! a controller lets a router wait for a feed or knows that it will have none: 1.6 questions a
//! second, so 1,000 routers at 15 controllers come to 105 handshakes a second at each.

use std::time::Duration;

/// Pause after a controller that could not be reached: another one may be.
const UNREACHED: Duration = Duration::from_millis(30);
/// Shortest pause after a controller that has no feed, and first time from a question to the
/// next; it doubles with each.
const FIRST: Duration = Duration::from_millis(30);
/// Longest such time, before it is spread.
const LONGEST: Duration = Duration::from_millis(640);

/// See the module.
#[derive(Debug, Clone, Copy)]
pub struct FeedBackoff {
    next: Duration,
}

impl Default for FeedBackoff {
    fn default() -> Self {
        Self { next: FIRST }
    }
}

impl FeedBackoff {
    /// Pause after a controller that could not be reached.
    #[must_use]
    pub fn unreached(&self) -> Duration {
        UNREACHED
    }

    /// Pause after a controller that told after `waited` that it has no feed; `random` spreads
    /// routers that lost it at once: the time between questions over half to one and a half.
    pub fn without_feed(&mut self, random: u32, waited: Duration) -> Duration {
        let spread = 0.5 + f64::from(random) / f64::from(u32::MAX);
        let interval = self.next.mul_f64(spread);
        self.next = (self.next * 2).min(LONGEST);
        let shortest = FIRST.mul_f64(spread);
        interval.saturating_sub(waited).max(shortest)
    }
}
