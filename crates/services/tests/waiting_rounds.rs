//! Rounds for waiting requests, between the full rounds. With 20,000 instances a full round starts
//! every 1.4 s; without the rounds in between, a model with waiting requests is delayed until the
//! next one.

mod placement_simulation;

use courseshunt_services::{ModelDemand, PlacementEvent};
use courseshunt_types::RunnerId;
use placement_simulation::{MODELS, Simulation, demand};

/// Fewer models fit than there are.
const INSTANCES: usize = 12;
/// Milliseconds between full rounds of a fleet of 20,000 instances, and between rounds for waiting
/// requests.
const FULL_ROUND_INTERVAL: u64 = 1_400;
const WAITING_ROUND_INTERVAL: u64 = 100;
/// Within this time, in milliseconds, an instance is reserved for a model with waiting requests;
/// after one step of that instance and the next round, the load starts.
const MAX_RESERVATION_WAIT: u64 = 200;
const MAX_LOAD_WAIT: u64 = 2 * MAX_RESERVATION_WAIT;
/// Interval between router reports, in milliseconds.
const REPORT_INTERVAL: u64 = 250;
const SETTLING_TIME: u64 = 42_000;
const MAX_SIMULATED_WAIT: u64 = 10_000;
const SEEDS: u64 = 20;

/// Times until an instance was reserved for a model with waiting requests and until its load
/// started, in milliseconds.
#[derive(Debug, Clone, Copy, Default)]
struct Waits {
    reserved: u64,
    loading: u64,
}

/// A simulation in which all instances are registered and filled.
fn settled(seed: u64, has_waiting_rounds: bool, lost_percent: u32) -> Simulation {
    let mut simulation = Simulation::new(seed, INSTANCES, lost_percent);
    simulation.full_round_interval = FULL_ROUND_INTERVAL;
    simulation.waiting_round_interval = has_waiting_rounds.then_some(WAITING_ROUND_INTERVAL);
    let ids: Vec<RunnerId> = simulation.instances.keys().cloned().collect();
    for id in &ids {
        simulation.register(id);
    }
    // The wait starts at another time between two rounds with each seed.
    let until = SETTLING_TIME + seed * REPORT_INTERVAL;
    while simulation.now < until {
        simulation.step(&[]);
    }
    simulation
}

fn is_reserved(simulation: &Simulation, model: &str) -> bool {
    simulation
        .events
        .iter()
        .any(|event| matches!(event, PlacementEvent::InstanceReserved(one) if one.model.as_str() == model))
}

/// Simulates requests that wait for a model without a replica, until its load starts.
fn wait_for_load(simulation: &mut Simulation) -> Waits {
    // The last one, since the others may be on their way to free memory.
    let mut models = (0..MODELS).rev().map(|number| format!("m{number}"));
    let model = models.find(|one| simulation.replicas(one) == 0);
    let model = model.expect("more models than fit");
    simulation.events.clear();
    let waiting: [ModelDemand; 1] = [demand(&model, 1, 3, 1_000)];
    let (start, loads) = (simulation.now, simulation.load_count(&model));
    let mut waits = Waits::default();
    while simulation.load_count(&model) == loads {
        assert!(
            simulation.now - start < MAX_SIMULATED_WAIT,
            "{model} was not loaded"
        );
        simulation.step(&waiting);
        if waits.reserved == 0 && is_reserved(simulation, &model) {
            waits.reserved = simulation.now - start;
        }
    }
    waits.loading = simulation.now - start;
    waits
}

/// Maximum waits over all seeds, counted from the first report.
fn longest(has_waiting_rounds: bool) -> Waits {
    let mut longest = Waits::default();
    for seed in 0..SEEDS {
        let waits = wait_for_load(&mut settled(seed, has_waiting_rounds, 0));
        longest.reserved = longest
            .reserved
            .max(waits.reserved.saturating_sub(REPORT_INTERVAL));
        longest.loading = longest
            .loading
            .max(waits.loading.saturating_sub(REPORT_INTERVAL));
    }
    longest
}

#[test]
fn a_model_with_waiting_requests_is_ordered_between_full_rounds() {
    let (without, with) = (longest(false), longest(true));
    println!("without waiting rounds {without:?}, with them {with:?}, in ms");
    assert!(
        without.reserved > MAX_RESERVATION_WAIT,
        "full rounds alone are already fast enough"
    );
    assert!(with.reserved <= MAX_RESERVATION_WAIT, "{with:?}");
    assert!(with.loading <= MAX_LOAD_WAIT, "{with:?}");
}

/// Memory, adapter slots and the store's rate limit are kept with both kinds of rounds: the
/// simulation panics on an order that overfills an instance.
#[test]
fn both_kinds_of_rounds_keep_the_limits_when_orders_are_lost() {
    for seed in 0..SEEDS {
        let mut simulation = settled(seed, true, 10);
        for number in 0..600 {
            let model = (seed as usize + number / 40) % MODELS;
            let model = format!("m{model}");
            let waiting = u32::from(simulation.replicas(&model) == 0);
            let mut wanted = demand(&model, 1, waiting, 1_000);
            wanted.adapter = Some(format!("a{}", number % 6));
            simulation.step(&[wanted]);
        }
        let mut loads = simulation.loads.clone();
        loads.sort_unstable();
        for start in &loads {
            let inside = loads
                .iter()
                .filter(|at| (*start..start + 5_000).contains(at));
            let bound = placement_simulation::LOADS_PER_SECOND * 5.0 * 1.1 + 3.0;
            assert!(
                inside.count() as f64 <= bound,
                "seed {seed}, from {start} ms"
            );
        }
    }
}

/// Such a model was a candidate twice, as one with waiting requests and as one without a replica:
/// two instances evicted a model for it, and the next round dropped both reservations, since one
/// replica is needed.
#[test]
fn a_model_with_waiting_requests_reserves_one_instance() {
    for seed in 0..SEEDS {
        let mut simulation = settled(seed, false, 0);
        simulation.full_round_interval = 50;
        wait_for_load(&mut simulation);
        let reservations = simulation.events.iter();
        let reservations =
            reservations.filter(|event| matches!(event, PlacementEvent::InstanceReserved(_)));
        assert_eq!(reservations.count(), 1, "seed {seed}");
    }
}
