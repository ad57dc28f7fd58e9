//! The decisions: which orders to give now.

use super::demand::Wanted;
use super::instance::Instance;
use super::round::{Round, URGENT_COPY_VALUE, waiting_worth};
use super::{Order, OrderAction, OrderEvidence, PlacementEngine, PlacementStep};
use crate::configuration::{Engine, ModelSpecification};
use crate::instance::InstanceState;
use courseshunt_types::{Millis, ModelName, RunnerId, Timestamp};
use std::sync::Arc;

/// Demand is followed for so long before copies count as surplus.
const DEMAND_WARM_UP: Millis = Millis(6_000);
/// A model that was asked for is not evicted sooner after its load.
const LEAST_STAY: Millis = Millis(2_500);
/// Waiting models and adapters that one round looks at, of each urgency.
const WANTED_IN_ROUND: usize = 16;
/// Loads that demand alone, without waiting requests, may start in one round.
const SCALING_LOADS: usize = 2;
/// Worth of a load that evicts nothing.
const FREE_MEMORY_ALONE: f64 = f64::MIN_POSITIVE;
/// Loads of models that nobody waits for that one round may start.
const RESTORING_LOADS: usize = 2;
/// Evicting for another copy of a busy model must be worth so much more.
const SCALING_MARGIN: f64 = 1.5;
/// A load takes the place of one that waits for the weight store if it is worth
/// so many times more.
const DISPLACING_MARGIN: f64 = 2.0;
/// What speaks against a load from the weight store, and from a copy on disk.
const STORE_COST: f64 = 0.04;
const DISK_COST: f64 = 0.02;
/// What speaks against an instance for each request under way there.
const BUSY_COST: f64 = 0.002;

/// A place for a model.
struct Place {
    instance: RunnerId,
    /// Value of what is evicted there.
    evicted: f64,
    /// That, and what speaks against the place besides.
    cost: f64,
}

/// The service that a round plans for.
pub(super) struct Planned<'a> {
    pub(super) service: &'a str,
    pub(super) engine: &'a Engine,
    pub(super) now: Timestamp,
}

