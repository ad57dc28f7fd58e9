//! What one round of planning rests on, computed once: where copies and
//! adapters are, and what each model's copies are worth.
//!
//! Cost: proportional to the instances and to the models of the service.

use super::PlacementEngine;
use super::demand::{DemandSummary, Wanted};
use crate::configuration::{Engine, ModelSpecification};
use courseshunt_types::{ModelName, RunnerId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Prompt tokens that an instance reads in a second.
const READ_PER_SECOND: f64 = 38_000.0;
/// Tokens that one request costs besides its prompt: its share of a batch.
const TOKENS_PER_REQUEST: f64 = 500.0;
/// Copies beyond the first are added only above this rate, in requests a second.
const RATE_FOR_COPIES: f64 = 0.6;
/// A copy is surplus when the others would stay below this part of the
/// utilisation at which one is added.
const KEEP_PART: f64 = 0.6;
/// Part of a model's answers that may be late before it gets another copy.
const LATE_PART: f64 = 0.35;
/// Value of the only copy of a model whose requests can't wait for a load.
pub(super) const URGENT_COPY_VALUE: f64 = 1.0;
/// Value of the only copy of a model that was not asked for yet.
const UNKNOWN_COPY_VALUE: f64 = 0.03;
/// Value of the only copy of a model whose requests can wait for a load.
const PATIENT_COPY_VALUE: f64 = 0.02;
/// Part of a patient model's rate that counts.
const PATIENT_RATE_PART: f64 = 0.3;
/// Value of a copy that is not needed.
const SURPLUS_VALUE: f64 = 0.001;
/// What a load is worth that requests wait for, and more for each of them.
const WAITING_BASE_WORTH: f64 = 0.4;
const WAITING_WORTH: f64 = 0.6;
/// Cost of a model that requests wait for.
const WAITED_FOR: f64 = 1e6;

/// What is known of one model in this round.
#[derive(Debug, Clone, Default)]
pub(super) struct ModelFacts {
    pub(super) demand: DemandSummary,
    /// Copies that the present demand needs, at least one.
    pub(super) desired: usize,
    /// Copies that are not surplus: more than are added, so that a demand that
    /// varies a little moves nothing.
    keep: usize,
    /// Whether requests for it can't wait for a load.
    pub(super) urgent: bool,
    /// Whether requests wait for it.
    pub(super) waited_for: bool,
    /// Requests that wait for it or for an adapter of it.
    waiting: u32,
}

/// See the module.
#[derive(Debug, Clone, Default)]
pub(super) struct Round {
    /// Where copies are, those on their way included.
    pub(super) copies: BTreeMap<ModelName, Vec<RunnerId>>,
    /// Adapters that some instance holds, by model.
    pub(super) adapters: BTreeMap<ModelName, BTreeSet<String>>,
    facts: BTreeMap<ModelName, ModelFacts>,
    /// Models of which a copy is on its way.
    coming: BTreeSet<ModelName>,
    /// Whether demand was followed for long enough to tell what is surplus.
    knows_demand: bool,
}

impl Round {
    /// Looks at a service.
    pub(super) fn new(
        placement: &PlacementEngine,
        service: &str,
        engine: &Engine,
        wanted: &[Wanted],
        now: Timestamp,
    ) -> Self {
        let mut round = Self {
            knows_demand: placement.knows_demand(now),
            ..Self::default()
        };
        let mut waiting: BTreeMap<&str, u32> = BTreeMap::new();
        for one in wanted {
            *waiting.entry(one.key.model.as_str()).or_default() += one.count;
        }
        let utilisation = placement.settings.copy_utilisation;
        for specification in engine.models.values() {
            let name = specification.name.as_str();
            let demand = placement.demand.summary(service, name, now);
            let mut facts = facts_of(demand, specification, utilisation);
            facts.waited_for = waiting.contains_key(name);
            facts.waiting = waiting.get(name).copied().unwrap_or_default();
            round.facts.insert(specification.name.clone(), facts);
        }
        for instance in placement.of_service(service, now) {
            let held = instance.held().map(|(name, _)| name);
            let coming = instance.loading().into_iter().chain(instance.intent());
            round.coming.extend(coming.clone().cloned());
            for name in held.chain(coming) {
                round.add_copy(name, instance.id());
            }
            for (model, adapter) in instance.all_adapters() {
                let adapters = round.adapters.entry(model.clone()).or_default();
                adapters.insert(adapter.to_owned());
            }
        }
        round.relieve_late();
        round
    }

    /// Models whose answers are late need one more copy than they have, whatever
    /// their work says, unless one is on its way.
    fn relieve_late(&mut self) {
        let copies = &self.copies;
        for (name, facts) in &mut self.facts {
            let demand = &facts.demand;
            let is_late = demand.fast >= RATE_FOR_COPIES && demand.late > demand.fast * LATE_PART;
            if !is_late {
                continue;
            }
            let count = copies.get(name).map_or(0, Vec::len);
            let more = usize::from(!self.coming.contains(name));
            facts.desired = facts.desired.max(count + more);
            facts.keep = facts.keep.max(count);
        }
    }

    pub(super) fn add_copy(&mut self, model: &ModelName, instance: &RunnerId) {
        let places = self.copies.entry(model.clone()).or_default();
        if !places.contains(instance) {
            places.push(instance.clone());
        }
    }

    pub(super) fn remove_copy(&mut self, model: &ModelName, instance: &RunnerId) {
        if let Some(places) = self.copies.get_mut(model) {
            places.retain(|place| place != instance);
        }
    }

    /// Copies of a model.
    pub(super) fn count(&self, model: &ModelName) -> usize {
        self.copies.get(model).map_or(0, Vec::len)
    }

    /// What is known of a model.
    pub(super) fn facts(&self, model: &ModelName) -> ModelFacts {
        self.facts.get(model).cloned().unwrap_or_default()
    }

    /// Models that were asked for and have fewer copies than they need, with the
    /// worth of one more.
    pub(super) fn short_of_copies(&self) -> Vec<(f64, ModelName)> {
        let known = self.facts.iter().map(|(name, facts)| {
            let count = self.count(name);
            (name, facts, count)
        });
        let short = known.filter(|(_, facts, count)| *count > 0 && facts.desired > *count);
        let short = short.map(|(name, facts, count)| {
            let worth = facts.demand.fast / (count + 1) as f64;
            (worth, name.clone())
        });
        short.collect()
    }

    /// What a load is worth that is on its way already: nothing for a copy that
    /// is needed no longer.
    pub(super) fn load_worth(&self, model: &ModelName) -> f64 {
        self.worth_of_copy(model, self.count(model).max(1))
    }

    /// What the load of one more copy is worth.
    pub(super) fn next_load_worth(&self, model: &ModelName) -> f64 {
        self.worth_of_copy(model, self.count(model) + 1)
    }

    fn worth_of_copy(&self, model: &ModelName, count: usize) -> f64 {
        let facts = self.facts(model);
        match count {
            1 if facts.waited_for => only_copy_value(&facts) + waiting_worth(facts.waiting),
            1 => only_copy_value(&facts),
            _ if facts.desired >= count => facts.demand.fast / count as f64,
            _ => 0.0,
        }
    }

    /// Models without a copy, with the worth of the first.
    pub(super) fn missing(&self) -> Vec<(f64, ModelName)> {
        let missing = self.facts.iter().filter(|(name, _)| self.count(name) == 0);
        let missing = missing.map(|(name, facts)| (only_copy_value(facts), name.clone()));
        missing.collect()
    }

    /// What a copy of a model is worth where it is.
    pub(super) fn value(&self, model: &ModelName) -> f64 {
        let Some(facts) = self.facts.get(model) else {
            return 0.0;
        };
        if facts.waited_for {
            return WAITED_FOR;
        }
        if facts.demand.objective.is_none() {
            return UNKNOWN_COPY_VALUE;
        }
        let count = self.count(model).max(1);
        if self.knows_demand && count > facts.keep {
            return SURPLUS_VALUE + facts.demand.slow / count as f64 * 0.01;
        }
        match count {
            1 => only_copy_value(facts),
            _ => rate_of(&facts.demand) / count as f64,
        }
    }
}

fn rate_of(demand: &DemandSummary) -> f64 {
    demand.slow.max(demand.fast)
}

fn facts_of(
    demand: DemandSummary,
    specification: &ModelSpecification,
    utilisation: f64,
) -> ModelFacts {
    let urgent = demand
        .objective
        .is_some_and(|objective| objective < specification.load_time);
    let now = copies_for(demand.fast, demand.tokens, utilisation);
    let steady = copies_for(
        demand.steady / KEEP_PART,
        demand.steady_tokens,
        utilisation * KEEP_PART,
    );
    ModelFacts {
        desired: now,
        keep: now.max(steady),
        urgent,
        demand,
        waited_for: false,
        waiting: 0,
    }
}

fn copies_for(rate: f64, tokens: f64, utilisation: f64) -> usize {
    if rate < RATE_FOR_COPIES {
        return 1;
    }
    let work = tokens + rate * TOKENS_PER_REQUEST;
    let copies = work / READ_PER_SECOND / utilisation;
    (copies.ceil() as usize).max(1)
}

/// What the first copy of a model is worth that `count` requests wait for.
pub(super) fn waiting_worth(count: u32) -> f64 {
    WAITING_BASE_WORTH + WAITING_WORTH * f64::from(count)
}

/// What the only copy of a model is worth: a cold start avoided.
fn only_copy_value(facts: &ModelFacts) -> f64 {
    match facts.demand.objective {
        None => UNKNOWN_COPY_VALUE,
        Some(_) if facts.urgent => URGENT_COPY_VALUE + rate_of(&facts.demand),
        Some(_) => PATIENT_COPY_VALUE + rate_of(&facts.demand) * PATIENT_RATE_PART,
    }
}
