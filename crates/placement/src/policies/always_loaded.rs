//! Baseline: keeps loaded what fits, the latest called first, and evicts the
//! least recently used idle replica for a request that waits.

use super::placing::{Rooms, cold_by_recency, short_of_replicas};
use crate::decision::Decision;
use crate::policy::{DemandEvent, PlacementPolicy};
use crate::view::ClusterView;
use courseshunt_types::Timestamp;

/// See the module.
#[derive(Debug, Default)]
pub struct AlwaysLoaded;

impl PlacementPolicy for AlwaysLoaded {
    fn name(&self) -> &'static str {
        "always-loaded"
    }

    fn observe(&mut self, _event: &DemandEvent) {}

    fn plan(&mut self, view: &ClusterView) -> Vec<Decision> {
        let mut rooms = Rooms::of(view);
        let wanted = short_of_replicas(view);
        let mut decisions = Vec::new();
        for one in &wanted {
            decisions.extend(rooms.place(one, "requests wait and no slot is free"));
        }
        if wanted.is_empty() {
            let cold = cold_by_recency(view).into_iter();
            let fill = cold.filter_map(|one| rooms.place_free(one, "its memory is free"));
            decisions.extend(fill);
        }
        decisions
    }

    fn next_wake(&self, _view: &ClusterView) -> Option<Timestamp> {
        None
    }
}
