//! Weights that one instance has cached and can load without the weight store, as tracked by the
//! leader.
//!
//! Invariant: cached weights that may have been evicted since the instance's last report are not
//! counted, so that a load that counts against the weight store's rate limit is never taken for one
//! from the instance's own disk. Once there is a report or an order, a registration adds no cached
//! weights: it may have been sent before the load that evicted them.

use crate::configuration::{Engine, ModelSpecification};
use crate::instance::CachedWeights;
use courseshunt_types::{Millis, ModelName};

/// Where a load takes the weights from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadSource {
    /// The instance's own memory.
    Memory,
    /// The instance's own disk.
    Disk,
    /// The weight store.
    Store,
}

impl LoadSource {
    /// Name of the source in records.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Disk => "disk",
            Self::Store => "store",
        }
    }

    /// Time of a load from this source at full speed.
    #[must_use]
    pub fn load_time(self, specification: &ModelSpecification) -> Millis {
        match self {
            Self::Memory => specification.warm_load_time,
            Self::Disk => specification.disk_load_time,
            Self::Store => specification.load_time,
        }
    }
}

/// Cached weights of one instance; see the module. Each list is in order of use, the least recently
/// used model first.
#[derive(Debug, Default)]
pub(super) struct WeightCache {
    in_memory: Vec<ModelName>,
    on_disk: Vec<ModelName>,
    /// What a registration listed during the order in progress. Plans count with it, but no order is
    /// sent to the instance meanwhile.
    listed_during_order: Option<CachedWeights>,
}

impl WeightCache {
    /// Replaces the cached weights by those that the instance lists.
    pub(super) fn replace(&mut self, listed: &CachedWeights) {
        self.in_memory = in_order_of_use(&self.in_memory, &listed.in_memory);
        self.on_disk = in_order_of_use(&self.on_disk, &listed.on_disk);
    }

    /// Records what the instance lists while it carries out an order, until the order has ended.
    pub(super) fn list_during_order(&mut self, listed: &CachedWeights) {
        self.listed_during_order = Some(listed.clone());
    }

    /// Removes the cached weights that the instance does not list.
    pub(super) fn retain_listed(&mut self, listed: &CachedWeights) {
        self.in_memory.retain(|one| listed.in_memory.contains(one));
        self.on_disk.retain(|one| listed.on_disk.contains(one));
    }

    /// Whether the cached weights are other ones than the instance lists.
    pub(super) fn differs_from(&self, listed: &CachedWeights) -> bool {
        !has_same_models(&self.in_memory, &listed.in_memory)
            || !has_same_models(&self.on_disk, &listed.on_disk)
    }

    /// Records the end of an order, whatever its outcome.
    pub(super) fn record_order_end(&mut self) {
        self.listed_during_order = None;
    }

    /// Records the start of a load, which may evict cached weights.
    pub(super) fn record_load_start(&mut self, model: &ModelName, engine: &Engine) {
        self.make_room(model, engine);
    }

    /// Records the end of a load, which leaves its weights cached.
    pub(super) fn record_load_end(&mut self, model: &ModelName, engine: &Engine) {
        self.cache(model, engine);
    }

    /// The fastest source for the weights of a model.
    pub(super) fn source(&self, model: &ModelName) -> LoadSource {
        if self.in_memory().contains(model) {
            LoadSource::Memory
        } else if self.on_disk().contains(model) {
            LoadSource::Disk
        } else {
            LoadSource::Store
        }
    }

    /// Models whose weights are cached on disk.
    pub(super) fn on_disk(&self) -> &[ModelName] {
        let listed = self.listed_during_order.as_ref();
        listed.map_or(&self.on_disk, |listed| &listed.on_disk)
    }

    fn in_memory(&self) -> &[ModelName] {
        let listed = self.listed_during_order.as_ref();
        listed.map_or(&self.in_memory, |listed| &listed.in_memory)
    }

    fn make_room(&mut self, model: &ModelName, engine: &Engine) {
        evict(&mut self.in_memory, model, engine.cache_memory_mb, engine);
        evict(&mut self.on_disk, model, engine.cache_disk_mb, engine);
    }

    fn cache(&mut self, model: &ModelName, engine: &Engine) {
        self.make_room(model, engine);
        if size_mb(model, engine) <= engine.cache_memory_mb {
            mark_used(&mut self.in_memory, model);
        }
        if size_mb(model, engine) <= engine.cache_disk_mb {
            mark_used(&mut self.on_disk, model);
        }
    }
}

/// The reported models in the known order of use; models without a known use count as least
/// recently used.
fn in_order_of_use(ordered: &[ModelName], reported: &[ModelName]) -> Vec<ModelName> {
    let unordered = reported.iter().filter(|one| !ordered.contains(one));
    let ordered = ordered.iter().filter(|one| reported.contains(one));
    unordered.chain(ordered).cloned().collect()
}

/// Whether both lists name the same models, in any order.
fn has_same_models(one: &[ModelName], other: &[ModelName]) -> bool {
    one.len() == other.len() && one.iter().all(|model| other.contains(model))
}

/// Evicts the least recently used models until `model` fits.
fn evict(cached: &mut Vec<ModelName>, model: &ModelName, capacity_mb: f64, engine: &Engine) {
    if cached.contains(model) {
        return;
    }
    let mut used_mb = size_mb(model, engine);
    used_mb += cached.iter().map(|one| size_mb(one, engine)).sum::<f64>();
    while used_mb > capacity_mb && !cached.is_empty() {
        used_mb -= size_mb(&cached.remove(0), engine);
    }
}

fn mark_used(cached: &mut Vec<ModelName>, model: &ModelName) {
    cached.retain(|one| one != model);
    cached.push(model.clone());
}

fn size_mb(model: &ModelName, engine: &Engine) -> f64 {
    engine
        .model(model.as_str())
        .map_or(0.0, |one| one.memory_mb)
}
