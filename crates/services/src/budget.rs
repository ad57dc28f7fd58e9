//! The budget for sending requests once more, held in common by all routers.
//!
//! Each router spends at most its share: a part of its own recent requests and
//! an equal part of the common slack. So the sum over all routers keeps the
//! common bound without messages for each retry.

use courseshunt_types::{Millis, Timestamp};
use std::collections::VecDeque;

/// Part of the allowance that is used; the rest covers routers whose number is
/// known late and windows that slide.
const USED_PART: f64 = 0.6;

/// One service's budget at one router.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window: Millis,
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

impl RetryBudget {
    /// A budget of `ratio` retries for each request plus `slack` in a `window`,
    /// over all routers.
    #[must_use]
    pub fn new(ratio: f64, slack: f64, window: Millis) -> Self {
        Self {
            ratio,
            slack,
            window,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Notes a client's request.
    pub fn request(&mut self, now: Timestamp) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Takes one retry out of the budget; returns whether it may be made.
    pub fn take(&mut self, routers: u32, now: Timestamp) -> bool {
        self.forget(now);
        let share = self.slack / f64::from(routers.max(1));
        let allowed = USED_PART * (self.ratio * self.requests.len() as f64 + share);
        if self.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn forget(&mut self, now: Timestamp) {
        let oldest = now - self.window;
        while self.requests.front().is_some_and(|at| *at < oldest) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(|at| *at < oldest) {
            self.retries.pop_front();
        }
    }
}
