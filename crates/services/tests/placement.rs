//! Tests of the placement engine against simulated instances: orders keep all limits, also when
//! they are lost or carried out late.

mod placement_simulation;

use courseshunt_services::*;
use courseshunt_types::{Millis, RunnerId, Timestamp};
use placement_simulation::*;

#[test]
fn a_model_with_waiting_requests_is_loaded() {
    let mut simulation = Simulation::new(1, 2, 0);
    // The instances are first filled with other models (2 s), then this model is loaded (2 s).
    for _ in 0..450 {
        simulation.step(&[demand("m7", 1, 1, 500)]);
    }
    assert!(simulation.replicas("m7") >= 1, "{:?}", simulation.instances);
}

#[test]
fn free_memory_is_filled_without_evictions_for_models_without_requests() {
    let mut simulation = Simulation::new(2, 4, 0);
    for _ in 0..2_000 {
        simulation.step(&[]);
    }
    let held: usize = simulation
        .instances
        .values()
        .map(|one| one.models.len())
        .sum();
    assert_eq!(
        held, 8,
        "two models fit on each instance: {:?}",
        simulation.instances
    );
    for number in 0..4 {
        assert!(
            simulation.replicas(&format!("m{number}")) >= 1,
            "m{number} was evicted"
        );
    }
}

#[test]
fn a_busy_model_gets_more_replicas() {
    let mut simulation = Simulation::new(3, 6, 0);
    for _ in 0..2_000 {
        simulation.step(&[demand("m0", 4, 0, 500)]);
    }
    assert!(simulation.replicas("m0") >= 2, "{:?}", simulation.instances);
}

#[test]
fn a_steady_demand_causes_no_further_loads() {
    let mut simulation = Simulation::new(4, 6, 0);
    let steady = [demand("m0", 3, 0, 500), demand("m1", 1, 0, 500)];
    for _ in 0..2_000 {
        simulation.step(&steady);
    }
    let before = simulation.loads.len();
    for _ in 0..3_000 {
        simulation.step(&steady);
    }
    let additional = simulation.loads.len() - before;
    assert!(additional <= 1, "{additional} loads under a steady demand");
}

