//! What an instance holds counts by what was loaded, whatever the configuration lists later. The
//! simulated instances panic when an order overfills them.
//!
//! A model that had left the configuration counted as 0 MB: an instance with 210,000 MB was ordered to
//! hold 260,400 MB, and fell.

mod placement_simulation;

use courseshunt_services::*;
use courseshunt_types::{ModelName, RunnerId, Timestamp};
use placement_simulation::*;
use std::sync::Arc;

/// Steps of 10 ms in which a model that requests wait for is loaded.
const LOADED_STEPS: u32 = 1_500;
/// Steps in which the memory of what is listed no longer is given back.
const GIVEN_BACK_STEPS: u32 = 4_000;

/// A configuration that differs from the usual one.
fn changed(change: impl FnOnce(&mut Engine)) -> Arc<ServiceConfiguration> {
    let mut configuration = (*configuration()).clone();
    configuration.number = 2;
    let engine = configuration.services[0].engine.as_mut();
    change(engine.expect("a service with models"));
    Arc::new(configuration)
}

fn without(models: &[&str]) -> Arc<ServiceConfiguration> {
    changed(|engine| {
        engine
            .models
            .retain(|name, _| !models.contains(&name.as_str()))
    })
}

fn with_model_size(memory_mb: f64) -> Arc<ServiceConfiguration> {
    changed(|engine| {
        for model in engine.models.values_mut() {
            model.memory_mb = memory_mb;
        }
    })
}

/// One instance that holds two models, which fill it.
fn full_instance(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, 1, 0);
    only(&mut simulation)
        .models
        .insert("m1".to_owned(), Vec::new());
    run(&mut simulation, 20, &[]);
    simulation
}

fn only(simulation: &mut Simulation) -> &mut SimulatedInstance {
    let mut instances = simulation.instances.values_mut();
    instances.next().expect("an instance")
}

fn configure(simulation: &mut Simulation, configuration: Arc<ServiceConfiguration>) {
    let now = Timestamp::at(simulation.now);
    simulation.engine.configure(configuration, now);
}

fn run(simulation: &mut Simulation, steps: u32, demand: &[ModelDemand]) {
    for _ in 0..steps {
        simulation.step(demand);
    }
}

/// Requests wait for this model until it is loaded.
fn load(simulation: &mut Simulation, model: &str) {
    for _ in 0..LOADED_STEPS {
        if simulation.replicas(model) > 0 {
            return;
        }
        simulation.step(&[demand(model, 1, 1, 500)]);
    }
    panic!("{model} was not loaded: {:?}", simulation.instances);
}

#[test]
fn a_held_model_that_is_listed_no_longer_keeps_its_memory() {
    let mut simulation = full_instance(1);
    configure(&mut simulation, without(&["m0"]));
    load(&mut simulation, "m2");
    assert_eq!(simulation.replicas("m0"), 0, "it is evicted first");
}

#[test]
fn a_model_that_leaves_the_list_while_it_is_loaded_keeps_its_memory() {
    let mut simulation = Simulation::new(2, 1, 0);
    run(&mut simulation, 20, &[]);
    for _ in 0..LOADED_STEPS {
        simulation.step(&[demand("m2", 1, 1, 500)]);
        if only(&mut simulation).busy.is_some() {
            break;
        }
    }
    configure(&mut simulation, without(&["m2"]));
    load(&mut simulation, "m3");
    load(&mut simulation, "m4");
}

#[test]
fn a_held_model_that_is_listed_smaller_keeps_its_memory() {
    let mut simulation = full_instance(3);
    configure(&mut simulation, with_model_size(40.0));
    only(&mut simulation).load_mb = Some(40.0);
    for model in ["m2", "m3", "m4", "m5"] {
        load(&mut simulation, model);
    }
}

#[test]
fn a_model_that_is_listed_smaller_while_it_is_loaded_keeps_its_memory() {
    let mut simulation = Simulation::new(4, 1, 0);
    run(&mut simulation, 20, &[]);
    for _ in 0..LOADED_STEPS {
        simulation.step(&[demand("m2", 1, 1, 500)]);
        if only(&mut simulation).busy.is_some() {
            break;
        }
    }
    configure(&mut simulation, with_model_size(40.0));
    only(&mut simulation).load_mb = Some(40.0);
    for model in ["m3", "m4", "m5"] {
        load(&mut simulation, model);
    }
}

/// An order without an answer is carried out late, with the size that was listed when it was given.
#[test]
fn a_model_that_is_listed_smaller_before_a_late_load_keeps_its_memory() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, 1, 100);
        run(&mut simulation, 20, &[]);
        while simulation.late_orders.is_empty() {
            simulation.step(&[demand("m2", 1, 1, 500)]);
        }
        simulation.lost_percent = 0;
        let late = simulation.late_orders[0].1.action.model().0.clone();
        configure(&mut simulation, with_model_size(40.0));
        only(&mut simulation).load_mb = Some(40.0);
        only(&mut simulation).ordered_before = Some(late);
        for model in ["m3", "m4", "m5"] {
            load(&mut simulation, model);
        }
    }
}

#[test]
fn a_model_that_is_listed_larger_counts_with_the_larger_size() {
    let mut simulation = full_instance(5);
    configure(&mut simulation, with_model_size(100.0));
    only(&mut simulation).load_mb = Some(100.0);
    for model in ["m2", "m3"] {
        load(&mut simulation, model);
    }
}

#[test]
fn a_model_that_goes_and_comes_back_smaller_keeps_its_memory() {
    let mut simulation = full_instance(6);
    configure(&mut simulation, without(&["m0"]));
    run(&mut simulation, 20, &[]);
    configure(&mut simulation, with_model_size(40.0));
    only(&mut simulation).load_mb = Some(40.0);
    for model in ["m2", "m3", "m4"] {
        load(&mut simulation, model);
    }
}

