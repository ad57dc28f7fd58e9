//! A registration that was sent before an order, and arrives seconds later, does not take back what
//! the order changed. The simulated instances panic when an order overfills them.
//!
//! A registration that arrived 4 s late replaced what the leader had recorded of two later loads: an
//! instance with 210,000 MB was ordered to hold 260,400 MB, and fell.

mod placement_simulation;

use courseshunt_services::*;
use courseshunt_types::{Millis, ModelName, RunnerId, Timestamp, Zone};
use placement_simulation::*;
use std::sync::Arc;

/// Steps of 10 ms for which requests wait for one model.
const MODEL_STEPS: u32 = 310;
/// Models that requests wait for in turn.
const MODELS_IN_TURN: u32 = 30;
/// Models in turn between two changes of the leader.
const MODELS_PER_LEADER: u32 = 4;
/// Loads that have to be made for the models in turn, whatever is late.
const MIN_LOADS: usize = 20;

/// Requests for rare models, in turn, while registrations are late; returns the number of loads.
fn loads_with(delay: u64, leader_changes: bool, seed: u64, lost_percent: u32) -> usize {
    let mut simulation = Simulation::new(seed, 1, lost_percent);
    simulation.delay_registrations(delay);
    for turn in 0..MODELS_IN_TURN {
        let model = format!("m{}", 1 + turn % 12);
        let mut adapter = demand(&model, 1, 1, 500);
        adapter.adapter = Some(format!("a{}", turn % 6));
        for step in 0..MODEL_STEPS {
            let is_change = turn % MODELS_PER_LEADER == 1
                && step == u32::try_from(seed).unwrap() * 37 % MODEL_STEPS;
            if leader_changes && is_change {
                simulation.change_leader(configuration());
            }
            simulation.step(&[demand(&model, 1, 1, 500), adapter.clone()]);
        }
    }
    simulation.loads.len()
}

#[test]
fn late_registrations_take_no_order_back() {
    for delay in REGISTRATION_DELAYS_MS {
        for seed in 0..8 {
            let loads = loads_with(delay, false, seed, 0);
            assert!(
                loads >= MIN_LOADS,
                "{delay} ms late, seed {seed}: {loads} loads"
            );
        }
    }
}

#[test]
fn late_registrations_take_no_order_back_from_a_new_leader() {
    for delay in REGISTRATION_DELAYS_MS {
        for seed in 0..8 {
            let loads = loads_with(delay, true, seed, 0);
            assert!(
                loads >= MIN_LOADS,
                "{delay} ms late, seed {seed}: {loads} loads"
            );
        }
    }
}

/// Orders without an answer are carried out up to 12 s later.
#[test]
fn late_registrations_take_no_order_back_that_had_no_answer() {
    for delay in REGISTRATION_DELAYS_MS {
        for seed in 0..8 {
            loads_with(delay, true, seed, 30);
        }
    }
}

/// Models without adapters, so that few orders are due.
fn few_models() -> Arc<ServiceConfiguration> {
    let mut few = (*configuration()).clone();
    let engine = few.services[0].engine.as_mut();
    let models = &mut engine.expect("a service with models").models;
    models.retain(|name, _| ["m0", "m1", "m5"].contains(&name.as_str()));
    for model in models.values_mut() {
        model.adapters.clear();
    }
    Arc::new(few)
}

/// One instance of an engine, with calls by hand.
struct Fixture {
    engine: PlacementEngine,
    registrations: u64,
    now: u64,
}

impl Fixture {
    fn new(models: &[&str]) -> Self {
        let mut engine = PlacementEngine::new(PlacementSettings::default());
        engine.configure(few_models(), Timestamp::at(1));
        let mut fixture = Self {
            engine,
            registrations: 0,
            now: 1,
        };
        fixture.register(models);
        // The weight store's window since the start is over.
        fixture.now += 10_000;
        fixture
    }

    fn register(&mut self, models: &[&str]) {
        self.registrations += 1;
        let registration = Registration {
            id: RunnerId::from("r0"),
            service: "s".to_owned(),
            address: "r0:1".to_owned(),
            zone: Zone::from("z"),
            slots: 64,
            state: InstanceState::Ready,
            sequence: self.registrations,
            remaining: None,
            models: resident(models),
            cached_weights: CachedWeights::default(),
        };
        self.engine.register(registration, Timestamp::at(self.now));
    }

