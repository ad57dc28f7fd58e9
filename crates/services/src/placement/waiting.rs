//! Rounds for the models that requests wait for, between the full rounds that visit all instances
//! and models.
//!
//! Invariant: these rounds use the snapshot of the last full round, updated with the orders since,
//! and follow the same rules; what they cannot decide on this basis is left to the next full round.
//!
//! Cost: one search over the service's instances for each model that requests wait for and that has
//! no replica, and a visit of the reserved instances. The time of a full round grows with instances
//! and models together, and full rounds become rarer accordingly: without these rounds, a model
//! that requests wait for would be delayed until the next one.

use super::demand::WaitingRequests;
use super::planning::PlanContext;
use super::{PlacementEngine, PlacementStep};
use courseshunt_types::{ModelName, Timestamp};

/// Maximum number of models and adapters that one such round handles, in descending order of
/// waiting requests, so that the round stays short when many wait.
const MAX_WAITING_PER_SHORT_ROUND: usize = 8;

impl PlacementEngine {
    /// Whether there may be orders to send for waiting requests.
    #[must_use]
    pub fn needs_waiting_round(&self) -> bool {
        self.waiting_round_needed
    }

    /// Plans a round for the models that requests wait for; returns the calls to make now.
    pub fn plan_for_waiting(&mut self, now: Timestamp) -> Vec<PlacementStep> {
        let mut steps = Vec::new();
        self.waiting_round_needed = false;
        let configuration = self.configuration.clone();
        for service in &configuration.services {
            // Without a full round there is no snapshot of the service.
            let Some(round) = self.last_rounds.remove(&service.name) else {
                continue;
            };
            let Some(engine) = &service.engine else {
                continue;
            };
            self.round = round;
            let context = PlanContext {
                service: &service.name,
                engine,
                now,
            };
            self.plan_waiting_for_service(&context, &mut steps);
            self.save_round(&context);
        }
        steps
    }

    fn plan_waiting_for_service(
        &mut self,
        context: &PlanContext<'_>,
        steps: &mut Vec<PlacementStep>,
    ) {
        let mut waiting = self.demand.waiting(context.service, context.now);
        self.update_round(|round| round.set_waiting(&waiting));
        waiting.truncate(MAX_WAITING_PER_SHORT_ROUND);
        for one in &waiting {
            self.drop_lost_replicas(one);
        }
        self.advance_reservations(context, steps);
        for one in &waiting {
            self.load_waiting_adapter(one, context, steps);
        }
        let candidates: Vec<_> = self.waiting_candidates(&waiting).collect();
        for candidate in &candidates {
            let Some(specification) = context.engine.model(candidate.model.as_str()) else {
                continue;
            };
            let store = self.stores.get_mut(context.service);
            let store_has_room = store.is_some_and(|store| store.has_room(false, context.now));
            self.add_replica(specification, candidate, store_has_room, context, steps);
        }
    }

    /// Drops replicas of the snapshot that are gone since, because their instance left or an order
    /// failed.
    fn drop_lost_replicas(&mut self, waiting: &WaitingRequests) {
        let model = ModelName::from(waiting.key.model.as_str());
        let mut round = std::mem::take(&mut self.round);
        let instances = &self.instances;
        std::sync::Arc::make_mut(&mut round).retain_replicas(&model, |id| {
            instances.get(id).is_some_and(|one| {
                let is_pending = [one.loading(), one.reserved_for()].contains(&Some(&model));
                one.holds(&model) || is_pending
            })
        });
        self.round = round;
    }
}
