//! What a router knows: configuration, instances, use, demand, budgets.

use crate::current_document::CurrentDocument;
use crate::demand::{DemandBook, DemandKey};
use courseshunt_services::fed_instances::InstanceChanges;
use courseshunt_services::feed::{InstanceUsage, usage_interval, usage_lag};
use courseshunt_services::{
    Candidate, FedInstances, InstanceDigests, InstanceView, LimitNews, LimitStep, LimitVerdict,
    LimitWord, PromptShape, Pushback, ReportMessage, RequestRate, RetryBudget, RouteTable,
    Selector, Service,
};
use courseshunt_settings::service::ServiceSettings;
use courseshunt_types::time::MonotonicClock;
use courseshunt_types::{Millis, RunnerId, Timestamp, Zone};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, watch};

mod state;

pub(crate) use state::Expected;
use state::State;

/// Routers are taken to be so many until the feed tells.
pub(crate) const ASSUMED_ROUTERS: u32 = 16;
/// Where an instance is asked whether it is there.
pub(crate) struct InstancePlace {
    /// `ip:port`.
    pub(crate) address: String,
    /// Path of its health check, where the operator names one.
    pub(crate) health_path: Option<String>,
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
    /// Woken when other instances are fed than are known here.
    pub(crate) differs: Notify,
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
            document: CurrentDocument::default(),
            behind_since: None,
            instances: FedInstances::default(),
            loading: BTreeMap::new(),
            selector,
            demand: DemandBook::default(),
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
            differs: Notify::new(),
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
    /// [`CurrentDocument::apply`].
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
        self.choose_by(service, shape, now, |selector, instances, own_limit| {
            let views = instances.holders(&service.name, &shape.model);
            selector.choose(shape, views, avoid, own_limit, now)
        })
    }

    /// The same for an instance that takes a request only in a later turn by its limit.
    pub(crate) fn choose_turn(
        &self,
        service: &Service,
        shape: &PromptShape,
        now: Timestamp,
    ) -> Option<(Candidate, InstanceView)> {
        self.choose_by(service, shape, now, |selector, instances, own_limit| {
            let views = instances.holders(&service.name, &shape.model);
            selector.choose_turn(shape, views, own_limit, now)
        })
    }

    fn choose_by(
        &self,
        service: &Service,
        shape: &PromptShape,
        now: Timestamp,
        choose: impl FnOnce(&mut Selector, &FedInstances, u32) -> Option<Candidate>,
    ) -> Option<(Candidate, InstanceView)> {
        let mut state = self.lock();
        let own_limit = state.own_limit(service);
        let State {
            instances,
            selector,
            ..
        } = &mut *state;
        let candidate = choose(selector, instances, own_limit)?;
        state.begin(candidate, service, shape, now)
    }

    /// Whether an instance of the service holds the model, or is about to.
    pub(crate) fn is_known(&self, service: &Service) -> bool {
        let state = self.lock();
        state.instances.of_service(&service.name).next().is_some()
    }

    /// When an instance is expected to take a request; `None` when nothing is known.
    pub(crate) fn expected(
        &self,
        service: &Service,
        shape: &PromptShape,
        now: Timestamp,
    ) -> Option<Expected> {
        self.lock().expected(service, shape, now)
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

    /// Notes that an instance did not run a request: nothing of it counts as read or asked
    /// for there.
    pub(crate) fn turned_away(&self, candidate: &Candidate, service: &str, shape: &PromptShape) {
        let mut state = self.lock();
        state.selector.turned_away(candidate);
        let tokens = candidate.uncached_tokens;
        state.demand.turned_away(service, shape, tokens);
    }

    pub(crate) fn unreachable(&self, instance: &RunnerId, now: Timestamp) {
        self.lock().selector.unreachable(instance, now);
    }

    pub(crate) fn suspect(&self, instance: &RunnerId, now: Timestamp) {
        self.lock().selector.suspect(instance, now);
    }

    /// Notes that an instance does not have what a request asks for, or is another one.
    pub(crate) fn lacks(&self, instance: &RunnerId, shape: &PromptShape, now: Timestamp) {
        self.lock().selector.lacks(instance, shape, now);
    }

    /// Notes that an instance asked for rest.
    pub(crate) fn asked_rest(&self, instance: &RunnerId, rest: Millis, now: Timestamp) {
        self.lock().selector.asked_rest(instance, rest, now);
    }

    /// Notes which limit an answer names to a request that was sent at `asked_at`; none: it
    /// names no limit.
    pub(crate) fn heard_limit(
        &self,
        instance: &RunnerId,
        rate: Option<RequestRate>,
        asked_at: Timestamp,
    ) -> LimitNews {
        let now = self.clock.now();
        let mut state = self.lock();
        let news = state.selector.heard_limit(instance, rate, asked_at, now);
        drop(state);
        if news == LimitNews::Lifted {
            self.changed();
        }
        news
    }

    /// Takes over what the leader tells of limits; returns what is news.
    pub(crate) fn told_limits(&self, words: &[LimitWord]) -> Vec<LimitWord> {
        let now = self.clock.now();
        let news = self.lock().selector.told_limits(words, now);
        if news.iter().any(|word| word.rate.is_none()) {
            self.changed();
        }
        news
    }

    /// What the leader has to be told of limits.
    pub(crate) fn take_untold_limits(&self) -> Vec<LimitWord> {
        let now = self.clock.now();
        self.lock().selector.take_untold_limits(now)
    }

    /// What to do with a request for an instance, by its limit: see [`Selector::limit_step`].
    pub(crate) fn limit_step(&self, instance: &RunnerId, patience: Millis, led: bool) -> LimitStep {
        let now = self.clock.now();
        let mut state = self.lock();
        state.selector.limit_step(instance, patience, led, now)
    }

    /// Notes the end of a question on an instance's limit, with the answer if it came.
    pub(crate) fn asked_limit(&self, instance: &RunnerId, verdict: Option<LimitVerdict>) {
        let now = self.clock.now();
        self.lock().selector.asked_limit(instance, verdict, now);
        self.changed();
    }

    /// The limit that an instance names.
    pub(crate) fn limit_of(&self, instance: &RunnerId) -> Option<RequestRate> {
        self.lock().selector.limit_of(instance)
    }

    /// Notes that an instance says that it leaves; returns whether that is news.
    pub(crate) fn leaves(&self, instance: &RunnerId, now: Timestamp) -> bool {
        self.lock().selector.leaves(instance, now)
    }

    /// What an instance asked for that holds now: to rest, or that it leaves.
    pub(crate) fn asked_for(&self, instance: &RunnerId, now: Timestamp) -> Option<Pushback> {
        self.lock().selector.asked_for(instance, now)
    }

    /// Whether an instance is known.
    pub(crate) fn knows(&self, instance: &RunnerId) -> bool {
        self.lock().instances.contains(instance)
    }

    /// Where an instance is that is known.
    pub(crate) fn place_of(&self, instance: &RunnerId) -> Option<InstancePlace> {
        let state = self.lock();
        let view = state.instances.get(instance)?;
        let table = state.table.as_ref();
        let service = table.and_then(|table| table.service(&view.service));
        Some(InstancePlace {
            address: view.address.clone(),
            health_path: service.and_then(|service| service.health_path.clone()),
        })
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
            .or_insert_with(|| RetryBudget::new(ratio, slack, window).seeded(rand::random()));
        budget.request(now);
        state.demand.arrived(service, shape, objective);
    }

    /// Counts an answer that an instance gave later than the objective.
    pub(crate) fn late(&self, service: &str, shape: &PromptShape) {
        self.lock().demand.late(service, shape);
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
        let key = DemandKey::of(service, shape);
        self.lock().demand.waits(&key);
        self.news.notify_one();
        WaitGuard { view: self, key }
    }

    /// Notes that a leader's feed begins, which has to be told everything.
    pub(crate) fn begin_leader(&self) {
        let mut state = self.lock();
        state.reported = None;
        state.selector.tell_limits_anew();
        drop(state);
        self.news.notify_one();
    }

    /// What to report, if there is anything new; counts start anew. Most routers of a large
    /// fleet are idle most of the time: they say nothing.
    pub(crate) fn take_report(&self, now: Timestamp) -> Option<ReportMessage> {
        let mut state = self.lock();
        let instances = state.selector.usage();
        let unreachable = state.selector.all_unreachable(now);
        let leaving = state.leaving_by_their_word();
        let demand = state.demand.take();
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

/// See [`View::wait_for`].
pub(crate) struct WaitGuard<'a> {
    view: &'a View,
    key: DemandKey,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.view.lock().demand.waits_no_more(&self.key);
    }
}
