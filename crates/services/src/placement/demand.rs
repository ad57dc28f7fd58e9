//! Demand for models: rates that forget, and what waits now.

use crate::decay::DecayingSum;
use crate::feed::ModelDemand;
use courseshunt_types::{Millis, Timestamp};
use std::collections::BTreeMap;

/// Time constant of the rate that decides on the number of copies.
const FAST: f64 = 3_000.0;
/// Time constant of the rates that decide which copies are surplus.
const STEADY: f64 = 9_000.0;
/// Time constant of the rate that decides which models are kept at all.
const SLOW: f64 = 20_000.0;
/// What waits is believed for so long after a report.
const WAITING_KEPT: Millis = Millis(1_500);

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
    /// Shortest objective seen, in milliseconds.
    objective_ms: Option<u32>,
}

/// Requests that wait at one router.
#[derive(Debug, Clone)]
struct Waiting {
    router: String,
    key: ModelKey,
    adapter: Option<String>,
    count: u32,
    at: Timestamp,
}

/// What waits, over all routers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Wanted {
    pub(super) key: ModelKey,
    pub(super) adapter: Option<String>,
    pub(super) count: u32,
}

/// What is known of the demand for one model.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DemandSummary {
    /// Requests a second, over seconds.
    pub(super) fast: f64,
    /// Requests a second, over tens of seconds.
    pub(super) slow: f64,
    /// Prompt tokens to read in a second.
    pub(super) tokens: f64,
    /// Both, over ten seconds.
    pub(super) steady: f64,
    pub(super) steady_tokens: f64,
    /// Late answers a second, over seconds.
    pub(super) late: f64,
    /// Shortest objective with which it was asked for.
    pub(super) objective: Option<Millis>,
}

/// See the module.
#[derive(Debug, Default)]
pub(super) struct DemandTable {
    /// By service, then by model.
    rates: BTreeMap<String, BTreeMap<String, Rates>>,
    waiting: Vec<Waiting>,
}

impl DemandTable {
    pub(super) fn record(&mut self, router: &str, demand: &[ModelDemand], now: Timestamp) {
        self.waiting.retain(|one| one.router != router);
        for one in demand {
            self.count(one, now);
            if one.waiting > 0 {
                self.waiting.push(Waiting {
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

    fn count(&mut self, one: &ModelDemand, now: Timestamp) {
        if one.arrivals == 0 && one.tokens == 0 && one.late == 0 {
            return;
        }
        let service = self.rates.entry(one.service.clone()).or_default();
        let rates = service.entry(one.model.clone()).or_default();
        rates.fast.add(f64::from(one.arrivals), now, FAST);
        rates.slow.add(f64::from(one.arrivals), now, SLOW);
        rates.tokens.add(f64::from(one.tokens), now, FAST);
        rates.late.add(f64::from(one.late), now, FAST);
        rates.steady.add(f64::from(one.arrivals), now, STEADY);
        rates.steady_tokens.add(f64::from(one.tokens), now, STEADY);
        if one.arrivals > 0 {
            let shortest = rates.objective_ms.unwrap_or(u32::MAX);
            rates.objective_ms = Some(shortest.min(one.objective_ms));
        }
    }

    pub(super) fn forget(&mut self, router: &str) {
        self.waiting.retain(|one| one.router != router);
    }

    /// What is known of the demand for a model.
    pub(super) fn summary(&self, service: &str, model: &str, now: Timestamp) -> DemandSummary {
        let rates = self
            .rates
            .get(service)
            .and_then(|service| service.get(model));
        rates.map_or_else(DemandSummary::default, |rates| DemandSummary {
            fast: rates.fast.per_second(now, FAST),
            slow: rates.slow.per_second(now, SLOW),
            tokens: rates.tokens.per_second(now, FAST),
            steady: rates.steady.per_second(now, STEADY),
            steady_tokens: rates.steady_tokens.per_second(now, STEADY),
            late: rates.late.per_second(now, FAST),
            objective: rates
                .objective_ms
                .map(|shortest| Millis(u64::from(shortest))),
        })
    }

    /// What waits now, the most first.
    pub(super) fn wanted(&self, service: &str, now: Timestamp) -> Vec<Wanted> {
        let mut sums: BTreeMap<(&ModelKey, &Option<String>), u32> = BTreeMap::new();
        let fresh = self.waiting.iter();
        let fresh = fresh.filter(|one| one.key.service == service);
        for one in fresh.filter(|one| now.since(one.at) < WAITING_KEPT) {
            *sums.entry((&one.key, &one.adapter)).or_default() += one.count;
        }
        let sums = sums.into_iter();
        let wanted = sums.map(|((key, adapter), count)| Wanted {
            key: key.clone(),
            adapter: adapter.clone(),
            count,
        });
        let mut wanted: Vec<Wanted> = wanted.collect();
        wanted.sort_by_key(|one| std::cmp::Reverse(one.count));
        wanted
    }
}
