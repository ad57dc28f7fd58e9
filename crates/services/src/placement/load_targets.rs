//! Selects the instance that a model is loaded on: the load target of least cost, counting the
//! evictions there and the time until the model is loaded.

use super::PlacementEngine;
use super::evictions::{EvictionTable, Victim};
use super::instance::{Instance, LoadSource};
use super::instance_load::{TargetLoad, TargetLoadCost};
use super::planning::PlanContext;
use super::round::ModelState;
use super::value::{delay_cost, missing_replica_cost};
use crate::configuration::ModelSpecification;
use courseshunt_types::{Millis, ModelName, RunnerId};

/// Approximate time of the evictions before a load.
const EVICTION_TIME: Millis = Millis(100);
/// Factor by which the value of a load must exceed the value of the load that an instance is
/// reserved for, to displace it.
const DISPLACEMENT_FACTOR: f64 = 2.0;
/// Cost of each request in flight at an instance, in late requests: a load shares the instance's
/// memory and batch with them.
const COST_PER_REQUEST_IN_FLIGHT: f64 = 0.002;

/// Cost of a load from the weight store besides its time, in late requests: all instances share the
/// store, and each load from it incurs a charge.
const STORE_COST: f64 = 0.5;

/// Memory that is free on an instance without an order for this time is filled with models that
/// have no requests: by then the models with requests are loaded.
const FREE_MEMORY_DELAY: Millis = Millis(10_000);

/// A search for the load target of one model.
struct TargetSearch<'a> {
    specification: &'a ModelSpecification,
    state: ModelState,
    /// Replicas that exist or are being loaded.
    replicas: usize,
    /// Upper bound on the cost of evictions, in late requests.
    value: f64,
    evictions: EvictionTable<'a>,
    /// What the load of a target costs the model's requests.
    load_cost: TargetLoadCost,
    /// Pause that is predicted at no target, if the model needs a replica because its streams
    /// pause: they would pause there too.
    longest_pause: Option<Millis>,
}

impl TargetSearch<'_> {
    /// Cost of the delay when the model is loaded after `time`, in late requests.
    fn delay_cost(&self, time: Millis) -> f64 {
        let demand = &self.state.demand;
        match demand.objective {
            Some(objective) if self.replicas == 0 => {
                let waiting = f64::from(self.state.waiting.max(1));
                delay_cost(objective, demand.fast, waiting, time)
            }
            _ => missing_replica_cost(demand, self.replicas + 1, time),
        }
    }
}

/// An instance that a model may be loaded on.
pub(super) struct LoadTarget {
    /// Whether an order may be sent to the instance now.
    pub(super) can_take_order: bool,
    /// Whether the instance is reserved for another model, which is loaded first.
    pub(super) is_reserved: bool,
    /// Time until the model is loaded.
    pub(super) ready_after: Millis,
    pub(super) source: LoadSource,
    /// Cost of the evictions on the instance and of the time until the model is loaded, in late
    /// requests.
    pub(super) cost: f64,
    /// Its load, if it reports one.
    pub(super) load: Option<TargetLoad>,
}

impl PlacementEngine {
    /// The load target of least cost whose evictions cost less than `value`; a load from the weight
    /// store is considered only with `store_has_room`.
    pub(super) fn best_target(
        &self,
        one: &ModelSpecification,
        value: f64,
        store_has_room: bool,
        context: &PlanContext<'_>,
    ) -> Option<(RunnerId, LoadTarget)> {
        if !store_has_room && !self.round.is_cached_on_any_disk(&one.name) {
            return None;
        }
        let state = self.round.state(&one.name);
        let replicas = self.round.replica_count(&one.name);
        let search = TargetSearch {
            specification: one,
            load_cost: TargetLoadCost::of(&state, replicas),
            longest_pause: self
                .round
                .longest_pause
                .filter(|_| state.pauses.needs_another),
            state,
            replicas,
            value,
            evictions: self.evictions(context),
        };
        let mut victims = Vec::new();
        let instances = self.usable_instances(context.service, context.now);
        let targets = instances.filter_map(|instance| {
            let target = self.evaluate_target(instance, &search, context, &mut victims)?;
            let from_store = target.source == LoadSource::Store;
            let is_allowed =
                !from_store || store_has_room && target.can_take_order && !target.is_reserved;
            is_allowed.then_some((instance.id(), target))
        });
        let best = targets.min_by(|(_, left), (_, right)| left.cost.total_cmp(&right.cost));
        best.map(|(id, target)| (id.clone(), target))
    }

    fn evaluate_target<'a>(
        &self,
        instance: &'a Instance,
        search: &TargetSearch<'_>,
        context: &PlanContext<'_>,
        victims: &mut Vec<Victim<'a>>,
    ) -> Option<LoadTarget> {
        let one = search.specification;
        let can_take_order = instance.can_take_order(context.now);
        let is_pending = [instance.loading(), instance.reserved_for()].contains(&Some(&one.name));
        // Another replica on this instance would share its rate limit.
        let is_limited = search.replicas > 0 && self.limits.contains_key(instance.id());
        let load = self.round.target_loads.get(instance.id());
        let pauses = |load: &TargetLoad| {
            search
                .longest_pause
                .is_some_and(|one| load.exceeds_pause(one))
        };
        let would_pause = load.is_some_and(pauses);
        if is_pending || is_limited || would_pause || instance.holds(&one.name) {
            return None;
        }
        let is_reserved = !self.may_displace(&one.name, instance, can_take_order);
        let mut available_after = instance.available_after(context.now)?;
        if is_reserved {
            available_after = available_after.max(instance.reserved_model_due_in(context.now));
        }
        let eviction_cost =
            self.plan_evictions(instance, one, &search.evictions, context, victims)?;
        let source = instance.load_source(&one.name);
        let load_cost = match source {
            LoadSource::Store => eviction_cost + STORE_COST,
            LoadSource::Memory | LoadSource::Disk => eviction_cost,
        };
        let fills_free_memory =
            victims.is_empty() && instance.idle_for(context.now) >= FREE_MEMORY_DELAY;
        if load_cost >= search.value && !fills_free_memory {
            return None;
        }
        let mut ready_after = available_after + instance.load_time(one);
        if !victims.is_empty() {
            ready_after = ready_after + EVICTION_TIME;
        }
        let busy_cost = f64::from(self.usage.in_flight(instance.id())) * COST_PER_REQUEST_IN_FLIGHT;
        let placement_cost = load.map_or(0.0, |load| search.load_cost.at(load));
        Some(LoadTarget {
            can_take_order,
            is_reserved,
            ready_after,
            source,
            cost: load_cost + search.delay_cost(ready_after) + busy_cost + placement_cost,
            load: load.copied(),
        })
    }

    /// Whether an instance is not reserved, or reserved for a load of far lower value.
    fn may_displace(&self, model: &ModelName, instance: &Instance, can_take_order: bool) -> bool {
        let Some(reserved_model) = instance.reserved_for() else {
            return true;
        };
        if !can_take_order {
            return false;
        }
        let value = self.round.next_load_value(model);
        value > self.round.load_value(reserved_model) * DISPLACEMENT_FACTOR
    }
}
