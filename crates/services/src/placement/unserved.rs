//! Requests that wait although an instance holds their model: it turned them away, or their router
//! cannot use it. Another replica is the only way to serve them.
//!
//! Invariant: a model counts only if a request has certainly waited beside its replica for
//! [`UNSERVED_AFTER`]. Routers report how many requests wait and not for how long, so that new
//! requests that wait for a moment each look like one that waits on; time counts from the last
//! arrival on.

use super::PlacementEngine;
use super::demand::{ModelKey, WaitingRequests};
use super::planning::PlanContext;
use super::round::Round;
use crate::configuration::ServiceConfiguration;
use courseshunt_types::{Millis, ModelName, Timestamp};
use std::collections::BTreeMap;

/// A request that waits beside a replica for this time is not served by it soon: most instances
/// that turn a request away take it again earlier.
const UNSERVED_AFTER: Millis = Millis(1_000);

/// A model that requests wait for beside its only replica.
#[derive(Debug, Clone, Copy)]
struct Unserved {
    since: Timestamp,
    /// Whether [`UNSERVED_AFTER`] has passed; this holds until no request waits.
    needs_replica: bool,
}

/// Models that requests wait for beside their only replica.
#[derive(Debug, Default)]
pub(super) struct UnservedTable {
    models: BTreeMap<ModelKey, Unserved>,
}

impl UnservedTable {
    /// Drops the models of services that a configuration does not list.
    pub(super) fn retain_services(&mut self, configuration: &ServiceConfiguration) {
        self.models
            .retain(|key, _| configuration.engine(&key.service).is_some());
    }

    /// Drops the models of a service that no request waits for.
    fn retain_waiting(&mut self, service: &str, waiting: &[WaitingRequests]) {
        self.models.retain(|key, _| {
            key.service != service || waiting.iter().any(|one| is_for_model(one, key))
        });
    }
}

/// Whether requests wait for the model itself and not for one of its adapters.
fn is_for_model(waiting: &WaitingRequests, key: &ModelKey) -> bool {
    waiting.key == *key && waiting.adapter.is_none()
}

impl PlacementEngine {
    /// Marks the models that need another replica for requests that wait beside the only one.
    pub(super) fn scale_for_unserved(
        &mut self,
        round: &mut Round,
        waiting: &[WaitingRequests],
        context: &PlanContext<'_>,
    ) {
        self.unserved.retain_waiting(context.service, waiting);
        for one in waiting.iter().filter(|one| one.adapter.is_none()) {
            let model = ModelName::from(one.key.model.as_str());
            let has_one_replica = round.replica_count(&model) == 1 && !round.is_pending(&model);
            if has_one_replica {
                let unserved = Unserved {
                    since: context.now,
                    needs_replica: false,
                };
                self.unserved
                    .models
                    .entry(one.key.clone())
                    .or_insert(unserved);
            }
            let Some(unserved) = self.unserved.models.get_mut(&one.key) else {
                continue;
            };
            let arrival = self.demand.last_arrival(context.service, model.as_str());
            let since = arrival.unwrap_or(unserved.since).max(unserved.since);
            unserved.needs_replica |= context.now.since(since) >= UNSERVED_AFTER;
            if let Some(state) = round.state_mut(&model) {
                state.is_unserved = unserved.needs_replica;
            }
        }
    }
}
