//! Baseline: loads a deployment when a request waits and keeps it for a fixed
//! time after its last use. Memory that is short is taken from the least
//! recently used idle replica.

use super::placing::{Rooms, next_unload, short_of_replicas, unload_idle};
use crate::decision::Decision;
use crate::policy::{DemandEvent, PlacementPolicy};
use crate::view::ClusterView;
use courseshunt_types::{Millis, Timestamp};

/// A replica stays this long after its last use.
const KEEP_ALIVE: Millis = Millis::from_secs(600);

/// See the module.
#[derive(Debug, Default)]
pub struct FixedKeepalive;

impl PlacementPolicy for FixedKeepalive {
    fn name(&self) -> &'static str {
        "fixed-keepalive"
    }

    fn observe(&mut self, _event: &DemandEvent) {}

    fn plan(&mut self, view: &ClusterView) -> Vec<Decision> {
        let mut decisions = unload_idle(view, KEEP_ALIVE, "idle for the keep-alive time");
        let mut rooms = Rooms::of(view);
        for one in short_of_replicas(view) {
            decisions.extend(rooms.place(one, "requests wait and no slot is free"));
        }
        decisions
    }

    fn next_wake(&self, view: &ClusterView) -> Option<Timestamp> {
        next_unload(view, KEEP_ALIVE)
    }
}
