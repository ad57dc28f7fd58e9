//! What a router knows: configuration, instances, use, demand, budgets.

use crate::held_document::HeldDocument;
use courseshunt_services::fed_instances::InstanceChanges;
use courseshunt_services::feed::{InstanceUsage, ModelDemand, usage_interval, usage_lag};
use courseshunt_services::{
    Candidate, FedInstances, InstanceDigests, InstanceState, InstanceView, PromptShape, Pushback,
    ReportMessage, RetryBudget, RouteTable, Selector, Service,
};
use courseshunt_settings::service::ServiceSettings;
use courseshunt_types::time::MonotonicClock;
use courseshunt_types::{Millis, RunnerId, Timestamp, Zone};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// Routers are taken to be so many until the feed tells.
pub(crate) const ASSUMED_ROUTERS: u32 = 16;
/// Time in which an adapter is loaded, about.
const ADAPTER_TIME: Duration = Duration::from_millis(60);
/// Time in which an instance answers one of the few requests that it gets after a rest, about.
const RETURN_TIME: Duration = Duration::from_millis(60);
/// Connections to one instance that are left to other callers, as a divisor.
const CONNECTION_RESERVE: u32 = 8;

/// Demand of one model and adapter since the last report.
#[derive(Debug, Default)]
struct Demand {
    arrivals: u32,
    tokens: u32,
    objective_ms: u32,
    late: u32,
    waiting: u32,
}

/// What is asked for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct DemandKey {
    service: String,
    model: String,
    adapter: Option<String>,
}

/// When an instance is expected to take a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Expected {
    pub(crate) at: Instant,
    /// It asked for rest until then, or has just rested.
    pub(crate) pushed_back: bool,
}

struct State {
    table: Option<Arc<RouteTable>>,
    /// The configuration in force, in the operator's form.
    document: HeldDocument,
    /// A newer configuration is in force elsewhere since then.
    behind_since: Option<Timestamp>,
    instances: FedInstances,
    /// When models that are being loaded will be there.
    expected: BTreeMap<RunnerId, Vec<(String, Instant)>>,
    selector: Selector,
    demand: HashMap<DemandKey, Demand>,
    budgets: HashMap<String, RetryBudget>,
    routers: u32,
    /// What was reported last to the present leader.
    reported: Option<ReportMessage>,
}

impl State {
    fn number(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.number())
    }

    /// Instances that are fed as ready and said that they leave.
    fn leaving_by_their_word(&self) -> Vec<RunnerId> {
        let said = self.selector.leaving();
        let ready = said.filter(|id| {
            let view = self.instances.get(id);
            view.is_some_and(|view| view.state == InstanceState::Ready)
        });
        ready.cloned().collect()
    }

    /// When the model of a request will be loaded at an instance, if it is being loaded.
    fn loaded_at(&self, view: &InstanceView, shape: &PromptShape) -> Option<Instant> {
        let due = self.expected.get(&view.id).into_iter().flatten();
        let due = due.filter(|(model, _)| *model == shape.model);
        due.map(|(_, at)| *at).min()
    }

    /// Takes changes over that `instances` has taken already.
    fn follow(&mut self, changes: &InstanceChanges) {
        let now = Instant::now();
        for view in &changes.changed {
            let loading = view.loading.iter();
            let due = loading.map(|(model, left)| (model.0.clone(), now + Duration::from(*left)));
            let due: Vec<(String, Instant)> = due.collect();
            match due.is_empty() {
                true => drop(self.expected.remove(&view.id)),
                false => drop(self.expected.insert(view.id.clone(), due)),
            }
        }
        if changes.gone.is_empty() {
            return;
        }
        for id in &changes.gone {
            self.expected.remove(id);
        }
        let instances = &self.instances;
        self.selector.retain(|id| instances.contains(id));
    }
}

/// See the module.
pub(crate) struct View {
    state: Mutex<State>,
    changes: watch::Sender<u64>,
    /// Counts sleep: what a router that wakes has heard is as old as it is.
    clock: MonotonicClock,
    /// When a leader was heard last.
    heard: Mutex<Timestamp>,
    /// Woken when a request begins to wait for a model, and when a configuration
    /// comes into force.
    pub(crate) news: Notify,
    retry: (f64, f64, Millis),
}

