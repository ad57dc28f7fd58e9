//! Measures of a run: waits of first requests and accelerator time.

use crate::callers::Arrival;
use courseshunt_types::{Millis, PriorityClass, Timestamp};

/// A request is a first one when its deployment was not called for this long.
pub const FIRST_AFTER: Millis = Millis::from_secs(60);
/// Milliseconds of an hour.
const HOUR_MS: f64 = 3_600_000.0;

/// Which arrivals are first requests: critical or interactive, and none of the
/// same deployment within [`FIRST_AFTER`] before. Known from the arrivals
/// alone, so that all policies are measured on the same requests.
#[must_use]
pub fn first_requests(arrivals: &[Arrival], deployments: usize) -> Vec<bool> {
    let mut last: Vec<Option<Timestamp>> = vec![None; deployments];
    let mut first = Vec::with_capacity(arrivals.len());
    for one in arrivals {
        let earlier = last[one.deployment].replace(one.at);
        let paused = earlier.is_none_or(|earlier| one.at.since(earlier) >= FIRST_AFTER);
        first.push(paused && one.class != PriorityClass::Batch);
    }
    first
}

/// Accelerator time, in accelerator hours.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AcceleratorTime {
    /// Of replicas that ran nothing.
    pub idle: f64,
    /// Of replicas that ran something.
    pub busy: f64,
}

impl AcceleratorTime {
    /// Adds the time of one replica that holds `accelerators` (a part of one
    /// perhaps).
    pub fn add(&mut self, accelerators: f64, length: Millis, running: bool) {
        let hours = accelerators * length.0 as f64 / HOUR_MS;
        match running {
            true => self.busy += hours,
            false => self.idle += hours,
        }
    }
}

/// Waits, for exact percentiles.
#[derive(Debug, Clone, Default)]
pub struct Waits {
    millis: Vec<u64>,
}

impl Waits {
    /// Adds one wait.
    pub fn add(&mut self, wait: Millis) {
        self.millis.push(wait.0);
    }

    /// Waits added.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.millis.len() as u64
    }

    /// The wait, in seconds, that a share of all waits does not exceed; 1 gives
    /// the longest.
    #[must_use]
    pub fn percentile_s(&self, share: f64) -> f64 {
        let mut sorted = self.millis.clone();
        sorted.sort_unstable();
        let rank = (sorted.len() as f64 * share).ceil() as usize;
        let wait = sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0);
        wait as f64 / 1000.0
    }

    /// The mean wait, in seconds.
    #[must_use]
    pub fn mean_s(&self) -> f64 {
        let sum: u64 = self.millis.iter().sum();
        sum as f64 / 1000.0 / self.millis.len().max(1) as f64
    }
}
