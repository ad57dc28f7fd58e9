//! Decides which instance loads an adapter and which adapter is evicted for it.

use super::instance::Instance;
use super::planning::PlanContext;
use super::{OrderAction, PlacementEngine, PlacementStep};
use crate::configuration::Engine;
use courseshunt_types::{Millis, ModelName, RunnerId};

/// Minimum time between the load or last use of an adapter and its eviction.
const MIN_ADAPTER_RESIDENCY: Millis = Millis(400);

impl PlacementEngine {
    /// Loads an adapter that requests wait for on an instance that holds the model, or evicts
    /// another adapter to make room for it.
    pub(super) fn add_adapter(
        &mut self,
        model: &ModelName,
        adapter: &str,
        context: &PlanContext<'_>,
        steps: &mut Vec<PlacementStep>,
    ) {
        let engine = context.engine;
        let size_mb = engine
            .model(model.as_str())
            .map_or(0.0, |one| one.adapter_mb);
        let instances = self.usable_instances(context.service, context.now);
        let mut holders: Vec<&Instance> = instances.filter(|one| one.holds(model)).collect();
        if holders.iter().any(|one| one.has_adapter(model, adapter)) {
            return;
        }
        holders.retain(|one| one.can_take_order(context.now));
        let has_room = |one: &&Instance| {
            one.adapter_count() < engine.adapter_slots
                && one.committed_memory(engine).has_room_for(size_mb, engine)
        };
        let with_room = holders.iter().copied().filter(has_room);
        let load_of = |one: &Instance| (self.usage.in_flight(one.id()), one.adapter_count());
        if let Some(best) = with_room.min_by_key(|one| load_of(one)) {
            let id = best.id().clone();
            let action = OrderAction::LoadAdapter(model.clone(), adapter.to_owned());
            self.send_order(&id, action, steps);
            return;
        }
        let without_room = holders.into_iter().filter_map(|one| {
            let oldest = one.least_recently_used_adapter(context.now, MIN_ADAPTER_RESIDENCY)?;
            Some((self.usage.in_flight(one.id()), one.id().clone(), oldest))
        });
        let least_loaded = without_room.min_by_key(|(in_flight, _, _)| *in_flight);
        if let Some((_, id, (model, adapter))) = least_loaded {
            self.send_order(&id, OrderAction::UnloadAdapter(model, adapter), steps);
        }
    }

    /// Fills free adapter slots with adapters that no instance holds.
    pub(super) fn fill_adapter_slots(
        &mut self,
        context: &PlanContext<'_>,
        steps: &mut Vec<PlacementStep>,
    ) {
        let slots = context.engine.adapter_slots;
        let instances = self.usable_instances(context.service, context.now);
        let available = instances.filter(|one| {
            one.can_take_order(context.now)
                && one.reserved_for().is_none()
                && one.adapter_count() < slots
        });
        let available: Vec<RunnerId> = available.map(|one| one.id().clone()).collect();
        for id in available {
            if !self.has_background_call_capacity() {
                return;
            }
            let Some((model, adapter)) = self.missing_adapter(&id, context.engine) else {
                continue;
            };
            let action = OrderAction::LoadAdapter(model.clone(), adapter.clone());
            // The adapter counts as held also when the instance is only queried for its sequence
            // number so far: otherwise all other instances that hold the model would be queried
            // too, for a single adapter.
            self.send_order(&id, action, steps);
            self.update_round(|round| {
                round.adapters.entry(model).or_default().insert(adapter);
            });
        }
    }

    /// An adapter of a model on this instance that no instance holds.
    fn missing_adapter(&self, id: &RunnerId, engine: &Engine) -> Option<(ModelName, String)> {
        let instance = self.instances.get(id)?;
        let committed = instance.committed_memory(engine);
        instance.held().find_map(|(name, _)| {
            let specification = engine.model(name.as_str())?;
            if !committed.has_room_for(specification.adapter_mb, engine) {
                return None;
            }
            let held = self.round.adapters.get(name);
            let mut adapters = specification.adapters.iter();
            let missing = adapters.find(|one| held.is_none_or(|held| !held.contains(*one)));
            missing.map(|adapter| (name.clone(), adapter.clone()))
        })
    }
}
