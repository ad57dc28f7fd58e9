//! Plans the rounds: decides which orders to send now.

use super::candidates::Candidate;
use super::demand::WaitingRequests;
use super::instance::{Instance, LoadSource};
use super::round::Round;
use super::store::WeightStore;
use super::{
    InstanceReservation, Order, OrderAction, OrderRationale, PlacementEngine, PlacementEvent,
    PlacementStep,
};
use crate::configuration::{Engine, ModelSpecification};
use crate::instance::InstanceState;
use courseshunt_types::{Millis, ModelName, RunnerId, Timestamp};
use std::sync::Arc;

/// Demand must have been reported for this time before replicas count as surplus.
const DEMAND_WARM_UP: Millis = Millis(6_000);
/// Maximum number of waiting models and adapters that one round handles.
pub(super) const MAX_WAITING_PER_ROUND: usize = 32;

/// Maximum number of concurrent calls to instances, orders and queries alike. A new leader has a
/// call to make to each instance of the fleet; that many connections at once would exhaust its file
/// descriptors and its processor time. This is about as many calls as can be made until the next
/// round, which continues with the most valuable ones.
const MAX_CALLS: usize = 256;
/// Part of these calls that may be used for models without requests, so that a model that requests
/// wait for always finds capacity.
const MAX_BACKGROUND_CALLS: usize = MAX_CALLS / 2;

/// The service that a round plans for.
pub(super) struct PlanContext<'a> {
    pub(super) service: &'a str,
    pub(super) engine: &'a Engine,
    pub(super) now: Timestamp,
}

impl PlanContext<'_> {
    /// Whether an instance belongs to the service and may be sent orders.
    fn is_usable(&self, instance: &Instance) -> bool {
        is_usable(instance, self.service, self.now)
    }
}

fn is_usable(instance: &Instance, service: &str, now: Timestamp) -> bool {
    instance.registration().service == service
        && instance.state() == InstanceState::Ready
        && !instance.is_suspect(now)
}

impl PlacementEngine {
    /// Plans a full round over all services; returns the calls to make now.
    pub fn plan(&mut self, now: Timestamp) -> Vec<PlacementStep> {
        let mut steps = Vec::new();
        self.waiting_round_needed = false;
        let requested = std::mem::take(&mut self.requested_adapters);
        if !requested.is_empty() {
            for instance in self.instances.values_mut() {
                instance.record_adapter_requests(&requested);
            }
        }
        self.query_unsure(now, &mut steps);
        let configuration = self.configuration.clone();
        for service in &configuration.services {
            if let Some(engine) = &service.engine {
                let context = PlanContext {
                    service: &service.name,
                    engine,
                    now,
                };
                self.plan_service(&context, &mut steps);
            }
        }
        steps
    }

    /// Earliest time at which an adapter becomes ready and thereby changes a view.
    #[must_use]
    pub fn next_adapter_ready(&self) -> Option<Timestamp> {
        self.instances.next_ready()
    }

    /// Marks the instances as changed of which an adapter became ready since the last call.
    pub fn mark_adapters_ready(&mut self, now: Timestamp) {
        let ready = self.instances.take_ready(now);
        self.changed.extend(ready);
    }

    /// Queries instances whose order is overdue or whose registration disputes what is recorded.
    fn query_unsure(&mut self, now: Timestamp, steps: &mut Vec<PlacementStep>) {
        let mut remaining = MAX_CALLS.saturating_sub(self.calls_in_flight);
        for instance in self.instances.values_mut() {
            instance.expire_reservation(now);
            if remaining > 0 && (instance.is_overdue(now) || instance.needs_report(now)) {
                steps.push(query(instance));
                self.calls_in_flight += 1;
                remaining -= 1;
            }
        }
    }

    /// Whether one more call to an instance may be made now.
    fn has_call_capacity(&self) -> bool {
        self.calls_in_flight < MAX_CALLS
    }

    /// Whether a call may be made now that no request waits for.
    pub(super) fn has_background_call_capacity(&self) -> bool {
        self.calls_in_flight < MAX_BACKGROUND_CALLS
    }

    /// Whether demand has been reported for long enough to identify surplus replicas.
    pub(super) fn has_demand_history(&self, now: Timestamp) -> bool {
        let since = self.demand_since;
        since.is_some_and(|since| now.since(since) >= DEMAND_WARM_UP)
    }

