//! The router's view of the cluster: configuration, instances, load, demand and retry budgets.
//!
//! Invariant: one lock guards all of it except for the age of the feed, so that each selection
//! sees a consistent state.

use crate::current_document::CurrentDocument;
use crate::demand::{DemandKey, DemandTracker};
use crate::software_versions::{RequiredWriter, SoftwareVersions};
use courseshunt_services::RouteServices;
use courseshunt_services::feed::{InstanceUsage, usage_interval, usage_lag};
use courseshunt_services::{
    Candidate, InstanceDirectory, InstanceView, PromptShape, Pushback, ReportMessage,
    RetryBudgetSettings, RetryBudgets, RouteTable, SelectionRequest, Selector, Service,
};
use courseshunt_settings::service::ServiceSettings;
use courseshunt_types::time::MonotonicClock;
use courseshunt_types::{Millis, RunnerId, Timestamp, Zone};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, watch};

mod instances;
mod limits;
mod loads;
mod retries;
mod state;
mod versions;

use state::State;
pub(crate) use state::{Availability, HolderCounts};

/// Number of routers that is assumed until the feed reports it.
pub(crate) const INITIAL_ROUTER_COUNT: u32 = 16;
/// Address and path for health probes of an instance.
pub(crate) struct ProbeTarget {
    /// The instance, as the feed lists it.
    pub(crate) view: InstanceView,
    /// Path of the health check, if the service declares one.
    pub(crate) health_path: Option<String>,
}

/// What a choice reads of the instances.
struct KnownInstances<'a> {
    instances: &'a InstanceDirectory,
    versions: &'a SoftwareVersions,
}

/// Cluster state as last received through the feed, plus this router's own counters.
pub(crate) struct View {
    state: Mutex<State>,
    changes: watch::Sender<u64>,
    /// Counts suspended time: after a suspension, received data is as old as it really is.
    clock: MonotonicClock,
    /// When the last message of a leader arrived.
    last_leader_message: Mutex<Timestamp>,
    /// Notified when a request starts to wait for a model, when a configuration comes into
    /// force, and when the feed of a new leader starts.
    pub(crate) report_due: Notify,
    /// Notified when the leader's digests differ from those of the local instances.
    pub(crate) instances_differ: Notify,
}

impl View {
    pub(crate) fn new(settings: &ServiceSettings, clock: MonotonicClock) -> Self {
        let limits = &settings.limits;
        let retry_settings = RetryBudgetSettings {
            ratio: limits.retry_ratio,
            slack: limits.retry_slack,
            window: Millis((limits.retry_window_s * 1000.0) as u64),
        };
        let zone = Zone::from(settings.zone.as_str());
        let mut selector = Selector::new(zone).seeded(rand::random());
        selector.set_routers(INITIAL_ROUTER_COUNT);
        let state = State {
            table: None,
            document: CurrentDocument::default(),
            stale_since: None,
            instances: InstanceDirectory::default(),
            loading: BTreeMap::new(),
            selector,
            demand: DemandTracker::default(),
            retry_budgets: RetryBudgets::new(retry_settings, rand::random()),
            fleet: retry_settings.fleet_size(),
            sharing_routers: INITIAL_ROUTER_COUNT,
            last_report: None,
            versions: SoftwareVersions::default(),
            route_services: RouteServices::default(),
        };
        Self {
            state: Mutex::new(state),
            changes: watch::Sender::new(0),
            last_leader_message: Mutex::new(clock.now()),
            clock,
            report_due: Notify::new(),
            instances_differ: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The configuration in force.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        self.lock().table.clone()
    }

    /// Version number of the configuration in force; 0 if there is none.
    pub(crate) fn configuration_number(&self) -> u64 {
        self.lock().configuration_number()
    }

    /// Version number of the configuration that a difference may be based on; 0 if there is
    /// none.
    pub(crate) fn base_number(&self) -> u64 {
        self.lock().document.base()
    }

    /// Whether a configuration is in force and at least one instance is known.
    pub(crate) fn is_ready(&self) -> bool {
        let state = self.lock();
        state.table.is_some() && !state.instances.is_empty()
    }

    /// Records that a message of the leader arrived.
    pub(crate) fn record_leader_message(&self) {
        *self
            .last_leader_message
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = self.clock.now();
    }

    /// Time since the last message of a leader.
    pub(crate) fn feed_age(&self) -> Duration {
        let last = self
            .last_leader_message
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        Duration::from(self.clock.now().since(*last))
    }

    /// Interval between usage reports, for the known number of routers and instances.
    pub(crate) fn report_interval(&self) -> Millis {
        let state = self.lock();
        let routers = state.fleet.current().unwrap_or(INITIAL_ROUTER_COUNT);
        usage_interval(routers, state.instances.len())
    }

    /// Subscribes to changes of the view.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn notify_change(&self) {
        self.changes.send_modify(|number| *number += 1);
    }

