//! How many loads from the weight store may be under way at once, learnt from
//! how long loads take.
//!
//! The store serves a number of loads at full speed that nobody tells; beyond
//! it each takes proportionally longer. The limit starts small and grows by half
//! with a load in time that began with the limit used up, as a congestion window
//! does in slow start. A load that was stretched tells the number: the
//! loads under way at its side divided by how often its time it took. From then
//! on the limit grows slowly, so that a store that became faster is noticed.
//!
//! Whether a load shares the store with those that begin after it is not told
//! either, so a load counts for the limit only where both its beginning and its
//! mean say so.
//!
//! Invariant: the limit never falls below two loads, so that a slow store
//! keeps being asked.

use courseshunt_types::{Millis, RunnerId, Timestamp};
use std::collections::BTreeMap;

/// Limit of a store of which nothing is known, in loads at once.
const FIRST: f64 = 3.0;
/// Least limit, in loads at once.
const LEAST: f64 = 2.0;
/// A load in time may take so much longer than it is declared to take.
const IN_TIME_PART: f64 = 1.15;
/// And so much more: its end is told with a lag.
const TELLING_LAG: Millis = Millis(300);
/// The limit counts as used from this part of it on, in the mean over a load.
const USED_PART: f64 = 0.6;
/// Growth of the limit before a load was stretched, as a factor.
const SLOW_START: f64 = 1.5;
/// Weight of a measurement below the limit.
const SHRINK_WEIGHT: f64 = 0.7;

/// One load under way.
#[derive(Debug, Clone, Copy)]
struct Load {
    began: Timestamp,
    expected: Millis,
    /// Loads under way when it began, itself included.
    at_begin: usize,
    /// Load-milliseconds of all loads before it began.
    load_time_before: f64,
}

/// What a finished load told.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreLoadEnd {
    /// How long it took.
    pub took: Millis,
    /// Loads under way at once meanwhile, itself included, in the mean.
    pub at_once: f64,
}

/// See the module.
#[derive(Debug)]
pub struct StoreLimit {
    limit: f64,
    /// Whether a load was stretched before.
    knows_knee: bool,
    under_way: BTreeMap<RunnerId, Load>,
    /// Load-milliseconds of all loads so far, up to `summed_at`.
    load_time: f64,
    summed_at: Timestamp,
}

impl StoreLimit {
    /// The limit of a store of which nothing is known.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        Self {
            limit: FIRST,
            knows_knee: false,
            under_way: BTreeMap::new(),
            load_time: 0.0,
            summed_at: now,
        }
    }

    /// Loads under way.
    #[must_use]
    pub fn under_way(&self) -> usize {
        self.under_way.len()
    }

    /// Loads that may be under way at once.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// How many more loads may begin now. A load that is overdue counts as
    /// stretched already.
    #[must_use]
    pub fn free(&self, now: Timestamp) -> usize {
        let limit = self.limit.min(self.overdue_bound(now)) as usize;
        limit.saturating_sub(self.under_way.len())
    }

    /// A load begins.
    pub fn began(&mut self, instance: &RunnerId, expected: Millis, now: Timestamp) {
        self.sum(now);
        let load = Load {
            began: now,
            expected,
            at_begin: self.under_way.len() + 1,
            load_time_before: self.load_time,
        };
        self.under_way.insert(instance.clone(), load);
    }

    /// A load ended: the instance holds the model.
    pub fn ended(&mut self, instance: &RunnerId, now: Timestamp) -> Option<StoreLoadEnd> {
        self.sum(now);
        let load = self.under_way.remove(instance)?;
        let took = now.since(load.began);
        let at_once = self.mean_at_once(&load, now);
        self.learn(&load, took, at_once);
        Some(StoreLoadEnd { took, at_once })
    }

    /// A load did not begin, or its instance is gone: it tells nothing.
    pub fn dropped(&mut self, instance: &RunnerId, now: Timestamp) {
        self.sum(now);
        self.under_way.remove(instance);
    }

    /// Drops the loads of instances that no longer have one.
    pub fn retain(&mut self, loads: impl Fn(&RunnerId) -> bool, now: Timestamp) {
        self.sum(now);
        self.under_way.retain(|instance, _| loads(instance));
    }

    fn learn(&mut self, load: &Load, took: Millis, at_once: f64) {
        let at_begin = load.at_begin as f64;
        if took > in_time(load.expected) {
            let stretch = took.as_secs_f64() / load.expected.as_secs_f64();
            let knee = at_once.max(at_begin) / stretch;
            self.knows_knee = true;
            if knee < self.limit {
                self.limit += (knee - self.limit) * SHRINK_WEIGHT;
                self.limit = self.limit.max(LEAST);
            }
            return;
        }
        let limit = self.limit.floor();
        if at_begin < limit || at_once < limit * USED_PART {
            return;
        }
        match self.knows_knee {
            true => self.limit += 1.0 / (self.limit * self.limit),
            false => self.limit *= SLOW_START,
        }
    }

    /// The least number at once that overdue loads suggest.
    fn overdue_bound(&self, now: Timestamp) -> f64 {
        let overdue = self.under_way.values();
        let overdue = overdue.filter(|load| now.since(load.began) > in_time(load.expected));
        let bounds = overdue.map(|load| {
            let stretched = now.since(load.began).as_secs_f64() / load.expected.as_secs_f64();
            let at_once = self.mean_at_once(load, now).max(load.at_begin as f64);
            (at_once / stretched).max(LEAST)
        });
        bounds.fold(f64::INFINITY, f64::min)
    }

    fn mean_at_once(&self, load: &Load, now: Timestamp) -> f64 {
        let took = now.since(load.began).0.max(1) as f64;
        let since_sum = now.since(self.summed_at).0 as f64 * self.under_way.len() as f64;
        (self.load_time + since_sum - load.load_time_before) / took
    }

    fn sum(&mut self, now: Timestamp) {
        let passed = now.since(self.summed_at).0 as f64;
        self.load_time += passed * self.under_way.len() as f64;
        self.summed_at = now;
    }
}

/// Longest time of a load that was not stretched.
fn in_time(expected: Millis) -> Millis {
    Millis((expected.0 as f64 * IN_TIME_PART) as u64 + TELLING_LAG.0)
}