impl View {
    pub(crate) fn new(settings: &ServiceSettings, clock: MonotonicClock) -> Self {
        let limits = &settings.limits;
        let window = Millis((limits.retry_window_s * 1000.0) as u64);
        let zone = Zone::from(settings.zone.as_str());
        let mut selector = Selector::new(zone).seeded(rand::random());
        selector.set_routers(ASSUMED_ROUTERS);
        let state = State {
            table: None,
            document: HeldDocument::default(),
            behind_since: None,
            instances: FedInstances::default(),
            expected: BTreeMap::new(),
            selector,
            demand: HashMap::new(),
            budgets: HashMap::new(),
            routers: ASSUMED_ROUTERS,
            reported: None,
        };
        Self {
            state: Mutex::new(state),
            changes: watch::Sender::new(0),
            heard: Mutex::new(clock.now()),
            clock,
            news: Notify::new(),
            retry: (limits.retry_ratio, limits.retry_slack, window),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The configuration in force.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        self.lock().table.clone()
    }

    /// Number of the configuration in force; 0 for none.
    pub(crate) fn number(&self) -> u64 {
        self.lock().number()
    }

    /// Number of the configuration that differences may be told from; 0 for none.
    pub(crate) fn base(&self) -> u64 {
        self.lock().document.base()
    }

    /// Whether requests can be served.
    pub(crate) fn is_ready(&self) -> bool {
        let state = self.lock();
        state.table.is_some() && !state.instances.is_empty()
    }

    /// Notes a message of the leader.
    pub(crate) fn hear_leader(&self) {
        *self.heard.lock().unwrap_or_else(PoisonError::into_inner) = self.clock.now();
    }

    /// Time since the last message of a leader.
    pub(crate) fn feed_age(&self) -> Duration {
        let heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        Duration::from(self.clock.now().since(*heard))
    }

    /// Time between reports, for as many routers and instances as are known.
    pub(crate) fn report_interval(&self) -> Millis {
        let state = self.lock();
        usage_interval(state.routers, state.instances.len())
    }

    /// Follows changes, to wait for one.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn changed(&self) {
        self.changes.send_modify(|number| *number += 1);
    }

    /// The document that a difference makes out of the one in force: see
    /// [`HeldDocument::apply`].
    pub(crate) fn apply(
        &self,
        base: u64,
        digest: u64,
        difference: &[u8],
    ) -> Result<Vec<u8>, String> {
        self.lock().document.apply(base, digest, difference)
    }

    /// Notes which configuration is in force elsewhere.
    pub(crate) fn announce(&self, number: u64) {
        let mut state = self.lock();
        if number <= state.number() {
            state.behind_since = None;
        } else if state.behind_since.is_none() {
            state.behind_since = Some(self.clock.now());
        }
    }

    /// For how long a newer configuration is known to be in force elsewhere.
    pub(crate) fn behind_for(&self) -> Option<Duration> {
        let since = self.lock().behind_since?;
        Some(Duration::from(self.clock.now().since(since)))
    }

    /// Puts a newer configuration in force; an older one changes nothing.
    pub(crate) fn configure(&self, table: RouteTable, document: Vec<u8>) -> bool {
        let mut state = self.lock();
        if table.number() <= state.number() {
            return false;
        }
        state.document.hold(table.number(), document);
        state.table = Some(Arc::new(table));
        state.behind_since = None;
        drop(state);
        self.changed();
        self.news.notify_one();
        true
    }

    /// Takes changed instances over; returns those that are there no more.
    pub(crate) fn set_instances(
        &self,
        changed: Vec<InstanceView>,
        mut gone: Vec<RunnerId>,
    ) -> Vec<RunnerId> {
        let mut state = self.lock();
        gone.retain(|id| state.instances.contains(id));
        let changes = state.instances.change(changed, gone);
        state.follow(&changes);
        drop(state);
        self.changed();
        changes.gone
    }

    /// Takes the instances of a part over; returns those that are there no more.
    pub(crate) fn set_part(
        &self,
        part: u32,
        instances: Vec<InstanceView>,
        complete: bool,
    ) -> Vec<RunnerId> {
        let part = usize::try_from(part).unwrap_or(usize::MAX);
        let mut state = self.lock();
        let changes = state.instances.set_part(part, instances, complete);
        state.follow(&changes);
        drop(state);
        self.changed();
        changes.gone
    }

    /// Takes over which instances are there; returns those that are no more.
    pub(crate) fn keep_instances(&self, live: &[RunnerId]) -> Vec<RunnerId> {
        let mut state = self.lock();
        let changes = InstanceChanges {
            changed: Vec::new(),
            gone: state.instances.keep(live),
        };
        state.follow(&changes);
        drop(state);
        self.changed();
        changes.gone
    }

