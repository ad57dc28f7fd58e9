//! How long to wait for a connection. Pure.
//!
//! A machine that is down is silent: a connection to it hangs, and the system
//! repeats the lost first packet only after a second. So tries are short, and
//! each takes twice as long as the one before, up to a limit, after which they
//! are short again: a peer that comes back is reached soon, and one that is only
//! slow by one of the long tries.

use std::time::Duration;

/// Longest wait of the first try.
const FIRST: Duration = Duration::from_millis(120);

/// See the module.
#[derive(Debug, Clone, Copy)]
pub struct DialLimit {
    present: Duration,
    longest: Duration,
}

impl DialLimit {
    /// Starts with short tries that grow to `longest`.
    #[must_use]
    pub fn growing_to(longest: Duration) -> Self {
        Self {
            present: FIRST.min(longest),
            longest,
        }
    }

    /// How long the next try may take.
    #[must_use]
    pub fn present(&self) -> Duration {
        self.present
    }

    /// A try took too long: the next one may take twice as long.
    pub fn timed_out(&mut self) {
        self.present = match self.present < self.longest {
            true => (self.present * 2).min(self.longest),
            false => FIRST.min(self.longest),
        };
    }

    /// A connection was made: short tries again.
    pub fn succeeded(&mut self) {
        self.present = FIRST.min(self.longest);
    }
}
