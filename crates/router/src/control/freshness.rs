//! Tracks the age of a feed's last confirmation by a quorum; does no I/O.
//!
//! A controller that is partitioned from the quorum keeps answering, but the age
//! of its confirmations increases; an unresponsive one sends none. Both cases
//! increase the age that is tracked here.

use courseshunt_types::{Millis, Timestamp};

/// Maximum age of the last confirmation, after which the router disconnects.
/// Including the time for detection and connecting, a router switches to another
/// controller within 5 seconds.
pub const STALE_LIMIT: Millis = Millis(3_000);

/// Time of a feed's last confirmation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedFreshness {
    confirmed_at: Timestamp,
    was_confirmed: bool,
}

impl FeedFreshness {
    /// State of a connection established at `now`; it may stay unconfirmed for
    /// [`STALE_LIMIT`].
    #[must_use]
    pub fn connected(now: Timestamp) -> Self {
        Self {
            confirmed_at: now,
            was_confirmed: false,
        }
    }

    /// Records a confirmation that had the given `age` when it was sent. Returns
    /// whether it is fresh.
    pub fn confirmed(&mut self, age: Millis, now: Timestamp) -> bool {
        let confirmed_at = now - age;
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
        let fresh = age <= STALE_LIMIT;
        self.was_confirmed |= fresh;
        fresh
    }

    /// Whether any confirmation of this connection was fresh.
    #[must_use]
    pub fn was_confirmed(&self) -> bool {
        self.was_confirmed
    }

    /// Age of the last confirmation at `now`.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Millis {
        now.since(self.confirmed_at)
    }

    /// Whether the last confirmation is older than [`STALE_LIMIT`].
    #[must_use]
    pub fn is_stale(&self, now: Timestamp) -> bool {
        self.age(now) > STALE_LIMIT
    }
}