#[test]
fn lost_and_late_orders_never_overfill_an_instance() {
    for seed in 0..40 {
        let mut simulation = Simulation::new(100 + seed, 18, 50);
        for round in 0..1_500_u32 {
            let hot = (round / 200) as usize % MODELS;
            let rare = [0; 4].map(|_: u32| simulation.draw(MODELS as u32));
            let mut adapter = demand(&format!("m{hot}"), 1, 1, 500);
            adapter.adapter = Some(format!("a{}", simulation.draw(60)));
            let mut demands = vec![
                adapter,
                demand(&format!("m{hot}"), 4, u32::from(round % 3 == 0), 500),
            ];
            demands.extend(rare.map(|rare| demand(&format!("m{rare}"), 1, 1, 5_000)));
            simulation.step(&demands);
        }
        let window = 5_000;
        let bound = LOADS_PER_SECOND * 5.0 * 1.1 + 3.0;
        for start in &simulation.loads {
            let inside = simulation.loads.iter();
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

/// Maximum time from the loss of an order to the next one, in milliseconds; it includes a query of
/// the instance.
const MAX_RETRY_DELAY: u64 = 300;

#[test]
fn a_lost_order_is_retried_soon() {
    let mut simulation = Simulation::new(5, 1, 100);
    while simulation.sent_at.is_empty() {
        simulation.step(&[demand("m7", 1, 1, 500)]);
    }
    simulation.lost_percent = 0;
    while simulation.sent_at.len() < 2 {
        simulation.step(&[demand("m7", 1, 1, 500)]);
        assert!(
            simulation.now - simulation.sent_at[0] <= MAX_RETRY_DELAY,
            "the order was not retried"
        );
    }
}

#[test]
fn an_instance_that_left_is_not_added_again() {
    let mut simulation = Simulation::new(5, 2, 0);
    simulation.step(&[]);
    let id = RunnerId::from("r0");
    for number in 0..2 {
        let id = RunnerId::from(format!("r{number}"));
        simulation.register(&id);
    }
    simulation.engine.mark_leaving(&id);
    simulation.register(&id);
    assert!(
        !simulation.engine.is_ready(&id),
        "a later registration made it ready again"
    );
    simulation
        .engine
        .mark_terminated(&id, Timestamp::at(simulation.now));
    simulation.register(&id);
    let views = simulation.engine.views(Timestamp::at(simulation.now));
    assert!(views.iter().all(|view| view.id != id));
}

#[test]
fn routers_are_notified_of_a_leaving_instance_that_never_registered() {
    for terminated in [false, true] {
        let mut simulation = Simulation::new(6, 1, 0);
        let id = RunnerId::from("unknown");
        match terminated {
            true => simulation.engine.mark_terminated(&id, Timestamp(10)),
            false => simulation.engine.mark_leaving(&id),
        }
        let (changed, gone) = simulation.engine.take_changes(Timestamp(10));
        assert!(changed.is_empty());
        assert_eq!(gone, [id], "terminated: {terminated}");
    }
}

/// Only time refills the token bucket of loads. The unload of an adapter must not refund a token.
#[test]
fn unloading_an_adapter_refunds_no_load_token() {
    let mut simulation = Simulation::new(7, 18, 0);
    for _ in 0..1_000 {
        let wanted = (0..30).map(|number| demand(&format!("m{}", 18 + number % 22), 0, 1, 500));
        let wanted: Vec<ModelDemand> = wanted.collect();
        simulation.step(&wanted);
        // The instance is leaving and gets no orders itself, so that the rest of the fleet is not
        // affected.
        let leaving = RunnerId::from("r17");
        simulation.engine.mark_leaving(&leaving);
        let order = Order {
            instance: leaving,
            address: String::new(),
            action: OrderAction::UnloadAdapter("m0".into(), "none".to_owned()),
            expected_sequence: 0,
            from_store: false,
            rationale: OrderRationale {
                replicas: 1,
                desired: 1,
                rate_per_1000_s: 0,
                has_waiting_requests: false,
                store_loads: 0,
            },
        };
        let outcome = OrderOutcome::AlreadyDone;
        let now = Timestamp::at(simulation.now);
        simulation.engine.on_outcome(&order, outcome, now);
        let first = simulation.loads.len().saturating_sub(24);
        let recent = simulation.loads[first..].first().copied().unwrap_or(0);
        let too_many = simulation.loads.len() >= 25 && simulation.now - recent < 4_000;
        assert!(!too_many, "25 loads within 4 s at {}", simulation.now);
    }
}

#[test]
fn a_delayed_registration_does_not_make_a_leaving_instance_ready() {
    let mut simulation = Simulation::new(8, 1, 0);
    let id = RunnerId::from("r0");
    simulation.engine.mark_leaving(&id);
    simulation.register(&id);
    assert!(
        !simulation.engine.is_ready(&id),
        "a delayed registration made it ready"
    );
}

/// Instances that an earlier leader recorded are used until they register or time out, and leaving
/// ones are not added again.
#[test]
fn recorded_instances_are_removed_unless_they_register() {
    let mut earlier = Simulation::new(9, 3, 0);
    for _ in 0..200 {
        earlier.step(&[]);
    }
    let views = earlier.engine.views(Timestamp::at(earlier.now));
    assert_eq!(views.len(), 3);
    let mut engine = PlacementEngine::new(PlacementSettings::default());
    engine.configure(configuration(), Timestamp(0));
    engine.mark_leaving(&RunnerId::from("r0"));
    for view in &views {
        engine.seed(view, Timestamp(0));
    }
    assert!(!engine.is_ready(&RunnerId::from("r0")));
    assert!(engine.is_ready(&RunnerId::from("r1")));
    let orders = engine.plan(Timestamp(100));
    let is_sent = orders
        .iter()
        .any(|step| matches!(step, PlacementStep::SendOrder(_)));
    assert!(
        !is_sent,
        "an order was sent before the instance was queried: {orders:?}"
    );
    engine.expire(Timestamp(5_100));
    assert!(
        !engine.is_ready(&RunnerId::from("r1")),
        "an instance that never registered must time out"
    );
}

/// A silent instance that two routers cannot reach counts as dead before its silence alone would
/// suffice.
#[test]
fn a_model_whose_only_holder_is_unreachable_is_loaded_elsewhere() {
    let mut simulation = Simulation::new(10, 3, 0);
    for step in 0..500 {
        simulation.step(&[demand("m0", u32::from(step < 25), 0, 500)]);
    }
    assert_eq!(simulation.replicas("m0"), 1);
    let unreachable = RunnerId::from("r0");
    let removed = simulation
        .instances
        .remove(&unreachable)
        .expect("r0 exists");
    assert!(removed.models.contains_key("m0"));
    for _ in 0..400 {
        simulation.step(&[demand("m0", 0, 1, 500)]);
        let now = Timestamp::at(simulation.now);
        for router in ["one", "two"] {
            simulation
                .engine
                .report_unreachable(router, std::slice::from_ref(&unreachable), now);
        }
    }
    assert!(
        simulation.replicas("m0") >= 1,
        "4 s later: {:?}",
        simulation.instances
    );
}

/// Late answers show that the measured work underestimates the demand.
#[test]
fn a_model_whose_answers_are_late_gets_another_replica() {
    let mut simulation = Simulation::new(11, 6, 0);
    for _ in 0..1_500 {
        let mut wanted = demand("m0", 1, 0, 500);
        wanted.tokens = 100;
        wanted.late = 1;
        simulation.step(&[wanted]);
    }
    assert!(simulation.replicas("m0") >= 2, "{:?}", simulation.instances);
    let mut in_time = Simulation::new(11, 6, 0);
    for _ in 0..1_500 {
        let mut wanted = demand("m0", 1, 0, 500);
        wanted.tokens = 100;
        in_time.step(&[wanted]);
    }
    assert_eq!(
        in_time.replicas("m0"),
        1,
        "without late answers one replica suffices"
    );
}

/// No connection can be made to the best load target: the model is loaded on another instance
/// without waiting for more evidence that the first one is dead.
#[test]
fn an_order_that_cannot_be_delivered_goes_to_another_instance() {
    let mut simulation = Simulation::new(9, 4, 0);
    for _ in 0..500 {
        simulation.step(&[]);
    }
    simulation.unreachable.insert(RunnerId::from("r0"));
    let before = simulation.load_count("m30");
    let start = simulation.now;
    while simulation.load_count("m30") == before && simulation.now < start + 5_000 {
        simulation.step(&[demand("m30", 1, 1, 5_000)]);
    }
    let waited = simulation.now - start;
    assert!(waited <= 800, "{waited} ms until the load started");
}

/// The best load target registers and answers no call: the model was set aside for it for 8 s, with a
/// query every 0.4 s.
#[test]
fn an_instance_that_answers_no_query_keeps_no_model_from_being_loaded() {
    let mut simulation = Simulation::new(9, 4, 0);
    for _ in 0..500 {
        simulation.step(&[]);
    }
    // The new leader has to query an instance before its first order.
    simulation.change_leader(configuration());
    simulation.unanswering.insert(RunnerId::from("r0"));
    simulation.events.clear();
    let before = simulation.load_count("m30");
    let start = simulation.now;
    while simulation.load_count("m30") == before && simulation.now < start + 9_000 {
        simulation.step(&[demand("m30", 1, 1, 5_000)]);
    }
    let waited = simulation.now - start;
    let chosen = simulation.events.iter().filter_map(|event| match event {
        PlacementEvent::InstanceReserved(one) if one.model.as_str() == "m30" => Some(&one.instance),
        _ => None,
    });
    let chosen: Vec<&RunnerId> = chosen.collect();
    assert_eq!(chosen[0], &RunnerId::from("r0"), "{chosen:?}");
    assert!(
        waited <= 800,
        "{waited} ms until the load started: {chosen:?}"
    );
}

/// A registration of an instance at the one address that these tests share.
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

/// Requests beyond the rate limit of the only holder of a model were refused for as long as the
/// demand lasted.
#[test]
fn a_model_whose_only_replica_is_rate_limited_below_its_demand_gets_another_replica() {
    let replicas_with_limit = |limit: Option<f64>| {
        let mut simulation = Simulation::new(11, 6, 0);
        let run = |simulation: &mut Simulation| {
            for _ in 0..750 {
                let mut wanted = demand("m0", 1, 0, 500);
                wanted.tokens = 100;
                simulation.step(&[wanted]);
            }
        };
        run(&mut simulation);
        let holders = simulation.instances.iter();
        let holders = holders.filter(|(_, instance)| instance.models.contains_key("m0"));
        let holders: Vec<RunnerId> = holders.map(|(id, _)| id.clone()).collect();
        assert_eq!(holders.len(), 1);
        let limits = limit.map(|limit| (holders[0].clone(), limit));
        simulation.engine.set_limits(limits.into_iter().collect());
        run(&mut simulation);
        simulation.replicas("m0")
    };
    assert_eq!(replicas_with_limit(None), 1);
    assert_eq!(
        replicas_with_limit(Some(1e6)),
        1,
        "the limit is above the demand"
    );
    assert_eq!(replicas_with_limit(Some(0.5)), 2);
}

/// A registration that was delayed on its way arrives after its sender has crashed and another
/// incarnation has registered at the same address.
#[test]
fn a_delayed_registration_of_an_earlier_incarnation_is_ignored() {
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
    assert_eq!(
        engine.count(),
        1,
        "no other instance registered at its address"
    );
}

/// An instance that was silent for a short time stays registered when a delayed registration of its
/// predecessor at the same address arrives.
#[test]
fn a_delayed_registration_does_not_displace_the_live_instance() {
    for silent_for in [3_000, 60_000] {
        let mut engine = PlacementEngine::new(PlacementSettings::default());
        engine.register(registration("live", 1), Timestamp(1_000));
        let now = 1_000 + silent_for;
        engine.expire(Timestamp::at(now));
        engine.register(registration("held up", 9), Timestamp::at(now));
        for number in 1..=3 {
            let at = Timestamp::at(now + number * 1_200);
            engine.register(registration("live", 1 + number), at);
        }
        assert_eq!(engine.ids(), [RunnerId::from("live")], "{silent_for}");
    }
}

fn started(id: &str, started: u64, sequence: u64) -> Registration {
    Registration {
        id: RunnerId::of_incarnation(id, started),
        ..registration(id, sequence)
    }
}

/// After a change of the leader, controllers relay the last registrations that they received, those of
/// instances included that have ended since: requests were sent there and turned away (421).
#[test]
fn a_new_leader_gives_an_address_to_the_instance_that_started_last() {
    let (ended, live) = (started("ended", 1_000, 90), started("live", 2_000, 1));
    for registrations in [[&ended, &live], [&live, &ended]] {
        let mut engine = PlacementEngine::new(PlacementSettings::default());
        for one in registrations {
            engine.register(one.clone(), Timestamp(5_000));
        }
        assert_eq!(engine.ids(), std::slice::from_ref(&live.id));
    }
    let mut engine = PlacementEngine::new(PlacementSettings::default());
    let mut earlier = PlacementEngine::new(PlacementSettings::default());
    earlier.register(registration("live", 1), Timestamp(1_000));
    for view in earlier.views(Timestamp(1_000)) {
        engine.seed(&view, Timestamp(1_000));
    }
    engine.register(ended.clone(), Timestamp(1_000));
    engine.register(live.clone(), Timestamp(1_000));
    assert_eq!(engine.ids(), [live.id], "recorded without its start time");
}

/// The clocks of two machines that use an address one after the other differ.
#[test]
fn an_instance_with_an_earlier_start_time_gets_the_address_of_a_silent_one() {
    let mut engine = PlacementEngine::new(PlacementSettings::default());
    engine.register(started("ended", 2_000, 90), Timestamp(5_000));
    engine.register(started("live", 1_000, 1), Timestamp(6_200));
    let live = RunnerId::of_incarnation("live", 1_000);
    assert_eq!(engine.ids(), [live]);
}

/// The leader sends no order to an instance in backoff, and the model that the instance was
/// reserved for is loaded on another one.
#[test]
fn an_instance_in_backoff_gets_no_orders_until_the_backoff_ends() {
    const BACKOFF: u64 = 4_000;
    let mut simulation = Simulation::new(9, 2, 0);
    simulation.step(&[]);
    let backed_off = RunnerId::from("r0");
    let now = Timestamp::at(simulation.now);
    simulation
        .engine
        .start_backoff(&backed_off, Millis(BACKOFF), now);
    let backoff_end = simulation.now + BACKOFF;
    let before = simulation.instances[&backed_off].sequence;
    while simulation.now + 10 < backoff_end {
        simulation.step(&[demand("m7", 1, 1, 500)]);
        assert_eq!(
            simulation.instances[&backed_off].sequence, before,
            "at {}",
            simulation.now
        );
    }
    assert!(simulation.instances[&RunnerId::from("r1")].sequence > 0);
    for _ in 0..300 {
        simulation.step(&[demand("m6", 1, 1, 500)]);
    }
    assert!(
        simulation.instances[&backed_off].sequence > before,
        "its backoff is over"
    );
}

#[test]
fn a_leaving_notice_in_an_answer_is_applied_once() {
    let mut simulation = Simulation::new(10, 2, 0);
    simulation.step(&[]);
    let id = RunnerId::from("r0");
    simulation.register(&id);
    assert!(simulation.engine.mark_leaving_if_ready(&id));
    assert!(!simulation.engine.mark_leaving_if_ready(&id));
    assert!(
        !simulation
            .engine
            .mark_leaving_if_ready(&RunnerId::from("unknown"))
    );
    simulation.register(&id);
    assert!(
        !simulation.engine.is_ready(&id),
        "a later registration made it ready again"
    );
}