#[test]
fn an_instance_whose_memory_is_declared_smaller_than_what_it_holds_gets_no_load_beyond_it() {
    let mut simulation = full_instance(7);
    let smaller = changed(|engine| engine.memory_mb = 110.0);
    configure(&mut simulation, smaller);
    only(&mut simulation).memory_mb = Some(110.0);
    load(&mut simulation, "m2");
    assert_eq!(only(&mut simulation).models.len(), 1);
}

#[test]
fn an_instance_whose_adapter_slots_become_fewer_than_what_it_holds_gets_no_adapter_beyond_them() {
    let mut simulation = full_instance(8);
    run(&mut simulation, 300, &[]);
    let fewer = changed(|engine| engine.adapter_slots = 2);
    configure(&mut simulation, fewer);
    only(&mut simulation).adapter_slots = Some(2);
    let mut adapter = demand("m0", 1, 1, 500);
    adapter.adapter = Some("a5".to_owned());
    run(&mut simulation, LOADED_STEPS, &[adapter]);
}

#[test]
fn memory_of_a_model_that_is_listed_no_longer_is_given_back_without_a_request() {
    let mut simulation = full_instance(9);
    configure(&mut simulation, without(&["m0"]));
    run(&mut simulation, GIVEN_BACK_STEPS, &[]);
    assert_eq!(simulation.replicas("m0"), 0);
    assert_eq!(simulation.replicas("m1"), 1);
}

#[test]
fn adapters_that_are_listed_no_longer_are_unloaded_without_a_request() {
    let mut simulation = full_instance(10);
    run(&mut simulation, 300, &[]);
    let held = only(&mut simulation).models["m0"].clone();
    assert!(!held.is_empty(), "{:?}", simulation.instances);
    let fewer = changed(|engine| {
        for model in engine.models.values_mut() {
            model.adapters.clear();
        }
    });
    configure(&mut simulation, fewer);
    run(&mut simulation, GIVEN_BACK_STEPS, &[]);
    let held = only(&mut simulation).models.values().map(Vec::len);
    assert_eq!(held.sum::<usize>(), 0, "{:?}", simulation.instances);
}

/// A model for which requests arrive is in use, also when it is listed no longer.
#[test]
fn a_model_in_use_is_not_unloaded_because_it_is_listed_no_longer() {
    let mut simulation = full_instance(11);
    configure(&mut simulation, without(&["m0"]));
    run(
        &mut simulation,
        GIVEN_BACK_STEPS,
        &[demand("m0", 1, 0, 500)],
    );
    assert_eq!(simulation.replicas("m0"), 1);
}

/// A leader that begins after the model has left the list knows its name from a report alone.
#[test]
fn nothing_is_loaded_beside_a_model_of_unknown_size() {
    let mut simulation = full_instance(12);
    only(&mut simulation).sizes.insert("m0".to_owned(), 120.0);
    simulation.engine = PlacementEngine::new(PlacementSettings::default());
    configure(&mut simulation, without(&["m0"]));
    let id = RunnerId::from("r0");
    simulation.register(&id);
    load(&mut simulation, "m2");
    assert_eq!(simulation.replicas("m0"), 0, "it is unloaded first");
    assert!(simulation.loaded_models.contains(&ModelName::from("m2")));
}

/// Another leader begins with what this one recorded, under a version that replaced `older`.
fn change_leader(
    simulation: &mut Simulation,
    older: &ServiceConfiguration,
    newer: &ServiceConfiguration,
) {
    let now = Timestamp::at(simulation.now);
    let recorded = simulation.engine.views(now);
    let newer = newer.clone();
    let earlier = earlier_sizes(older, &newer);
    let newer = newer.with_earlier_sizes(earlier);
    simulation.engine = PlacementEngine::new(PlacementSettings::default());
    simulation.engine.configure(Arc::new(newer), now);
    for view in &recorded {
        simulation.engine.seed(view, now);
    }
}

/// A leader that began after a version which lists models smaller ordered an instance to hold
/// 235,300 of 210,000 MB.
#[test]
fn a_model_that_is_listed_smaller_keeps_its_memory_at_a_new_leader() {
    let mut simulation = full_instance(13);
    let smaller = with_model_size(40.0);
    only(&mut simulation).load_mb = Some(40.0);
    change_leader(&mut simulation, &configuration(), &smaller);
    for model in ["m2", "m3", "m4", "m5"] {
        load(&mut simulation, model);
    }
}

/// What this leader itself loads counts with the size listed then, so that all memory is used.
#[test]
fn models_that_a_new_leader_loads_smaller_fill_the_memory() {
    let mut simulation = full_instance(14);
    let smaller = with_model_size(40.0);
    only(&mut simulation).load_mb = Some(40.0);
    change_leader(&mut simulation, &configuration(), &smaller);
    for model in ["m2", "m3", "m4", "m5", "m6", "m7", "m8", "m9"] {
        load(&mut simulation, model);
    }
    let held = only(&mut simulation).models.len();
    assert!(held >= 4, "{held} models of 40 MB in 200 MB");
}

/// The size is known from the versions in between, also after the model was listed no longer.
#[test]
fn a_model_that_went_and_came_back_smaller_keeps_its_memory_at_a_new_leader() {
    let mut simulation = full_instance(15);
    let without = without(&["m0"]);
    let earlier = earlier_sizes(&configuration(), &without);
    let without = (*without).clone().with_earlier_sizes(earlier);
    only(&mut simulation).load_mb = Some(40.0);
    change_leader(&mut simulation, &without, &with_model_size(40.0));
    for model in ["m2", "m3", "m4", "m5"] {
        load(&mut simulation, model);
    }
}
