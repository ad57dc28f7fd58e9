//! Adaptive limit of concurrent loads from the weight store, learned from the duration of loads.
//!
//! The store serves an unknown number of concurrent loads at full speed (the knee); beyond it each
//! load takes proportionally longer. The limit starts small and grows by half with each load that
//! is in time and that started with the limit used up, as a congestion window does in slow start. A
//! load that takes too long gives an estimate of the knee: the mean number of concurrent loads
//! divided by the factor by which it took longer. From then on the limit grows slowly, so that it
//! follows a store that becomes faster.
//!
//! It is also unknown whether a load shares the store with the loads that start after it, so a load
//! raises the limit only if the concurrency at its start and its mean concurrency were both high
//! enough.
//!
//! Invariant: the limit never falls below two loads, so that a slow store continues to be measured.

use courseshunt_types::{Millis, RunnerId, Timestamp};
use std::collections::BTreeMap;

/// Initial limit, in concurrent loads.
const INITIAL_LIMIT: f64 = 3.0;
/// Minimum limit, in concurrent loads.
const MIN_LIMIT: f64 = 2.0;
/// Factor by which a load may exceed its declared time and still be in time.
const IN_TIME_FACTOR: f64 = 1.15;
/// Additional allowance, because the end of a load is reported with a delay.
const REPORT_LAG: Millis = Millis(300);
/// Fraction of the limit that the mean concurrency during a load must reach for the limit to count
/// as used.
const USED_FRACTION: f64 = 0.6;
/// Factor of growth of the limit before the first load that took too long.
const SLOW_START_FACTOR: f64 = 1.5;
/// Weight of an estimate below the limit.
const SHRINK_WEIGHT: f64 = 0.7;

/// One load in flight.
#[derive(Debug, Clone, Copy)]
struct Load {
    started_at: Timestamp,
    expected: Millis,
    /// Loads in flight when it started, itself included.
    in_flight_at_start: usize,
    /// Sum of the load times of all loads before its start, in milliseconds.
    load_time_before: f64,
}

/// Measurements of a finished load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreLoadEnd {
    /// Time from its start to its end.
    pub duration: Millis,
    /// Mean number of concurrent loads during this time, itself included.
    pub mean_concurrency: f64,
}

/// Limit of concurrent loads from one weight store; see the module.
#[derive(Debug)]
pub struct StoreLimit {
    limit: f64,
    /// Whether a load took too long before, so that the knee is known approximately.
    has_knee_estimate: bool,
    in_flight: BTreeMap<RunnerId, Load>,
    /// Sum of the load times of all loads until `summed_at`, in milliseconds.
    total_load_time: f64,
    summed_at: Timestamp,
}

impl StoreLimit {
    /// Creates the limit of a store without any measurements.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        Self {
            limit: INITIAL_LIMIT,
            has_knee_estimate: false,
            in_flight: BTreeMap::new(),
            total_load_time: 0.0,
            summed_at: now,
        }
    }

    /// Number of loads in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Maximum number of concurrent loads.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Number of loads that may start now. A load that is overdue already lowers the limit like one
    /// that took too long.
    #[must_use]
    pub fn available(&self, now: Timestamp) -> usize {
        let limit = self.limit.min(self.overdue_estimate(now)) as usize;
        limit.saturating_sub(self.in_flight.len())
    }

    /// Records the start of a load with its declared duration.
    pub fn record_start(&mut self, instance: &RunnerId, expected: Millis, now: Timestamp) {
        self.accumulate(now);
        let load = Load {
            started_at: now,
            expected,
            in_flight_at_start: self.in_flight.len() + 1,
            load_time_before: self.total_load_time,
        };
        self.in_flight.insert(instance.clone(), load);
    }

    /// Records the end of a load, when the instance holds the model; `None` if no load of this
    /// instance is in flight.
    pub fn record_end(&mut self, instance: &RunnerId, now: Timestamp) -> Option<StoreLoadEnd> {
        self.accumulate(now);
        let load = self.in_flight.remove(instance)?;
        let duration = now.since(load.started_at);
        let mean_concurrency = self.mean_concurrency(&load, now);
        self.update_limit(&load, duration, mean_concurrency);
        Some(StoreLoadEnd {
            duration,
            mean_concurrency,
        })
    }

    /// Removes a load that did not start or whose instance is gone, without a measurement.
    pub fn remove(&mut self, instance: &RunnerId, now: Timestamp) {
        self.accumulate(now);
        self.in_flight.remove(instance);
    }

    /// Removes the loads of instances for which `loads` is false, without a measurement.
    pub fn retain(&mut self, loads: impl Fn(&RunnerId) -> bool, now: Timestamp) {
        self.accumulate(now);
        self.in_flight.retain(|instance, _| loads(instance));
    }

    fn update_limit(&mut self, load: &Load, duration: Millis, mean_concurrency: f64) {
        let in_flight_at_start = load.in_flight_at_start as f64;
        if duration > max_in_time(load.expected) {
            let stretch = duration.as_secs_f64() / load.expected.as_secs_f64();
            let knee = mean_concurrency.max(in_flight_at_start) / stretch;
            self.has_knee_estimate = true;
            if knee < self.limit {
                self.limit += (knee - self.limit) * SHRINK_WEIGHT;
                self.limit = self.limit.max(MIN_LIMIT);
            }
            return;
        }
        let limit = self.limit.floor();
        if in_flight_at_start < limit || mean_concurrency < limit * USED_FRACTION {
            return;
        }
        match self.has_knee_estimate {
            true => self.limit += 1.0 / (self.limit * self.limit),
            false => self.limit *= SLOW_START_FACTOR,
        }
    }

    /// Lowest estimate of the knee from the loads that are overdue; infinite if there is none.
    fn overdue_estimate(&self, now: Timestamp) -> f64 {
        let overdue = self.in_flight.values();
        let overdue =
            overdue.filter(|load| now.since(load.started_at) > max_in_time(load.expected));
        let estimates = overdue.map(|load| {
            let stretch = now.since(load.started_at).as_secs_f64() / load.expected.as_secs_f64();
            let mean_concurrency = self
                .mean_concurrency(load, now)
                .max(load.in_flight_at_start as f64);
            (mean_concurrency / stretch).max(MIN_LIMIT)
        });
        estimates.fold(f64::INFINITY, f64::min)
    }

    fn mean_concurrency(&self, load: &Load, now: Timestamp) -> f64 {
        let duration = now.since(load.started_at).0.max(1) as f64;
        let since_summed = now.since(self.summed_at).0 as f64 * self.in_flight.len() as f64;
        (self.total_load_time + since_summed - load.load_time_before) / duration
    }

    fn accumulate(&mut self, now: Timestamp) {
        let elapsed = now.since(self.summed_at).0 as f64;
        self.total_load_time += elapsed * self.in_flight.len() as f64;
        self.summed_at = now;
    }
}

/// Maximum time of a load that counts as in time.
fn max_in_time(expected: Millis) -> Millis {
    Millis((expected.0 as f64 * IN_TIME_FACTOR) as u64 + REPORT_LAG.0)
}
