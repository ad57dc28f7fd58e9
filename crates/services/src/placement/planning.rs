//! The decisions: which orders to give now.

use super::demand::{ModelKey, Wanted};
use super::instance::Instance;
use super::{Order, OrderAction, OrderEvidence, PlacementEngine, PlacementStep};
use crate::configuration::{Engine, ModelSpecification};
use crate::instance::InstanceState;
use courseshunt_types::{Millis, ModelName, RunnerId, Timestamp};
use std::collections::BTreeMap;

/// Prompt tokens that an instance reads in a second.
const READ_PER_SECOND: f64 = 38_000.0;
/// Tokens that one request costs besides its prompt: its share of a batch.
const TOKENS_PER_REQUEST: f64 = 500.0;
/// Copies beyond the first are added only above this rate, in requests a second.
const RATE_FOR_COPIES: f64 = 0.6;
/// A copy is surplus when the others would stay below this part of the
/// utilisation at which one is added.
const KEEP_PART: f64 = 0.6;
/// Demand is followed for so long before copies count as surplus.
const DEMAND_WARM_UP: Millis = Millis(6_000);
/// A model that was asked for is not evicted sooner after its load.
const LEAST_STAY: Millis = Millis(2_500);
/// An adapter is not evicted sooner after its load or use.
const LEAST_ADAPTER_STAY: Millis = Millis(400);
/// Value of the only copy of a model whose requests can't wait for a load.
const URGENT_COPY_VALUE: f64 = 1.0;
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
/// Loads that demand alone, without waiting requests, may start in one round.
const SCALING_LOADS: usize = 2;
/// Worth of a load that evicts nothing.
const FREE_MEMORY_ALONE: f64 = f64::MIN_POSITIVE;
/// Loads of models that nobody waits for that one round may start.
const RESTORING_LOADS: usize = 2;
/// Evicting for another copy of a busy model must be worth so much more.
const SCALING_MARGIN: f64 = 1.5;

/// Where copies of a service's models are, those on their way included.
type Copies = BTreeMap<ModelName, Vec<RunnerId>>;

/// A place for a model.
struct Place {
    instance: RunnerId,
    /// Value of what is evicted there.
    evicted: f64,
    /// That, and what speaks against the place besides.
    cost: f64,
}

impl PlacementEngine {
    /// What to do now.
    pub fn plan(&mut self, now: Timestamp) -> Vec<PlacementStep> {
        let mut steps = Vec::new();
        self.ask_overdue(now, &mut steps);
        let configuration = self.configuration.clone();
        for service in &configuration.services {
            if let Some(engine) = &service.engine {
                self.plan_service(&service.name, engine, now, &mut steps);
            }
        }
        steps
    }

    /// The next moment at which a view changes by itself.
    #[must_use]
    pub fn next_ready(&self, now: Timestamp) -> Option<Timestamp> {
        let instances = self.instances.values();
        instances.filter_map(|one| one.next_ready(now)).min()
    }

    /// Marks the instances whose adapters became ready since `before`.
    pub fn mark_ready(&mut self, before: Timestamp, now: Timestamp) {
        let ready = self.instances.iter();
        let ready = ready.filter(|(_, one)| one.next_ready(before).is_some_and(|at| at <= now));
        let ready: Vec<RunnerId> = ready.map(|(id, _)| id.clone()).collect();
        self.changed.extend(ready);
    }

    fn ask_overdue(&mut self, now: Timestamp, steps: &mut Vec<PlacementStep>) {
        for instance in self.instances.values_mut() {
            instance.drop_old_intent(now);
            if instance.is_overdue(now) {
                steps.push(ask(instance));
            }
        }
    }

    fn plan_service(
        &mut self,
        service: &str,
        engine: &Engine,
        now: Timestamp,
        steps: &mut Vec<PlacementStep>,
    ) {
        self.follow_intents(service, engine, now, steps);
        let wanted = self.demand.wanted(now);
        let wanted = wanted.iter().filter(|one| one.key.service == service);
        let (urgent, patient): (Vec<&Wanted>, Vec<&Wanted>) =
            wanted.partition(|one| self.is_urgent(&one.key, engine));
        for one in urgent {
            self.serve_wanted(one, engine, now, steps);
        }
        self.scale_busy(service, engine, now, steps);
        for one in patient {
            self.serve_wanted(one, engine, now, steps);
        }
        self.restore_missing(service, engine, now, steps);
        self.fill_adapters(service, engine, now, steps);
    }

