//! What one instance holds: models, adapters, memory, cached weights.

use super::{HeldModel, Instance, LoadSource};
use crate::placement::OrderAction;
use courseshunt_types::{Millis, ModelName, Timestamp};
use std::collections::BTreeMap;

impl Instance {
    pub(super) fn remove_adapter(&mut self, model: &ModelName, adapter: &str) {
        if let Some(held) = self.held.get_mut(model) {
            held.adapters.remove(adapter);
        }
    }

    /// Models held that requests may still be sent for.
    pub(in crate::placement) fn held(&self) -> impl Iterator<Item = (&ModelName, &HeldModel)> {
        let is_kept =
            |name: &ModelName, held: &HeldModel| !held.unloading && !self.is_unload_sent(name);
        self.held
            .iter()
            .filter(move |(name, held)| is_kept(name, held))
    }

    pub(super) fn is_unload_sent(&self, model: &ModelName) -> bool {
        matches!(&self.sent_order, Some(OrderAction::UnloadModel(sent)) if sent == model)
    }

    /// Whether the instance holds the model and is not unloading it.
    pub(in crate::placement) fn holds(&self, model: &ModelName) -> bool {
        let held = self.held.get(model);
        held.is_some_and(|held| !held.unloading) && !self.is_unload_sent(model)
    }

    /// Whether the adapter is loaded or being loaded.
    pub(in crate::placement) fn has_adapter(&self, model: &ModelName, adapter: &str) -> bool {
        let is_sent = self.sent_order.as_ref().is_some_and(|sent| {
            sent.loads() && sent.model() == model && sent.adapter() == Some(adapter)
        });
        let held = self.held.get(model);
        is_sent || held.is_some_and(|held| held.adapters.contains_key(adapter))
    }

    /// Adapters with their models, including the one that is being loaded.
    pub(in crate::placement) fn all_adapters(&self) -> impl Iterator<Item = (&ModelName, &str)> {
        let held = self.held.iter().flat_map(|(model, held)| {
            let adapters = held.adapters.keys();
            adapters.map(move |adapter| (model, adapter.as_str()))
        });
        let sent = self.sent_order.iter().filter(|sent| sent.loads());
        let sent = sent.filter_map(|sent| Some((sent.model(), sent.adapter()?)));
        held.chain(sent)
    }

    /// Number of adapters that are loaded or being loaded.
    pub(in crate::placement) fn adapter_count(&self) -> u32 {
        let counts = self.held.values().map(|held| held.adapters.len());
        u32::try_from(counts.sum::<usize>()).unwrap_or(u32::MAX)
    }

    /// The least recently used adapter, if its last use is at least `min_age` ago.
    pub(in crate::placement) fn least_recently_used_adapter(
        &self,
        now: Timestamp,
        min_age: Millis,
    ) -> Option<(ModelName, String)> {
        let all = self.held.iter().flat_map(|(model, held)| {
            let adapters = held.adapters.iter();
            adapters.map(move |(name, one)| (one.used_at, model, name))
        });
        let old = all.filter(|(used, _, _)| now.since(*used) >= min_age);
        let oldest = old.min_by_key(|(used, _, _)| *used)?;
        Some((oldest.1.clone(), oldest.2.clone()))
    }

    /// Adapters with their models whose last use is at least `min_age` ago.
    pub(in crate::placement) fn adapters_unused_since(
        &self,
        now: Timestamp,
        min_age: Millis,
    ) -> impl Iterator<Item = (&ModelName, &str)> {
        let all = self.held.iter().flat_map(|(model, held)| {
            let adapters = held.adapters.iter();
            adapters.map(move |(name, one)| (one.used_at, model, name.as_str()))
        });
        let unused = all.filter(move |(used, _, _)| now.since(*used) >= min_age);
        unused.map(|(_, model, name)| (model, name))
    }

    /// Records the last requests for adapters.
    pub(in crate::placement) fn record_adapter_requests(
        &mut self,
        requested: &BTreeMap<(ModelName, String), Timestamp>,
    ) {
        for (model, held) in &mut self.held {
            for (name, adapter) in &mut held.adapters {
                if let Some(at) = requested.get(&(model.clone(), name.clone())) {
                    adapter.used_at = *at;
                }
            }
        }
    }

    /// How long the model has been loaded.
    pub(in crate::placement) fn loaded_for(&self, model: &ModelName, now: Timestamp) -> Millis {
        let held = self.held.get(model);
        held.map_or(Millis(0), |held| now.since(held.since))
    }

    /// Where a load of the model would take the weights from.
    pub(in crate::placement) fn load_source(&self, model: &ModelName) -> LoadSource {
        self.cached.source(model)
    }

    /// Models whose weights are cached on the instance's disk.
    pub(in crate::placement) fn models_cached_on_disk(&self) -> &[ModelName] {
        self.cached.on_disk()
    }

    /// Time that the load of a held model took.
    pub(in crate::placement) fn load_duration(&self, model: &ModelName) -> Millis {
        self.held
            .get(model)
            .map_or(Millis(0), |held| held.load_duration)
    }

    /// Earliest time at which an adapter becomes ready.
    pub(in crate::placement) fn next_adapter_ready(&self, now: Timestamp) -> Option<Timestamp> {
        let adapters = self.held.values().flat_map(|held| held.adapters.values());
        let pending = adapters.filter(|one| one.ready_at > now);
        pending.map(|one| one.ready_at).min()
    }
}
