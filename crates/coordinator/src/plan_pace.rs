//! Schedules the leader's planning rounds: rounds for all instances and models, and urgent rounds
//! in between, for models and adapters that requests wait for.
//!
//! Invariant: each kind of round takes a bounded part of the leader's time, whatever the size of
//! the fleet and however often the loop is woken; the remaining time is for feeds and answers to
//! routers.

use courseshunt_types::{Millis, Timestamp};

/// Minimum pause between two rounds of one kind.
const MIN_PAUSE: Millis = Millis(15);
/// The pause after a round, as a multiple of the round's duration.
const PAUSE_FACTOR: u64 = 4;

/// A kind of planning round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanRound {
    /// Plans all instances and models.
    All,
    /// Plans only what requests wait for, which should not wait for the next round for all.
    Urgent,
}

/// The last round of one kind.
#[derive(Debug, Clone, Copy)]
struct LastRound {
    ended: Timestamp,
    duration: Millis,
}

impl LastRound {
    fn pause_is_over(&self, now: Timestamp) -> bool {
        let pause = Millis(self.duration.0 * PAUSE_FACTOR).max(MIN_PAUSE);
        now.since(self.ended) >= pause
    }
}

/// The schedule of planning rounds of one leadership.
#[derive(Debug, Clone)]
pub struct PlanPace {
    all: LastRound,
    urgent: LastRound,
}

impl PlanPace {
    /// Starts at `now`; the first round is due after the minimum pause.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        let last = LastRound {
            ended: now,
            duration: Millis(0),
        };
        Self {
            all: last,
            urgent: last,
        }
    }

    /// The round that is due, if any. An urgent round is due only if requests wait for something.
    #[must_use]
    pub fn due(&self, has_waiting_requests: bool, now: Timestamp) -> Option<PlanRound> {
        if self.all.pause_is_over(now) {
            return Some(PlanRound::All);
        }
        (has_waiting_requests && self.urgent.pause_is_over(now)).then_some(PlanRound::Urgent)
    }

    /// Notes that a round was run, from `began` to `ended`.
    pub fn note_round(&mut self, round: PlanRound, began: Timestamp, ended: Timestamp) {
        let duration = ended.since(began);
        match round {
            PlanRound::All => self.all = LastRound { ended, duration },
            PlanRound::Urgent => self.urgent = LastRound { ended, duration },
        }
    }
}
