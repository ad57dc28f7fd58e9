//! What a router has seen of one instance: the part of its requests that failed
//! lately, and answers that are overdue.
//!
//! Cost: bounded by the requests under way there.

use crate::decay::DecayingSum;
use courseshunt_types::{Millis, Timestamp};
use std::collections::BTreeMap;

/// Time constant with which failures and requests are forgotten, in milliseconds.
const MEMORY_MS: f64 = 6_000.0;
/// Requests without a failure that every instance is credited with.
const CREDITED_REQUESTS: f64 = 5.0;
/// The part is told in so many steps, so that failures which all instances
/// share now and then move no load from one to the other.
const PART_STEPS: f64 = 8.0;
/// An answer is overdue after this many times its predicted time, and a margin.
const OVERDUE_FACTOR: f64 = 2.0;
const OVERDUE_MARGIN: Millis = Millis(200);

/// See the module.
#[derive(Debug, Default)]
pub(super) struct Health {
    requests: DecayingSum,
    failures: DecayingSum,
    /// By ticket: when the first answer is overdue.
    unanswered: BTreeMap<u64, Timestamp>,
}

impl Health {
    pub(super) fn sent(&mut self, ticket: u64, predicted_ms: f64, now: Timestamp) {
        self.requests.add(1.0, now, MEMORY_MS);
        let expected = Millis((predicted_ms * OVERDUE_FACTOR) as u64 + OVERDUE_MARGIN.0);
        self.unanswered.insert(ticket, now + expected);
    }

    /// The first answer came, or the request has ended without one.
    pub(super) fn settled(&mut self, ticket: u64) {
        self.unanswered.remove(&ticket);
    }

    pub(super) fn failed(&mut self, now: Timestamp) {
        self.failures.add(1.0, now, MEMORY_MS);
    }

    /// Part of the requests that failed lately, from 0 to 1.
    pub(super) fn failed_part(&self, now: Timestamp) -> f64 {
        let requests = self.requests.at(now, MEMORY_MS);
        let part = self.failures.at(now, MEMORY_MS) / (requests + CREDITED_REQUESTS);
        ((part * PART_STEPS).floor() / PART_STEPS).min(1.0)
    }

    /// How long the answer that waits longest is overdue.
    pub(super) fn overdue(&self, now: Timestamp) -> Millis {
        let earliest = self.unanswered.values().min();
        earliest.map_or(Millis(0), |due| now.since(*due))
    }
}
