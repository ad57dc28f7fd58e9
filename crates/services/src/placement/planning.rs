//! The decisions: which orders to give now.

use super::candidates::Candidate;
use super::demand::Wanted;
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

/// Demand is followed for so long before copies count as surplus.
const DEMAND_WARM_UP: Millis = Millis(6_000);
/// Waiting models and adapters that one round looks at.
pub(super) const WANTED_IN_ROUND: usize = 32;

/// Calls to instances, orders and questions alike, that are under way at once at the most:
/// a new leader has something to ask of each instance of the fleet, and as many connections
/// at once would take its descriptors and all its processor time. About as many as can be
/// made until the next round; that round continues with what is worth most.
const MOST_CALLS: usize = 256;
/// The part of them that may be for what nobody asks for yet, so that a model that
/// requests wait for finds room.
const MOST_UNASKED_CALLS: usize = MOST_CALLS / 2;

/// The service that a round plans for.
pub(super) struct Planned<'a> {
    pub(super) service: &'a str,
    pub(super) engine: &'a Engine,
    pub(super) now: Timestamp,
}

impl Planned<'_> {
    /// Whether an instance of the service may be counted on and given orders.
    fn may_use(&self, instance: &Instance) -> bool {
        may_use(instance, self.service, self.now)
    }
}

fn may_use(instance: &Instance, service: &str, now: Timestamp) -> bool {
    instance.registration().service == service
        && instance.state() == InstanceState::Ready
        && !instance.is_doubtful(now)
}

impl PlacementEngine {
    /// What to do now.
    pub fn plan(&mut self, now: Timestamp) -> Vec<PlacementStep> {
        let mut steps = Vec::new();
        self.waits = false;
        let asked = std::mem::take(&mut self.asked_adapters);
        if !asked.is_empty() {
            for instance in self.instances.values_mut() {
                instance.touch_adapters(&asked);
            }
        }
        self.ask_overdue(now, &mut steps);
        let configuration = self.configuration.clone();
        for service in &configuration.services {
            if let Some(engine) = &service.engine {
                let planned = Planned {
                    service: &service.name,
                    engine,
                    now,
                };
                self.plan_service(&planned, &mut steps);
            }
        }
        steps
    }

    /// The next moment at which a view changes by itself.
    #[must_use]
    pub fn next_adapter_ready(&self) -> Option<Timestamp> {
        self.instances.next_ready()
    }

    /// Marks the instances of which an adapter became ready since the last call.
    pub fn mark_adapters_ready(&mut self, now: Timestamp) {
        let ready = self.instances.take_ready(now);
        self.changed.extend(ready);
    }

    fn ask_overdue(&mut self, now: Timestamp, steps: &mut Vec<PlacementStep>) {
        let mut room = MOST_CALLS.saturating_sub(self.calls);
        for instance in self.instances.values_mut() {
            instance.drop_old_intent(now);
            if room > 0 && instance.is_overdue(now) {
                steps.push(ask(instance));
                self.calls += 1;
                room -= 1;
            }
        }
    }

    /// Whether one more call to an instance may be made now.
    fn may_call(&self) -> bool {
        self.calls < MOST_CALLS
    }

    /// Whether a call that nobody waits for may be made now.
    pub(super) fn may_call_unasked(&self) -> bool {
        self.calls < MOST_UNASKED_CALLS
    }

    /// Whether demand was followed for long enough to tell what is surplus.
    pub(super) fn knows_demand(&self, now: Timestamp) -> bool {
        let since = self.demand_since;
        since.is_some_and(|since| now.since(since) >= DEMAND_WARM_UP)
    }

