//! Weights that are cached on the instances' own disks decide where a model is loaded and what is
//! evicted: a model that can be reloaded soon costs little to evict.

mod placement_simulation;

use courseshunt_services::{LoadSource, ModelDemand, PlacementEvent};
use courseshunt_types::{ModelName, RunnerId};
use placement_simulation::*;

/// Number of instances; two models fit on each.
const INSTANCES: usize = 4;
/// Interval between reports, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 250;
/// Each model is requested once in this number of reports.
const REPORTS_PER_REQUEST: u64 = 24;
/// Latency objective that a load from disk meets, in milliseconds.
const OBJECTIVE_MS: u32 = 2_500;

/// A simulation in which each instance has the given models cached on its disk and holds the first
/// two of them.
fn simulation(disks: [&[&str]; INSTANCES]) -> Simulation {
    let mut simulation = Simulation::new(1, INSTANCES, 0);
    for (number, disk) in disks.iter().enumerate() {
        let id = RunnerId::from(format!("r{number}"));
        let instance = simulation
            .instances
            .get_mut(&id)
            .expect("the instance exists");
        instance.models = disk
            .iter()
            .take(2)
            .map(|model| ((*model).to_owned(), Vec::new()))
            .collect();
        instance.disk_slots = 8;
        for model in disk.iter().rev() {
            instance.cache_on_disk(model);
        }
    }
    simulation.add_disks(8);
    simulation
}

/// Demand for models that are requested rarely; requests wait for those without a replica.
fn rare_demand(simulation: &Simulation, models: &[&str]) -> Vec<ModelDemand> {
    let report = simulation.now / REPORT_INTERVAL_MS;
    let demands = models.iter().enumerate().map(|(number, model)| {
        let arrives = (report + number as u64).is_multiple_of(REPORTS_PER_REQUEST);
        let waiting = u32::from(arrives && simulation.replicas(model) == 0);
        demand(model, u32::from(arrives), waiting, OBJECTIVE_MS)
    });
    demands.collect()
}

fn run(simulation: &mut Simulation, models: &[&str], seconds: u64) {
    let end = simulation.now + seconds * 1_000;
    while simulation.now < end {
        let demands = rare_demand(simulation, models);
        simulation.step(&demands);
    }
}

/// Models of the loads so far that took the weights from `source`.
fn loads_from(simulation: &Simulation, source: LoadSource) -> Vec<ModelName> {
    let ended = simulation.events.iter().filter_map(|event| match event {
        PlacementEvent::LoadEnded(end) if end.source == source => Some(end.model.clone()),
        _ => None,
    });
    ended.collect()
}

#[test]
fn models_that_take_turns_on_an_instance_are_loaded_from_its_disk() {
    let mut simulation = simulation([
        &["m0", "m1", "m8"],
        &["m2", "m3", "m9"],
        &["m4", "m5", "m10"],
        &["m6", "m7", "m11"],
    ]);
    let all: Vec<String> = (0..12).map(|number| format!("m{number}")).collect();
    let all: Vec<&str> = all.iter().map(String::as_str).collect();
    run(&mut simulation, &all, 60);
    let from_disk = loads_from(&simulation, LoadSource::Disk).len();
    let from_store = loads_from(&simulation, LoadSource::Store);
    assert!(from_disk >= 20, "{from_disk} loads from disk");
    assert!(
        from_store.len() * 4 <= from_disk,
        "{from_disk} loads from disk; from the store: {from_store:?}"
    );
}

#[test]
fn a_model_cached_on_disk_is_evicted_before_one_that_is_not() {
    // m0 is cached on the disk of the instance that holds it, m1 on no disk.
    let mut simulation = simulation([
        &["m0", "m1", "m8"],
        &["m2", "m3"],
        &["m4", "m5"],
        &["m6", "m7"],
    ]);
    let holder = RunnerId::from("r0");
    let instance = simulation
        .instances
        .get_mut(&holder)
        .expect("the instance exists");
    instance.disk.retain(|model| model != "m1");
    let others = ["m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7"];
    run(&mut simulation, &others, 10);
    simulation.events.clear();
    let before = simulation.now;
    while simulation.replicas("m8") == 0 {
        let mut demands = rare_demand(&simulation, &others);
        demands.push(demand("m8", 0, 1, OBJECTIVE_MS));
        simulation.step(&demands);
        assert!(simulation.now < before + 3_000, "m8 was not loaded");
    }
    let instance = &simulation.instances[&holder];
    assert!(
        instance.models.contains_key("m1"),
        "m1 would have to be loaded from the store"
    );
    assert!(
        !instance.models.contains_key("m0"),
        "m0 can be reloaded from the disk"
    );
}

