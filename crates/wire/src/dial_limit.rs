//! Time limit of connection attempts. It does no I/O and reads no clock.
//!
//! A machine that is down does not answer: an attempt to connect to it hangs, and the operating
//! system retransmits the lost first packet only after a second. Attempts are therefore short at
//! first, and the limit doubles after each time-out up to a maximum, after which it starts over. A
//! peer that comes back is reached soon by a short attempt, and one that is only slow is reached by
//! one of the long attempts.

use std::time::Duration;

/// Time limit of the first attempt.
const INITIAL_LIMIT: Duration = Duration::from_millis(120);

/// Time limit of the next attempt to connect to one peer; see the module.
#[derive(Debug, Clone, Copy)]
pub struct DialLimit {
    current: Duration,
    max: Duration,
}

impl DialLimit {
    /// Starts with short attempts; the limit grows up to `max`.
    #[must_use]
    pub fn growing_to(max: Duration) -> Self {
        Self {
            current: INITIAL_LIMIT.min(max),
            max,
        }
    }

    /// Time limit of the next attempt.
    #[must_use]
    pub fn present(&self) -> Duration {
        self.current
    }

    /// An attempt timed out: doubles the limit, or starts over after an attempt with the maximum.
    pub fn timed_out(&mut self) {
        self.current = match self.current < self.max {
            true => (self.current * 2).min(self.max),
            false => INITIAL_LIMIT.min(self.max),
        };
    }

    /// A connection was established: starts over with short attempts.
    pub fn succeeded(&mut self) {
        self.current = INITIAL_LIMIT.min(self.max);
    }
}
