//! Gives back the memory of models and adapters that the configuration lists no longer.
//!
//! Invariant: nothing is unloaded here for which requests arrived lately. An unload waits for the
//! requests that run, and the instance takes no other order meanwhile.

use super::instance::Instance;
use super::planning::PlanContext;
use super::{OrderAction, PlacementEngine, PlacementStep};
use courseshunt_types::{Millis, RunnerId};

/// Time without requests after which a model or an adapter counts as unused; few requests run
/// longer.
const UNUSED_AFTER: Millis = Millis(15_000);
/// Minimum time between two searches of a service's instances.
const SEARCH_INTERVAL: Millis = Millis(1_000);

impl PlacementEngine {
    /// Unloads unused models and adapters that are listed no longer, one at a time on each instance.
    pub(super) fn unload_unlisted(
        &mut self,
        context: &PlanContext<'_>,
        steps: &mut Vec<PlacementStep>,
    ) {
        let searched_at = self.unlisted_searched_at.get(context.service);
        if searched_at.is_some_and(|at| context.now.since(*at) < SEARCH_INTERVAL) {
            return;
        }
        let service = context.service.to_owned();
        self.unlisted_searched_at.insert(service, context.now);
        let instances = self.usable_instances(context.service, context.now);
        let available =
            instances.filter(|one| one.can_take_order(context.now) && one.reserved_for().is_none());
        let unlisted = available.filter_map(|one| {
            let action = self.unlisted_model(one, context);
            let action = action.or_else(|| unlisted_adapter(one, context))?;
            Some((one.id().clone(), action))
        });
        let unlisted: Vec<(RunnerId, OrderAction)> = unlisted.collect();
        for (id, action) in unlisted {
            if !self.has_background_call_capacity() {
                return;
            }
            self.send_order(&id, action, steps);
        }
    }

    /// The order to unload an unused model that is listed no longer, if the instance holds one.
    fn unlisted_model(
        &self,
        instance: &Instance,
        context: &PlanContext<'_>,
    ) -> Option<OrderAction> {
        let mut unlisted = instance
            .held()
            .map(|(name, _)| name)
            .filter(|name| context.engine.model(name.as_str()).is_none());
        let unused = unlisted.find(|name| {
            let requested = self.demand.last_arrival(context.service, name.as_str());
            let since = requested.unwrap_or_default().max(instance.added_at());
            context.now.since(since) >= UNUSED_AFTER
        });
        unused.map(|name| OrderAction::UnloadModel(name.clone()))
    }
}

/// The order to unload an unused adapter that its model lists no longer, if the instance holds one.
fn unlisted_adapter(instance: &Instance, context: &PlanContext<'_>) -> Option<OrderAction> {
    let mut unused = instance.adapters_unused_since(context.now, UNUSED_AFTER);
    let unlisted = unused.find(|(model, adapter)| {
        let specification = context.engine.model(model.as_str());
        specification.is_some_and(|one| !one.adapters.iter().any(|listed| listed == adapter))
    });
    unlisted.map(|(model, adapter)| OrderAction::UnloadAdapter(model.clone(), adapter.to_owned()))
}
