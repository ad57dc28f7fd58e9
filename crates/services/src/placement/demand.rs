//! Demand for models: exponentially decaying request rates, and the requests that wait now.

use crate::decay::DecayingSum;
use crate::feed::ModelDemand;
use courseshunt_types::{Millis, Timestamp};
use std::collections::BTreeMap;

/// Time constant of the rate that decides on the number of replicas, in milliseconds.
const FAST_TIME_CONSTANT_MS: f64 = 3_000.0;
/// Time constant of the rates that decide which replicas are surplus, in milliseconds.
pub(super) const STEADY_TIME_CONSTANT_MS: f64 = 9_000.0;
/// Time constant of the rate that decides which models are kept at all, in milliseconds.
const SLOW_TIME_CONSTANT_MS: f64 = 20_000.0;
/// How long a report of waiting requests is valid.
const WAITING_VALIDITY: Millis = Millis(1_500);

/// A model of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ModelKey {
    pub(super) service: String,
    pub(super) model: String,
}

#[derive(Debug, Default)]
struct Rates {
    fast: DecayingSum,
    slow: DecayingSum,
    tokens: DecayingSum,
    steady: DecayingSum,
    steady_tokens: DecayingSum,
    late: DecayingSum,
    /// Shortest latency objective of a request so far, in milliseconds.
    objective_ms: Option<u32>,
    /// When arrivals were last reported.
    last_arrival_at: Option<Timestamp>,
}

/// Requests that wait at one router for a model or one of its adapters.
#[derive(Debug, Clone)]
struct RouterWaiting {
    router: String,
    key: ModelKey,
    adapter: Option<String>,
    count: u32,
    at: Timestamp,
}

/// Requests that wait for a model or one of its adapters, summed over all routers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct WaitingRequests {
    pub(super) key: ModelKey,
    pub(super) adapter: Option<String>,
    pub(super) count: u32,
}

/// Demand for one model.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DemandSummary {
    /// Requests per second, averaged over [`FAST_TIME_CONSTANT_MS`].
    pub(super) fast: f64,
    /// Requests per second, averaged over [`SLOW_TIME_CONSTANT_MS`].
    pub(super) slow: f64,
    /// Prompt tokens per second, averaged over [`FAST_TIME_CONSTANT_MS`].
    pub(super) tokens: f64,
    /// Requests and prompt tokens per second, averaged over [`STEADY_TIME_CONSTANT_MS`].
    pub(super) steady: f64,
    pub(super) steady_tokens: f64,
    /// Late answers per second, averaged over [`FAST_TIME_CONSTANT_MS`].
    pub(super) late: f64,
    /// Shortest latency objective of a request for the model; `None` while there was no request.
    pub(super) objective: Option<Millis>,
}

/// Demand as reported by the routers; see the module.
#[derive(Debug, Default)]
pub(super) struct DemandTable {
    /// By service, then by model.
    rates: BTreeMap<String, BTreeMap<String, Rates>>,
    waiting: Vec<RouterWaiting>,
}

impl DemandTable {
    pub(super) fn record(&mut self, router: &str, demand: &[ModelDemand], now: Timestamp) {
        self.waiting.retain(|one| one.router != router);
        for one in demand {
            self.add_arrivals(one, now);
            if one.waiting > 0 {
                self.waiting.push(RouterWaiting {
                    router: router.to_owned(),
                    key: ModelKey {
                        service: one.service.clone(),
                        model: one.model.clone(),
                    },
                    adapter: one.adapter.clone(),
                    count: one.waiting,
                    at: now,
                });
            }
        }
    }

    fn add_arrivals(&mut self, one: &ModelDemand, now: Timestamp) {
        if one.arrivals == 0 && one.tokens == 0 && one.late == 0 {
            return;
        }
        let service = self.rates.entry(one.service.clone()).or_default();
        let rates = service.entry(one.model.clone()).or_default();
        rates
            .fast
            .add(f64::from(one.arrivals), now, FAST_TIME_CONSTANT_MS);
        rates
            .slow
            .add(f64::from(one.arrivals), now, SLOW_TIME_CONSTANT_MS);
        rates
            .tokens
            .add(f64::from(one.tokens), now, FAST_TIME_CONSTANT_MS);
        rates
            .late
            .add(f64::from(one.late), now, FAST_TIME_CONSTANT_MS);
        rates
            .steady
            .add(f64::from(one.arrivals), now, STEADY_TIME_CONSTANT_MS);
        rates
            .steady_tokens
            .add(f64::from(one.tokens), now, STEADY_TIME_CONSTANT_MS);
        if one.arrivals > 0 {
            rates.last_arrival_at = Some(now);
            let shortest = rates.objective_ms.unwrap_or(u32::MAX);
            rates.objective_ms = Some(shortest.min(one.objective_ms));
        }
    }

    pub(super) fn remove(&mut self, router: &str) {
        self.waiting.retain(|one| one.router != router);
    }

    /// When a router last reported arrivals of requests for a model.
    pub(super) fn last_arrival(&self, service: &str, model: &str) -> Option<Timestamp> {
        let rates = self.rates.get(service)?.get(model)?;
        rates.last_arrival_at
    }

    /// Current demand for a model.
    pub(super) fn summary(&self, service: &str, model: &str, now: Timestamp) -> DemandSummary {
        let rates = self
            .rates
            .get(service)
            .and_then(|service| service.get(model));
        rates.map_or_else(DemandSummary::default, |rates| DemandSummary {
            fast: rates.fast.per_second(now, FAST_TIME_CONSTANT_MS),
            slow: rates.slow.per_second(now, SLOW_TIME_CONSTANT_MS),
            tokens: rates.tokens.per_second(now, FAST_TIME_CONSTANT_MS),
            steady: rates.steady.per_second(now, STEADY_TIME_CONSTANT_MS),
            steady_tokens: rates.steady_tokens.per_second(now, STEADY_TIME_CONSTANT_MS),
            late: rates.late.per_second(now, FAST_TIME_CONSTANT_MS),
            objective: rates
                .objective_ms
                .map(|shortest| Millis(u64::from(shortest))),
        })
    }

    /// Requests that wait now, in descending order of their number.
    pub(super) fn waiting(&self, service: &str, now: Timestamp) -> Vec<WaitingRequests> {
        let mut sums: BTreeMap<(&ModelKey, &Option<String>), u32> = BTreeMap::new();
        let fresh = self.waiting.iter();
        let fresh = fresh.filter(|one| one.key.service == service);
        for one in fresh.filter(|one| now.since(one.at) < WAITING_VALIDITY) {
            *sums.entry((&one.key, &one.adapter)).or_default() += one.count;
        }
        let sums = sums.into_iter();
        let waiting = sums.map(|((key, adapter), count)| WaitingRequests {
            key: key.clone(),
            adapter: adapter.clone(),
            count,
        });
        let mut waiting: Vec<WaitingRequests> = waiting.collect();
        waiting.sort_by_key(|one| std::cmp::Reverse(one.count));
        waiting
    }
}