impl PlacementEngine {
    /// What to do now.
    pub fn plan(&mut self, now: Timestamp) -> Vec<PlacementStep> {
        let mut steps = Vec::new();
        let asked = std::mem::take(&mut self.asked_adapters);
        for instance in self.instances.values_mut() {
            instance.touch_adapters(&asked);
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
        instances.filter(move |one| {
            one.registration().service == service
                && one.state() == InstanceState::Ready
                && !one.is_doubtful(now)
        })
    }

    fn plan_service(&mut self, planned: &Planned<'_>, steps: &mut Vec<PlacementStep>) {
        let wanted = self.demand.wanted(planned.service, planned.now);
        let round = Round::new(self, planned.service, planned.engine, &wanted, planned.now);
        self.round = Arc::new(round);
        self.follow_intents(planned, steps);
        let is_urgent = |one: &&Wanted| {
            let model = ModelName::from(one.key.model.as_str());
            self.round.facts(&model).urgent
        };
        let (urgent, patient): (Vec<&Wanted>, Vec<&Wanted>) = wanted.iter().partition(is_urgent);
        for one in urgent.into_iter().take(WANTED_IN_ROUND) {
            self.serve_wanted(one, planned, steps);
        }
        self.scale_busy(planned, steps);
        for one in patient.into_iter().take(WANTED_IN_ROUND) {
            self.serve_wanted(one, planned, steps);
        }
        self.restore_missing(planned, steps);
        self.fill_adapters(planned, steps);
    }

    pub(super) fn change_round(&mut self, change: impl FnOnce(&mut Round)) {
        change(Arc::make_mut(&mut self.round));
    }

    /// Goes on with evictions that make room for a model, and with loads that
    /// wait for the weight store: what is worth most first. Copies that are
    /// needed no longer are given up.
    fn follow_intents(&mut self, planned: &Planned<'_>, steps: &mut Vec<PlacementStep>) {
        let set_aside = self.of_service(planned.service, planned.now);
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
        if fits(instance, specification, planned.engine) {
            self.load_model(id, model, planned, steps);
            return;
        }
        let victims = self.victims(instance, specification, planned);
        match victims.and_then(|(_, victims)| victims.into_iter().next()) {
            Some(victim) => {
                let action = OrderAction::UnloadModel(victim.clone());
                if self.give(id, action, steps) {
                    self.change_round(|round| round.remove_copy(&victim, id));
                }
            }
            None => self.drop_intent(id),
        }
    }

    fn drop_intent(&mut self, id: &RunnerId) {
        if let Some(instance) = self.instances.get_mut(id) {
            instance.clear_intent();
        }
    }

    fn load_model(
        &mut self,
        id: &RunnerId,
        model: &ModelName,
        planned: &Planned<'_>,
        steps: &mut Vec<PlacementStep>,
    ) {
        let Some(instance) = self.instances.get(id) else {
            return;
        };
        let known = instance.sequence().is_some();
        let from_store = !instance.copy_in_memory(model) && !instance.copy_on_disk(model);
        if known && from_store {
            let ceiling = self.ceilings.get_mut(planned.service);
            let spare = !self.round.facts(model).waited_for && self.round.count(model) <= 1;
            let taken = ceiling.is_some_and(|ceiling| match spare {
                true => ceiling.take_spare(planned.now),
                false => ceiling.take(planned.now),
            });
            if !taken {
                if spare {
                    self.drop_intent(id);
                    self.change_round(|round| round.remove_copy(model, id));
                }
                return;
            }
        }
        let given = self.give(id, OrderAction::LoadModel(model.clone()), steps);
        if given && let Some(PlacementStep::Give(order)) = steps.last_mut() {
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
        let evidence = self.evidence(action.model());
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

    fn evidence(&self, model: &ModelName) -> OrderEvidence {
        let facts = self.round.facts(model);
        OrderEvidence {
            copies: self.round.count(model),
            desired: facts.desired,
            rate_per_1000_s: (facts.demand.fast * 1000.0) as u64,
            waited_for: facts.waited_for,
        }
    }

    /// Models to evict so that `specification` fits, cheapest first, with their
    /// summed value; `None` when it can't be done.
    fn victims(
        &self,
        instance: &Instance,
        specification: &ModelSpecification,
        planned: &Planned<'_>,
    ) -> Option<(f64, Vec<ModelName>)> {
        let engine = planned.engine;
        let mut missing = instance.memory_mb(engine) + specification.memory_mb - engine.memory_mb;
        if missing <= 0.0 {
            return Some((0.0, Vec::new()));
        }
        let mut held: Vec<(f64, &ModelName)> = instance
            .held()
            .filter(|(name, _)| **name != specification.name)
            .filter(|(name, _)| self.may_go(instance, name, planned.now))
            .map(|(name, _)| (self.round.value(name), name))
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
    fn may_go(&self, instance: &Instance, name: &ModelName, now: Timestamp) -> bool {
        let asked_for = self.round.facts(name).demand.objective.is_some();
        !asked_for || instance.held_for(name, now) >= LEAST_STAY
    }

    fn serve_wanted(
        &mut self,
        wanted: &Wanted,
        planned: &Planned<'_>,
        steps: &mut Vec<PlacementStep>,
    ) {
        let model = ModelName::from(wanted.key.model.as_str());
        let Some(specification) = planned.engine.model(model.as_str()) else {
            return;
        };
        if self.round.count(&model) == 0 {
            let worth = waiting_worth(wanted.count);
            self.add_copy(specification, worth, planned, steps);
            return;
        }
        if let Some(adapter) = &wanted.adapter {
            self.add_adapter(&model, adapter, planned, steps);
        }
    }

    /// Adds a copy of a model where that costs least, if it evicts less than
    /// `worth`.
    fn add_copy(
        &mut self,
        specification: &ModelSpecification,
        worth: f64,
        planned: &Planned<'_>,
        steps: &mut Vec<PlacementStep>,
    ) {
        let place = self.best_place(specification, planned);
        let Some(place) = place.filter(|place| place.evicted < worth) else {
            return;
        };
        let model = &specification.name;
        let mut displaced = None;
        if let Some(instance) = self.instances.get_mut(&place.instance) {
            displaced = instance.intent().cloned();
            instance.set_intent(specification, planned.now);
        }
        self.change_round(|round| {
            if let Some(displaced) = &displaced {
                round.remove_copy(displaced, &place.instance);
            }
            round.add_copy(model, &place.instance);
        });
        self.changed.insert(place.instance.clone());
        self.go_on(&place.instance, model, planned, steps);
    }

    fn best_place(&self, one: &ModelSpecification, planned: &Planned<'_>) -> Option<Place> {
        let instances = self.of_service(planned.service, planned.now);
        let free = instances.filter(|instance| {
            instance.is_free(planned.now)
                && !instance.has(&one.name)
                && self.may_displace(&one.name, instance)
        });
        let places = free.filter_map(|instance| {
            let (evicted, _) = self.victims(instance, one, planned)?;
            let warmth = if instance.copy_in_memory(&one.name) {
                0.0
            } else if instance.copy_on_disk(&one.name) {
                DISK_COST
            } else {
                STORE_COST
            };
            let busy = f64::from(self.usage.in_flight(instance.id())) * BUSY_COST;
            Some(Place {
                instance: instance.id().clone(),
                evicted,
                cost: evicted + warmth + busy,
            })
        });
        places.min_by(|left, right| left.cost.total_cmp(&right.cost))
    }

    /// Whether an instance is not set aside, or for a load of far less worth.
    fn may_displace(&self, model: &ModelName, instance: &Instance) -> bool {
        let Some(intended) = instance.intent() else {
            return true;
        };
        let worth = self.round.next_load_worth(model);
        intended != model && worth > self.round.load_worth(intended) * DISPLACING_MARGIN
    }

    /// Loads models that no instance holds, where that evicts nothing worth more.
    fn restore_missing(&mut self, planned: &Planned<'_>, steps: &mut Vec<PlacementStep>) {
        let mut missing = self.round.missing();
        missing.sort_by(|left, right| right.0.total_cmp(&left.0));
        for (value, model) in missing.into_iter().take(RESTORING_LOADS) {
            let worth = match value >= URGENT_COPY_VALUE {
                true => value / SCALING_MARGIN,
                false => FREE_MEMORY_ALONE,
            };
            if let Some(specification) = planned.engine.model(model.as_str()) {
                self.add_copy(specification, worth, planned, steps);
            }
        }
    }

    /// Adds copies of models whose demand has outgrown them.
    fn scale_busy(&mut self, planned: &Planned<'_>, steps: &mut Vec<PlacementStep>) {
        let mut short = self.round.short_of_copies();
        short.sort_by(|left, right| right.0.total_cmp(&left.0));
        for (worth, model) in short.into_iter().take(SCALING_LOADS) {
            if let Some(specification) = planned.engine.model(model.as_str()) {
                self.add_copy(specification, worth / SCALING_MARGIN, planned, steps);
            }
        }
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
