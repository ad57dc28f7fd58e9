//! State behind the lock of the view, and the estimate when an instance can accept a request.

use super::versions::Eligibility;
use crate::current_document::CurrentDocument;
use crate::demand::DemandTracker;
use crate::software_versions::SoftwareVersions;
use courseshunt_services::RouteServices;
use courseshunt_services::instance_directory::InstanceChanges;
use courseshunt_services::{
    Candidate, FleetSize, InstanceDirectory, InstanceState, InstanceView, PromptShape, Pushback,
    ReportMessage, RetryBudgets, RouteTable, Selector, Service,
};
use courseshunt_types::{RunnerId, Timestamp};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Estimated time to load an adapter.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(60);
/// Estimated time in which an instance answers one of the few requests that it is sent right
/// after a backoff.
const AFTER_BACKOFF_ANSWER_TIME: Duration = Duration::from_millis(60);
/// The number of connections to an instance divided by this is reserved for its other clients.
const RESERVED_CONNECTION_DIVISOR: u32 = 8;
/// When an instance is expected to accept a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Availability {
    pub(crate) at: Instant,
    /// The instance is in backoff or rate-limited until then, or its backoff has just ended.
    pub(crate) in_backoff: bool,
    /// The rate limit of the instance allows a request then, so a send permit can be requested.
    pub(crate) can_request_permit: bool,
}

/// Instances that hold a model, as seen by one router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct HolderCounts {
    /// Ready instances that hold the model.
    pub(crate) holders: usize,
    /// Those of them that the router can't reach.
    pub(crate) unreachable: usize,
}

impl Availability {
    fn immediate() -> Self {
        Self {
            at: Instant::now(),
            in_backoff: false,
            can_request_permit: false,
        }
    }

    fn after_backoff(wait: Duration) -> Self {
        Self {
            at: Instant::now() + wait,
            in_backoff: true,
            can_request_permit: false,
        }
    }

    fn at_permit(wait: Duration) -> Self {
        Self {
            can_request_permit: true,
            ..Self::after_backoff(wait)
        }
    }
}

pub(super) struct State {
    pub(super) table: Option<Arc<RouteTable>>,
    /// Document of the configuration in force, in the operator's format.
    pub(super) document: CurrentDocument,
    /// Since when a newer configuration is known to be in force elsewhere.
    pub(super) stale_since: Option<Timestamp>,
    pub(super) instances: InstanceDirectory,
    /// Expected completion of model loads, by instance and model.
    pub(super) loading: BTreeMap<RunnerId, Vec<(String, Instant)>>,
    pub(super) selector: Selector,
    pub(super) demand: DemandTracker,
    pub(super) retry_budgets: RetryBudgets,
    pub(super) fleet: FleetSize,
    /// Number of routers by which this one divides common limits.
    pub(super) sharing_routers: u32,
    /// Last report sent to the current leader.
    pub(super) last_report: Option<ReportMessage>,
    pub(super) versions: SoftwareVersions,
    pub(super) route_services: RouteServices,
}