    /// Applies a difference to the configuration document in force: see
    /// [`CurrentDocument::apply`].
    pub(crate) fn apply_difference(
        &self,
        base: u64,
        digest: u64,
        difference: &[u8],
    ) -> Result<Vec<u8>, String> {
        self.lock().document.apply(base, digest, difference)
    }

    /// Records which configuration the leader announces as in force.
    pub(crate) fn set_announced(&self, number: u64) {
        let mut state = self.lock();
        if number <= state.configuration_number() {
            state.stale_since = None;
        } else if state.stale_since.is_none() {
            state.stale_since = Some(self.clock.now());
        }
    }

    /// Time for which this router has been stale: since it learnt of a newer configuration than
    /// its own.
    pub(crate) fn stale_for(&self) -> Option<Duration> {
        let since = self.lock().stale_since?;
        Some(Duration::from(self.clock.now().since(since)))
    }

    /// Puts a newer configuration in force; an older one is ignored. Returns whether it is in
    /// force.
    pub(crate) fn configure(&self, table: RouteTable, document: Vec<u8>) -> bool {
        let mut state = self.lock();
        if table.number() <= state.configuration_number() {
            return false;
        }
        let now = self.clock.now();
        let before = state.table.take();
        state.route_services.apply(before.as_deref(), &table, now);
        state.document.set(table.number(), document);
        state.table = Some(Arc::new(table));
        state.stale_since = None;
        drop(state);
        self.notify_change();
        self.report_due.notify_one();
        true
    }

    /// Applies the leader's report of the number of routers and of the use of all instances;
    /// returns the number of routers by which this one divides common limits.
    pub(crate) fn set_usage(&self, routers: u32, usage: &[InstanceUsage], now: Timestamp) -> u32 {
        let mut state = self.lock();
        state.fleet.record(routers, now);
        let sharing_routers = state.fleet.largest_recent(now).unwrap_or(routers);
        state.sharing_routers = sharing_routers;
        state.selector.set_routers(sharing_routers);
        let lag = usage_lag(routers, state.instances.len());
        state.selector.set_usage(usage, lag, now);
        sharing_routers
    }

    /// Selects an instance that may serve the request and counts the request as in flight there.
    pub(crate) fn choose(
        &self,
        service: &Service,
        request: &SelectionRequest<'_>,
        writer: Option<&RequiredWriter>,
        avoided: &[RunnerId],
        now: Timestamp,
    ) -> Option<(Candidate, InstanceView)> {
        let shape = request.shape;
        let eligibility = self.eligibility(writer, now);
        self.choose_using(service, shape, now, |selector, known, in_flight_limit| {
            let views = known.instances.holders(&service.name, &shape.model);
            let views = views.filter(|view| eligibility.admits(known.versions, view));
            selector.choose(*request, views, avoided, in_flight_limit, now)
        })
    }

