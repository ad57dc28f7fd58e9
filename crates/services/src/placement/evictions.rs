//! Selects the models to evict so that another model fits, and computes the cost of their eviction.
//!
//! Cost: the cost of evicting a model is computed once per search over many instances, not once per
//! instance, since a round searches all instances for each model that needs a load target.

use super::PlacementEngine;
use super::instance::{Instance, LoadSource};
use super::planning::PlanContext;
use crate::configuration::ModelSpecification;
use courseshunt_types::{Millis, ModelName, Timestamp};
use std::collections::HashMap;

/// Minimum time that a model with demand stays loaded: the duration of its load, within these
/// bounds.
const MIN_RESIDENCY: Millis = Millis(500);
const MAX_MIN_RESIDENCY: Millis = Millis(2_500);

/// Cost of evicting one model, and the memory that this frees.
#[derive(Debug, Clone, Copy)]
pub(super) struct EvictionEffect {
    /// Cost in late requests if the model is reloaded from the weight store, and if the instance
    /// has its weights cached.
    pub(super) cost_from_store: f64,
    pub(super) cost_from_cache: f64,
    /// Whether there were requests for it.
    pub(super) has_demand: bool,
    pub(super) memory_mb: f64,
}

/// Eviction costs of all models in one round; see the module.
pub(super) struct EvictionTable<'a> {
    models: HashMap<&'a str, EvictionEffect>,
}

impl<'a> EvictionTable<'a> {
    pub(super) fn new(models: impl Iterator<Item = (&'a ModelName, EvictionEffect)>) -> Self {
        let models = models.map(|(name, one)| (name.as_str(), one));
        Self {
            models: models.collect(),
        }
    }

    /// A model that is no longer in the configuration costs nothing.
    fn get(&self, model: &ModelName) -> EvictionEffect {
        let effect = self.models.get(model.as_str()).copied();
        effect.unwrap_or(EvictionEffect {
            cost_from_store: 0.0,
            cost_from_cache: 0.0,
            has_demand: false,
            memory_mb: 0.0,
        })
    }
}

/// A model that an instance may evict.
#[derive(Debug, Clone, Copy)]
pub(super) struct Victim<'a> {
    pub(super) model: &'a ModelName,
    cost: f64,
    memory_mb: f64,
}

impl PlacementEngine {
    /// Current eviction costs, for [`Self::plan_evictions`].
    pub(super) fn evictions<'a>(&'a self, context: &PlanContext<'a>) -> EvictionTable<'a> {
        let models = context.engine.models.values();
        EvictionTable::new(models.map(|one| (&one.name, self.round.eviction_effect(one))))
    }

    /// Fills `victims` with the models to evict from an instance so that the given model fits,
    /// cheapest first. Returns the cost in late requests, `None` when the model cannot fit.
    pub(super) fn plan_evictions<'a>(
        &self,
        instance: &'a Instance,
        specification: &ModelSpecification,
        evictions: &EvictionTable<'_>,
        context: &PlanContext<'_>,
        victims: &mut Vec<Victim<'a>>,
    ) -> Option<f64> {
        victims.clear();
        let needed_mb = instance.committed_memory_mb(context.engine) + specification.memory_mb;
        let mut missing_mb = needed_mb - context.engine.memory_mb;
        if needed_mb <= context.engine.memory_mb {
            return Some(0.0);
        }
        let held = instance.held().map(|(name, _)| name);
        for model in held.filter(|name| **name != specification.name) {
            let effect = evictions.get(model);
            if may_evict(instance, model, effect.has_demand, context.now) {
                victims.push(Victim {
                    model,
                    cost: match instance.load_source(model) {
                        LoadSource::Store => effect.cost_from_store,
                        LoadSource::Memory | LoadSource::Disk => effect.cost_from_cache,
                    },
                    memory_mb: effect.memory_mb,
                });
            }
        }
        victims.sort_by(|left, right| left.cost.total_cmp(&right.cost));
        let mut cost = 0.0;
        let mut count = 0;
        for one in victims.iter() {
            if missing_mb <= 0.0 {
                break;
            }
            missing_mb -= one.memory_mb;
            cost += one.cost;
            count += 1;
        }
        victims.truncate(count);
        (missing_mb <= 0.0).then_some(cost)
    }
}

/// Whether a model has been loaded for long enough to be evicted.
fn may_evict(instance: &Instance, name: &ModelName, has_demand: bool, now: Timestamp) -> bool {
    let min_residency = instance.load_duration(name).max(MIN_RESIDENCY);
    !has_demand || instance.loaded_for(name, now) >= min_residency.min(MAX_MIN_RESIDENCY)
}
