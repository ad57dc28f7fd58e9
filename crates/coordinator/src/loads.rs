//! Load and speed of instances at the leader: takes the samples of routers and sends routers what
//! has changed noticeably.
//!
//! Invariant: nothing is sent while no instance reports its load.

use crate::Shared;
use courseshunt_instance_load::{InstanceLoad, LoadSample, ModelPauses};
use courseshunt_services::{FeedMessage, PlacementEngine};
use courseshunt_types::Timestamp;

/// Applies a router's samples and the pauses of its streams.
pub(crate) fn handle_report(
    router: &str,
    samples: &[LoadSample],
    pauses: &[ModelPauses],
    shared: &Shared,
) {
    let now = shared.clock.now();
    if !pauses.is_empty() {
        shared.engine().report_pauses(pauses, now);
    }
    shared.loads().record(router, samples, now);
    shared.metrics.load_samples(samples.len());
}

/// Sends routers the instances whose load or speed has changed noticeably. Instances that are gone
/// are forgotten.
pub(crate) fn send_changes(shared: &Shared, now: Timestamp) {
    let changes = take_changes(shared, now);
    if changes.is_empty() {
        return;
    }
    shared.metrics.loads_sent(changes.len());
    shared
        .sessions
        .broadcast(FeedMessage::InstanceLoads(changes));
}

/// Gives the placement the present load and speed of all instances. Its cost grows with them, so that
/// this is part of the full rounds, whose interval grows with their duration.
pub(crate) fn update_placement(engine: &mut PlacementEngine, shared: &Shared, now: Timestamp) {
    let loads = shared.loads().all(now);
    engine.set_instance_loads(loads, now);
}

fn take_changes(shared: &Shared, now: Timestamp) -> Vec<InstanceLoad> {
    if shared.loads().is_empty() {
        return Vec::new();
    }
    let engine = shared.engine();
    let mut loads = shared.loads();
    loads.retain(|instance| engine.contains(instance), now);
    drop(engine);
    loads.take_changes(now)
}
