//! Account of the retries of one service at one router.
//!
//! Each router spends at most its local share: a fraction of its own recent requests and an
//! equal share of the common slack. The sum over all routers therefore stays within the common
//! budget without a message for each retry.
//!
//! A share is rarely a whole number, and at a router of a large fleet it is below one. Rounded
//! down at every router, most of the common budget would stay unused. Each router therefore
//! rounds up with a probability equal to the fraction, by a pseudo-random draw of its own. A
//! draw is kept for several windows and renewed at a time that differs between routers: with a
//! new draw for each retry, or at all routers at once, a window could exceed the shares. Where
//! the unused fraction of the budget does not cover the deviation of the sum of all draws, all
//! routers round down. A router without a share of the slack rounds down as well, since each new
//! process has a new draw.

use super::RetryBudgetSettings;
use courseshunt_types::{Millis, Timestamp};
use std::collections::VecDeque;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Fraction of the share that is used. The rest covers sliding windows, and routers that are cut
/// off from the leader while as many new ones start.
const USED_FRACTION: f64 = 0.6;
/// Windows for which a draw is kept: in each window, one router in this number has two draws.
const WINDOWS_PER_DRAW: u64 = 6;
/// Standard deviations of the sum of all draws that the unused fraction of the budget has to
/// cover. One is at most half the square root of the number of routers.
const COVERED_DEVIATIONS: f64 = 4.0;

/// Retry budget of one service at one router.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    /// Makes this router's draws independent of those of other routers.
    seed: u64,
    requests: VecDeque<Timestamp>,
    /// Retries that were sent.
    retries: VecDeque<Timestamp>,
    /// Retries that are allowed and not sent yet.
    reserved: usize,
}

impl RetryBudget {
    /// Creates an account of the common budget that `settings` describe.
    #[must_use]
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            seed: 0,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
            reserved: 0,
        }
    }

    /// Sets the seed of this router's draws.
    #[must_use]
    pub fn seeded(self, seed: u64) -> Self {
        Self { seed, ..self }
    }

    /// Records a client request.
    pub fn record_request(&mut self, now: Timestamp) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Reserves one retry; returns whether it may be sent. It has to be followed by
    /// [`Self::record_retry`] or [`Self::release`]. See [`Self::share`] for `slack_divisor`.
    pub fn reserve(&mut self, slack_divisor: Option<u32>, now: Timestamp) -> bool {
        let share = self.share(slack_divisor, now);
        let (_, retries) = self.counts();
        if retries as f64 + 1.0 > share {
            return false;
        }
        self.reserved += 1;
        true
    }

    /// Counts a reserved retry as sent.
    pub fn record_retry(&mut self, now: Timestamp) {
        self.release();
        self.retries.push_back(now);
    }

    /// Returns a reserved retry that is not sent.
    pub fn release(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Retries that this router may send in the window before `now`. `slack_divisor` is the
    /// number of routers that divide the slack; without it, the share is the part that the
    /// router's own requests give.
    pub fn share(&mut self, slack_divisor: Option<u32>, now: Timestamp) -> f64 {
        self.expire(now);
        let RetryBudgetSettings { ratio, slack, .. } = self.settings;
        let own_part = ratio * self.requests.len() as f64;
        let Some(routers) = slack_divisor else {
            return USED_FRACTION * own_part;
        };
        let routers = f64::from(routers.max(1));
        let share = own_part + slack / routers;
        // Assumes that the other routers have equal shares.
        let unused = (1.0 - USED_FRACTION) * share * routers;
        let rounding = match unused >= COVERED_DEVIATIONS * routers.sqrt() / 2.0 {
            true => self.draw(now),
            false => 0.0,
        };
        USED_FRACTION * share + rounding
    }

    /// Numbers of requests, and of retries with the reserved ones, in the window, as of the last
    /// call that gave a time.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        (self.requests.len(), self.retries.len() + self.reserved)
    }

    /// The amount that is added to this router's share at `now` before it is rounded down:
    /// uniform over routers in [0, 1].
    fn draw(&self, now: Timestamp) -> f64 {
        let period_ms = (self.settings.window.0 * WINDOWS_PER_DRAW).max(1);
        let period = (now + Millis(self.seed % period_ms)).window_index(Millis(period_ms));
        xxh3_64_with_seed(&period.to_le_bytes(), self.seed) as f64 / u64::MAX as f64
    }

    fn expire(&mut self, now: Timestamp) {
        let oldest = now - self.settings.window;
        while self.requests.front().is_some_and(|at| *at < oldest) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(|at| *at < oldest) {
            self.retries.pop_front();
        }
    }
}
