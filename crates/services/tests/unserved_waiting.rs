//! Requests that wait although an instance holds their model. Routers of an earlier release never ask an
//! instance again that turned a request away: the request waited for nine tenths of its deadline, since no
//! other instance got the model.

mod placement_simulation;

use courseshunt_services::ModelDemand;
use courseshunt_types::RunnerId;
use placement_simulation::{MODELS, Simulation, demand};

const INSTANCES: usize = 12;
const SETTLING_TIME: u64 = 42_000;
const REPORT_INTERVAL: u64 = 250;
/// A load for such a request starts within this time, in milliseconds.
const MAX_LOAD_WAIT: u64 = 2_000;
const WATCHED_TIME: u64 = 10_000;
const SEEDS: u64 = 10;

/// A simulation in which all instances are registered and filled, and a model with one replica.
fn settled(seed: u64) -> (Simulation, String) {
    let mut simulation = Simulation::new(seed, INSTANCES, 0);
    let ids: Vec<RunnerId> = simulation.instances.keys().cloned().collect();
    for id in &ids {
        simulation.register(id);
    }
    while simulation.now < SETTLING_TIME {
        simulation.step(&[]);
    }
    let mut models = (0..MODELS).map(|number| format!("m{number}"));
    let model = models.find(|one| simulation.replicas(one) == 1);
    (simulation, model.expect("a model with one replica"))
}

/// Reports `demand` for this time; returns when the model's load started, if it did.
fn report(simulation: &mut Simulation, demand: &ModelDemand, time: u64) -> Option<u64> {
    let (start, loads) = (simulation.now, simulation.load_count(&demand.model));
    let mut loaded_after = None;
    while simulation.now < start + time {
        simulation.step(std::slice::from_ref(demand));
        if loaded_after.is_none() && simulation.load_count(&demand.model) > loads {
            loaded_after = Some(simulation.now - start);
        }
    }
    loaded_after
}

#[test]
fn a_model_whose_only_replica_does_not_serve_a_waiting_request_is_loaded_elsewhere() {
    for seed in 0..SEEDS {
        let (mut simulation, model) = settled(seed);
        report(
            &mut simulation,
            &demand(&model, 1, 1, 5_000),
            REPORT_INTERVAL,
        );
        let loaded = report(&mut simulation, &demand(&model, 0, 1, 0), WATCHED_TIME);
        let loaded = loaded.unwrap_or_else(|| panic!("seed {seed}: {model} was not loaded"));
        assert!(
            loaded <= MAX_LOAD_WAIT,
            "seed {seed}: loaded after {loaded} ms"
        );
        assert_eq!(simulation.replicas(&model), 2, "seed {seed}");
    }
}

/// Reports do not tell one request that waits from others that follow one another.
#[test]
fn requests_that_arrive_and_wait_for_a_moment_each_cause_no_load() {
    for seed in 0..SEEDS {
        let (mut simulation, model) = settled(seed);
        let mut busy = demand(&model, 1, 1, 5_000);
        // Their work needs no other replica.
        busy.tokens = 0;
        assert_eq!(
            report(&mut simulation, &busy, WATCHED_TIME),
            None,
            "seed {seed}"
        );
    }
}

#[test]
fn a_request_that_waits_for_its_first_replica_causes_one_load() {
    for seed in 0..SEEDS {
        let (mut simulation, _) = settled(seed);
        let mut models = (0..MODELS).map(|number| format!("m{number}"));
        let model = models.find(|one| simulation.replicas(one) == 0);
        let model = model.expect("more models than fit");
        let waiting = demand(&model, 0, 1, 0);
        report(
            &mut simulation,
            &demand(&model, 1, 1, 5_000),
            REPORT_INTERVAL,
        );
        let start = simulation.now;
        while simulation.replicas(&model) == 0 && simulation.now < start + WATCHED_TIME {
            simulation.step(std::slice::from_ref(&waiting));
        }
        // The router reports that nothing waits a while after the load.
        report(&mut simulation, &waiting, 2 * REPORT_INTERVAL);
        for _ in 0..WATCHED_TIME / 10 {
            simulation.step(&[]);
        }
        assert_eq!(simulation.load_count(&model), 1, "seed {seed}");
    }
}

/// The last replica of a model that requests wait for is not evicted for another replica.
#[test]
fn another_replica_evicts_no_model_that_requests_wait_for() {
    for seed in 0..SEEDS {
        let (mut simulation, model) = settled(seed);
        let held = (0..MODELS).map(|number| format!("m{number}"));
        let held: Vec<String> = held.filter(|one| simulation.replicas(one) == 1).collect();
        let waiting: Vec<ModelDemand> = held.iter().map(|one| demand(one, 0, 1, 0)).collect();
        for _ in 0..WATCHED_TIME / 10 {
            simulation.step(&waiting);
            let lost = held.iter().filter(|one| simulation.replicas(one) == 0);
            assert_eq!(
                lost.collect::<Vec<_>>(),
                Vec::<&String>::new(),
                "seed {seed}, {model}"
            );
        }
    }
}
