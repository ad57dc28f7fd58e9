//! More loads are wanted than the weight store allows: what is worth most goes
//! first.

mod placement_world;

use courseshunt_services::ModelDemand;
use placement_world::{MODELS, World, demand};

const BUSY: &str = "m39";
/// A rare model is asked for once in so many reports, four of which go out in a
/// second.
const REPORTS_PER_REQUEST: u64 = 16;
const SEEDS: u64 = 10;
/// Instances: fewer places than models.
const INSTANCES: usize = 18;
/// Longest wait that is looked at, in milliseconds.
const GIVEN_UP: u64 = 10_000;

/// Demand of the models that are asked for now and then; those without a copy
/// are waited for.
fn rare_demand(world: &World) -> Vec<ModelDemand> {
    let report = world.now / 250;
    let rare = (0..MODELS as u64).map(|number| (number, format!("m{number}")));
    let rare = rare.filter(|(_, name)| name != BUSY);
    let asked = rare.map(|(number, name)| {
        let waiting = u32::from(world.copies(&name) == 0);
        let arrivals = u32::from((report + number).is_multiple_of(REPORTS_PER_REQUEST));
        demand(&name, arrivals, waiting, 5_000)
    });
    asked.collect()
}

/// Instances that all came back empty and are being filled; the busy model is
/// asked for a second later.
fn refilling(seed: u64) -> World {
    let mut world = World::new(seed, INSTANCES, 0);
    for runner in world.runners.values_mut() {
        runner.models.clear();
    }
    for _ in 0..100 {
        let rare = rare_demand(&world);
        world.step(&rare);
    }
    world
}

/// Milliseconds from the first request for the busy model until `copies` of it
/// have begun to load; the longest over some seeds.
fn longest_wait(copies: usize) -> u64 {
    let waits = (0..SEEDS).map(|seed| {
        let mut world = refilling(seed);
        let began = world.now;
        while world.loads_of(BUSY) < copies && world.now < began + GIVEN_UP {
            let mut asked = rare_demand(&world);
            asked.push(demand(BUSY, 5, 4, 500));
            world.step(&asked);
        }
        world.now - began
    });
    waits.max().unwrap_or_default()
}

#[test]
fn a_busy_model_overtakes_rare_ones_at_the_weight_store() {
    let waited = longest_wait(1);
    assert!(waited <= 800, "{waited} ms for the first load");
}

#[test]
fn more_copies_of_a_busy_model_overtake_rare_ones() {
    let waited = longest_wait(4);
    assert!(waited <= 3_000, "{waited} ms for four loads");
}
