//! The placement engine against a model of instances: orders keep every limit,
//! also when they are lost or carried out late.

mod placement_world;

use courseshunt_services::*;
use courseshunt_types::{Millis, RunnerId, Timestamp};
use placement_world::*;

#[test]
fn a_model_that_is_waited_for_is_loaded() {
    let mut world = World::new(1, 2, 0);
    // The runners first load what fills them (2 s), then this model (2 s).
    for _ in 0..450 {
        world.step(&[demand("m7", 1, 1, 500)]);
    }
    assert!(world.copies("m7") >= 1, "{:?}", world.runners);
}

#[test]
fn free_memory_is_filled_and_nothing_is_evicted_for_models_nobody_asks_for() {
    let mut world = World::new(2, 4, 0);
    for _ in 0..2_000 {
        world.step(&[]);
    }
    let held: usize = world.runners.values().map(|one| one.models.len()).sum();
    assert_eq!(held, 8, "two models fit each runner: {:?}", world.runners);
    for number in 0..4 {
        assert!(
            world.copies(&format!("m{number}")) >= 1,
            "m{number} was evicted"
        );
    }
}

#[test]
fn a_busy_model_gets_more_copies() {
    let mut world = World::new(3, 6, 0);
    for _ in 0..2_000 {
        world.step(&[demand("m0", 4, 0, 500)]);
    }
    assert!(world.copies("m0") >= 2, "{:?}", world.runners);
}

#[test]
fn a_steady_demand_moves_nothing_for_long() {
    let mut world = World::new(4, 6, 0);
    let steady = [demand("m0", 3, 0, 500), demand("m1", 1, 0, 500)];
    for _ in 0..2_000 {
        world.step(&steady);
    }
    let before = world.loads.len();
    for _ in 0..3_000 {
        world.step(&steady);
    }
    let moved = world.loads.len() - before;
    assert!(moved <= 1, "{moved} loads under a steady demand");
}

#[test]
fn lost_and_late_orders_never_overfill_an_instance() {
    for seed in 0..40 {
        let mut world = World::new(100 + seed, 18, 50);
        for round in 0..1_500_u32 {
            let hot = (round / 200) as usize % MODELS;
            let rare = [0; 4].map(|_: u32| world.draw(MODELS as u32));
            let mut adapter = demand(&format!("m{hot}"), 1, 1, 500);
            adapter.adapter = Some(format!("a{}", world.draw(60)));
            let mut asked = vec![
                adapter,
                demand(&format!("m{hot}"), 4, u32::from(round % 3 == 0), 500),
            ];
            asked.extend(rare.map(|rare| demand(&format!("m{rare}"), 1, 1, 5_000)));
            world.step(&asked);
        }
        let window = 5_000;
        let bound = LOADS_PER_SECOND * 5.0 * 1.1 + 3.0;
        for start in &world.loads {
            let inside = world.loads.iter();
            let inside = inside
                .filter(|at| (*start..=start + window).contains(*at))
                .count();
            assert!(
                inside as f64 <= bound,
                "seed {seed}: {inside} loads in a window"
            );
        }
    }
}

/// Longest time from the loss of an order to the next one, in milliseconds: the
/// instance is asked in between.
const ORDER_AGAIN: u64 = 300;

#[test]
fn a_lost_order_is_given_again_soon() {
    let mut world = World::new(5, 1, 100);
    while world.given.is_empty() {
        world.step(&[demand("m7", 1, 1, 500)]);
    }
    world.lost_share = 0;
    while world.given.len() < 2 {
        world.step(&[demand("m7", 1, 1, 500)]);
        assert!(world.now - world.given[0] <= ORDER_AGAIN, "not given again");
    }
}

#[test]
fn an_instance_that_left_does_not_come_back() {
    let mut world = World::new(5, 2, 0);
    world.step(&[]);
    let id = RunnerId::from("r0");
    for number in 0..2 {
        let id = RunnerId::from(format!("r{number}"));
        world.register(&id);
    }
    world.engine.leave(&id);
    world.register(&id);
    assert!(
        !world.engine.is_ready(&id),
        "a later registration revived it"
    );
    world.engine.depart(&id, Timestamp::at(world.now));
    world.register(&id);
    let views = world.engine.views(Timestamp::at(world.now));
    assert!(views.iter().all(|view| view.id != id));
}

#[test]
fn an_instance_that_leaves_before_it_is_known_is_told_to_routers() {
    for ends in [false, true] {
        let mut world = World::new(6, 1, 0);
        let id = RunnerId::from("unknown");
        match ends {
            true => world.engine.depart(&id, Timestamp(10)),
            false => world.engine.leave(&id),
        }
        let (changed, gone) = world.engine.take_changes(Timestamp(10));
        assert!(changed.is_empty());
        assert_eq!(gone, [id], "ends: {ends}");
    }
}