    /// Digests of the instances that are known.
    pub(crate) fn digests(&self) -> InstanceDigests {
        self.lock().instances.digests().clone()
    }

    pub(crate) fn set_usage(&self, routers: u32, usage: &[InstanceUsage], now: Timestamp) {
        let mut state = self.lock();
        state.routers = routers.max(1);
        let routers = state.routers;
        state.selector.set_routers(routers);
        let late = usage_lag(state.routers, state.instances.len());
        state.selector.set_usage(usage, late, now);
    }

    /// Chooses an instance and counts the request there.
    pub(crate) fn choose(
        &self,
        service: &Service,
        shape: &PromptShape,
        avoid: &[RunnerId],
        now: Timestamp,
    ) -> Option<(Candidate, InstanceView)> {
        let mut state = self.lock();
        let usable = service.max_connections - service.max_connections / CONNECTION_RESERVE;
        let own_limit = (usable / state.routers).max(2);
        let State {
            instances,
            selector,
            ..
        } = &mut *state;
        let views = instances.values();
        let views = views.filter(|view| view.service == service.name);
        let candidate = selector.choose(shape, views, avoid, own_limit, now)?;
        selector.begin(&candidate, shape, now);
        let view = instances.get(&candidate.instance)?.clone();
        if !shape.model.is_empty() {
            let demand = state
                .demand
                .entry(key_of(&service.name, shape))
                .or_default();
            demand.tokens += candidate.uncached_tokens;
        }
        Some((candidate, view))
    }

    /// Whether an instance of the service holds the model, or is about to.
    pub(crate) fn is_known(&self, service: &Service) -> bool {
        let state = self.lock();
        let mut views = state.instances.values();
        views.any(|view| view.service == service.name)
    }

    /// When an instance is expected to take a request; `None` when nothing is known.
    pub(crate) fn expected(
        &self,
        service: &Service,
        shape: &PromptShape,
        now: Timestamp,
    ) -> Option<Expected> {
        let state = self.lock();
        let views = state.instances.values();
        let views =
            views.filter(|view| view.service == service.name && view.state == InstanceState::Ready);
        let views = views.filter(|view| !state.selector.is_unreachable(&view.id, now));
        let moment = Instant::now();
        let mut earliest: Option<Expected> = None;
        for view in views {
            let wait = match state.selector.pushback(view, now) {
                None => None,
                Some(Pushback::Rest(left)) => Some(Duration::from(left)),
                Some(Pushback::Returns) => Some(RETURN_TIME),
                Some(Pushback::Leaving) => continue,
            };
            let pushed_back = wait.is_some();
            let free_at = moment + wait.unwrap_or_default();
            let at = if view.holds(&shape.model, None) {
                Some(free_at + ADAPTER_TIME)
            } else if service.engine.is_some() {
                state.loaded_at(view, shape).map(|at| at.max(free_at))
            } else if pushed_back {
                Some(free_at)
            } else {
                // It is full: nothing tells until when.
                return None;
            };
            let expected = at.map(|at| Expected { at, pushed_back });
            earliest = earliest
                .into_iter()
                .chain(expected)
                .min_by_key(|one| one.at);
        }
        earliest
    }

    pub(crate) fn first_answer(&self, candidate: &Candidate, waited: Millis, good: bool) {
        let mut state = self.lock();
        let has_room = state.selector.first_answer(candidate, waited, good);
        drop(state);
        if has_room {
            self.changed();
        }
    }

    pub(crate) fn end(&self, candidate: &Candidate, answered: bool) {
        let has_room = self.lock().selector.end(candidate, answered);
        if has_room {
            self.changed();
        }
    }

    pub(crate) fn unreachable(&self, instance: &RunnerId, now: Timestamp) {
        self.lock().selector.unreachable(instance, now);
    }

    pub(crate) fn suspect(&self, instance: &RunnerId, now: Timestamp) {
        self.lock().selector.suspect(instance, now);
    }

    /// Notes that an instance asked for rest.
    pub(crate) fn asked_rest(&self, instance: &RunnerId, rest: Millis, now: Timestamp) {
        self.lock().selector.asked_rest(instance, rest, now);
    }

    /// Notes that an instance says that it leaves; returns whether that is news.
    pub(crate) fn leaves(&self, instance: &RunnerId, now: Timestamp) -> bool {
        self.lock().selector.leaves(instance, now)
    }

