//! The weight store of a service: how often a load may begin, and how many may
//! be under way.
//!
//! Invariant: a load from the store begins only with a token of the ceiling and
//! with room under the learnt limit. An instance that evicts for such a load
//! reserves both first, so that no memory lies empty while it waits.

use crate::load_rate_limiter::LoadRateLimiter;
use crate::store_limit::StoreLimit;
use courseshunt_types::{Millis, RunnerId, Timestamp};
use std::collections::BTreeSet;

/// See the module.
#[derive(Debug)]
pub(super) struct WeightStore {
    ceiling: LoadRateLimiter,
    limit: StoreLimit,
    /// Instances that evict for a load from the store.
    reserved: BTreeSet<RunnerId>,
}

impl WeightStore {
    pub(super) fn new(rate: f64, window: Millis, now: Timestamp) -> Self {
        Self {
            ceiling: LoadRateLimiter::new(rate, window, now),
            limit: StoreLimit::new(now),
            reserved: BTreeSet::new(),
        }
    }

    pub(super) fn set_rate(&mut self, rate: f64, window: Millis, now: Timestamp) {
        self.ceiling.set_rate(rate, window, now);
    }

    /// Reserves a load for an instance; returns whether it may begin. One that
    /// nobody waits for (`spare`) leaves room for one that is waited for.
    pub(super) fn reserve(&mut self, instance: &RunnerId, spare: bool, now: Timestamp) -> bool {
        if self.reserved.contains(instance) {
            return true;
        }
        let may_begin = self.has_room(spare, now);
        if may_begin {
            self.reserved.insert(instance.clone());
        }
        may_begin
    }

    /// Whether one more load may be reserved.
    pub(super) fn has_room(&mut self, spare: bool, now: Timestamp) -> bool {
        let reserved = self.reserved.len();
        let kept_free = usize::from(spare);
        let has_token = match spare {
            true => self.ceiling.is_nearly_full(now),
            false => self.ceiling.tokens(now) >= (reserved + 1) as f64,
        };
        has_token && self.limit.free(now) > reserved + kept_free
    }

    /// Begins the load of an instance that has reserved it; returns whether it
    /// may begin.
    pub(super) fn begin(&mut self, instance: &RunnerId, expected: Millis, now: Timestamp) -> bool {
        if !self.ceiling.take(now) {
            return false;
        }
        self.reserved.remove(instance);
        self.limit.began(instance, expected, now);
        true
    }

    /// A load surely did not begin.
    pub(super) fn not_begun(&mut self, instance: &RunnerId, now: Timestamp) {
        self.ceiling.give_back(now);
        self.limit.dropped(instance, now);
    }

    /// An instance holds what it was to load; returns the loads under way
    /// meanwhile, in the mean, and the limit from now on.
    pub(super) fn ended(&mut self, instance: &RunnerId, now: Timestamp) -> (f64, usize) {
        let end = self.limit.ended(instance, now);
        (end.map_or(0.0, |end| end.at_once), self.limit.limit())
    }

    /// Forgets reservations and loads of instances that have none.
    pub(super) fn retain(
        &mut self,
        reserves: impl Fn(&RunnerId) -> bool,
        loads: impl Fn(&RunnerId) -> bool,
        now: Timestamp,
    ) {
        self.reserved.retain(|instance| reserves(instance));
        self.limit.retain(loads, now);
    }

    /// Loads under way.
    pub(super) fn under_way(&self) -> usize {
        self.limit.under_way()
    }

    /// How long a load waits before it begins when `waiting` others wait.
    pub(super) fn delay(&self, load_time: Millis, waiting: usize, now: Timestamp) -> Millis {
        if self.limit.free(now) > self.reserved.len() + waiting {
            return Millis(0);
        }
        let turns = (waiting + 1) as f64 / self.limit.limit().max(1) as f64;
        Millis((load_time.0 as f64 * turns) as u64)
    }
}