impl State {
    pub(super) fn configuration_number(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.number())
    }

    /// Maximum number of requests that this router may have in flight at one instance.
    pub(super) fn in_flight_limit(&self, service: &Service) -> u32 {
        let usable =
            service.max_connections - service.max_connections / RESERVED_CONNECTION_DIVISOR;
        (usable / self.sharing_routers).max(2)
    }

    /// Counts a request as in flight at the selected instance.
    pub(super) fn start_request(
        &mut self,
        candidate: Candidate,
        service: &Service,
        shape: &PromptShape,
        now: Timestamp,
    ) -> Option<(Candidate, InstanceView)> {
        self.selector.begin(&candidate, shape, now);
        let view = self.instances.get(&candidate.instance)?.clone();
        let tokens = candidate.uncached_tokens;
        self.demand.count_tokens(&service.name, shape, tokens);
        Some((candidate, view))
    }

    /// Instances that reported that they are leaving while the feed still lists them as ready.
    pub(super) fn reported_leaving(&self) -> Vec<RunnerId> {
        let leaving = self.selector.leaving();
        let ready = leaving.filter(|id| {
            let view = self.instances.get(id);
            view.is_some_and(|view| view.state == InstanceState::Ready)
        });
        ready.cloned().collect()
    }

    /// See [`super::View::count_holders`].
    pub(super) fn count_holders(
        &self,
        service: &Service,
        shape: &PromptShape,
        eligibility: &Eligibility<'_>,
        now: Timestamp,
    ) -> HolderCounts {
        let holders = self.instances.holders(&service.name, &shape.model);
        let holders = holders.filter(|view| self.is_eligible(view, eligibility));
        let ready = holders.filter(|view| view.state == InstanceState::Ready);
        let adapter = shape.adapter.as_deref();
        let ready =
            ready.filter(|view| shape.model.is_empty() || view.holds(&shape.model, adapter));
        ready.fold(HolderCounts::default(), |counts, view| {
            let unreachable = self.selector.is_unreachable(&view.id, now);
            HolderCounts {
                holders: counts.holders + 1,
                unreachable: counts.unreachable + usize::from(unreachable),
            }
        })
    }

    /// See [`super::View::expected_availability`].
    pub(super) fn expected_availability(
        &self,
        service: &Service,
        shape: &PromptShape,
        eligibility: &Eligibility<'_>,
        avoided: &[RunnerId],
        now: Timestamp,
    ) -> Option<Availability> {
        let holders = self.instances.holders(&service.name, &shape.model);
        let loaders = self.instances.loaders(&service.name, &shape.model);
        let views = holders.chain(loaders);
        let views = views.filter(|view| self.is_eligible(view, eligibility));
        let views = views.filter(|view| !avoided.contains(&view.id));
        let views = views.filter(|view| view.state == InstanceState::Ready);
        let views = views.filter(|view| !self.selector.is_unreachable(&view.id, now));
        let mut earliest: Option<Availability> = None;
        for view in views {
            let base = match self.selector.pushback(view, now) {
                None => Availability::immediate(),
                Some(Pushback::Backoff(left)) => Availability::after_backoff(left.into()),
                Some(Pushback::Recovering) => {
                    Availability::after_backoff(AFTER_BACKOFF_ANSWER_TIME)
                }
                Some(Pushback::Limited(left)) => Availability::at_permit(left.into()),
                Some(Pushback::Leaving) => continue,
            };
            let at = if view.holds(&shape.model, None) {
                // Another instance may have taken over the address by now, so the model is
                // tried again once this report expires.
                let missing_until = self.selector.missing_for(&view.id, shape, now);
                let missing_until = missing_until.map(|left| Instant::now() + Duration::from(left));
                Some(missing_until.map_or(base.at, |until| until.max(base.at)) + ADAPTER_LOAD_TIME)
            } else if service.engine.is_some() {
                let loaded = self.load_completion(view, shape);
                loaded.map(|at| at.max(base.at))
            } else if base.in_backoff {
                Some(base.at)
            } else {
                // The instance is full, and there is no estimate when it has room.
                return None;
            };
            let candidate = at.map(|at| Availability { at, ..base });
            let both = earliest.into_iter().chain(candidate);
            earliest = both.min_by_key(|one| one.at);
        }
        earliest
    }

    /// When the requested model is loaded at an instance, if the load is in progress.
    fn load_completion(&self, view: &InstanceView, shape: &PromptShape) -> Option<Instant> {
        let due = self.loading.get(&view.id).into_iter().flatten();
        let due = due.filter(|(model, _)| *model == shape.model);
        due.map(|(_, at)| *at).min()
    }

    /// Records the instances among `views` that are not known yet, before they are applied.
    pub(super) fn note_new_instances(&mut self, views: &[InstanceView]) {
        for view in views {
            if !self.instances.contains(&view.id) {
                self.versions.add_instance(&view.service);
            }
        }
    }

    /// Updates the derived state after `instances` has applied these changes.
    pub(super) fn apply_changes(&mut self, changes: &InstanceChanges) {
        let now = Instant::now();
        for view in &changes.changed {
            self.selector.models_updated(&view.id);
            let loading = view.loading.iter();
            let due = loading.map(|(model, left)| (model.0.clone(), now + Duration::from(*left)));
            let due: Vec<(String, Instant)> = due.collect();
            match due.is_empty() {
                true => drop(self.loading.remove(&view.id)),
                false => drop(self.loading.insert(view.id.clone(), due)),
            }
        }
        if changes.gone.is_empty() {
            return;
        }
        for id in &changes.gone {
            self.loading.remove(id);
        }
        let instances = &self.instances;
        self.selector.retain(|id| instances.contains(id));
    }
}