    fn copies(&self, service: &str, now: Timestamp) -> Copies {
        let mut copies = Copies::new();
        for instance in self.of_service(service, now) {
            let held = instance.held().map(|(name, _)| name);
            let coming = instance.loading().into_iter().chain(instance.intent());
            for name in held.chain(coming) {
                let places = copies.entry(name.clone()).or_default();
                if !places.contains(instance.id()) {
                    places.push(instance.id().clone());
                }
            }
        }
        copies
    }

    fn of_service<'a>(
        &'a self,
        service: &'a str,
        now: Timestamp,
    ) -> impl Iterator<Item = &'a Instance> + 'a {
        let instances = self.instances.values();
        instances.filter(move |one| {
            one.registration().service == service
                && one.state() == InstanceState::Ready
                && !one.is_doubtful(now)
        })
    }

    /// Goes on with evictions that make room for a model.
    fn follow_intents(
        &mut self,
        service: &str,
        engine: &Engine,
        now: Timestamp,
        steps: &mut Vec<PlacementStep>,
    ) {
        let set_aside = self.of_service(service, now).filter_map(|one| {
            let model = one.intent()?;
            one.is_free(now).then(|| (one.id().clone(), model.clone()))
        });
        let set_aside: Vec<(RunnerId, ModelName)> = set_aside.collect();
        for (instance, model) in set_aside {
            self.go_on(&instance, &model, service, engine, now, steps);
        }
    }

    /// The next order on the way to `model` at `instance`.
    fn go_on(
        &mut self,
        id: &RunnerId,
        model: &ModelName,
        service: &str,
        engine: &Engine,
        now: Timestamp,
        steps: &mut Vec<PlacementStep>,
    ) {
        let Some(specification) = engine.model(model.as_str()) else {
            return;
        };
        let Some(instance) = self.instances.get(id) else {
            return;
        };
        if instance.has(model) {
            if let Some(instance) = self.instances.get_mut(id) {
                instance.clear_intent();
            }
            return;
        }
        if fits(instance, specification, engine) {
            self.load_model(id, model, service, now, steps);
            return;
        }
        let copies = self.copies(service, now);
        let victims = self.victims(instance, specification, service, engine, &copies, now);
        match victims.and_then(|(_, victims)| victims.into_iter().next()) {
            Some(victim) => {
                self.give(id, OrderAction::UnloadModel(victim), now, steps);
            }
            None => {
                if let Some(instance) = self.instances.get_mut(id) {
                    instance.clear_intent();
                }
            }
        }
    }

    fn load_model(
        &mut self,
        id: &RunnerId,
        model: &ModelName,
        service: &str,
        now: Timestamp,
        steps: &mut Vec<PlacementStep>,
    ) {
        let Some(instance) = self.instances.get(id) else {
            return;
        };
        if instance.sequence().is_none() {
            self.give(id, OrderAction::LoadModel(model.clone()), now, steps);
            return;
        }
        let from_store = !instance.copy_in_memory(model) && !instance.copy_on_disk(model);
        if from_store {
            let ceiling = self.ceilings.get_mut(service);
            if !ceiling.is_some_and(|ceiling| ceiling.take(now)) {
                return;
            }
        }
        self.give(id, OrderAction::LoadModel(model.clone()), now, steps);
        if let Some(PlacementStep::Give(order)) = steps.last_mut() {
            order.from_store = from_store;
        }
    }

    /// Gives an order, or asks for the number that it has to carry.
    fn give(
        &mut self,
        id: &RunnerId,
        action: OrderAction,
        now: Timestamp,
        steps: &mut Vec<PlacementStep>,
    ) -> bool {
        let evidence = self.evidence(id, action.model(), now);
        let Some(instance) = self.instances.get_mut(id) else {
            return false;
        };
        let Some(expected) = instance.sequence() else {
            steps.push(ask(instance));
            return false;
        };
        instance.start_order(action.clone());
        steps.push(PlacementStep::Give(Order {
            instance: id.clone(),
            address: instance.address().to_owned(),
            action,
            expected,
            from_store: false,
            evidence,
        }));
        true
    }

    fn evidence(&self, id: &RunnerId, model: &ModelName, now: Timestamp) -> OrderEvidence {
        let instance = self.instances.get(id);
        let service = instance.map_or("", |one| one.registration().service.as_str());
        let key = key_of(service, model);
        OrderEvidence {
            copies: self.copies(service, now).get(model).map_or(0, Vec::len),
            desired: self.desired_copies(&key, now),
            rate_per_1000_s: (self.demand.fast(&key, now) * 1000.0) as u64,
            waited_for: self.demand.is_waited_for(&key, now),
        }
    }

    /// Models to evict so that `specification` fits, cheapest first, with their
    /// summed value; `None` when it can't be done.
    fn victims(
        &self,
        instance: &Instance,
        specification: &ModelSpecification,
        service: &str,
        engine: &Engine,
        copies: &Copies,
        now: Timestamp,
    ) -> Option<(f64, Vec<ModelName>)> {
        let mut missing = instance.memory_mb(engine) + specification.memory_mb - engine.memory_mb;
        let mut held: Vec<(f64, &ModelName)> = instance
            .held()
            .filter(|(name, _)| **name != specification.name)
            .filter(|(name, _)| self.may_go(instance, name, service, now))
            .map(|(name, _)| (self.value(name, service, engine, copies, now), name))
            .collect();
        held.sort_by(|left, right| left.0.total_cmp(&right.0));
        let mut cost = 0.0;
        let mut victims = Vec::new();
        for (value, name) in held {
            if missing <= 0.0 {
                break;
            }
            missing -= engine.model(name.as_str()).map_or(0.0, |one| one.memory_mb);
            cost += value;
            victims.push(name.clone());
        }
        (missing <= 0.0).then_some((cost, victims))
    }

    /// Whether a model has been there for long enough to be evicted.
    fn may_go(&self, instance: &Instance, name: &ModelName, service: &str, now: Timestamp) -> bool {
        let asked_for = self.demand.objective(&key_of(service, name)).is_some();
        !asked_for || instance.held_for(name, now) >= LEAST_STAY
    }

    /// What a copy of a model is worth where it is.
    fn value(
        &self,
        name: &ModelName,
        service: &str,
        engine: &Engine,
        copies: &Copies,
        now: Timestamp,
    ) -> f64 {
        let key = key_of(service, name);
        if self.demand.is_waited_for(&key, now) {
            return WAITED_FOR;
        }
        let count = copies.get(name).map_or(1, Vec::len).max(1);
        if self.demand.objective(&key).is_none() {
            return UNKNOWN_COPY_VALUE;
        }
        if self.knows_demand(now) && count > self.copies_to_keep(&key, now) {
            return SURPLUS_VALUE + self.demand.slow(&key, now) / count as f64 * 0.01;
        }
        let rate = self.demand.slow(&key, now).max(self.demand.fast(&key, now));
        match count {
            1 => self.only_copy_value(&key, engine, rate),
            _ => rate / count as f64,
        }
    }

    /// Whether demand was followed for long enough to tell what is surplus.
    fn knows_demand(&self, now: Timestamp) -> bool {
        let since = self.demand_since;
        since.is_some_and(|since| now.since(since) >= DEMAND_WARM_UP)
    }

    /// Whether requests for the model can't wait for a load.
    fn is_urgent(&self, key: &ModelKey, engine: &Engine) -> bool {
        let load = engine
            .model(&key.model)
            .map_or(Millis(0), |one| one.load_time);
        self.demand
            .objective(key)
            .is_some_and(|objective| objective < load)
    }

    /// What the only copy of a model is worth: a cold start avoided.
    fn only_copy_value(&self, key: &ModelKey, engine: &Engine, rate: f64) -> f64 {
        match self.demand.objective(key) {
            None => UNKNOWN_COPY_VALUE,
            Some(_) if self.is_urgent(key, engine) => URGENT_COPY_VALUE + rate,
            Some(_) => PATIENT_COPY_VALUE + rate * PATIENT_RATE_PART,
        }
    }

    /// Copies that the present demand needs, at least one.
    fn desired_copies(&self, key: &ModelKey, now: Timestamp) -> usize {
        let rate = self.demand.fast(key, now);
        self.copies_for(key, rate, self.settings.copy_utilisation, now)
    }

    /// Copies that are not surplus: more than are added, so that a demand that
    /// varies a little moves nothing.
    fn copies_to_keep(&self, key: &ModelKey, now: Timestamp) -> usize {
        let rate = self.demand.fast(key, now).max(self.demand.slow(key, now));
        let utilisation = self.settings.copy_utilisation * KEEP_PART;
        self.copies_for(key, rate / KEEP_PART, utilisation, now)
    }

    fn copies_for(&self, key: &ModelKey, rate: f64, utilisation: f64, now: Timestamp) -> usize {
        if rate < RATE_FOR_COPIES {
            return 1;
        }
        let work = self.demand.tokens(key, now) + rate * TOKENS_PER_REQUEST;
        let copies = work / READ_PER_SECOND / utilisation;
        (copies.ceil() as usize).max(1)
    }

    fn serve_wanted(
        &mut self,
        wanted: &Wanted,
        engine: &Engine,
        now: Timestamp,
        steps: &mut Vec<PlacementStep>,
    ) {
        let service = wanted.key.service.as_str();
        let model = ModelName::from(wanted.key.model.as_str());
        let Some(specification) = engine.model(model.as_str()) else {
            return;
        };
        let copies = self.copies(service, now);
        if copies.get(&model).is_none_or(Vec::is_empty) {
            let worth = WAITING_BASE_WORTH + WAITING_WORTH * f64::from(wanted.count);
            self.add_copy(specification, service, engine, worth, now, steps);
            return;
        }
        if let Some(adapter) = &wanted.adapter {
            self.add_adapter(&model, adapter, service, engine, now, steps);
        }
    }

    /// Adds a copy of a model where that costs least, if it costs less than `worth`.
    fn add_copy(
        &mut self,
        specification: &ModelSpecification,
        service: &str,
        engine: &Engine,
        worth: f64,
        now: Timestamp,
        steps: &mut Vec<PlacementStep>,
    ) -> bool {
        let copies = self.copies(service, now);
        let place = self.best_place(specification, service, engine, &copies, now);
        let Some(place) = place.filter(|place| place.evicted < worth) else {
            return false;
        };
        let model = specification.name.clone();
        if let Some(instance) = self.instances.get_mut(&place.instance) {
            instance.set_intent(specification, now);
        }
        self.changed.insert(place.instance.clone());
        self.go_on(&place.instance, &model, service, engine, now, steps);
        true
    }

    fn best_place(
        &self,
        specification: &ModelSpecification,
        service: &str,
        engine: &Engine,
        copies: &Copies,
        now: Timestamp,
    ) -> Option<Place> {
        let free = self.of_service(service, now).filter(|one| {
            one.is_free(now) && one.intent().is_none() && !one.has(&specification.name)
        });
        let places = free.filter_map(|one| {
            let victims = self.victims(one, specification, service, engine, copies, now);
            let (evicted, _) = victims?;
            let warmth = if one.copy_in_memory(&specification.name) {
                0.0
            } else if one.copy_on_disk(&specification.name) {
                0.02
            } else {
                0.04
            };
            let busy = f64::from(self.usage.in_flight(one.id())) * 0.002;
            Some(Place {
                instance: one.id().clone(),
                evicted,
                cost: evicted + warmth + busy,
            })
        });
        places.min_by(|left, right| left.cost.total_cmp(&right.cost))
    }

    fn add_adapter(
        &mut self,
        model: &ModelName,
        adapter: &str,
        service: &str,
        engine: &Engine,
        now: Timestamp,
        steps: &mut Vec<PlacementStep>,
    ) {
        let size = engine
            .model(model.as_str())
            .map_or(0.0, |one| one.adapter_mb);
        let mut holders: Vec<&Instance> = self
            .of_service(service, now)
            .filter(|one| one.has(model))
            .collect();
        if holders.iter().any(|one| one.has_adapter(model, adapter)) {
            return;
        }
        holders.retain(|one| one.is_free(now));
        let room = |one: &&Instance| {
            one.adapters() < engine.adapter_slots
                && one.memory_mb(engine) + size <= engine.memory_mb
        };
        let with_room = holders.iter().copied().filter(room);
        let load_of = |one: &Instance| (self.usage.in_flight(one.id()), one.adapters());
        if let Some(best) = with_room.min_by_key(|one| load_of(one)) {
            let id = best.id().clone();
            let action = OrderAction::LoadAdapter(model.clone(), adapter.to_owned());
            self.give(&id, action, now, steps);
            return;
        }
        let crowded = holders.into_iter().filter_map(|one| {
            let oldest = one.oldest_adapter(now, LEAST_ADAPTER_STAY)?;
            Some((self.usage.in_flight(one.id()), one.id().clone(), oldest))
        });
        let least = crowded.min_by_key(|(in_flight, _, _)| *in_flight);
        if let Some((_, id, (model, adapter))) = least {
            self.give(&id, OrderAction::UnloadAdapter(model, adapter), now, steps);
        }
    }

    /// Loads models that no instance holds, where that evicts nothing worth more.
    fn restore_missing(
        &mut self,
        service: &str,
        engine: &Engine,
        now: Timestamp,
        steps: &mut Vec<PlacementStep>,
    ) {
        let copies = self.copies(service, now);
        let missing = engine.models.iter();
        let missing = missing.filter(|one| !copies.contains_key(&one.name));
        let mut missing: Vec<(f64, &ModelSpecification)> = missing
            .map(|one| {
                let key = key_of(service, &one.name);
                let rate = self.demand.slow(&key, now);
                (self.only_copy_value(&key, engine, rate), one)
            })
            .collect();
        missing.sort_by(|left, right| right.0.total_cmp(&left.0));
        for (value, specification) in missing.into_iter().take(RESTORING_LOADS) {
            let worth = match value >= URGENT_COPY_VALUE {
                true => value / SCALING_MARGIN,
                false => FREE_MEMORY_ALONE,
            };
            self.add_copy(specification, service, engine, worth, now, steps);
        }
    }

    /// Fills free adapter places with adapters that no instance holds.
    fn fill_adapters(
        &mut self,
        service: &str,
        engine: &Engine,
        now: Timestamp,
        steps: &mut Vec<PlacementStep>,
    ) {
        let free = self.of_service(service, now).filter(|one| {
            one.is_free(now) && one.intent().is_none() && one.adapters() < engine.adapter_slots
        });
        let free: Vec<RunnerId> = free.map(|one| one.id().clone()).collect();
        for id in free {
            if let Some(action) = self.missing_adapter(&id, service, engine, now) {
                self.give(&id, action, now, steps);
            }
        }
    }

    /// An adapter of a model on this instance that no instance holds.
    fn missing_adapter(
        &self,
        id: &RunnerId,
        service: &str,
        engine: &Engine,
        now: Timestamp,
    ) -> Option<OrderAction> {
        let instance = self.instances.get(id)?;
        let room = engine.memory_mb - instance.memory_mb(engine);
        instance.held().find_map(|(name, _)| {
            let specification = engine.model(name.as_str())?;
            if specification.adapter_mb > room {
                return None;
            }
            let missing = specification.adapters.iter().find(|adapter| {
                let mut holders = self.of_service(service, now);
                !holders.any(|one| one.has_adapter(name, adapter))
            });
            missing.map(|adapter| OrderAction::LoadAdapter(name.clone(), adapter.clone()))
        })
    }

    /// Adds copies of models whose demand has outgrown them.
    fn scale_busy(
        &mut self,
        service: &str,
        engine: &Engine,
        now: Timestamp,
        steps: &mut Vec<PlacementStep>,
    ) {
        let copies = self.copies(service, now);
        let mut short: Vec<(f64, ModelName)> = Vec::new();
        for key in self.demand.models_of(service) {
            let name = ModelName::from(key.model.as_str());
            let count = copies.get(&name).map_or(0, Vec::len);
            if count > 0 && self.desired_copies(key, now) > count {
                let worth = self.demand.fast(key, now) / (count + 1) as f64;
                short.push((worth, name));
            }
        }
        short.sort_by(|left, right| right.0.total_cmp(&left.0));
        for (worth, name) in short.into_iter().take(SCALING_LOADS) {
            let Some(specification) = engine.model(name.as_str()) else {
                continue;
            };
            self.add_copy(
                specification,
                service,
                engine,
                worth / SCALING_MARGIN,
                now,
                steps,
            );
        }
    }
}

fn key_of(service: &str, model: &ModelName) -> ModelKey {
    ModelKey {
        service: service.to_owned(),
        model: model.0.clone(),
    }
}

fn fits(instance: &Instance, specification: &ModelSpecification, engine: &Engine) -> bool {
    instance.memory_mb(engine) + specification.memory_mb <= engine.memory_mb
}

fn ask(instance: &mut Instance) -> PlacementStep {
    instance.start_asking();
    PlacementStep::Ask {
        instance: instance.id().clone(),
        address: instance.address().to_owned(),
    }
}