/// The bucket of loads is refilled by time alone.
#[test]
fn an_adapter_that_is_unloaded_gives_no_load_back() {
    let mut world = World::new(7, 18, 0);
    for _ in 0..1_000 {
        let wanted = (0..30).map(|number| demand(&format!("m{}", 18 + number % 22), 0, 1, 500));
        let wanted: Vec<ModelDemand> = wanted.collect();
        world.step(&wanted);
        // It takes no orders itself, so that nothing else is disturbed.
        let leaving = RunnerId::from("r17");
        world.engine.leave(&leaving);
        let order = Order {
            instance: leaving,
            address: String::new(),
            action: OrderAction::UnloadAdapter("m0".into(), "none".to_owned()),
            expected: 0,
            from_store: false,
            evidence: OrderEvidence {
                copies: 1,
                desired: 1,
                rate_per_1000_s: 0,
                waited_for: false,
                store_loads: 0,
            },
        };
        let outcome = OrderOutcome::AlreadyDone;
        let now = Timestamp::at(world.now);
        world.engine.on_outcome(&order, outcome, now);
        let first = world.loads.len().saturating_sub(24);
        let recent = world.loads[first..].first().copied().unwrap_or(0);
        let many = world.loads.len() >= 25 && world.now - recent < 4_000;
        assert!(!many, "25 loads within 4 s at {}", world.now);
    }
}

#[test]
fn a_late_registration_does_not_bring_a_leaving_instance_back() {
    let mut world = World::new(8, 1, 0);
    let id = RunnerId::from("r0");
    world.engine.leave(&id);
    world.register(&id);
    assert!(!world.engine.is_ready(&id), "it was ready when it said so");
}

/// What an earlier leader recorded is a hint: it serves until the instance says
/// otherwise, and brings no leaving instance back.
#[test]
fn recorded_instances_are_known_until_they_register() {
    let mut earlier = World::new(9, 3, 0);
    for _ in 0..200 {
        earlier.step(&[]);
    }
    let views = earlier.engine.views(Timestamp::at(earlier.now));
    assert_eq!(views.len(), 3);
    let mut engine = PlacementEngine::new(PlacementSettings::default());
    engine.configure(configuration(), Timestamp(0));
    engine.leave(&RunnerId::from("r0"));
    for view in &views {
        engine.seed(view, Timestamp(0));
    }
    assert!(!engine.is_ready(&RunnerId::from("r0")));
    assert!(engine.is_ready(&RunnerId::from("r1")));
    let orders = engine.plan(Timestamp(100));
    let given = orders
        .iter()
        .any(|step| matches!(step, PlacementStep::Give(_)));
    assert!(!given, "no order before the instance was asked: {orders:?}");
    engine.expire(Timestamp(5_100));
    assert!(
        !engine.is_ready(&RunnerId::from("r1")),
        "it never registered"
    );
}

/// Two routers that can't reach a silent instance are believed before its
/// silence alone would be.
#[test]
fn a_model_whose_only_holder_is_dark_is_loaded_elsewhere() {
    let mut world = World::new(10, 3, 0);
    for step in 0..500 {
        world.step(&[demand("m0", u32::from(step < 25), 0, 500)]);
    }
    assert_eq!(world.copies("m0"), 1);
    let dark = RunnerId::from("r0");
    let stopped = world.runners.remove(&dark).expect("the holder");
    assert!(stopped.models.contains_key("m0"));
    for _ in 0..400 {
        world.step(&[demand("m0", 0, 1, 500)]);
        let now = Timestamp::at(world.now);
        for router in ["one", "two"] {
            world
                .engine
                .report_unreachable(router, std::slice::from_ref(&dark), now);
        }
    }
    assert!(world.copies("m0") >= 1, "4 s later: {:?}", world.runners);
}

/// Late answers say that the work was judged too small.
#[test]
fn a_model_whose_answers_are_late_gets_another_copy() {
    let mut world = World::new(11, 6, 0);
    for _ in 0..1_500 {
        let mut small = demand("m0", 1, 0, 500);
        small.tokens = 100;
        small.late = 1;
        world.step(&[small]);
    }
    assert!(world.copies("m0") >= 2, "{:?}", world.runners);
    let mut calm = World::new(11, 6, 0);
    for _ in 0..1_500 {
        let mut small = demand("m0", 1, 0, 500);
        small.tokens = 100;
        calm.step(&[small]);
    }
    assert_eq!(calm.copies("m0"), 1, "without late answers one is enough");
}

/// The instance that is the best place can't be connected to: the model is
/// loaded at another without waiting for more signs that it is dead.
#[test]
fn an_order_that_cannot_be_delivered_goes_to_another_instance() {
    let mut world = World::new(9, 4, 0);
    for _ in 0..500 {
        world.step(&[]);
    }
    world.unreachable.insert(RunnerId::from("r0"));
    let before = world.loads_of("m30");
    let began = world.now;
    while world.loads_of("m30") == before && world.now < began + 5_000 {
        world.step(&[demand("m30", 1, 1, 5_000)]);
    }
    let waited = world.now - began;
    assert!(waited <= 800, "{waited} ms until the load began");
}

