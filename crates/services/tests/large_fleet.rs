//! A new leader takes over 10,000 instances. It calls only those that it has an order for, a
//! bounded number at a time, models with waiting requests first. An address that moves from one
//! instance to another is handled.

mod placement_simulation;

use courseshunt_services::*;
use courseshunt_types::{ModelName, RunnerId, Timestamp, Zone};
use placement_simulation::{configuration, demand};

const INSTANCES: u32 = 10_000;
/// Maximum number of concurrent calls to instances.
const MAX_CALLS: usize = 256;

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

/// Answers a query or an order.
fn answer(engine: &mut PlacementEngine, step: &PlacementStep, now: Timestamp) {
    match step {
        PlacementStep::QueryInstance { instance, .. } => {
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
        PlacementStep::SendOrder(order) => engine.on_outcome(order, OrderOutcome::Accepted, now),
    }
}

/// Each of the 42 adapters of the held models is loaded once, and of the 1,400 instances that hold
/// each model no more are called than that takes.
#[test]
fn a_new_leader_does_not_call_all_instances() {
    let mut now = Timestamp(10_000);
    let mut engine = fleet(now);
    let mut in_flight = Vec::new();
    let (mut queries, mut adapters) = (0, 0);
    for _ in 0..12 {
        let steps = engine.plan(now);
        let is_query = |step: &&PlacementStep| matches!(step, PlacementStep::QueryInstance { .. });
        queries += steps.iter().filter(is_query).count();
        let is_adapter = |step: &&PlacementStep| {
            matches!(step, PlacementStep::SendOrder(order)
                if matches!(order.action, OrderAction::LoadAdapter(..)))
        };
        adapters += steps.iter().filter(is_adapter).count();
        in_flight.extend(steps);
        assert!(in_flight.len() <= MAX_CALLS, "{} calls", in_flight.len());
        // Some answers arrive late.
        let left = in_flight.len() / 3;
        for step in in_flight.drain(left..) {
            answer(&mut engine, &step, now);
        }
        now = Timestamp(now.0 + 20);
    }
    assert_eq!(adapters, 42);
    assert!(queries <= 200, "{queries} queries");
}

/// No instance answers, as after a network partition: the number of calls stays bounded, and a
/// model with waiting requests still gets one.
#[test]
fn a_model_with_waiting_requests_gets_call_capacity() {
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
    let background = engine.plan(now);
    assert!(
        background.len() <= MAX_CALLS / 2 + 8,
        "{}",
        background.len()
    );
    engine.report_usage("router", Vec::new(), &[demand("m7", 1, 1, 500)], now);
    let mut loaded = false;
    for _ in 0..50 {
        now = Timestamp(now.0 + 20);
        for step in engine.plan(now) {
            loaded |= matches!(&step, PlacementStep::SendOrder(order)
                if order.action == OrderAction::LoadModel(ModelName::from("m7")));
            answer(&mut engine, &step, now);
        }
        if loaded {
            return;
        }
    }
    panic!("m7 was not loaded");
}

#[test]
fn an_address_belongs_to_its_current_instance() {
    let start = Timestamp(10_000);
    let mut engine = PlacementEngine::new(PlacementSettings::default());
    engine.configure(configuration(), start);
    engine.register(registration(1, 1, 1), start);
    // The instance moves; another one that registers at its previous address must not remove it.
    engine.register(registration(1, 2, 2), start);
    let later = Timestamp(start.0 + 1_500);
    engine.register(registration(3, 1, 1), later);
    assert!(engine.contains(&RunnerId::from("i-1")));
    // An instance that registers at its new address replaces it, since it is silent.
    engine.register(registration(4, 2, 1), later);
    assert!(!engine.contains(&RunnerId::from("i-1")));
    assert!(engine.contains(&RunnerId::from("i-3")));
    assert!(engine.contains(&RunnerId::from("i-4")));
}

#[test]
fn an_adapter_is_reported_to_routers_when_it_becomes_ready() {
    let start = Timestamp(10_000);
    let mut engine = PlacementEngine::new(PlacementSettings::default());
    engine.configure(configuration(), start);
    engine.register(registration(1, 1, 1), start);
    let mut now = start;
    while engine.next_adapter_ready().is_none() {
        for step in engine.plan(now) {
            answer(&mut engine, &step, now);
        }
        now = Timestamp(now.0 + 20);
        assert!(now.0 < start.0 + 5_000, "no adapter was loaded within 5 s");
    }
    let _ = engine.take_changes(now);
    let due = engine
        .next_adapter_ready()
        .expect("an adapter is being loaded");
    engine.mark_adapters_ready(Timestamp(due.0 - 1));
    assert!(
        engine.take_changes(now).0.is_empty(),
        "the adapter is not ready yet"
    );
    engine.mark_adapters_ready(due);
    let (changed, _) = engine.take_changes(due);
    assert_eq!(changed.len(), 1);
    assert!(!changed[0].models[0].adapters.is_empty(), "{changed:?}");
}
