//! How old a feed's confirmation by a quorum is. Pure.
//!
//! A controller that is cut off goes on answering, but its confirmations grow
//! old; one that is silent sends none. Both ages count here alike.

use courseshunt_types::{Millis, Timestamp};

/// A feed whose last confirmation is older is left. With the time to notice
/// and to connect, a router turns to another controller within 5 seconds.
pub const STALE_LIMIT: Millis = Millis(3_000);

/// See the module.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedFreshness {
    confirmed_at: Timestamp,
    was_confirmed: bool,
}

impl FeedFreshness {
    /// A connection made at `now`; it may be unconfirmed for [`STALE_LIMIT`].
    #[must_use]
    pub fn connected(now: Timestamp) -> Self {
        Self {
            confirmed_at: now,
            was_confirmed: false,
        }
    }

    /// Takes a confirmation in that was `age` old when it was sent. Returns
    /// whether it is fresh.
    pub fn confirmed(&mut self, age: Millis, now: Timestamp) -> bool {
        let at = now - age;
        self.confirmed_at = self.confirmed_at.max(at);
        let fresh = age <= STALE_LIMIT;
        self.was_confirmed |= fresh;
        fresh
    }

    /// Whether any confirmation was fresh.
    #[must_use]
    pub fn was_confirmed(&self) -> bool {
        self.was_confirmed
    }

    /// Age of the last confirmation.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Millis {
        now.since(self.confirmed_at)
    }

    /// Whether the feed is to be left.
    #[must_use]
    pub fn is_stale(&self, now: Timestamp) -> bool {
        self.age(now) > STALE_LIMIT
    }
}
