//! Health of one instance as observed by one router: its recent failure rate, and answers that
//! are overdue.
//!
//! Memory: bounded by the requests in flight at the instance.

use crate::decay::DecayingSum;
use courseshunt_types::{Millis, Timestamp};
use std::collections::BTreeMap;

/// Time constant of the exponential decay of request and failure counts, in milliseconds.
const DECAY_TIME_MS: f64 = 6_000.0;
/// Successful requests that are added to the count of every instance, so that one failure
/// among few requests does not give a high failure rate.
const CREDITED_SUCCESSES: f64 = 5.0;
/// The failure rate is rounded down to a multiple of 1/8, so that occasional failures which all
/// instances share shift no load between them.
const FAILURE_RATE_STEPS: f64 = 8.0;
/// An answer is overdue after its predicted time multiplied by this factor, plus a margin.
const OVERDUE_FACTOR: f64 = 2.0;
const OVERDUE_MARGIN: Millis = Millis(200);

/// Failure rate and overdue answers of one instance. See the module documentation.
#[derive(Debug, Default)]
pub(super) struct Health {
    requests: DecayingSum,
    failures: DecayingSum,
    /// For each ticket without a first answer, the time from which the answer is overdue.
    due_by_ticket: BTreeMap<u64, Timestamp>,
}

impl Health {
    pub(super) fn sent(&mut self, ticket: u64, predicted_ms: f64, now: Timestamp) {
        self.requests.add(1.0, now, DECAY_TIME_MS);
        let expected = Millis((predicted_ms * OVERDUE_FACTOR) as u64 + OVERDUE_MARGIN.0);
        self.due_by_ticket.insert(ticket, now + expected);
    }

    /// Records that the first answer came, or that the request ended without one.
    pub(super) fn finished(&mut self, ticket: u64) {
        self.due_by_ticket.remove(&ticket);
    }

    pub(super) fn failed(&mut self, now: Timestamp) {
        self.failures.add(1.0, now, DECAY_TIME_MS);
    }

    /// Recent failure rate, from 0 to 1.
    pub(super) fn failure_rate(&self, now: Timestamp) -> f64 {
        let requests = self.requests.at(now, DECAY_TIME_MS);
        let rate = self.failures.at(now, DECAY_TIME_MS) / (requests + CREDITED_SUCCESSES);
        ((rate * FAILURE_RATE_STEPS).floor() / FAILURE_RATE_STEPS).min(1.0)
    }

    /// Time since the earliest due answer became overdue; zero if none is overdue.
    pub(super) fn overdue(&self, now: Timestamp) -> Millis {
        let earliest = self.due_by_ticket.values().min();
        earliest.map_or(Millis(0), |due| now.since(*due))
    }
}
