//! What one round of planning rests on, computed once: where copies and
//! adapters are, how soon each model could be brought back, and what its copies
//! are worth.
//!
//! Cost: proportional to the instances and to the models of the service.

use super::PlacementEngine;
use super::demand::{DemandSummary, Wanted};
use super::evictions::Evictable;
use super::worth::{loss_of_absence, loss_of_one_of};
use crate::configuration::{Engine, ModelSpecification};
use courseshunt_types::{Millis, ModelName, RunnerId, Timestamp};
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
    /// Whether requests for it come late when it has to be brought back.
    pub(super) urgent: bool,
    /// Whether requests wait for it.
    pub(super) waited_for: bool,
    /// Requests that wait for it or for an adapter of it.
    pub(super) waiting: u32,
    /// Instances with a copy of it on disk.
    on_disk: u32,
    /// Time of a load from some instance's disk, and from the weight store.
    disk_load_time: Millis,
    store_load_time: Millis,
}

impl ModelFacts {
    /// How soon it could be brought back with no copy in use, when `gone` disks
    /// that have it don't count.
    fn back_time(&self, gone: u32) -> Millis {
        match self.on_disk > gone {
            true => self.disk_load_time,
            false => self.store_load_time,
        }
    }
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
        let utilisation = placement.settings.replica_utilisation;
        let store = placement.stores.get(service);
        let store_delay = |one: &ModelSpecification| {
            store.map_or(Millis(0), |store| store.delay(one.load_time, 0, now))
        };
        for specification in engine.models.values() {
            let name = specification.name.as_str();
            let demand = placement.demand.summary(service, name, now);
            let mut facts = facts_of(demand, specification, utilisation);
            facts.store_load_time = specification.load_time + store_delay(specification);
            round.facts.insert(specification.name.clone(), facts);
        }
        round.note_waiting(wanted);
        for instance in placement.of_service(service, now) {
            let held = instance.held().map(|(name, _)| name);
            let coming = instance.loading().into_iter().chain(instance.intent());
            round.coming.extend(coming.clone().cloned());
            for name in held.chain(coming) {
                round.note_copy(name, instance.id());
            }
            for name in instance.copies_on_disk() {
                if let Some(facts) = round.facts.get_mut(name) {
                    facts.on_disk += 1;
                }
            }
            for (model, adapter) in instance.all_adapters() {
                round.note_adapter(model, adapter);
            }
        }
        for facts in round.facts.values_mut() {
            let back = facts.back_time(0);
            let objective = facts.demand.objective;
            facts.urgent = objective.is_some_and(|objective| objective < back);
        }
        round.relieve_late();
        round.relieve_limited(&placement.limits);
        round
    }

    /// Takes over what waits now.
    pub(super) fn note_waiting(&mut self, wanted: &[Wanted]) {
        for facts in self.facts.values_mut() {
            facts.waited_for = false;
            facts.waiting = 0;
        }
        for one in wanted {
            let model = ModelName::from(one.key.model.as_str());
            if let Some(facts) = self.facts.get_mut(&model) {
                facts.waited_for = true;
                facts.waiting += one.count;
            }
        }
    }

    /// Forgets copies of a model that are there no more.
    pub(super) fn keep_copies(&mut self, model: &ModelName, is_there: impl Fn(&RunnerId) -> bool) {
        if let Some(places) = self.copies.get_mut(model) {
            places.retain(is_there);
        }
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

    /// Models all of whose copies are at instances that name a limit need one more where these
    /// take less in sum than what is asked for, unless one is on its way.
    fn relieve_limited(&mut self, limits: &BTreeMap<RunnerId, f64>) {
        if limits.is_empty() {
            return;
        }
        for (name, facts) in &mut self.facts {
            let places = self.copies.get(name).map_or(&[][..], Vec::as_slice);
            let taken: Option<f64> = places.iter().map(|place| limits.get(place)).sum();
            let is_short = taken.is_some_and(|taken| facts.demand.fast > taken);
            if places.is_empty() || !is_short || facts.demand.fast < RATE_FOR_COPIES {
                continue;
            }
            let more = usize::from(!self.coming.contains(name));
            facts.desired = facts.desired.max(places.len() + more);
            facts.keep = facts.keep.max(places.len());
        }
    }

    /// Notes a copy at the instance that is looked at: of its own copies the last one alone
    /// can be the same. To look for it among all would cost the square of the copies.
    fn note_copy(&mut self, model: &ModelName, instance: &RunnerId) {
        let Some(places) = self.copies.get_mut(model) else {
            self.copies.insert(model.clone(), vec![instance.clone()]);
            return;
        };
        if places.last() != Some(instance) {
            places.push(instance.clone());
        }
    }

    fn note_adapter(&mut self, model: &ModelName, adapter: &str) {
        let Some(adapters) = self.adapters.get_mut(model) else {
            let adapters = BTreeSet::from([adapter.to_owned()]);
            self.adapters.insert(model.clone(), adapters);
            return;
        };
        if !adapters.contains(adapter) {
            adapters.insert(adapter.to_owned());
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
            1 if facts.waited_for => waiting_worth(facts.waiting) + absence(&facts),
            1 => absence(&facts),
            _ if facts.desired >= count => facts.demand.fast / count as f64,
            _ => 0.0,
        }
    }

    /// Whether some instance has a copy of the model on its disk.
    pub(super) fn is_on_some_disk(&self, model: &ModelName) -> bool {
        self.facts.get(model).is_some_and(|facts| facts.on_disk > 0)
    }

    /// Models without a copy that nobody waits for, with the worth of the first.
    pub(super) fn missing(&self) -> Vec<(f64, ModelName)> {
        let missing = self.facts.iter();
        let missing = missing.filter(|(name, facts)| !facts.waited_for && self.count(name) == 0);
        let missing = missing.map(|(name, facts)| (absence(facts), name.clone()));
        missing.collect()
    }

    /// What the eviction of a model loses: little where it comes back soon.
    pub(super) fn evictable(&self, one: &ModelSpecification) -> Evictable {
        let facts = self.facts.get(&one.name);
        let count = self.count(&one.name).max(1);
        let loss = |at_copy| facts.map_or(0.0, |facts| self.eviction_loss(facts, count, at_copy));
        Evictable {
            loss_at_store: loss(false),
            loss_at_copy: loss(true),
            asked_for: facts.is_some_and(|facts| facts.demand.objective.is_some()),
            memory_mb: one.memory_mb,
        }
    }

    fn eviction_loss(&self, facts: &ModelFacts, count: usize, at_copy: bool) -> f64 {
        if facts.waited_for {
            return WAITED_FOR;
        }
        let demand = &facts.demand;
        let asked_for = demand.objective.is_some();
        if asked_for && self.knows_demand && count > facts.keep {
            return SURPLUS_VALUE + demand.slow / count as f64 * 0.01;
        }
        let back = match at_copy {
            true => facts.disk_load_time,
            false => facts.back_time(0),
        };
        match count {
            1 => loss_of_absence(demand, back),
            _ => loss_of_one_of(demand, count, back),
        }
    }
}

fn facts_of(
    demand: DemandSummary,
    specification: &ModelSpecification,
    utilisation: f64,
) -> ModelFacts {
    let now = copies_for(demand.fast, demand.tokens, utilisation);
    let steady = copies_for(
        demand.steady / KEEP_PART,
        demand.steady_tokens,
        utilisation * KEEP_PART,
    );
    ModelFacts {
        desired: now,
        keep: now.max(steady),
        demand,
        disk_load_time: specification.disk_load_time,
        store_load_time: specification.load_time,
        ..ModelFacts::default()
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
fn waiting_worth(count: u32) -> f64 {
    WAITING_BASE_WORTH + WAITING_WORTH * f64::from(count)
}

/// What is lost while a model has no copy.
fn absence(facts: &ModelFacts) -> f64 {
    loss_of_absence(&facts.demand, facts.back_time(0))
}
