//! Scales models whose streams pause for longer than their route allows.
//!
//! Invariant: a model gets at most one replica at a time because of pauses, and none while another
//! replica of it is being loaded.

use super::PlacementEngine;
use super::pauses::{PauseNeed, ReplicaCounts};
use super::planning::PlanContext;
use super::round::Round;
use courseshunt_instance_load::ModelPauses;
use courseshunt_types::{Millis, ModelName, Timestamp};

/// A replica that was loaded because all others were on instances that pause their streams is kept
/// while their predicted pauses are above this fraction of the allowed one, so that pauses that
/// vary around it cause no loads and evictions.
const NEARLY_PAUSING_RATIO: f64 = 0.6;

impl PlacementEngine {
    /// Applies a report of the streams that ended. Sums decay, so nothing is removed when a router is
    /// gone.
    pub fn report_pauses(&mut self, pauses: &[ModelPauses], now: Timestamp) {
        self.pauses.record(pauses, now);
    }

    /// Adds the replicas to a round that models need because their streams pause.
    pub(super) fn scale_for_pauses(&mut self, round: &mut Round, context: &PlanContext<'_>) {
        round.longest_pause = self.configuration.allowed_pause(context.service);
        let replicas = |model: &ModelName| round.pause_counts(model);
        let needs = self.pauses.needs(context.service, replicas, context.now);
        for (model, need) in needs {
            round.apply_pauses(&model, need);
        }
    }
}

impl Round {
    /// The replicas of a model by the predicted pauses of their instances.
    fn pause_counts(&self, model: &ModelName) -> ReplicaCounts {
        let instances = self.replicas.get(model).map_or(&[][..], Vec::as_slice);
        let count_over = |allowed: Option<Millis>| {
            let loads = instances
                .iter()
                .filter_map(|one| self.target_loads.get(one));
            allowed.map_or(0, |allowed| {
                loads.filter(|load| load.exceeds_pause(allowed)).count()
            })
        };
        let nearly = |allowed: Millis| Millis((allowed.0 as f64 * NEARLY_PAUSING_RATIO) as u64);
        ReplicaCounts {
            all: instances.len(),
            is_loading: self.is_pending(model),
            pausing: count_over(self.longest_pause),
            nearly_pausing: count_over(self.longest_pause.map(nearly)),
        }
    }

    /// Applies what a model needs because of its pauses.
    fn apply_pauses(&mut self, model: &ModelName, need: PauseNeed) {
        let count = self.replica_count(model);
        let additional = usize::from(need.needs_another && !self.is_pending(model));
        let Some(state) = self.state_mut(model) else {
            return;
        };
        state.pauses = need;
        if need.needs_another || need.keeps_all {
            state.desired = state.desired.max(count + additional);
        }
    }
}