#[test]
fn a_busy_instance_with_cached_weights_is_preferred_to_the_store() {
    let mut simulation = simulation([
        &["m0", "m1", "m8", "m9"],
        &["m2", "m3"],
        &["m4", "m5"],
        &["m6", "m7"],
    ]);
    run(
        &mut simulation,
        &["m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7"],
        10,
    );
    simulation.events.clear();
    let before = simulation.now;
    while simulation.replicas("m8") == 0 || simulation.replicas("m9") == 0 {
        let demands = ["m8", "m9"].map(|model| {
            let waiting = u32::from(simulation.replicas(model) == 0);
            demand(model, waiting, waiting, OBJECTIVE_MS)
        });
        simulation.step(&demands);
        assert!(
            simulation.now < before + 5_000,
            "m8 and m9 were not both loaded"
        );
    }
    let from_store = loads_from(&simulation, LoadSource::Store);
    assert_eq!(
        from_store,
        [],
        "both are cached on the disk of one instance"
    );
}

#[test]
fn a_slow_store_is_neither_overloaded_nor_left_idle() {
    // All instances start without models and with empty disks: everything has to be loaded from a
    // store that serves three loads at full speed.
    let mut simulation = Simulation::new(3, 12, 0);
    for instance in simulation.instances.values_mut() {
        instance.models.clear();
    }
    simulation.add_disks(8);
    simulation.store_capacity = 3;
    let all: Vec<String> = (0..30).map(|number| format!("m{number}")).collect();
    let all: Vec<&str> = all.iter().map(String::as_str).collect();
    run(&mut simulation, &all, 60);
    let since = 20_000;
    let late = simulation
        .store_loads
        .iter()
        .filter(|(at, _, _)| *at >= since);
    let overloaded = late
        .clone()
        .filter(|(_, _, concurrency)| *concurrency > 4)
        .count();
    assert_eq!(overloaded, 0, "{:?}", simulation.store_loads);
    assert!(
        late.count() >= 20,
        "the store is idle: {:?}",
        simulation.store_loads
    );
}

/// Routers receive the expected time of a model that is queued for the weight store.
#[test]
fn a_model_queued_for_the_store_is_announced() {
    let mut simulation = Simulation::new(4, 12, 0);
    for instance in simulation.instances.values_mut() {
        instance.models.clear();
    }
    simulation.store_capacity = 3;
    let all: Vec<String> = (0..20).map(|number| format!("m{number}")).collect();
    for _ in 0..100 {
        let waiting = all.iter().map(|model| demand(model, 0, 1, OBJECTIVE_MS));
        let waiting: Vec<ModelDemand> = waiting.collect();
        simulation.step(&waiting);
    }
    let views = simulation
        .engine
        .views(courseshunt_types::Timestamp::at(simulation.now));
    for model in &all {
        let loading = views.iter().flat_map(|view| &view.loading);
        let due = loading.filter(|(name, _)| name.as_str() == model).count();
        assert!(
            due > 0 || simulation.replicas(model) > 0,
            "{model} is not announced"
        );
    }
}

/// A load that takes longer than declared is still in progress, so no other order is sent to its
/// instance meanwhile.
#[test]
fn an_instance_whose_load_is_overdue_gets_no_order() {
    let mut simulation = Simulation::new(5, 4, 0);
    for instance in simulation.instances.values_mut() {
        instance.models.clear();
    }
    simulation.store_capacity = 1;
    let all: Vec<String> = (0..20).map(|number| format!("m{number}")).collect();
    for _ in 0..2_000 {
        let waiting = all.iter().map(|model| demand(model, 1, 1, OBJECTIVE_MS));
        let waiting: Vec<ModelDemand> = waiting.collect();
        simulation.step(&waiting);
    }
    assert!(
        simulation
            .store_loads
            .iter()
            .any(|(_, _, concurrency)| *concurrency > 1)
    );
    assert_eq!(simulation.conflicts, 0);
}
