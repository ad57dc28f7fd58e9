//! Estimate of a ticket's wait: load time left, tickets ahead, service time.

use crate::fairness::EntryKey;
use courseshunt_types::{Millis, PriorityClass, Timestamp};
use std::collections::BTreeMap;

/// Weight of a new service time in the mean.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// Part of its service time that a running request has left, on average.
const RESIDUAL: f64 = 0.5;
/// Width of a bucket of deadlines by class. With the usual deadlines a count
/// looks at a few hundred buckets at the most.
const BUCKET_WIDTHS: [Millis; 3] = [Millis(250), Millis(1000), Millis(60_000)];

/// Tickets of one class by deadline, in buckets.
#[derive(Debug, Default)]
struct DeadlineCounts {
    buckets: BTreeMap<i64, u32>,
    total: u32,
}

/// See the module.
#[derive(Debug, Default)]
pub(crate) struct WaitEstimate {
    counts: [DeadlineCounts; 3],
    service_time: Option<f64>,
}

fn bucket(class: PriorityClass, deadline: Timestamp) -> i64 {
    deadline.window_index(BUCKET_WIDTHS[class.rank()])
}

impl WaitEstimate {
    pub(crate) fn insert(&mut self, class: PriorityClass, key: EntryKey) {
        let counts = &mut self.counts[class.rank()];
        *counts
            .buckets
            .entry(bucket(class, key.deadline))
            .or_default() += 1;
        counts.total += 1;
    }

    pub(crate) fn remove(&mut self, class: PriorityClass, key: EntryKey) {
        let counts = &mut self.counts[class.rank()];
        let bucket = bucket(class, key.deadline);
        counts.total -= 1;
        let left = counts.buckets.get_mut(&bucket).map(|count| {
            *count -= 1;
            *count
        });
        if left == Some(0) {
            counts.buckets.remove(&bucket);
        }
    }

    /// Tickets that are served before a ticket of this class and deadline.
    pub(crate) fn ahead(&self, class: PriorityClass, deadline: Timestamp) -> u32 {
        let urgent = self.counts[..class.rank()].iter();
        let urgent: u32 = urgent.map(|counts| counts.total).sum();
        let own = &self.counts[class.rank()];
        let earlier = own.buckets.range(..=bucket(class, deadline));
        urgent + earlier.map(|(_, count)| count).sum::<u32>()
    }

    /// Takes in how long a request that ran took its slot.
    pub(crate) fn observe(&mut self, held: Millis) {
        let held = held.0 as f64;
        let mean = self.service_time.get_or_insert(held);
        *mean += (held - *mean) * SERVICE_TIME_WEIGHT;
    }

    /// Time until a ticket with `ahead` tickets before it starts, on `slots`
    /// slots of which `free` are free. `None` before the first observation.
    pub(crate) fn start_in(&self, ahead: u32, slots: u32, free: u32) -> Option<Millis> {
        if ahead < free {
            return Some(Millis(0));
        }
        let service_time = self.service_time?;
        let rounds = (f64::from(ahead - free) + RESIDUAL) / f64::from(slots.max(1));
        Some(Millis((rounds * service_time) as u64))
    }
}
