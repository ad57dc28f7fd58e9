//! Copies on the instances' own disks decide where a model is loaded and what
//! gives way: what comes back soon costs little.

mod placement_world;

use courseshunt_services::{LoadSource, ModelDemand, PlacementEvent};
use courseshunt_types::{ModelName, RunnerId};
use placement_world::*;

/// Instances; two models fit each.
const INSTANCES: usize = 4;
/// A report goes out so often, in milliseconds.
const REPORT: u64 = 250;
/// Each model is asked for once in so many reports.
const REPORTS_PER_REQUEST: u64 = 24;
/// Objective within which a load from a disk is in time.
const PATIENT_MS: u32 = 2_500;

/// A world in which each instance has these models on its disk, and holds the
/// first two of them.
fn world(disks: [&[&str]; INSTANCES]) -> World {
    let mut world = World::new(1, INSTANCES, 0);
    for (number, disk) in disks.iter().enumerate() {
        let id = RunnerId::from(format!("r{number}"));
        let runner = world.runners.get_mut(&id).expect("a runner");
        runner.models = disk
            .iter()
            .take(2)
            .map(|model| ((*model).to_owned(), Vec::new()))
            .collect();
        runner.disk_copies = 8;
        for model in disk.iter().rev() {
            runner.keep(model);
        }
    }
    world.give_disks(8);
    world
}

/// Demand of models that are asked for now and then; those without a copy are
/// waited for.
fn seldom(world: &World, models: &[&str]) -> Vec<ModelDemand> {
    let report = world.now / REPORT;
    let asked = models.iter().enumerate().map(|(number, model)| {
        let arrives = (report + number as u64).is_multiple_of(REPORTS_PER_REQUEST);
        let waiting = u32::from(arrives && world.copies(model) == 0);
        demand(model, u32::from(arrives), waiting, PATIENT_MS)
    });
    asked.collect()
}

fn run(world: &mut World, models: &[&str], seconds: u64) {
    let end = world.now + seconds * 1_000;
    while world.now < end {
        let asked = seldom(world, models);
        world.step(&asked);
    }
}

/// Loads so far that took the weights from `source`.
fn loads_from(world: &World, source: LoadSource) -> Vec<ModelName> {
    let ended = world.events.iter().filter_map(|event| match event {
        PlacementEvent::LoadEnded(end) if end.source == source => Some(end.model.clone()),
        _ => None,
    });
    ended.collect()
}

#[test]
fn models_that_share_a_place_come_from_the_disk_and_not_from_the_store() {
    let mut world = world([
        &["m0", "m1", "m8"],
        &["m2", "m3", "m9"],
        &["m4", "m5", "m10"],
        &["m6", "m7", "m11"],
    ]);
    let all: Vec<String> = (0..12).map(|number| format!("m{number}")).collect();
    let all: Vec<&str> = all.iter().map(String::as_str).collect();
    run(&mut world, &all, 60);
    let from_disk = loads_from(&world, LoadSource::Disk).len();
    let from_store = loads_from(&world, LoadSource::Store);
    assert!(from_disk >= 20, "{from_disk} loads from disks");
    assert!(
        from_store.len() * 4 <= from_disk,
        "{from_disk} from disks, from the store: {from_store:?}"
    );
}

#[test]
fn what_comes_back_from_a_disk_gives_way_to_what_does_not() {
    // m0 lies on the disk of the instance that holds it, m1 on none.
    let mut world = world([
        &["m0", "m1", "m8"],
        &["m2", "m3"],
        &["m4", "m5"],
        &["m6", "m7"],
    ]);
    let holder = RunnerId::from("r0");
    let runner = world.runners.get_mut(&holder).expect("a runner");
    runner.disk.retain(|model| model != "m1");
    let others = ["m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7"];
    run(&mut world, &others, 10);
    world.events.clear();
    let before = world.now;
    while world.copies("m8") == 0 {
        let mut asked = seldom(&world, &others);
        asked.push(demand("m8", 0, 1, PATIENT_MS));
        world.step(&asked);
        assert!(world.now < before + 3_000, "m8 was not loaded");
    }
    let runner = &world.runners[&holder];
    assert!(
        runner.models.contains_key("m1"),
        "it would come from the store"
    );
    assert!(
        !runner.models.contains_key("m0"),
        "it comes back from the disk"
    );
}

