//! Where a model is loaded: the place with the least loss, counted over what is
//! evicted there and how long the load takes.

use super::PlacementEngine;
use super::evictions::{Evictions, Victim};
use super::instance::{Instance, LoadSource};
use super::planning::Planned;
use super::round::ModelFacts;
use super::worth::{loss_of_one_of, loss_until};
use crate::configuration::ModelSpecification;
use courseshunt_types::{Millis, ModelName, RunnerId};

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

/// A model that a place is looked for.
struct Wanting<'a> {
    specification: &'a ModelSpecification,
    facts: ModelFacts,
    /// Copies that there are.
    count: usize,
    /// What it may evict, in late requests.
    worth: f64,
    evictions: Evictions<'a>,
}

impl Wanting<'_> {
    /// What is lost until the model is there after `time`.
    fn loss_by(&self, time: Millis) -> f64 {
        let demand = &self.facts.demand;
        match demand.objective {
            Some(objective) if self.count == 0 => {
                let waiting = f64::from(self.facts.waiting.max(1));
                loss_until(objective, demand.fast, waiting, time)
            }
            _ => loss_of_one_of(demand, self.count + 1, time),
        }
    }
}

/// A place for a model.
pub(super) struct Place {
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
    ) -> Option<(RunnerId, Place)> {
        if !has_turn && !self.round.is_on_some_disk(&one.name) {
            return None;
        }
        let wanted = Wanting {
            specification: one,
            facts: self.round.facts(&one.name),
            count: self.round.count(&one.name),
            worth,
            evictions: self.evictions(planned),
        };
        let mut victims = Vec::new();
        let instances = self.of_service(planned.service, planned.now);
        let places = instances.filter_map(|instance| {
            let place = self.place_at(instance, &wanted, planned, &mut victims)?;
            let from_store = place.source == LoadSource::Store;
            let may_go_there = !from_store || has_turn && place.is_free && !place.is_taken;
            may_go_there.then_some((instance.id(), place))
        });
        let best = places.min_by(|(_, left), (_, right)| left.cost.total_cmp(&right.cost));
        best.map(|(id, place)| (id.clone(), place))
    }

    fn place_at<'a>(
        &self,
        instance: &'a Instance,
        wanted: &Wanting<'_>,
        planned: &Planned<'_>,
        victims: &mut Vec<Victim<'a>>,
    ) -> Option<Place> {
        let one = wanted.specification;
        let is_free = instance.is_free(planned.now);
        let known = [instance.loading(), instance.intent()].contains(&Some(&one.name));
        // Another copy there would share in the limit that its instance names.
        let is_limited = wanted.count > 0 && self.limits.contains_key(instance.id());
        if known || is_limited || instance.has(&one.name) {
            return None;
        }
        let is_taken = !self.may_displace(&one.name, instance, is_free);
        let mut free_after = instance.free_after(planned.now)?;
        if is_taken {
            free_after = free_after.max(instance.intent_after(planned.now));
        }
        let evicted = self.evict(instance, one, &wanted.evictions, planned, victims)?;
        let source = instance.source(&one.name);
        let paid = match source {
            LoadSource::Store => evicted + STORE_COST,
            LoadSource::Memory | LoadSource::Disk => evicted,
        };
        let lies_free = victims.is_empty() && instance.rested_for(planned.now) >= FREE_FOR;
        if paid >= wanted.worth && !lies_free {
            return None;
        }
        let mut ready_after = free_after + instance.load_time(one);
        if !victims.is_empty() {
            ready_after = ready_after + EVICTION_TIME;
        }
        let busy = f64::from(self.usage.in_flight(instance.id())) * BUSY_COST;
        Some(Place {
            is_free,
            is_taken,
            ready_after,
            source,
            cost: paid + wanted.loss_by(ready_after) + busy,
        })
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
}
