//! Copies of weights that one instance can load without the weight store, as
//! the leader believes them to be.
//!
//! Invariant: a copy that may have been evicted since the instance last told
//! its copies is not believed in, so that a load that counts against the weight
//! store's ceiling is never taken for one from the instance's own disk.

use crate::configuration::{Engine, ModelSpecification};
use crate::instance::CachedWeights;
use courseshunt_types::{Millis, ModelName, Timestamp};

/// A load that ended within this time may be missing from what the instance tells.
const TELLING_LAG: Millis = Millis(2_500);

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
    /// A word for records.
    #[must_use]
    pub fn word(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Disk => "disk",
            Self::Store => "store",
        }
    }

    /// How long a load from there takes, when nothing stretches it.
    #[must_use]
    pub fn load_time(self, specification: &ModelSpecification) -> Millis {
        match self {
            Self::Memory => specification.warm_load_time,
            Self::Disk => specification.disk_load_time,
            Self::Store => specification.load_time,
        }
    }
}

/// See the module. Each list begins with what was used longest ago.
#[derive(Debug, Default)]
pub(super) struct Copies {
    in_memory: Vec<ModelName>,
    on_disk: Vec<ModelName>,
    /// Loads that ended lately, the oldest first.
    loaded: Vec<(ModelName, Timestamp)>,
}

impl Copies {
    /// Takes over what the instance tells, and what was loaded since.
    pub(super) fn told(&mut self, told: &CachedWeights, engine: Option<&Engine>, now: Timestamp) {
        self.in_memory = in_order_of_use(&self.in_memory, &told.in_memory);
        self.on_disk = in_order_of_use(&self.on_disk, &told.on_disk);
        self.loaded.retain(|(_, at)| now.since(*at) < TELLING_LAG);
        let Some(engine) = engine else {
            return;
        };
        for (model, _) in self.loaded.clone() {
            self.keep(&model, engine);
        }
    }

    /// A load has begun: it may evict copies.
    pub(super) fn load_began(&mut self, model: &ModelName, engine: &Engine) {
        self.make_room(model, engine);
    }

    /// A load has ended: it leaves copies behind.
    pub(super) fn load_ended(&mut self, model: &ModelName, engine: &Engine, now: Timestamp) {
        self.loaded.push((model.clone(), now));
        self.keep(model, engine);
    }

    /// The nearest copy of a model.
    pub(super) fn source(&self, model: &ModelName) -> LoadSource {
        if self.in_memory.contains(model) {
            LoadSource::Memory
        } else if self.on_disk.contains(model) {
            LoadSource::Disk
        } else {
            LoadSource::Store
        }
    }

    /// Models with a copy on disk.
    pub(super) fn on_disk(&self) -> &[ModelName] {
        &self.on_disk
    }

    fn make_room(&mut self, model: &ModelName, engine: &Engine) {
        evict(&mut self.in_memory, model, engine.cache_memory_mb, engine);
        evict(&mut self.on_disk, model, engine.cache_disk_mb, engine);
    }

    fn keep(&mut self, model: &ModelName, engine: &Engine) {
        self.make_room(model, engine);
        if size_of(model, engine) <= engine.cache_memory_mb {
            use_last(&mut self.in_memory, model);
        }
        if size_of(model, engine) <= engine.cache_disk_mb {
            use_last(&mut self.on_disk, model);
        }
    }
}

/// What is told, in the order of use that is known; the rest counts as used
/// longest ago.
fn in_order_of_use(known: &[ModelName], told: &[ModelName]) -> Vec<ModelName> {
    let unknown = told.iter().filter(|one| !known.contains(one));
    let known = known.iter().filter(|one| told.contains(one));
    unknown.chain(known).cloned().collect()
}

/// Drops what was used longest ago until `model` fits beside the rest.
fn evict(copies: &mut Vec<ModelName>, model: &ModelName, room_mb: f64, engine: &Engine) {
    if copies.contains(model) {
        return;
    }
    let mut used = size_of(model, engine);
    used += copies.iter().map(|one| size_of(one, engine)).sum::<f64>();
    while used > room_mb && !copies.is_empty() {
        used -= size_of(&copies.remove(0), engine);
    }
}

fn use_last(copies: &mut Vec<ModelName>, model: &ModelName) {
    copies.retain(|one| one != model);
    copies.push(model.clone());
}

fn size_of(model: &ModelName, engine: &Engine) -> f64 {
    engine
        .model(model.as_str())
        .map_or(0.0, |one| one.memory_mb)
}