/// A registration of an instance at the one address that these tests dispute.
fn registration(id: &str, sequence: u64) -> Registration {
    Registration {
        id: RunnerId::from(id),
        service: "s".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: "z".into(),
        slots: 8,
        state: InstanceState::Ready,
        sequence,
        remaining: None,
        models: Vec::new(),
        cached_weights: CachedWeights::default(),
    }
}

/// A registration that was held up on its way arrives after its sender has crashed and
/// another incarnation has registered at the same address.
/// What is beyond the limit that the only holder of a model names was refused for as long as it
/// lasted.
#[test]
fn a_model_whose_only_copy_names_a_limit_below_its_demand_gets_another_copy_elsewhere() {
    let copies_with = |limit: Option<f64>| {
        let mut world = World::new(11, 6, 0);
        let run = |world: &mut World| {
            for _ in 0..750 {
                let mut small = demand("m0", 1, 0, 500);
                small.tokens = 100;
                world.step(&[small]);
            }
        };
        run(&mut world);
        let holders = world.runners.iter();
        let holders = holders.filter(|(_, runner)| runner.models.contains_key("m0"));
        let holders: Vec<RunnerId> = holders.map(|(id, _)| id.clone()).collect();
        assert_eq!(holders.len(), 1);
        let limits = limit.map(|limit| (holders[0].clone(), limit));
        world.engine.set_limits(limits.into_iter().collect());
        run(&mut world);
        world.copies("m0")
    };
    assert_eq!(copies_with(None), 1);
    assert_eq!(copies_with(Some(1e6)), 1, "it takes all that is asked for");
    assert_eq!(copies_with(Some(0.5)), 2);
}

#[test]
fn a_late_registration_of_an_earlier_incarnation_changes_nothing() {
    for silent_for in [2_000, 60_000] {
        let mut engine = PlacementEngine::new(PlacementSettings::default());
        engine.register(registration("before", 7), Timestamp(1_000));
        let now = Timestamp(1_000 + silent_for);
        engine.expire(now);
        engine.register(registration("after", 1), now);
        engine.register(registration("before", 8), now);
        assert_eq!(engine.ids(), [RunnerId::from("after")], "{silent_for}");
    }
    let mut engine = PlacementEngine::new(PlacementSettings::default());
    engine.register(registration("cut off", 7), Timestamp(1_000));
    engine.expire(Timestamp(60_000));
    engine.register(registration("cut off", 8), Timestamp(61_000));
    assert_eq!(engine.count(), 1, "nobody took its address");
}

/// An instance that was not heard for a moment is not shut out by a registration of its
/// predecessor that was held up.
#[test]
fn a_late_registration_shuts_nobody_out() {
    for silent_for in [3_000, 60_000] {
        let mut engine = PlacementEngine::new(PlacementSettings::default());
        engine.register(registration("live", 1), Timestamp(1_000));
        let now = 1_000 + silent_for;
        engine.expire(Timestamp::at(now));
        engine.register(registration("held up", 9), Timestamp::at(now));
        for beat in 1..=3 {
            let at = Timestamp::at(now + beat * 1_200);
            engine.register(registration("live", 1 + beat), at);
        }
        assert_eq!(engine.ids(), [RunnerId::from("live")], "{silent_for}");
    }
}

/// The leader calls an instance about its orders; one that asks for rest is not called, and
/// what it was to load is loaded elsewhere.
#[test]
fn an_instance_that_asks_for_rest_is_given_no_orders_until_its_end() {
    const REST: u64 = 4_000;
    let mut world = World::new(9, 2, 0);
    world.step(&[]);
    let resting = RunnerId::from("r0");
    let now = Timestamp::at(world.now);
    world.engine.asked_rest(&resting, Millis(REST), now);
    let ends = world.now + REST;
    let before = world.runners[&resting].sequence;
    while world.now + 10 < ends {
        world.step(&[demand("m7", 1, 1, 500)]);
        assert_eq!(world.runners[&resting].sequence, before, "at {}", world.now);
    }
    assert!(world.runners[&RunnerId::from("r1")].sequence > 0);
    for _ in 0..300 {
        world.step(&[demand("m6", 1, 1, 500)]);
    }
    assert!(
        world.runners[&resting].sequence > before,
        "its rest is over"
    );
}

#[test]
fn what_an_instance_says_in_answers_counts_once() {
    let mut world = World::new(10, 2, 0);
    world.step(&[]);
    let id = RunnerId::from("r0");
    world.register(&id);
    assert!(world.engine.leaves_by_its_word(&id));
    assert!(!world.engine.leaves_by_its_word(&id));
    assert!(!world.engine.leaves_by_its_word(&RunnerId::from("unknown")));
    world.register(&id);
    assert!(!world.engine.is_ready(&id), "its registration says ready");
}