    fn report(&mut self, models: &[&str], sequence: u64) {
        let report = InstanceReport {
            models: resident(models),
            sequence,
            ..InstanceReport::default()
        };
        self.engine
            .on_report(&RunnerId::from("r0"), Some(report), Timestamp::at(self.now));
    }

    fn plan(&mut self, demand: &[ModelDemand]) -> Vec<PlacementStep> {
        let now = Timestamp::at(self.now);
        self.engine.report_usage("router", Vec::new(), demand, now);
        self.engine.plan(now)
    }

    fn held(&self) -> Vec<String> {
        let views = self.engine.views(Timestamp::at(self.now));
        let models = views[0].models.iter();
        models.map(|model| model.name.0.clone()).collect()
    }
}

fn resident(models: &[&str]) -> Vec<ResidentModel> {
    let models = models.iter().map(|name| ResidentModel {
        name: ModelName::from(*name),
        version: 1,
        adapters: Vec::new(),
    });
    models.collect()
}

fn queries(steps: &[PlacementStep]) -> usize {
    let queries = steps
        .iter()
        .filter(|step| matches!(step, PlacementStep::QueryInstance { .. }));
    queries.count()
}

/// A leader that has only a report, and has sent no order, keeps it as well.
#[test]
fn a_late_registration_does_not_replace_a_report() {
    let mut fixture = Fixture::new(&["m0"]);
    let steps = fixture.plan(&[demand("m5", 1, 1, 500)]);
    assert_eq!(queries(&steps), 1, "{steps:?}");
    fixture.report(&["m0", "m1"], 3);
    fixture.now += 4_000;
    fixture.register(&["m0"]);
    assert_eq!(fixture.held(), ["m0", "m1"]);
}

/// What a registration disputes is settled by a query, without a request that needs it.
#[test]
fn a_registration_that_differs_leads_to_a_query() {
    let mut fixture = Fixture::new(&["m0"]);
    fixture.plan(&[demand("m5", 1, 1, 500)]);
    fixture.report(&["m0", "m1"], 3);
    fixture.now += 20_000;
    fixture.register(&["m0", "m1"]);
    assert_eq!(queries(&fixture.plan(&[])), 0, "nothing is disputed");
    fixture.register(&["m0", "m2"]);
    assert_eq!(queries(&fixture.plan(&[])), 1);
    fixture.report(&["m0", "m2"], 5);
    assert_eq!(fixture.held(), ["m0", "m2"]);
    fixture.now += 1_000;
    assert_eq!(queries(&fixture.plan(&[])), 0, "it is settled");
}

/// The order that a leader sends to the instance next.
fn next_order(fixture: &mut Fixture, demand: &[ModelDemand]) -> Option<Order> {
    fixture
        .plan(demand)
        .into_iter()
        .find_map(|step| match step {
            PlacementStep::SendOrder(order) => Some(order),
            PlacementStep::QueryInstance { .. } => None,
        })
}

/// A report whose content is from before the last accepted order counts fewer orders.
#[test]
fn a_report_from_before_an_order_does_not_replace_it() {
    let mut fixture = Fixture::new(&["m0"]);
    let waiting = [demand("m5", 1, 1, 500)];
    fixture.plan(&waiting);
    fixture.report(&["m0"], 3);
    let order = next_order(&mut fixture, &waiting).expect("a load");
    let now = Timestamp::at(fixture.now);
    fixture
        .engine
        .on_outcome(&order, OrderOutcome::Accepted, now);
    fixture.now += LOAD_TIME;
    fixture.register(&["m0", "m5"]);
    fixture.now += 4_000;
    fixture.report(&["m0"], 3);
    assert_eq!(fixture.held(), ["m0", "m5"]);
    fixture.report(&["m0"], 5);
    assert_eq!(fixture.held(), ["m0"], "a later order may have unloaded it");
}

/// Silence is counted in arrivals, so that late registrations do not remove an instance.
#[test]
fn an_instance_whose_registrations_are_late_stays() {
    let mut simulation = Simulation::new(1, 1, 0);
    simulation.registration_delay = 10_000;
    for _ in 0..3_000 {
        simulation.step(&[]);
    }
    assert_eq!(simulation.engine.count(), 1);
    let waiting = Millis(5_000);
    assert_eq!(PlacementSettings::default().silence_limit, waiting);
}