    pub(super) fn of_service<'a>(
        &'a self,
        service: &'a str,
        now: Timestamp,
    ) -> impl Iterator<Item = &'a Instance> + 'a {
        let instances = self.instances.values();
        instances.filter(move |one| may_use(one, service, now))
    }

    fn plan_service(&mut self, planned: &Planned<'_>, steps: &mut Vec<PlacementStep>) {
        let wanted = self.demand.wanted(planned.service, planned.now);
        let round = Round::new(self, planned.service, planned.engine, &wanted, planned.now);
        self.round = Arc::new(round);
        self.follow_store(planned);
        self.follow_intents(planned, steps);
        for one in wanted.iter().take(WANTED_IN_ROUND) {
            self.serve_adapter(one, planned, steps);
        }
        self.load_candidates(&wanted, planned, steps);
        self.fill_adapters(planned, steps);
        self.keep_round(planned);
    }

    /// Keeps what this round rested on for [`Self::plan_waited`].
    pub(super) fn keep_round(&mut self, planned: &Planned<'_>) {
        let round = std::mem::take(&mut self.round);
        self.rounds.insert(planned.service.to_owned(), round);
    }

    pub(super) fn change_round(&mut self, change: impl FnOnce(&mut Round)) {
        change(Arc::make_mut(&mut self.round));
    }

    /// Goes on with evictions that make room for a model, and with loads that
    /// wait for the weight store: what is worth most first. Copies that are
    /// needed no longer are given up.
    pub(super) fn follow_intents(&mut self, planned: &Planned<'_>, steps: &mut Vec<PlacementStep>) {
        let instances = &self.instances;
        self.set_aside.retain(|id| {
            let instance = instances.get(id);
            instance.is_some_and(|one| one.intent().is_some())
        });
        let set_aside = self
            .set_aside
            .iter()
            .filter_map(|id| self.instances.get(id));
        let set_aside = set_aside.filter(|one| planned.may_use(one));
        let set_aside = set_aside.filter_map(|one| {
            let model = one.intent()?;
            let worth = self.round.load_worth(model);
            one.is_free(planned.now)
                .then(|| (worth, one.id().clone(), model.clone()))
        });
        let mut set_aside: Vec<(f64, RunnerId, ModelName)> = set_aside.collect();
        set_aside.sort_by(|left, right| right.0.total_cmp(&left.0));
        for (worth, instance, model) in set_aside {
            if worth > 0.0 {
                self.go_on(&instance, &model, planned, steps);
            } else {
                self.drop_intent(&instance);
                self.change_round(|round| round.remove_copy(&model, &instance));
            }
        }
    }

    /// The next order on the way to `model` at `instance`.
    fn go_on(
        &mut self,
        id: &RunnerId,
        model: &ModelName,
        planned: &Planned<'_>,
        steps: &mut Vec<PlacementStep>,
    ) {
        let Some(specification) = planned.engine.model(model.as_str()) else {
            return;
        };
        let Some(instance) = self.instances.get(id) else {
            return;
        };
        if instance.has(model) {
            self.drop_intent(id);
            return;
        }
        if instance.source(model) == LoadSource::Store && !self.reserve_store(id, model, planned) {
            self.drop_intent(id);
            self.change_round(|round| round.remove_copy(model, id));
            return;
        }
        let Some(instance) = self.instances.get(id) else {
            return;
        };
        if fits(instance, specification, planned.engine) {
            self.load_model(id, model, planned, steps);
            return;
        }
        let mut victims = Vec::new();
        let evictions = self.evictions(planned);
        let loss = self.evict(instance, specification, &evictions, planned, &mut victims);
        let victim = loss.and_then(|_| victims.first());
        match victim.map(|victim| victim.model.clone()) {
            Some(victim) => {
                let action = OrderAction::UnloadModel(victim.clone());
                if self.give(id, action, steps) {
                    self.change_round(|round| round.remove_copy(&victim, id));
                }
            }
            None => self.drop_intent(id),
        }
    }

    /// Forgets reservations and loads at the weight store of instances that have
    /// none.
    fn follow_store(&mut self, planned: &Planned<'_>) {
        let Some(store) = self.stores.get_mut(planned.service) else {
            return;
        };
        let instances = &self.instances;
        let reserves = |id: &RunnerId| instances.get(id).is_some_and(|one| one.intent().is_some());
        let loads = |id: &RunnerId| instances.get(id).is_some_and(Instance::may_load_from_store);
        store.retain(reserves, loads, planned.now);
    }

    fn drop_intent(&mut self, id: &RunnerId) {
        if let Some(instance) = self.instances.get_mut(id) {
            instance.clear_intent();
        }
    }

    /// Whether a load from the weight store may begin at an instance.
    fn reserve_store(&mut self, id: &RunnerId, model: &ModelName, planned: &Planned<'_>) -> bool {
        let spare = self.is_spare(model);
        let store = self.stores.get_mut(planned.service);
        store.is_some_and(|store| store.reserve(id, spare, planned.now))
    }

    /// Whether a load of the model is one that nobody waits for.
    fn is_spare(&self, model: &ModelName) -> bool {
        !self.round.facts(model).waited_for && self.round.count(model) <= 1
    }

    fn load_model(
        &mut self,
        id: &RunnerId,
        model: &ModelName,
        planned: &Planned<'_>,
        steps: &mut Vec<PlacementStep>,
    ) {
        if !self.may_call() {
            return;
        }
        let Some(instance) = self.instances.get(id) else {
            return;
        };
        let from_store = instance.source(model) == LoadSource::Store;
        if from_store && instance.sequence().is_some() {
            let time = planned.engine.model(model.as_str());
            let time = time.map_or(Millis(0), |one| one.load_time);
            let store = self.stores.get_mut(planned.service);
            if !store.is_some_and(|store| store.begin(id, time, planned.now)) {
                return;
            }
        }
        let given = self.give(id, OrderAction::LoadModel(model.clone()), steps);
        if given && let Some(PlacementStep::SendOrder(order)) = steps.last_mut() {
            order.from_store = from_store;
        }
    }

    /// Gives an order, or asks for the number that it has to carry; returns
    /// whether the order is given.
    pub(super) fn give(
        &mut self,
        id: &RunnerId,
        action: OrderAction,
        steps: &mut Vec<PlacementStep>,
    ) -> bool {
        if !self.may_call() {
            return false;
        }
        let Some(instance) = self.instances.get(id) else {
            return false;
        };
        let service = &instance.registration().service;
        let store_loads = self.stores.get(service).map_or(0, WeightStore::under_way);
        let rationale = self.rationale(action.model(), store_loads);
        let Some(instance) = self.instances.get_mut(id) else {
            return false;
        };
        self.calls += 1;
        let Some(expected_sequence) = instance.sequence() else {
            steps.push(ask(instance));
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
        let facts = self.round.facts(model);
        OrderRationale {
            replicas: self.round.count(model),
            desired: facts.desired,
            rate_per_1000_s: (facts.demand.fast * 1000.0) as u64,
            has_waiting_requests: facts.waited_for,
            store_loads,
        }
    }

    /// Loads the adapter that requests wait for whose model is there.
    pub(super) fn serve_adapter(
        &mut self,
        wanted: &Wanted,
        planned: &Planned<'_>,
        steps: &mut Vec<PlacementStep>,
    ) {
        let model = ModelName::from(wanted.key.model.as_str());
        if let Some(adapter) = &wanted.adapter
            && self.round.count(&model) > 0
        {
            self.add_adapter(&model, adapter, planned, steps);
        }
    }

    /// Adds a copy of a model where that costs least, if it evicts less than
    /// it is worth; from the weight store only when it `has_turn` there. Where
    /// another model goes first at the best place, nothing is done yet; returns
    /// the time until this one would be there.
    pub(super) fn add_copy(
        &mut self,
        specification: &ModelSpecification,
        candidate: &Candidate,
        has_turn: bool,
        planned: &Planned<'_>,
        steps: &mut Vec<PlacementStep>,
    ) -> Option<Millis> {
        let place = self.best_place(specification, candidate.worth, has_turn, planned);
        let (id, place) = place?;
        if place.is_taken {
            return Some(place.ready_after);
        }
        let model = &specification.name;
        let mut displaced = None;
        if let Some(instance) = self.instances.get_mut(&id) {
            displaced = instance.intent().cloned();
            instance.set_intent(model, planned.now + place.ready_after, planned.now);
        }
        self.set_aside.insert(id.clone());
        self.change_round(|round| {
            if let Some(displaced) = &displaced {
                round.remove_copy(displaced, &id);
            }
            round.add_copy(model, &id);
        });
        self.events
            .push(PlacementEvent::InstanceReserved(InstanceReservation {
                instance: id.clone(),
                model: model.clone(),
                source: place.source,
                ready_after: place.ready_after,
                cost: place.cost,
                waiting: self.round.facts(model).waiting,
                displaced,
            }));
        self.changed.insert(id.clone());
        if place.is_free {
            self.go_on(&id, model, planned, steps);
        }
        None
    }
}

pub(super) fn fits(
    instance: &Instance,
    specification: &ModelSpecification,
    engine: &Engine,
) -> bool {
    instance.memory_mb(engine) + specification.memory_mb <= engine.memory_mb
}

fn ask(instance: &mut Instance) -> PlacementStep {
    instance.start_asking();
    PlacementStep::QueryInstance {
        instance: instance.id().clone(),
        address: instance.address().to_owned(),
    }
}
