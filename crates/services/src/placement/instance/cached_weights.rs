//! Weights that one instance has cached and can load without the weight store, as tracked by the
//! leader.
//!
//! Invariant: cached weights that may have been evicted since the instance's last report are not
//! counted, so that a load that counts against the weight store's rate limit is never taken for one
//! from the instance's own disk.

use crate::configuration::{Engine, ModelSpecification};
use crate::instance::CachedWeights;
use courseshunt_types::{Millis, ModelName, Timestamp};

/// Weights that were loaded within this time may be missing from the instance's report.
const REPORT_LAG: Millis = Millis(2_500);

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
    /// Loads that ended within [`REPORT_LAG`], the oldest first.
    recent_loads: Vec<(ModelName, Timestamp)>,
}

impl WeightCache {
    /// Applies the instance's report, and the loads that ended too recently to be part of it.
    pub(super) fn apply_report(
        &mut self,
        reported: &CachedWeights,
        engine: Option<&Engine>,
        now: Timestamp,
    ) {
        self.in_memory = in_order_of_use(&self.in_memory, &reported.in_memory);
        self.on_disk = in_order_of_use(&self.on_disk, &reported.on_disk);
        self.recent_loads
            .retain(|(_, at)| now.since(*at) < REPORT_LAG);
        let Some(engine) = engine else {
            return;
        };
        for (model, _) in self.recent_loads.clone() {
            self.cache(&model, engine);
        }
    }

    /// Records the start of a load, which may evict cached weights.
    pub(super) fn record_load_start(&mut self, model: &ModelName, engine: &Engine) {
        self.make_room(model, engine);
    }

    /// Records the end of a load, which leaves its weights cached.
    pub(super) fn record_load_end(&mut self, model: &ModelName, engine: &Engine, now: Timestamp) {
        self.recent_loads.push((model.clone(), now));
        self.cache(model, engine);
    }

    /// The fastest source for the weights of a model.
    pub(super) fn source(&self, model: &ModelName) -> LoadSource {
        if self.in_memory.contains(model) {
            LoadSource::Memory
        } else if self.on_disk.contains(model) {
            LoadSource::Disk
        } else {
            LoadSource::Store
        }
    }

    /// Models whose weights are cached on disk.
    pub(super) fn on_disk(&self) -> &[ModelName] {
        &self.on_disk
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
