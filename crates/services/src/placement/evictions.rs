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

/// Cost of evicting one model.
#[derive(Debug, Clone, Copy)]
pub(super) struct EvictionEffect {
    /// Cost in late requests if the model is reloaded from the weight store, and if the instance
    /// has its weights cached.
    pub(super) cost_from_store: f64,
    pub(super) cost_from_cache: f64,
    /// Whether there were requests for it.
    pub(super) has_demand: bool,
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
        })
    }
}

/// A model that an instance may evict.
#[derive(Debug, Clone, Copy)]
pub(super) struct Victim<'a> {
    pub(super) model: &'a ModelName,
    cost: f64,
    /// Memory that its eviction frees; `None` if it is not known.
    memory_mb: Option<f64>,
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
        let committed = instance.committed_memory(context.engine);
        if committed.has_room_for(specification.memory_mb, context.engine) {
            return Some(0.0);
        }
        let mut missing = MissingMemory {
            known_mb: committed.known_mb + specification.memory_mb - context.engine.memory_mb,
            unknown_models: committed.unknown_models,
        };
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
                    memory_mb: instance
                        .size_of(model, context.engine)
                        .map(|size| size.weights_mb),
                });
            }
        }
        victims.sort_by(|left, right| {
            let is_known = |one: &Victim<'_>| one.memory_mb.is_some();
            let by_cost = left.cost.total_cmp(&right.cost);
            is_known(left).cmp(&is_known(right)).then(by_cost)
        });
        let mut cost = 0.0;
        let mut count = 0;
        for one in victims.iter() {
            if missing.is_none() {
                break;
            }
            missing.free(one.memory_mb);
            cost += one.cost;
            count += 1;
        }
        victims.truncate(count);
        missing.is_none().then_some(cost)
    }
}

/// What must be freed on an instance before a model fits.
struct MissingMemory {
    known_mb: f64,
    /// Models of unknown size, beside which nothing is loaded.
    unknown_models: usize,
}

impl MissingMemory {
    fn is_none(&self) -> bool {
        self.known_mb <= 0.0 && self.unknown_models == 0
    }

    /// Counts an evicted model that frees this much; `None` if its size is not known.
    fn free(&mut self, memory_mb: Option<f64>) {
        match memory_mb {
            Some(memory_mb) => self.known_mb -= memory_mb,
            None => self.unknown_models = self.unknown_models.saturating_sub(1),
        }
    }
}

/// Whether a model has been loaded for long enough to be evicted.
fn may_evict(instance: &Instance, name: &ModelName, has_demand: bool, now: Timestamp) -> bool {
    let min_residency = instance.load_duration(name).max(MIN_RESIDENCY);
    !has_demand || instance.loaded_for(name, now) >= min_residency.min(MAX_MIN_RESIDENCY)
}
