//! The weight store of a service: limits how often loads may start and how many may be in flight.
//!
//! Invariant: a load from the store starts only with a token of the rate limit and with capacity
//! under the learned concurrency limit. An instance that evicts for such a load reserves both
//! first, so that no memory is empty while the load is queued.

use crate::load_rate_limiter::LoadRateLimiter;
use crate::store_limit::StoreLimit;
use courseshunt_types::{Millis, RunnerId, Timestamp};
use std::collections::BTreeSet;

/// Limits of one weight store; see the module.
#[derive(Debug)]
pub(super) struct WeightStore {
    rate_limit: LoadRateLimiter,
    concurrency_limit: StoreLimit,
    /// Instances that evict for a load from the store.
    reserved: BTreeSet<RunnerId>,
}

impl WeightStore {
    pub(super) fn new(rate: f64, window: Millis, now: Timestamp) -> Self {
        Self {
            rate_limit: LoadRateLimiter::new(rate, window, now),
            concurrency_limit: StoreLimit::new(now),
            reserved: BTreeSet::new(),
        }
    }

    pub(super) fn set_rate(&mut self, rate: f64, window: Millis, now: Timestamp) {
        self.rate_limit.set_rate(rate, window, now);
    }

    /// Reserves a load for an instance; returns whether it may start. A `background` load, which no
    /// request waits for, leaves capacity for one that requests wait for.
    pub(super) fn reserve(
        &mut self,
        instance: &RunnerId,
        background: bool,
        now: Timestamp,
    ) -> bool {
        if self.reserved.contains(instance) {
            return true;
        }
        let may_start = self.has_room(background, now);
        if may_start {
            self.reserved.insert(instance.clone());
        }
        may_start
    }

    /// Whether one more load may be reserved.
    pub(super) fn has_room(&mut self, background: bool, now: Timestamp) -> bool {
        let reserved = self.reserved.len();
        let kept_for_waiting = usize::from(background);
        let has_token = match background {
            true => self.rate_limit.is_nearly_full(now),
            false => self.rate_limit.tokens(now) >= (reserved + 1) as f64,
        };
        has_token && self.concurrency_limit.available(now) > reserved + kept_for_waiting
    }

    /// Starts the load of an instance that has reserved it; returns whether it may start.
    pub(super) fn begin(&mut self, instance: &RunnerId, load_time: Millis, now: Timestamp) -> bool {
        if !self.rate_limit.take(now) {
            return false;
        }
        self.reserved.remove(instance);
        self.concurrency_limit
            .record_start(instance, load_time, now);
        true
    }

    /// Cancels a load that certainly did not start.
    pub(super) fn cancel(&mut self, instance: &RunnerId, now: Timestamp) {
        self.rate_limit.give_back(now);
        self.concurrency_limit.remove(instance, now);
    }

    /// Finishes the load of an instance; returns the mean number of concurrent loads meanwhile, and
    /// the concurrency limit from now on.
    pub(super) fn finish(&mut self, instance: &RunnerId, now: Timestamp) -> (f64, usize) {
        let end = self.concurrency_limit.record_end(instance, now);
        (
            end.map_or(0.0, |end| end.mean_concurrency),
            self.concurrency_limit.limit(),
        )
    }

    /// Drops reservations and loads of instances that have none.
    pub(super) fn retain(
        &mut self,
        is_reserved: impl Fn(&RunnerId) -> bool,
        loads_from_store: impl Fn(&RunnerId) -> bool,
        now: Timestamp,
    ) {
        self.reserved.retain(|instance| is_reserved(instance));
        self.concurrency_limit.retain(loads_from_store, now);
    }

    /// Loads in flight.
    pub(super) fn in_flight(&self) -> usize {
        self.concurrency_limit.in_flight()
    }

    /// Estimated time until a load may start when `waiting` other loads are queued before it.
    pub(super) fn delay(&self, load_time: Millis, waiting: usize, now: Timestamp) -> Millis {
        if self.concurrency_limit.available(now) > self.reserved.len() + waiting {
            return Millis(0);
        }
        let load_times = (waiting + 1) as f64 / self.concurrency_limit.limit().max(1) as f64;
        Millis((load_time.0 as f64 * load_times) as u64)
    }
}
