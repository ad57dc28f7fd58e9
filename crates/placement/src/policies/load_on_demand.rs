//! Baseline: loads a deployment when a request waits and unloads it soon after
//! the last one. Memory that is short is taken from the least recently used
//! idle replica.

use super::placing::{Rooms, next_unload, short_of_replicas, unload_idle};
use crate::decision::Decision;
use crate::policy::{DemandEvent, PlacementPolicy};
use crate::view::ClusterView;
use courseshunt_types::{Millis, Timestamp};

/// A replica stays this long after its last use.
const GRACE: Millis = Millis::from_secs(30);

/// See the module.
#[derive(Debug, Default)]
pub struct LoadOnDemand;

impl PlacementPolicy for LoadOnDemand {
    fn name(&self) -> &'static str {
        "load-on-demand"
    }

    fn observe(&mut self, _event: &DemandEvent) {}

    fn plan(&mut self, view: &ClusterView) -> Vec<Decision> {
        let mut decisions = unload_idle(view, GRACE, "idle");
        let mut rooms = Rooms::of(view);
        for one in short_of_replicas(view) {
            decisions.extend(rooms.place(one, "requests wait and no slot is free"));
        }
        decisions
    }

    fn next_wake(&self, view: &ClusterView) -> Option<Timestamp> {
        next_unload(view, GRACE)
    }
}
