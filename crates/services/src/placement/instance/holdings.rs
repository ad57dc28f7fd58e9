//! What one instance holds: models, adapters, memory, copies to load from.

use super::{Held, Instance, LoadSource};
use crate::configuration::Engine;
use crate::placement::OrderAction;
use courseshunt_types::{Millis, ModelName, Timestamp};
use std::collections::BTreeMap;

impl Instance {
    pub(super) fn drop_adapter(&mut self, model: &ModelName, adapter: &str) {
        if let Some(held) = self.held.get_mut(model) {
            held.adapters.remove(adapter);
        }
    }

    /// Models held that requests may still be sent for.
    pub(in crate::placement) fn held(&self) -> impl Iterator<Item = (&ModelName, &Held)> {
        let kept = |name: &ModelName, held: &Held| !held.unloading && !self.is_unload_sent(name);
        self.held
            .iter()
            .filter(move |(name, held)| kept(name, held))
    }

    pub(super) fn is_unload_sent(&self, model: &ModelName) -> bool {
        matches!(&self.sent, Some(OrderAction::UnloadModel(sent)) if sent == model)
    }

    /// Whether it holds the model and is not giving it up.
    pub(in crate::placement) fn has(&self, model: &ModelName) -> bool {
        let held = self.held.get(model);
        held.is_some_and(|held| !held.unloading) && !self.is_unload_sent(model)
    }

    /// Whether the adapter is there or on its way.
    pub(in crate::placement) fn has_adapter(&self, model: &ModelName, adapter: &str) -> bool {
        let sent = self.sent.as_ref().is_some_and(|sent| {
            sent.loads() && sent.model() == model && sent.adapter() == Some(adapter)
        });
        let held = self.held.get(model);
        sent || held.is_some_and(|held| held.adapters.contains_key(adapter))
    }

    /// Adapters with their models, the one on its way included.
    pub(in crate::placement) fn all_adapters(&self) -> impl Iterator<Item = (&ModelName, &str)> {
        let held = self.held.iter().flat_map(|(model, held)| {
            let adapters = held.adapters.keys();
            adapters.map(move |adapter| (model, adapter.as_str()))
        });
        let sent = self.sent.iter().filter(|sent| sent.loads());
        let sent = sent.filter_map(|sent| Some((sent.model(), sent.adapter()?)));
        held.chain(sent)
    }

    /// Adapters there or on their way.
    pub(in crate::placement) fn adapters(&self) -> u32 {
        let counts = self.held.values().map(|held| held.adapters.len());
        u32::try_from(counts.sum::<usize>()).unwrap_or(u32::MAX)
    }

    /// The adapter that was loaded longest ago.
    pub(in crate::placement) fn oldest_adapter(
        &self,
        now: Timestamp,
        least_age: Millis,
    ) -> Option<(ModelName, String)> {
        let all = self.held.iter().flat_map(|(model, held)| {
            let adapters = held.adapters.iter();
            adapters.map(move |(name, one)| (one.used_at, model, name))
        });
        let old = all.filter(|(used, _, _)| now.since(*used) >= least_age);
        let oldest = old.min_by_key(|(used, _, _)| *used)?;
        Some((oldest.1.clone(), oldest.2.clone()))
    }

    /// Notes when requests for adapters arrived.
    pub(in crate::placement) fn touch_adapters(
        &mut self,
        asked: &BTreeMap<(ModelName, String), Timestamp>,
    ) {
        for (model, held) in &mut self.held {
            for (name, adapter) in &mut held.adapters {
                if let Some(at) = asked.get(&(model.clone(), name.clone())) {
                    adapter.used_at = *at;
                }
            }
        }
    }

    /// How long the model has been there.
    pub(in crate::placement) fn held_for(&self, model: &ModelName, now: Timestamp) -> Millis {
        let held = self.held.get(model);
        held.map_or(Millis(0), |held| now.since(held.since))
    }

    /// Memory in use or promised, in MB.
    pub(in crate::placement) fn memory_mb(&self, engine: &Engine) -> f64 {
        let held = self.held.iter().map(|(name, held)| {
            let Some(one) = engine.model(name.as_str()) else {
                return 0.0;
            };
            one.memory_mb + one.adapter_mb * held.adapters.len() as f64
        });
        let loading = self
            .loading()
            .filter(|model| !self.held.contains_key(*model));
        let loading = loading.and_then(|model| engine.model(model.as_str()));
        held.sum::<f64>() + loading.map_or(0.0, |one| one.memory_mb)
    }

    /// Where a load of the model would take the weights from.
    pub(in crate::placement) fn source(&self, model: &ModelName) -> LoadSource {
        self.copies.source(model)
    }

    /// Models with a copy on its disk.
    pub(in crate::placement) fn copies_on_disk(&self) -> &[ModelName] {
        self.copies.on_disk()
    }

    /// How long the load of a model took that is held.
    pub(in crate::placement) fn load_took(&self, model: &ModelName) -> Millis {
        self.held
            .get(model)
            .map_or(Millis(0), |held| held.load_took)
    }

    /// The next moment at which an adapter becomes ready.
    pub(in crate::placement) fn next_ready(&self, now: Timestamp) -> Option<Timestamp> {
        let adapters = self.held.values().flat_map(|held| held.adapters.values());
        let pending = adapters.filter(|one| one.ready_at > now);
        pending.map(|one| one.ready_at).min()
    }
}
