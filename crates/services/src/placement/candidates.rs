//! Selects the models that need another replica, ordered by the value of that replica, and
//! announces to routers when the models that are queued for the weight store are expected.

use super::demand::WaitingRequests;
use super::planning::{MAX_WAITING_PER_ROUND, PlanContext};
use super::{PlacementEngine, PlacementStep};
use crate::configuration::ModelSpecification;
use courseshunt_types::{Millis, ModelName, Timestamp};
use std::collections::BTreeMap;

/// Loads per round that are started because of demand alone, without waiting requests.
const SCALING_LOADS_PER_ROUND: usize = 2;
/// Loads per round of models that no request waits for and that have no replica.
const RESTORING_LOADS_PER_ROUND: usize = 2;
/// Factor by which the value of another replica of a busy model must exceed the cost of the
/// evictions for it.
pub(super) const SCALING_MARGIN: f64 = 1.5;
/// An announced time is corrected only when it differs by more than this from the expected time.
const ANNOUNCEMENT_TOLERANCE: Millis = Millis(700);

/// A model that needs another replica.
pub(super) struct Candidate {
    pub(super) model: ModelName,
    /// Value of the replica in late requests: the upper bound on the cost of evictions for it.
    pub(super) value: f64,
    /// Whether requests wait for it.
    has_waiting_requests: bool,
    /// Whether there is no current need for it.
    background: bool,
}

impl PlacementEngine {
    /// Starts loads in descending order of value, so that the weight store and the instances go to
    /// the most valuable ones.
    pub(super) fn load_candidates(
        &mut self,
        waiting: &[WaitingRequests],
        context: &PlanContext<'_>,
        steps: &mut Vec<PlacementStep>,
    ) {
        let mut queued = 0;
        let mut announced = BTreeMap::new();
        for candidate in self.candidates(waiting) {
            let model = &candidate.model;
            let Some(specification) = context.engine.model(model.as_str()) else {
                continue;
            };
            let store = self.stores.get_mut(context.service);
            let store_has_room =
                store.is_some_and(|store| store.has_room(candidate.background, context.now));
            let before = self.round.replica_count(model);
            let ready_after =
                self.add_replica(specification, &candidate, store_has_room, context, steps);
            if self.round.replica_count(model) <= before {
                self.pauses.defer(context.service, model, context.now);
            }
            let is_missing = self.round.replica_count(model) == 0;
            if is_missing && candidate.has_waiting_requests {
                let expected_in = ready_after.unwrap_or_else(|| {
                    let delay = self.store_delay(specification, queued, context);
                    queued += 1;
                    specification.load_time + delay
                });
                announced.insert(model.clone(), context.now + expected_in);
            }
        }
        self.announce(announced, context);
    }

    /// Models without a replica that requests wait for, in descending order of waiting requests.
    pub(super) fn waiting_candidates<'a>(
        &'a self,
        waiting: &'a [WaitingRequests],
    ) -> impl Iterator<Item = Candidate> + 'a {
        let mut models: Vec<ModelName> = Vec::new();
        for one in waiting {
            let model = ModelName::from(one.key.model.as_str());
            if self.round.replica_count(&model) == 0 && !models.contains(&model) {
                models.push(model);
            }
        }
        models.into_iter().map(|model| Candidate {
            value: self.round.next_load_value(&model),
            has_waiting_requests: true,
            background: false,
            model,
        })
    }

    /// Models that need another replica, in descending order of value.
    fn candidates(&self, waiting: &[WaitingRequests]) -> Vec<Candidate> {
        let waiting = self.waiting_candidates(waiting);
        let under_replicated = self.round.under_replicated().into_iter();
        let under_replicated =
            top_by_value(SCALING_LOADS_PER_ROUND, under_replicated).map(|(value, model)| {
                Candidate {
                    value: value / SCALING_MARGIN,
                    has_waiting_requests: false,
                    background: false,
                    model,
                }
            });
        let absent = self.round.without_replica().into_iter();
        let absent =
            top_by_value(RESTORING_LOADS_PER_ROUND, absent).map(|(value, model)| Candidate {
                value: value / SCALING_MARGIN,
                has_waiting_requests: false,
                background: true,
                model,
            });
        let mut all: Vec<Candidate> = waiting
            .take(MAX_WAITING_PER_ROUND)
            .chain(under_replicated)
            .chain(absent)
            .collect();
        all.sort_by(|left, right| right.value.total_cmp(&left.value));
        all
    }

    fn store_delay(
        &self,
        specification: &ModelSpecification,
        queued: usize,
        context: &PlanContext<'_>,
    ) -> Millis {
        let store = self.stores.get(context.service);
        store.map_or(Millis(0), |store| {
            store.delay(specification.load_time, queued, context.now)
        })
    }

    /// Announces to routers when the models are expected that are queued for the weight store and
    /// have no load target yet. An earlier announcement stays while it is within
    /// [`ANNOUNCEMENT_TOLERANCE`].
    fn announce(&mut self, mut due: BTreeMap<ModelName, Timestamp>, context: &PlanContext<'_>) {
        let instance = self.usable_instances(context.service, context.now).next();
        let Some(id) = instance.map(|one| one.id().clone()) else {
            return;
        };
        for instance in self.instances.values_mut() {
            let is_other =
                *instance.id() != id && instance.registration().service == context.service;
            if is_other && instance.announce(BTreeMap::new()) {
                self.changed.insert(instance.id().clone());
            }
        }
        let Some(instance) = self.instances.get_mut(&id) else {
            return;
        };
        for (model, previous) in instance.announced() {
            if let Some(due) = due.get_mut(model)
                && previous.since(*due).max(due.since(*previous)) <= ANNOUNCEMENT_TOLERANCE
            {
                *due = *previous;
            }
        }
        if instance.announce(due) {
            self.changed.insert(id);
        }
    }
}

/// The `count` models of highest value.
fn top_by_value(
    count: usize,
    models: impl Iterator<Item = (f64, ModelName)>,
) -> impl Iterator<Item = (f64, ModelName)> {
    let mut models: Vec<(f64, ModelName)> = models.collect();
    models.sort_by(|left, right| right.0.total_cmp(&left.0));
    models.into_iter().take(count)
}
