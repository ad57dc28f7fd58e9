//! Where a model is loaded: the place with the least loss, counted over what is
//! evicted there and how long the load takes.

use super::PlacementEngine;
use super::instance::{Instance, LoadSource};
use super::planning::{Planned, fits};
use super::worth::{loss_of_one_of, loss_until};
use crate::configuration::ModelSpecification;
use courseshunt_types::{Millis, ModelName, RunnerId, Timestamp};

/// A model that was asked for stays at least as long as its load took, within
/// these bounds.
const LEAST_STAY: Millis = Millis(500);
const LONGEST_LEAST_STAY: Millis = Millis(2_500);
/// Time that the evictions before a load take, about.
const EVICTION_TIME: Millis = Millis(100);
/// A load takes the place of one that an instance is set aside for if it is
/// worth so many times more.
const DISPLACING_MARGIN: f64 = 2.0;
/// What speaks against an instance for each request under way there, in late
/// requests: they share its memory and batch.
const BUSY_COST: f64 = 0.002;

/// What a load from the weight store costs besides its time, in late requests:
/// all instances share the store, and each load from it is paid for.
const STORE_COST: f64 = 0.5;

/// Memory that lies free without an order to its instance for so long is filled
/// with models that nobody asks for: by then those that are asked for are there.
const FREE_FOR: Millis = Millis(10_000);

/// A place for a model.
pub(super) struct Place {
    pub(super) instance: RunnerId,
    /// Whether an order may be given there now.
    pub(super) is_free: bool,
    /// Whether it is set aside for another model, which goes first.
    pub(super) is_taken: bool,
    /// Time until the model is there.
    pub(super) ready_after: Millis,
    pub(super) source: LoadSource,
    /// What is lost by what is evicted there, and by the time that it takes, in
    /// late requests.
    pub(super) cost: f64,
}

impl PlacementEngine {
    /// The place that costs least, of those that evict less than `worth`; where
    /// the weights would come from the weight store only with `has_turn`.
    pub(super) fn best_place(
        &self,
        one: &ModelSpecification,
        worth: f64,
        has_turn: bool,
        planned: &Planned<'_>,
    ) -> Option<Place> {
        if !has_turn && !self.round.is_on_some_disk(&one.name) {
            return None;
        }
        let instances = self.of_service(planned.service, planned.now);
        let places = instances.filter_map(|instance| {
            let place = self.place_at(instance, one, worth, planned)?;
            let from_store = place.source == LoadSource::Store;
            (!from_store || has_turn && place.is_free && !place.is_taken).then_some(place)
        });
        places.min_by(|left, right| left.cost.total_cmp(&right.cost))
    }

    fn place_at(
        &self,
        instance: &Instance,
        one: &ModelSpecification,
        worth: f64,
        planned: &Planned<'_>,
    ) -> Option<Place> {
        let is_free = instance.is_free(planned.now);
        let known = [instance.loading(), instance.intent()].contains(&Some(&one.name));
        if known || instance.has(&one.name) {
            return None;
        }
        let is_taken = !self.may_displace(&one.name, instance, is_free);
        let mut free_after = instance.free_after(planned.now)?;
        if is_taken {
            free_after = free_after.max(instance.intent_after(planned.now));
        }
        let (evicted, victims) = self.victims(instance, one, planned)?;
        let source = instance.source(&one.name);
        let paid = match source {
            LoadSource::Store => evicted + STORE_COST,
            LoadSource::Memory | LoadSource::Disk => evicted,
        };
        let lies_free = victims.is_empty() && instance.rested_for(planned.now) >= FREE_FOR;
        if paid >= worth && !lies_free {
            return None;
        }
        let mut ready_after = free_after + instance.load_time(one);
        if !victims.is_empty() {
            ready_after = ready_after + EVICTION_TIME;
        }
        let busy = f64::from(self.usage.in_flight(instance.id())) * BUSY_COST;
        Some(Place {
            instance: instance.id().clone(),
            is_free,
            is_taken,
            ready_after,
            source,
            cost: paid + self.loss_by(&one.name, ready_after) + busy,
        })
    }

    /// What is lost until a model is there after `time`.
    fn loss_by(&self, model: &ModelName, time: Millis) -> f64 {
        let facts = self.round.facts(model);
        let demand = &facts.demand;
        let count = self.round.count(model);
        match demand.objective {
            Some(objective) if count == 0 => {
                let waiting = f64::from(facts.waiting.max(1));
                loss_until(objective, demand.fast, waiting, time)
            }
            _ => loss_of_one_of(demand, count + 1, time),
        }
    }

    /// Whether an instance is not set aside, or for a load of far less worth.
    fn may_displace(&self, model: &ModelName, instance: &Instance, is_free: bool) -> bool {
        let Some(intended) = instance.intent() else {
            return true;
        };
        if !is_free {
            return false;
        }
        let worth = self.round.next_load_worth(model);
        worth > self.round.load_worth(intended) * DISPLACING_MARGIN
    }

    /// Models to evict so that `specification` fits, cheapest first, with what
    /// their eviction loses; `None` when it can't be done.
    pub(super) fn victims(
        &self,
        instance: &Instance,
        specification: &ModelSpecification,
        planned: &Planned<'_>,
    ) -> Option<(f64, Vec<ModelName>)> {
        let engine = planned.engine;
        if fits(instance, specification, engine) {
            return Some((0.0, Vec::new()));
        }
        let mut missing = instance.memory_mb(engine) + specification.memory_mb - engine.memory_mb;
        let mut held: Vec<(f64, &ModelName)> = instance
            .held()
            .filter(|(name, _)| **name != specification.name)
            .filter(|(name, _)| self.may_go(instance, name, planned.now))
            .map(|(name, _)| (self.round.eviction_loss(name, instance), name))
            .collect();
        held.sort_by(|left, right| left.0.total_cmp(&right.0));
        let mut loss = 0.0;
        let mut victims = Vec::new();
        for (value, name) in held {
            if missing <= 0.0 {
                break;
            }
            missing -= engine.model(name.as_str()).map_or(0.0, |one| one.memory_mb);
            loss += value;
            victims.push(name.clone());
        }
        (missing <= 0.0).then_some((loss, victims))
    }

    /// Whether a model has been there for long enough to be evicted.
    fn may_go(&self, instance: &Instance, name: &ModelName, now: Timestamp) -> bool {
        let asked_for = self.round.facts(name).demand.objective.is_some();
        let stay = instance.load_took(name).max(LEAST_STAY);
        !asked_for || instance.held_for(name, now) >= stay.min(LONGEST_LEAST_STAY)
    }
}
