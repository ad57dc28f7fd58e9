//! Which models another copy is wanted of, in the order of what it is worth, and
//! what routers are told of those that wait for their turn.

use super::demand::Wanted;
use super::planning::{Planned, WANTED_IN_ROUND};
use super::{PlacementEngine, PlacementStep};
use crate::configuration::ModelSpecification;
use courseshunt_types::{Millis, ModelName, Timestamp};
use std::collections::BTreeMap;

/// Loads that demand alone, without waiting requests, may start in one round.
const SCALING_LOADS: usize = 2;
/// Loads of models that nobody waits for that one round may start.
const RESTORING_LOADS: usize = 2;
/// Evicting for another copy of a busy model must be worth so much more.
const SCALING_MARGIN: f64 = 1.5;
/// The time at which a model is announced is corrected when it is off by more.
const EXPECTED_SLACK: Millis = Millis(700);

/// A model that another copy is wanted of.
pub(super) struct Candidate {
    pub(super) model: ModelName,
    /// What it may evict, in late requests.
    pub(super) worth: f64,
    /// Whether requests wait for it.
    waited_for: bool,
    /// Whether nobody needs it now.
    spare: bool,
}

impl PlacementEngine {
    /// Loads what is worth most first, so that the weight store and the places
    /// go to that.
    pub(super) fn load_candidates(
        &mut self,
        wanted: &[Wanted],
        planned: &Planned<'_>,
        steps: &mut Vec<PlacementStep>,
    ) {
        let mut waiting = 0;
        let mut announced = BTreeMap::new();
        for candidate in self.candidates(wanted) {
            let model = &candidate.model;
            let Some(specification) = planned.engine.model(model.as_str()) else {
                continue;
            };
            let store = self.stores.get_mut(planned.service);
            let has_turn = store.is_some_and(|store| store.has_room(candidate.spare, planned.now));
            let queued = self.add_copy(specification, &candidate, has_turn, planned, steps);
            let missing = self.round.count(model) == 0;
            if missing && candidate.waited_for {
                let after = queued.unwrap_or_else(|| {
                    let delay = self.store_delay(specification, waiting, planned);
                    waiting += 1;
                    specification.load_time + delay
                });
                announced.insert(model.clone(), planned.now + after);
            }
        }
        self.announce(announced, planned);
    }

    /// Models without a copy that requests wait for, the most waited for first.
    pub(super) fn waited_for<'a>(
        &'a self,
        wanted: &'a [Wanted],
    ) -> impl Iterator<Item = Candidate> + 'a {
        let mut models: Vec<ModelName> = Vec::new();
        for one in wanted {
            let model = ModelName::from(one.key.model.as_str());
            if self.round.count(&model) == 0 && !models.contains(&model) {
                models.push(model);
            }
        }
        models.into_iter().map(|model| Candidate {
            worth: self.round.next_load_worth(&model),
            waited_for: true,
            spare: false,
            model,
        })
    }

    /// Models that another copy is wanted of, the worthiest first.
    fn candidates(&self, wanted: &[Wanted]) -> Vec<Candidate> {
        let waited = self.waited_for(wanted);
        let short = self.round.short_of_copies().into_iter();
        let short = first(SCALING_LOADS, short).map(|(worth, model)| Candidate {
            worth: worth / SCALING_MARGIN,
            waited_for: false,
            spare: false,
            model,
        });
        let missing = self.round.missing().into_iter();
        let missing = first(RESTORING_LOADS, missing).map(|(worth, model)| Candidate {
            worth: worth / SCALING_MARGIN,
            waited_for: false,
            spare: true,
            model,
        });
        let mut all: Vec<Candidate> = waited
            .take(WANTED_IN_ROUND)
            .chain(short)
            .chain(missing)
            .collect();
        all.sort_by(|left, right| right.worth.total_cmp(&left.worth));
        all
    }

    fn store_delay(
        &self,
        specification: &ModelSpecification,
        waiting: usize,
        planned: &Planned<'_>,
    ) -> Millis {
        let store = self.stores.get(planned.service);
        store.map_or(Millis(0), |store| {
            store.delay(specification.load_time, waiting, planned.now)
        })
    }

    /// Tells routers when models are expected that wait for the weight store and
    /// have no place yet. What was told before stands while it is about right.
    fn announce(&mut self, mut due: BTreeMap<ModelName, Timestamp>, planned: &Planned<'_>) {
        let instance = self.of_service(planned.service, planned.now).next();
        let Some(id) = instance.map(|one| one.id().clone()) else {
            return;
        };
        for instance in self.instances.values_mut() {
            let other = *instance.id() != id && instance.registration().service == planned.service;
            if other && instance.announce(BTreeMap::new()) {
                self.changed.insert(instance.id().clone());
            }
        }
        let Some(instance) = self.instances.get_mut(&id) else {
            return;
        };
        for (model, told) in instance.announced() {
            if let Some(due) = due.get_mut(model)
                && told.since(*due).max(due.since(*told)) <= EXPECTED_SLACK
            {
                *due = *told;
            }
        }
        if instance.announce(due) {
            self.changed.insert(id);
        }
    }
}

/// The `count` worthiest.
fn first(
    count: usize,
    models: impl Iterator<Item = (f64, ModelName)>,
) -> impl Iterator<Item = (f64, ModelName)> {
    let mut models: Vec<(f64, ModelName)> = models.collect();
    models.sort_by(|left, right| right.0.total_cmp(&left.0));
    models.into_iter().take(count)
}
