//! Memory that an instance uses, by the sizes with which its models were loaded.
//!
//! Invariant: a model counts with the largest size that a configuration has listed for it since it
//! was ordered here; one that this leader did not order counts with the largest size that any
//! version has listed. A model that none of them lists has an unknown size.

use super::Instance;
use crate::configuration::Engine;
use crate::model_sizes::ModelSize;
use courseshunt_types::ModelName;

/// Memory in use or reserved for a load on one instance.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(in crate::placement) struct CommittedMemory {
    /// Memory of the models and adapters whose size is known, in MB.
    pub(in crate::placement) known_mb: f64,
    /// Number of models whose size is not known.
    pub(in crate::placement) unknown_models: usize,
}

impl CommittedMemory {
    /// Whether this much more fits; nothing fits beside a model of unknown size.
    pub(in crate::placement) fn has_room_for(&self, additional_mb: f64, engine: &Engine) -> bool {
        self.unknown_models == 0 && self.known_mb + additional_mb <= engine.memory_mb
    }
}

impl Instance {
    /// Memory in use or reserved for a load.
    pub(in crate::placement) fn committed_memory(&self, engine: &Engine) -> CommittedMemory {
        let held = self.held.iter();
        let held = held.map(|(name, held)| (name, held.adapters.len()));
        let loading = self.loading();
        let loading = loading.filter(|model| !self.held.contains_key(*model));
        let mut committed = CommittedMemory::default();
        for (model, adapters) in held.chain(loading.map(|model| (model, 0))) {
            match self.size_of(model, engine) {
                Some(size) => {
                    committed.known_mb += size.weights_mb + size.adapter_mb * adapters as f64;
                }
                None => committed.unknown_models += 1,
            }
        }
        committed
    }

    /// Size of a model on this instance; `None` if it is not known.
    pub(in crate::placement) fn size_of(
        &self,
        model: &ModelName,
        engine: &Engine,
    ) -> Option<ModelSize> {
        let listed = engine.model(model.as_str()).map(ModelSize::listed);
        let earlier = engine.earlier_sizes.get(model.as_str());
        let loaded = self.sizes.get(model).or(earlier).copied();
        match (listed, loaded) {
            (Some(listed), Some(loaded)) => Some(listed.max(loaded)),
            (known, None) | (None, known) => known,
        }
    }

    /// Records the size of a model whose load is accepted: the listed one, unless the configuration
    /// has changed since the order was sent.
    pub(super) fn record_loaded_size(&mut self, model: &ModelName, engine: &Engine) {
        if let Some(listed) = engine.model(model.as_str()) {
            let listed = ModelSize::listed(listed);
            self.sizes.entry(model.clone()).or_insert(listed);
        }
    }

    /// Removes the size of a model that the instance does not hold. If the instance holds the model
    /// later without an accepted order of this leader, another leader has ordered it.
    pub(super) fn remove_size(&mut self, model: &ModelName) {
        self.sizes.remove(model);
    }

    /// Records the sizes that a configuration lists for the models on this instance, before another
    /// configuration takes its place.
    pub(in crate::placement) fn record_sizes(&mut self, engine: &Engine) {
        let models = self.held.keys().chain(&self.last_load);
        let sizes = models.filter_map(|model| Some((model.clone(), self.size_of(model, engine)?)));
        self.sizes = sizes.collect();
    }
}