#[test]
fn a_busy_instance_with_a_copy_is_waited_for_rather_than_the_store() {
    let mut world = world([
        &["m0", "m1", "m8", "m9"],
        &["m2", "m3"],
        &["m4", "m5"],
        &["m6", "m7"],
    ]);
    run(
        &mut world,
        &["m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7"],
        10,
    );
    world.events.clear();
    let before = world.now;
    while world.copies("m8") == 0 || world.copies("m9") == 0 {
        let asked = ["m8", "m9"].map(|model| {
            let waiting = u32::from(world.copies(model) == 0);
            demand(model, waiting, waiting, PATIENT_MS)
        });
        world.step(&asked);
        assert!(world.now < before + 5_000, "not both were loaded");
    }
    let from_store = loads_from(&world, LoadSource::Store);
    assert_eq!(from_store, [], "both lie on the disk of one instance");
}

#[test]
fn a_new_instance_and_a_slow_store_leave_no_load_stretched_for_long() {
    // All instances come back empty, with empty disks: everything has to come
    // from a store that serves three loads at full speed.
    let mut world = World::new(3, 12, 0);
    for runner in world.runners.values_mut() {
        runner.models.clear();
    }
    world.give_disks(8);
    world.store_at_once = 3;
    let all: Vec<String> = (0..30).map(|number| format!("m{number}")).collect();
    let all: Vec<&str> = all.iter().map(String::as_str).collect();
    run(&mut world, &all, 60);
    let since = 20_000;
    let late = world.store_loads.iter().filter(|(at, _, _)| *at >= since);
    let stretched = late.clone().filter(|(_, _, at_once)| *at_once > 4).count();
    assert_eq!(stretched, 0, "{:?}", world.store_loads);
    assert!(
        late.count() >= 20,
        "the store lies idle: {:?}",
        world.store_loads
    );
}

/// Routers learn when a model is expected that waits for its turn at the store.
#[test]
fn a_model_that_waits_for_the_store_is_announced() {
    let mut world = World::new(4, 12, 0);
    for runner in world.runners.values_mut() {
        runner.models.clear();
    }
    world.store_at_once = 3;
    let all: Vec<String> = (0..20).map(|number| format!("m{number}")).collect();
    for _ in 0..100 {
        let waiting = all.iter().map(|model| demand(model, 0, 1, PATIENT_MS));
        let waiting: Vec<ModelDemand> = waiting.collect();
        world.step(&waiting);
    }
    let views = world
        .engine
        .views(courseshunt_types::Timestamp::at(world.now));
    for model in &all {
        let loading = views.iter().flat_map(|view| &view.loading);
        let due = loading.filter(|(name, _)| name.as_str() == model).count();
        assert!(
            due > 0 || world.copies(model) > 0,
            "{model} is not announced"
        );
    }
}

/// A load that takes longer than declared is under way all the same, so that no
/// other order goes to its instance meanwhile.
#[test]
fn an_instance_whose_load_is_overdue_takes_no_order() {
    let mut world = World::new(5, 4, 0);
    for runner in world.runners.values_mut() {
        runner.models.clear();
    }
    world.store_at_once = 1;
    let all: Vec<String> = (0..20).map(|number| format!("m{number}")).collect();
    for _ in 0..2_000 {
        let waiting = all.iter().map(|model| demand(model, 1, 1, PATIENT_MS));
        let waiting: Vec<ModelDemand> = waiting.collect();
        world.step(&waiting);
    }
    assert!(world.store_loads.iter().any(|(_, _, at_once)| *at_once > 1));
    assert_eq!(world.conflicts, 0);
}
