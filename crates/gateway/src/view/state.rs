//! What is known behind the view's lock, and when instances are expected.

use crate::current_document::CurrentDocument;
use crate::demand::DemandBook;
use courseshunt_services::fed_instances::InstanceChanges;
use courseshunt_services::{
    Candidate, FedInstances, InstanceState, InstanceView, PromptShape, Pushback, ReportMessage,
    RetryBudget, RouteTable, Selector, Service,
};
use courseshunt_types::{RunnerId, Timestamp};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time in which an adapter is loaded, about.
const ADAPTER_TIME: Duration = Duration::from_millis(60);
/// Time in which an instance answers one of the few requests that it gets after a rest, about.
const RETURN_TIME: Duration = Duration::from_millis(60);
/// Connections to one instance that are left to other callers, as a divisor.
const CONNECTION_RESERVE: u32 = 8;
/// When an instance is expected to take a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Expected {
    pub(crate) at: Instant,
    /// It asked for rest until then, or has just rested.
    pub(crate) pushed_back: bool,
    /// Its limit allows a request then: a turn can be asked for.
    pub(crate) in_turn: bool,
}

impl Expected {
    fn at_once() -> Self {
        Self {
            at: Instant::now(),
            pushed_back: false,
            in_turn: false,
        }
    }

    fn pushed_back(wait: Duration) -> Self {
        Self {
            at: Instant::now() + wait,
            pushed_back: true,
            in_turn: false,
        }
    }

    fn in_turn(wait: Duration) -> Self {
        Self {
            in_turn: true,
            ..Self::pushed_back(wait)
        }
    }
}

pub(super) struct State {
    pub(super) table: Option<Arc<RouteTable>>,
    /// The configuration in force, in the operator's form.
    pub(super) document: CurrentDocument,
    /// A newer configuration is in force elsewhere since then.
    pub(super) behind_since: Option<Timestamp>,
    pub(super) instances: FedInstances,
    /// When models that are being loaded will be there.
    pub(super) loading: BTreeMap<RunnerId, Vec<(String, Instant)>>,
    pub(super) selector: Selector,
    pub(super) demand: DemandBook,
    pub(super) budgets: HashMap<String, RetryBudget>,
    pub(super) routers: u32,
    /// What was reported last to the present leader.
    pub(super) reported: Option<ReportMessage>,
}

impl State {
    pub(super) fn number(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.number())
    }

    /// Requests that this router may have under way at one instance.
    pub(super) fn own_limit(&self, service: &Service) -> u32 {
        let usable = service.max_connections - service.max_connections / CONNECTION_RESERVE;
        (usable / self.routers).max(2)
    }

    /// Counts a request at the instance that was chosen for it.
    pub(super) fn begin(
        &mut self,
        candidate: Candidate,
        service: &Service,
        shape: &PromptShape,
        now: Timestamp,
    ) -> Option<(Candidate, InstanceView)> {
        self.selector.begin(&candidate, shape, now);
        let view = self.instances.get(&candidate.instance)?.clone();
        let tokens = candidate.uncached_tokens;
        self.demand.sent(&service.name, shape, tokens);
        Some((candidate, view))
    }

    /// Instances that are fed as ready and said that they leave.
    pub(super) fn leaving_by_their_word(&self) -> Vec<RunnerId> {
        let said = self.selector.leaving();
        let ready = said.filter(|id| {
            let view = self.instances.get(id);
            view.is_some_and(|view| view.state == InstanceState::Ready)
        });
        ready.cloned().collect()
    }

    /// See [`super::View::expected`].
    pub(super) fn expected(
        &self,
        service: &Service,
        shape: &PromptShape,
        now: Timestamp,
    ) -> Option<Expected> {
        let holders = self.instances.holders(&service.name, &shape.model);
        let loaders = self.instances.loaders(&service.name, &shape.model);
        let views = holders.chain(loaders);
        let views = views.filter(|view| view.state == InstanceState::Ready);
        let views = views.filter(|view| !self.selector.is_unreachable(&view.id, now));
        let mut earliest: Option<Expected> = None;
        for view in views {
            let free = match self.selector.pushback(view, now) {
                None => Expected::at_once(),
                Some(Pushback::Rest(left)) => Expected::pushed_back(left.into()),
                Some(Pushback::Returns) => Expected::pushed_back(RETURN_TIME),
                Some(Pushback::Limited(left)) => Expected::in_turn(left.into()),
                Some(Pushback::Leaving) => continue,
            };
            let at = if view.holds(&shape.model, None) {
                // It may be another instance by now: then its word is tried again later.
                let lacking = self.selector.lacks_for(&view.id, shape, now);
                let lacking = lacking.map(|left| Instant::now() + Duration::from(left));
                Some(lacking.map_or(free.at, |until| until.max(free.at)) + ADAPTER_TIME)
            } else if service.engine.is_some() {
                let loaded = self.loaded_at(view, shape);
                loaded.map(|at| at.max(free.at))
            } else if free.pushed_back {
                Some(free.at)
            } else {
                // It is full: nothing tells until when.
                return None;
            };
            let expected = at.map(|at| Expected { at, ..free });
            let both = earliest.into_iter().chain(expected);
            earliest = both.min_by_key(|one| one.at);
        }
        earliest
    }

    /// When the model of a request will be loaded at an instance, if it is being loaded.
    fn loaded_at(&self, view: &InstanceView, shape: &PromptShape) -> Option<Instant> {
        let due = self.loading.get(&view.id).into_iter().flatten();
        let due = due.filter(|(model, _)| *model == shape.model);
        due.map(|(_, at)| *at).min()
    }

    /// Takes changes over that `instances` has taken already.
    pub(super) fn follow(&mut self, changes: &InstanceChanges) {
        let now = Instant::now();
        for view in &changes.changed {
            self.selector.told_anew(&view.id);
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
