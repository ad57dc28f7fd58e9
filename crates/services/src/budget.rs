//! The budget for sending requests once more, held in common by all routers.
//!
//! Each router spends at most its share: a part of its own recent requests and
//! an equal part of the common slack. So the sum over all routers keeps the
//! common bound without messages for each retry.
//!
//! A share is rarely a whole number, and under one at a router of a large fleet. Rounded down
//! everywhere, most of the common budget would lie idle; so each router rounds by a draw of its
//! own, up as often as the fraction says. The draw holds for several windows and is made
//! anew at a moment of the router's own: drawn for each retry, or by all at once, it would let
//! a window have more than the shares. Where the unused part of the budget does not cover how
//! far the sum of so many draws may stray, all round down.

use courseshunt_types::{Millis, Timestamp};
use std::collections::VecDeque;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Part of the allowance that is used; the rest covers routers whose number is
/// known late and windows that slide.
const USED_PART: f64 = 0.6;
/// Windows for which a draw holds: of the routers one in so many has two draws in a window.
const DRAW_WINDOWS: u64 = 6;
/// Standard deviations of the sum of all draws (at most half the root of their number) that
/// the unused part of the budget has to cover.
const COVERED_DEVIATIONS: f64 = 4.0;

/// One service's budget at one router.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window: Millis,
    /// Sets this router's draws apart from those of others.
    seed: u64,
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
            seed: 0,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Gives this router's draws a seed of their own.
    #[must_use]
    pub fn seeded(self, seed: u64) -> Self {
        Self { seed, ..self }
    }

    /// Notes a client's request.
    pub fn request(&mut self, now: Timestamp) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Takes one retry out of the budget; returns whether it may be made.
    pub fn take(&mut self, routers: u32, now: Timestamp) -> bool {
        self.forget(now);
        let routers = f64::from(routers.max(1));
        let share = self.ratio * self.requests.len() as f64 + self.slack / routers;
        // Others are taken to have as much.
        let unused = (1.0 - USED_PART) * share * routers;
        let rounding = match unused >= COVERED_DEVIATIONS * routers.sqrt() / 2.0 {
            true => self.draw(now),
            false => 0.0,
        };
        if self.retries.len() as f64 + 1.0 > USED_PART * share + rounding {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// From 0 up to 1, evenly over routers: what this one's share is rounded up by at `now`.
    fn draw(&self, now: Timestamp) -> f64 {
        let length = (self.window.0 * DRAW_WINDOWS).max(1);
        let number = (now + Millis(self.seed % length)).window_index(Millis(length));
        xxh3_64_with_seed(&number.to_le_bytes(), self.seed) as f64 / u64::MAX as f64
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
