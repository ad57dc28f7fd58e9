//! Rounds for what requests wait for, between those that look at all instances and models.
//!
//! Invariant: they rest on what the last round found, with what was ordered since, and keep
//! the same rules; what they can't decide so is left to the next round.
//!
//! Cost: a look at the service's instances for each model that is waited for and has no copy,
//! and at those that are set aside. A round for all grows with instances and models together,
//! and comes the more seldom: a model that requests wait for would wait for it.

use super::demand::Wanted;
use super::planning::Planned;
use super::{PlacementEngine, PlacementStep};
use courseshunt_types::{ModelName, Timestamp};

/// Models and adapters that one such round looks at, the most waited for first: it stays short
/// where many are.
const WAITED_IN_ROUND: usize = 8;

impl PlacementEngine {
    /// Whether there may be something to do for what requests wait for.
    #[must_use]
    pub fn needs_waiting_round(&self) -> bool {
        self.waits
    }

    /// What to do now for what requests wait for.
    pub fn plan_for_waiting(&mut self, now: Timestamp) -> Vec<PlacementStep> {
        let mut steps = Vec::new();
        self.waits = false;
        let configuration = self.configuration.clone();
        for service in &configuration.services {
            // Before its first round nothing is known of it.
            let Some(round) = self.rounds.remove(&service.name) else {
                continue;
            };
            let Some(engine) = &service.engine else {
                continue;
            };
            self.round = round;
            let planned = Planned {
                service: &service.name,
                engine,
                now,
            };
            self.plan_waited_for(&planned, &mut steps);
            self.keep_round(&planned);
        }
        steps
    }

    fn plan_waited_for(&mut self, planned: &Planned<'_>, steps: &mut Vec<PlacementStep>) {
        let mut wanted = self.demand.wanted(planned.service, planned.now);
        self.change_round(|round| round.note_waiting(&wanted));
        wanted.truncate(WAITED_IN_ROUND);
        for one in &wanted {
            self.forget_lost_copies(one);
        }
        self.follow_intents(planned, steps);
        for one in &wanted {
            self.serve_adapter(one, planned, steps);
        }
        let candidates: Vec<_> = self.waited_for(&wanted).collect();
        for candidate in &candidates {
            let Some(specification) = planned.engine.model(candidate.model.as_str()) else {
                continue;
            };
            let store = self.stores.get_mut(planned.service);
            let has_turn = store.is_some_and(|store| store.has_room(false, planned.now));
            self.add_copy(specification, candidate, has_turn, planned, steps);
        }
    }

    /// A copy that the last round counted may be gone since, with its instance or by an order
    /// that failed.
    fn forget_lost_copies(&mut self, wanted: &Wanted) {
        let model = ModelName::from(wanted.key.model.as_str());
        let mut round = std::mem::take(&mut self.round);
        let instances = &self.instances;
        std::sync::Arc::make_mut(&mut round).keep_copies(&model, |id| {
            instances.get(id).is_some_and(|one| {
                let coming = [one.loading(), one.intent()].contains(&Some(&model));
                one.has(&model) || coming
            })
        });
        self.round = round;
    }
}