    pub(super) fn usable_instances<'a>(
        &'a self,
        service: &'a str,
        now: Timestamp,
    ) -> impl Iterator<Item = &'a Instance> + 'a {
        let instances = self.instances.values();
        instances.filter(move |one| is_usable(one, service, now))
    }

    fn plan_service(&mut self, context: &PlanContext<'_>, steps: &mut Vec<PlacementStep>) {
        let waiting = self.demand.waiting(context.service, context.now);
        let mut round = Round::new(self, context.service, context.engine, &waiting, context.now);
        round.target_loads = self.target_loads(&round, context);
        self.scale_for_pauses(&mut round, context);
        self.round = Arc::new(round);
        self.sync_store(context);
        self.advance_reservations(context, steps);
        for one in waiting.iter().take(MAX_WAITING_PER_ROUND) {
            self.load_waiting_adapter(one, context, steps);
        }
        self.load_candidates(&waiting, context, steps);
        self.unload_unlisted(context, steps);
        self.fill_adapter_slots(context, steps);
        self.save_round(context);
    }

    /// Keeps the snapshot of this round for [`Self::plan_for_waiting`].
    pub(super) fn save_round(&mut self, context: &PlanContext<'_>) {
        let round = std::mem::take(&mut self.round);
        self.last_rounds.insert(context.service.to_owned(), round);
    }

    pub(super) fn update_round(&mut self, change: impl FnOnce(&mut Round)) {
        change(Arc::make_mut(&mut self.round));
    }

    /// Continues the evictions that make room for a model and the loads that are queued for the
    /// weight store, in descending order of value. Reservations for replicas that are no longer
    /// needed are dropped.
    pub(super) fn advance_reservations(
        &mut self,
        context: &PlanContext<'_>,
        steps: &mut Vec<PlacementStep>,
    ) {
        let instances = &self.instances;
        self.reserved.retain(|id| {
            let instance = instances.get(id);
            instance.is_some_and(|one| one.reserved_for().is_some())
        });
        let reserved = self.reserved.iter().filter_map(|id| self.instances.get(id));
        let reserved = reserved.filter(|one| context.is_usable(one));
        let reserved = reserved.filter_map(|one| {
            let model = one.reserved_for()?;
            let value = self.round.load_value(model);
            one.can_take_order(context.now)
                .then(|| (value, one.id().clone(), model.clone()))
        });
        let mut reserved: Vec<(f64, RunnerId, ModelName)> = reserved.collect();
        reserved.sort_by(|left, right| right.0.total_cmp(&left.0));
        for (value, instance, model) in reserved {
            if value > 0.0 {
                self.advance_load(&instance, &model, context, steps);
            } else {
                self.clear_reservation(&instance);
                self.update_round(|round| round.remove_replica(&model, &instance));
            }
        }
    }

    /// Sends the next order towards the load of `model` on the instance.
    fn advance_load(
        &mut self,
        id: &RunnerId,
        model: &ModelName,
        context: &PlanContext<'_>,
        steps: &mut Vec<PlacementStep>,
    ) {
        let Some(specification) = context.engine.model(model.as_str()) else {
            return;
        };
        let Some(instance) = self.instances.get(id) else {
            return;
        };
        if instance.holds(model) {
            self.clear_reservation(id);
            return;
        }
        if instance.load_source(model) == LoadSource::Store
            && !self.reserve_store(id, model, context)
        {
            self.clear_reservation(id);
            self.update_round(|round| round.remove_replica(model, id));
            return;
        }
        let Some(instance) = self.instances.get(id) else {
            return;
        };
        if fits(instance, specification, context.engine) {
            self.load_model(id, model, context, steps);
            return;
        }
        let mut victims = Vec::new();
        let evictions = self.evictions(context);
        let cost = self.plan_evictions(instance, specification, &evictions, context, &mut victims);
        let victim = cost.and_then(|_| victims.first());
        match victim.map(|victim| victim.model.clone()) {
            Some(victim) => {
                let action = OrderAction::UnloadModel(victim.clone());
                if self.send_order(id, action, steps) {
                    self.update_round(|round| round.remove_replica(&victim, id));
                }
            }
            None => self.clear_reservation(id),
        }
    }

    /// Drops reservations at the weight store of instances that are not reserved for a load, and
    /// loads of instances that no longer load from the store.
    fn sync_store(&mut self, context: &PlanContext<'_>) {
        let Some(store) = self.stores.get_mut(context.service) else {
            return;
        };
        let instances = &self.instances;
        let is_reserved = |id: &RunnerId| {
            instances
                .get(id)
                .is_some_and(|one| one.reserved_for().is_some())
        };
        let loads_from_store =
            |id: &RunnerId| instances.get(id).is_some_and(Instance::may_load_from_store);
        store.retain(is_reserved, loads_from_store, context.now);
    }

    fn clear_reservation(&mut self, id: &RunnerId) {
        if let Some(instance) = self.instances.get_mut(id) {
            instance.clear_reservation();
        }
    }

    /// Reserves a load from the weight store for an instance; returns whether the load may start.
    fn reserve_store(
        &mut self,
        id: &RunnerId,
        model: &ModelName,
        context: &PlanContext<'_>,
    ) -> bool {
        let background = self.is_background_load(model);
        let store = self.stores.get_mut(context.service);
        store.is_some_and(|store| store.reserve(id, background, context.now))
    }

    /// Whether no request waits for the model and this load would be its first replica.
    fn is_background_load(&self, model: &ModelName) -> bool {
        !self.round.state(model).has_waiting_requests && self.round.replica_count(model) <= 1
    }

    fn load_model(
        &mut self,
        id: &RunnerId,
        model: &ModelName,
        context: &PlanContext<'_>,
        steps: &mut Vec<PlacementStep>,
    ) {
        if !self.has_call_capacity() {
            return;
        }
        let Some(instance) = self.instances.get(id) else {
            return;
        };
        let from_store = instance.load_source(model) == LoadSource::Store;
        if from_store && instance.sequence().is_some() {
            let load_time = context.engine.model(model.as_str());
            let load_time = load_time.map_or(Millis(0), |one| one.load_time);
            let store = self.stores.get_mut(context.service);
            if !store.is_some_and(|store| store.begin(id, load_time, context.now)) {
                return;
            }
        }
        let is_sent = self.send_order(id, OrderAction::LoadModel(model.clone()), steps);
        if is_sent && let Some(PlacementStep::SendOrder(order)) = steps.last_mut() {
            order.from_store = from_store;
        }
    }

    /// Sends an order, or queries the instance for the sequence number that the order must carry;
    /// returns whether the order is sent.
    pub(super) fn send_order(
        &mut self,
        id: &RunnerId,
        action: OrderAction,
        steps: &mut Vec<PlacementStep>,
    ) -> bool {
        if !self.has_call_capacity() {
            return false;
        }
        let Some(instance) = self.instances.get(id) else {
            return false;
        };
        let service = &instance.registration().service;
        let store_loads = self.stores.get(service).map_or(0, WeightStore::in_flight);
        let rationale = self.rationale(action.model(), store_loads);
        let Some(instance) = self.instances.get_mut(id) else {
            return false;
        };
        self.calls_in_flight += 1;
        let Some(expected_sequence) = instance.sequence() else {
            steps.push(query(instance));
            return false;
        };
        instance.start_order(action.clone());
        steps.push(PlacementStep::SendOrder(Order {
            instance: id.clone(),
            address: instance.address().to_owned(),
            action,
            expected_sequence,
            from_store: false,
            rationale,
        }));
        true
    }

    fn rationale(&self, model: &ModelName, store_loads: usize) -> OrderRationale {
        let state = self.round.state(model);
        OrderRationale {
            replicas: self.round.replica_count(model),
            desired: state.desired,
            rate_per_1000_s: (state.demand.fast * 1000.0) as u64,
            has_waiting_requests: state.has_waiting_requests,
            store_loads,
        }
    }

    /// Loads an adapter that requests wait for if its model is loaded.
    pub(super) fn load_waiting_adapter(
        &mut self,
        waiting: &WaitingRequests,
        context: &PlanContext<'_>,
        steps: &mut Vec<PlacementStep>,
    ) {
        let model = ModelName::from(waiting.key.model.as_str());
        if let Some(adapter) = &waiting.adapter
            && self.round.replica_count(&model) > 0
        {
            self.add_adapter(&model, adapter, context, steps);
        }
    }

    /// Adds a replica of a model on the load target of least cost, if the evictions there cost less
    /// than the replica's value; from the weight store only with `store_has_room`. If the best
    /// target is reserved for another model, nothing is ordered yet; returns the time until this
    /// model would be loaded there.
    pub(super) fn add_replica(
        &mut self,
        specification: &ModelSpecification,
        candidate: &Candidate,
        store_has_room: bool,
        context: &PlanContext<'_>,
        steps: &mut Vec<PlacementStep>,
    ) -> Option<Millis> {
        let target = self.best_target(specification, candidate.value, store_has_room, context);
        let (id, target) = target?;
        if target.is_reserved {
            return Some(target.ready_after);
        }
        let model = &specification.name;
        let mut displaced = None;
        if let Some(instance) = self.instances.get_mut(&id) {
            displaced = instance.reserved_for().cloned();
            instance.reserve_for(model, context.now + target.ready_after, context.now);
        }
        self.reserved.insert(id.clone());
        self.update_round(|round| {
            if let Some(displaced) = &displaced {
                round.remove_replica(displaced, &id);
            }
            round.add_replica(model, &id);
        });
        let state = self.round.state(model);
        self.events
            .push(PlacementEvent::InstanceReserved(InstanceReservation {
                instance: id.clone(),
                model: model.clone(),
                source: target.source,
                ready_after: target.ready_after,
                cost: target.cost,
                waiting: state.waiting,
                paused_permille: state.pauses.paused_permille(),
                load_percent: target.load.map(|load| load.utilisation_percent()),
                displaced,
            }));
        self.changed.insert(id.clone());
        if target.can_take_order {
            self.advance_load(&id, model, context, steps);
        }
        None
    }
}

pub(super) fn fits(
    instance: &Instance,
    specification: &ModelSpecification,
    engine: &Engine,
) -> bool {
    let committed = instance.committed_memory(engine);
    committed.has_room_for(specification.memory_mb, engine)
}

fn query(instance: &mut Instance) -> PlacementStep {
    instance.start_query();
    PlacementStep::QueryInstance {
        instance: instance.id().clone(),
        address: instance.address().to_owned(),
    }
}
