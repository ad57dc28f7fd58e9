//! A new leader takes 10,000 instances over. It calls only those that it has an order for,
//! a bounded part at a time, what requests wait for first; an address that moves from one
//! instance to another is followed.

mod placement_world;

use courseshunt_services::*;
use courseshunt_types::{ModelName, RunnerId, Timestamp, Zone};
use placement_world::{configuration, demand};

const INSTANCES: u32 = 10_000;
/// Calls to instances that may be under way at once.
const MOST_CALLS: usize = 256;

fn registration(number: u32, address: u32, sequence: u64) -> Registration {
    Registration {
        id: RunnerId(format!("i-{number}")),
        service: "s".to_owned(),
        address: format!("10.0.{}.{}:80", address / 250, address % 250),
        zone: Zone::from("z"),
        slots: 64,
        state: InstanceState::Ready,
        sequence,
        remaining: None,
        models: vec![ResidentModel {
            name: ModelName::from(format!("m{}", number % 7)),
            version: 1,
            adapters: Vec::new(),
        }],
        cached_weights: CachedWeights::default(),
    }
}

fn fleet(now: Timestamp) -> PlacementEngine {
    let mut engine = PlacementEngine::new(PlacementSettings::default());
    engine.configure(configuration(), now);
    for number in 0..INSTANCES {
        engine.register(registration(number, number, 1), now);
    }
    engine
}

/// Answers what an instance is asked, or told.
fn answer(engine: &mut PlacementEngine, step: &PlacementStep, now: Timestamp) {
    match step {
        PlacementStep::Ask { instance, .. } => {
            let number = instance
                .0
                .trim_start_matches("i-")
                .parse()
                .expect("a number");
            let report = InstanceReport {
                models: registration(number, 0, 1).models,
                sequence: 7,
                ..InstanceReport::default()
            };
            engine.on_report(instance, Some(report), now);
        }
        PlacementStep::Give(order) => engine.on_outcome(order, OrderOutcome::Accepted, now),
    }
}

/// Each of the 42 adapters of the models held is loaded once, and no more instances are
/// called for them than that takes, of the 1,400 that hold each model.
#[test]
fn a_new_leader_does_not_call_all_instances() {
    let mut now = Timestamp(10_000);
    let mut engine = fleet(now);
    let mut under_way = Vec::new();
    let (mut asked, mut adapters) = (0, 0);
    for _ in 0..12 {
        let steps = engine.plan(now);
        let is_question = |step: &&PlacementStep| matches!(step, PlacementStep::Ask { .. });
        asked += steps.iter().filter(is_question).count();
        let is_adapter = |step: &&PlacementStep| {
            matches!(step, PlacementStep::Give(order)
                if matches!(order.action, OrderAction::LoadAdapter(..)))
        };
        adapters += steps.iter().filter(is_adapter).count();
        under_way.extend(steps);
        assert!(under_way.len() <= MOST_CALLS, "{} calls", under_way.len());
        // Some answers come late.
        let left = under_way.len() / 3;
        for step in under_way.drain(left..) {
            answer(&mut engine, &step, now);
        }
        now = Timestamp(now.0 + 20);
    }
    assert_eq!(adapters, 42);
    assert!(asked <= 200, "{asked} questions");
}

/// Nobody answers, as after a cut: calls stay bounded, and a model that requests wait for
/// finds room among them.
#[test]
fn a_model_that_requests_wait_for_finds_room_among_the_calls() {
    let mut now = Timestamp(10_000);
    let mut engine = PlacementEngine::new(PlacementSettings::default());
    let mut configuration = ServiceConfiguration::clone(&configuration());
    for service in &mut configuration.services {
        let engine = service.engine.iter_mut();
        for model in engine.flat_map(|engine| engine.models.values_mut()) {
            model.adapters = (0..1_000).map(|adapter| format!("a{adapter}")).collect();
        }
    }
    engine.configure(std::sync::Arc::new(configuration), now);
    for number in 0..INSTANCES {
        engine.register(registration(number, number, 1), now);
    }
    let unasked = engine.plan(now);
    assert!(unasked.len() <= MOST_CALLS / 2 + 8, "{}", unasked.len());
    engine.report_usage("router", Vec::new(), &[demand("m7", 1, 1, 500)], now);
    let mut loaded = false;
    for _ in 0..50 {
        now = Timestamp(now.0 + 20);
        for step in engine.plan(now) {
            loaded |= matches!(&step, PlacementStep::Give(order)
                if order.action == OrderAction::LoadModel(ModelName::from("m7")));
            answer(&mut engine, &step, now);
        }
        if loaded {
            return;
        }
    }
    panic!("m7 is not loaded");
}

#[test]
fn an_address_belongs_to_the_instance_that_has_it_now() {
    let start = Timestamp(10_000);
    let mut engine = PlacementEngine::new(PlacementSettings::default());
    engine.configure(configuration(), start);
    engine.register(registration(1, 1, 1), start);
    // It moves; another one that comes to its old address must not drop it.
    engine.register(registration(1, 2, 2), start);
    let later = Timestamp(start.0 + 1_500);
    engine.register(registration(3, 1, 1), later);
    assert!(engine.knows(&RunnerId::from("i-1")));
    // One that comes to its new address replaces it: it is silent.
    engine.register(registration(4, 2, 1), later);
    assert!(!engine.knows(&RunnerId::from("i-1")));
    assert!(engine.knows(&RunnerId::from("i-3")));
    assert!(engine.knows(&RunnerId::from("i-4")));
}

#[test]
fn an_adapter_that_becomes_ready_is_told_when_it_does() {
    let start = Timestamp(10_000);
    let mut engine = PlacementEngine::new(PlacementSettings::default());
    engine.configure(configuration(), start);
    engine.register(registration(1, 1, 1), start);
    let mut now = start;
    while engine.next_ready().is_none() {
        for step in engine.plan(now) {
            answer(&mut engine, &step, now);
        }
        now = Timestamp(now.0 + 20);
        assert!(now.0 < start.0 + 5_000, "an adapter is loaded");
    }
    let _ = engine.take_changes(now);
    let due = engine.next_ready().expect("an adapter is on its way");
    engine.mark_ready(Timestamp(due.0 - 1));
    assert!(engine.take_changes(now).0.is_empty(), "not yet");
    engine.mark_ready(due);
    let (changed, _) = engine.take_changes(due);
    assert_eq!(changed.len(), 1);
    assert!(!changed[0].models[0].adapters.is_empty(), "{changed:?}");
}
