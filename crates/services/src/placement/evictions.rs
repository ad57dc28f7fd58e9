//! What is evicted so that a model fits, and what that loses.
//!
//! Cost: what a model's eviction loses is worked out once for a look at many instances, not
//! anew at each of them: a round looks at all instances for each model that wants a place.

use super::PlacementEngine;
use super::instance::{Instance, LoadSource};
use super::planning::Planned;
use crate::configuration::ModelSpecification;
use courseshunt_types::{Millis, ModelName, Timestamp};
use std::collections::HashMap;

/// A model that was asked for stays at least as long as its load took, within
/// these bounds.
const LEAST_STAY: Millis = Millis(500);
const LONGEST_LEAST_STAY: Millis = Millis(2_500);

/// What the eviction of one model loses and frees.
#[derive(Debug, Clone, Copy)]
pub(super) struct Evictable {
    /// What is lost where it comes back from the weight store, and where the instance has a
    /// copy of its own.
    pub(super) loss_at_store: f64,
    pub(super) loss_at_copy: f64,
    /// Whether it was asked for.
    pub(super) asked_for: bool,
    pub(super) memory_mb: f64,
}

/// See the module; for the models of one round.
pub(super) struct Evictions<'a> {
    models: HashMap<&'a str, Evictable>,
}

impl<'a> Evictions<'a> {
    pub(super) fn of(models: impl Iterator<Item = (&'a ModelName, Evictable)>) -> Self {
        let models = models.map(|(name, one)| (name.as_str(), one));
        Self {
            models: models.collect(),
        }
    }

    /// One that is not declared any more loses nothing.
    fn get(&self, model: &ModelName) -> Evictable {
        let known = self.models.get(model.as_str()).copied();
        known.unwrap_or(Evictable {
            loss_at_store: 0.0,
            loss_at_copy: 0.0,
            asked_for: false,
            memory_mb: 0.0,
        })
    }
}

/// A model that an instance may evict.
#[derive(Debug, Clone, Copy)]
pub(super) struct Victim<'a> {
    pub(super) model: &'a ModelName,
    loss: f64,
    memory_mb: f64,
}

impl PlacementEngine {
    /// What evictions lose now, for [`Self::evict`].
    pub(super) fn evictions<'a>(&'a self, planned: &Planned<'a>) -> Evictions<'a> {
        let models = planned.engine.models.values();
        Evictions::of(models.map(|one| (&one.name, self.round.evictable(one))))
    }

    /// Fills `victims` with what has to be evicted at an instance so that the model fits,
    /// cheapest first; returns what that loses, `None` when it can't be done.
    pub(super) fn evict<'a>(
        &self,
        instance: &'a Instance,
        specification: &ModelSpecification,
        evictions: &Evictions<'_>,
        planned: &Planned<'_>,
        victims: &mut Vec<Victim<'a>>,
    ) -> Option<f64> {
        victims.clear();
        let needed = instance.memory_mb(planned.engine) + specification.memory_mb;
        let mut missing = needed - planned.engine.memory_mb;
        if needed <= planned.engine.memory_mb {
            return Some(0.0);
        }
        let held = instance.held().map(|(name, _)| name);
        for model in held.filter(|name| **name != specification.name) {
            let one = evictions.get(model);
            if may_go(instance, model, one.asked_for, planned.now) {
                victims.push(Victim {
                    model,
                    loss: match instance.source(model) {
                        LoadSource::Store => one.loss_at_store,
                        LoadSource::Memory | LoadSource::Disk => one.loss_at_copy,
                    },
                    memory_mb: one.memory_mb,
                });
            }
        }
        victims.sort_by(|left, right| left.loss.total_cmp(&right.loss));
        let mut loss = 0.0;
        let mut count = 0;
        for one in victims.iter() {
            if missing <= 0.0 {
                break;
            }
            missing -= one.memory_mb;
            loss += one.loss;
            count += 1;
        }
        victims.truncate(count);
        (missing <= 0.0).then_some(loss)
    }
}

/// Whether a model has been there for long enough to be evicted.
fn may_go(instance: &Instance, name: &ModelName, asked_for: bool, now: Timestamp) -> bool {
    let stay = instance.load_took(name).max(LEAST_STAY);
    !asked_for || instance.held_for(name, now) >= stay.min(LONGEST_LEAST_STAY)
}