    /// What an instance asked for that holds now: to rest, or that it leaves.
    pub(crate) fn asked_for(&self, instance: &RunnerId, now: Timestamp) -> Option<Pushback> {
        self.lock().selector.asked_for(instance, now)
    }

    /// `ip:port` of an instance that is known.
    pub(crate) fn address_of(&self, instance: &RunnerId) -> Option<String> {
        let state = self.lock();
        let view = state.instances.get(instance);
        view.map(|view| view.address.clone())
    }

    /// Counts a client's request for a service.
    pub(crate) fn arrived(
        &self,
        service: &str,
        shape: &PromptShape,
        objective: Millis,
        now: Timestamp,
    ) {
        let (ratio, slack, window) = self.retry;
        let mut state = self.lock();
        let budgets = &mut state.budgets;
        let budget = budgets
            .entry(service.to_owned())
            .or_insert_with(|| RetryBudget::new(ratio, slack, window));
        budget.request(now);
        if shape.model.is_empty() {
            return;
        }
        let demand = state.demand.entry(key_of(service, shape)).or_default();
        let objective = u32::try_from(objective.0).unwrap_or(u32::MAX);
        demand.objective_ms = match demand.arrivals {
            0 => objective,
            _ => objective.min(demand.objective_ms),
        };
        demand.arrivals += 1;
    }

    /// Counts an answer that an instance gave later than the objective.
    pub(crate) fn late(&self, service: &str, shape: &PromptShape) {
        let mut state = self.lock();
        state.demand.entry(key_of(service, shape)).or_default().late += 1;
    }

    /// Takes one retry out of the budget.
    pub(crate) fn may_retry(&self, service: &str, now: Timestamp) -> bool {
        let mut state = self.lock();
        let routers = state.routers;
        let budget = state.budgets.get_mut(service);
        budget.is_some_and(|budget| budget.take(routers, now))
    }

    /// Counts a request that waits for its model until the guard is dropped.
    pub(crate) fn wait_for<'a>(&'a self, service: &str, shape: &PromptShape) -> WaitGuard<'a> {
        let key = key_of(service, shape);
        self.lock().demand.entry(key.clone()).or_default().waiting += 1;
        self.news.notify_one();
        WaitGuard { view: self, key }
    }

    /// Notes that a leader's feed begins, which has to be told everything.
    pub(crate) fn begin_leader(&self) {
        self.lock().reported = None;
        self.news.notify_one();
    }

    /// What to report, if there is anything new; counts start anew. Most routers of a large
    /// fleet are idle most of the time: they say nothing.
    pub(crate) fn take_report(&self, now: Timestamp) -> Option<ReportMessage> {
        let mut state = self.lock();
        let instances = state.selector.usage();
        let unreachable = state.selector.all_unreachable(now);
        let leaving = state.leaving_by_their_word();
        let demand = state.demand.iter().map(|(key, demand)| ModelDemand {
            service: key.service.clone(),
            model: key.model.clone(),
            adapter: key.adapter.clone(),
            arrivals: demand.arrivals,
            tokens: demand.tokens,
            objective_ms: demand.objective_ms,
            late: demand.late,
            waiting: demand.waiting,
        });
        let demand: Vec<ModelDemand> = demand.collect();
        state.demand.retain(|_, demand| {
            demand.arrivals = 0;
            demand.tokens = 0;
            demand.late = 0;
            demand.waiting > 0
        });
        // What is fed shows when the leader knows of those that leave; until then it is told.
        let may_repeat = demand.is_empty() && unreachable.is_empty() && leaving.is_empty();
        let report = ReportMessage::Usage {
            configuration: state.number(),
            instances,
            demand,
            unreachable,
            leaving,
        };
        if may_repeat && state.reported.as_ref() == Some(&report) {
            return None;
        }
        state.reported = Some(report.clone());
        Some(report)
    }
}

fn key_of(service: &str, shape: &PromptShape) -> DemandKey {
    DemandKey {
        service: service.to_owned(),
        model: shape.model.clone(),
        adapter: shape.adapter.clone(),
    }
}

/// See [`View::wait_for`].
pub(crate) struct WaitGuard<'a> {
    view: &'a View,
    key: DemandKey,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.view.lock();
        if let Some(demand) = state.demand.get_mut(&self.key) {
            demand.waiting = demand.waiting.saturating_sub(1);
        }
    }
}