    /// Like [`Self::choose`], for an instance whose rate limit allows the request only at a
    /// later send permit.
    pub(crate) fn choose_with_permit(
        &self,
        service: &Service,
        request: &SelectionRequest<'_>,
        writer: Option<&RequiredWriter>,
        now: Timestamp,
    ) -> Option<(Candidate, InstanceView)> {
        let shape = request.shape;
        let eligibility = self.eligibility(writer, now);
        self.choose_using(service, shape, now, |selector, known, in_flight_limit| {
            let views = known.instances.holders(&service.name, &shape.model);
            let views = views.filter(|view| eligibility.admits(known.versions, view));
            selector.choose_with_wait(*request, views, in_flight_limit, now)
        })
    }

    fn choose_using(
        &self,
        service: &Service,
        shape: &PromptShape,
        now: Timestamp,
        choose: impl FnOnce(&mut Selector, KnownInstances<'_>, u32) -> Option<Candidate>,
    ) -> Option<(Candidate, InstanceView)> {
        let mut state = self.lock();
        let in_flight_limit = state.in_flight_limit(service);
        let State {
            instances,
            versions,
            selector,
            ..
        } = &mut *state;
        let known = KnownInstances {
            instances,
            versions,
        };
        let candidate = choose(selector, known, in_flight_limit)?;
        state.start_request(candidate, service, shape, now)
    }

    /// How many ready instances that may serve the request hold its model, and how many of these
    /// this router can't reach.
    pub(crate) fn count_holders(
        &self,
        service: &Service,
        shape: &PromptShape,
        writer: Option<&RequiredWriter>,
        now: Timestamp,
    ) -> HolderCounts {
        let eligibility = self.eligibility(writer, now);
        self.lock().count_holders(service, shape, &eligibility, now)
    }

    /// Number of instances that this router can't reach.
    pub(crate) fn unreachable_count(&self, now: Timestamp) -> usize {
        self.lock().selector.all_unreachable(now).len()
    }

    /// When an instance that may serve the request, and that it does not avoid, is expected to accept
    /// it; `None` if nothing is known.
    pub(crate) fn expected_availability(
        &self,
        service: &Service,
        shape: &PromptShape,
        writer: Option<&RequiredWriter>,
        avoided: &[RunnerId],
        now: Timestamp,
    ) -> Option<Availability> {
        let eligibility = self.eligibility(writer, now);
        let state = self.lock();
        state.expected_availability(service, shape, &eligibility, avoided, now)
    }

    pub(crate) fn first_answer(&self, candidate: &Candidate, waited: Millis, good: bool) {
        let mut state = self.lock();
        let has_room = state.selector.first_answer(candidate, waited, good);
        drop(state);
        if has_room {
            self.notify_change();
        }
    }

    pub(crate) fn finish_request(&self, candidate: &Candidate, answered: bool) {
        let has_room = self.lock().selector.end(candidate, answered);
        if has_room {
            self.notify_change();
        }
    }

    /// Records that an instance did not run a request: its tokens no longer count as
    /// processed or as demand there.
    pub(crate) fn mark_not_run(&self, candidate: &Candidate, service: &str, shape: &PromptShape) {
        let mut state = self.lock();
        state.selector.rejected(candidate);
        let tokens = candidate.uncached_tokens;
        state.demand.subtract_tokens(service, shape, tokens);
    }

    pub(crate) fn mark_unreachable(&self, instance: &RunnerId, now: Timestamp) {
        self.lock().selector.unreachable(instance, now);
    }

    pub(crate) fn mark_suspect(&self, instance: &RunnerId, now: Timestamp) {
        self.lock().selector.suspect(instance, now);
    }

    /// Whether an instance is left out of the selection as unreachable.
    pub(crate) fn is_unreachable(&self, instance: &RunnerId, now: Timestamp) -> bool {
        self.lock().selector.is_unreachable(instance, now)
    }

    /// Selects unreachable instances again, because it was this router that had lost its paths.
    pub(crate) fn forget_unreachable(&self) {
        self.lock().selector.forget_unreachable();
        self.notify_change();
    }

    /// Records that an instance does not hold the requested model, or that another instance
    /// answers at its address.
    pub(crate) fn mark_lacking(&self, instance: &RunnerId, shape: &PromptShape, now: Timestamp) {
        self.lock().selector.note_missing(instance, shape, now);
    }

    /// Records that an instance asked for a backoff.
    pub(crate) fn start_backoff(&self, instance: &RunnerId, backoff: Millis, now: Timestamp) {
        self.lock().selector.start_backoff(instance, backoff, now);
    }

    /// Records that an instance reported that it is leaving; returns whether this is new.
    pub(crate) fn mark_leaving(&self, instance: &RunnerId, now: Timestamp) -> bool {
        self.lock().selector.note_leaving(instance, now)
    }

    /// The pushback of an instance that applies now: a backoff, or that it is leaving.
    pub(crate) fn active_pushback(&self, instance: &RunnerId, now: Timestamp) -> Option<Pushback> {
        self.lock().selector.active_pushback(instance, now)
    }

    /// Counts a client's request for a service.
    pub(crate) fn count_arrival(
        &self,
        service: &str,
        shape: &PromptShape,
        objective: Millis,
        now: Timestamp,
    ) {
        let mut state = self.lock();
        state.retry_budgets.record_request(service, now);
        state.demand.count_arrival(service, shape, objective);
    }

    /// Counts a response whose first byte came later than the objective.
    pub(crate) fn count_late(&self, service: &str, shape: &PromptShape) {
        self.lock().demand.count_late(service, shape);
    }

    /// Counts a request as waiting for its model until the guard is dropped.
    pub(crate) fn register_waiting<'a>(
        &'a self,
        service: &str,
        shape: &PromptShape,
    ) -> WaitGuard<'a> {
        let key = DemandKey::of(service, shape);
        self.lock().demand.add_waiting(&key);
        self.report_due.notify_one();
        WaitGuard { view: self, key }
    }

    /// Resets what was reported, because the feed of a new leader starts, which has no reports of
    /// this router.
    pub(crate) fn start_leader_feed(&self) {
        let mut state = self.lock();
        state.last_report = None;
        state.selector.mark_limits_unreported();
        state.selector.start_load_feed(self.clock.now());
        state.versions.start_leader_feed();
        drop(state);
        self.report_due.notify_one();
    }

    /// The usage report to send, if it contains anything new; resets the counters. Most routers
    /// of a large fleet are idle most of the time and send nothing. Unreachable instances of a
    /// service are reported only if `is_evidence` holds for it.
    pub(crate) fn take_report(
        &self,
        now: Timestamp,
        is_evidence: impl Fn(&str) -> bool,
    ) -> Option<ReportMessage> {
        let mut state = self.lock();
        let instances = state.selector.usage();
        let mut unreachable = state.selector.all_unreachable(now);
        unreachable.retain(|id| {
            let view = state.instances.get(id);
            view.is_none_or(|view| is_evidence(&view.service))
        });
        let leaving = state.reported_leaving();
        let demand = state.demand.take();
        // Leaving instances are reported until the feed shows that the leader has recorded
        // them.
        let is_skippable = demand.is_empty() && unreachable.is_empty() && leaving.is_empty();
        let report = ReportMessage::Usage {
            configuration: state.configuration_number(),
            instances,
            demand,
            unreachable,
            leaving,
        };
        if is_skippable && state.last_report.as_ref() == Some(&report) {
            return None;
        }
        state.last_report = Some(report.clone());
        Some(report)
    }
}

/// Guard returned by [`View::register_waiting`].
pub(crate) struct WaitGuard<'a> {
    view: &'a View,
    key: DemandKey,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.view.lock().demand.remove_waiting(&self.key);
    }
}
