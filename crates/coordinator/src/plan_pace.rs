//! When the leader plans: a round for all instances and models, or one for what requests wait
//! for in between.
//!
//! Invariant: each kind takes a bounded part of the leader's time, however large the fleet is
//! and however often the loop is woken; the feeds and answers to routers have the rest.

use courseshunt_types::{Millis, Timestamp};

/// Least time between rounds of one kind.
const LEAST_BETWEEN: Millis = Millis(15);
/// A round that took some time is followed by a pause of so many times as much.
const PAUSE_PART: u64 = 4;

/// A kind of round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanRound {
    /// For all instances and models.
    All,
    /// For what requests wait for, which can't wait for the next one for all.
    Waited,
}

/// The last round of one kind.
#[derive(Debug, Clone, Copy)]
struct Last {
    ended: Timestamp,
    took: Millis,
}

impl Last {
    fn is_over(&self, now: Timestamp) -> bool {
        let pause = Millis(self.took.0 * PAUSE_PART).max(LEAST_BETWEEN);
        now.since(self.ended) >= pause
    }
}

/// See the module.
#[derive(Debug, Clone)]
pub struct PlanPace {
    all: Last,
    waited: Last,
}

impl PlanPace {
    /// Begins at `now`.
    #[must_use]
    pub fn begin(now: Timestamp) -> Self {
        let last = Last {
            ended: now,
            took: Millis(0),
        };
        Self {
            all: last,
            waited: last,
        }
    }

    /// The round that is due, if one is; `waits` tells whether requests wait for something.
    #[must_use]
    pub fn due(&self, waits: bool, now: Timestamp) -> Option<PlanRound> {
        if self.all.is_over(now) {
            return Some(PlanRound::All);
        }
        (waits && self.waited.is_over(now)).then_some(PlanRound::Waited)
    }

    /// Notes a round.
    pub fn planned(&mut self, round: PlanRound, began: Timestamp, ended: Timestamp) {
        let took = ended.since(began);
        match round {
            PlanRound::All => self.all = Last { ended, took },
            PlanRound::Waited => self.waited = Last { ended, took },
        }
    }
}
