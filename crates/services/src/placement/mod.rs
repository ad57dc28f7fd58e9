//! Decides which instances hold which models and adapters, and tracks the outcomes of the orders.
//!
//! Invariants: at most one order at a time is in flight to an instance, and each order carries the
//! number of orders that the instance is known to have accepted; an instance is never ordered to
//! hold more than its memory and adapter slots allow, counting orders whose outcome is unknown;
//! loads from the weight store stay within the store's rate limit.

mod adapters;
mod candidates;
mod demand;
mod event;
mod evictions;
mod incarnations;
mod instance;
mod instance_load;
mod instances;
mod load_targets;
mod order;
mod outcomes;
mod pause_scaling;
mod pauses;
mod planning;
mod round;
mod store;
mod unlisted;
mod unseen_ends;
mod usage;
mod value;
mod waiting;
mod work;

pub use event::{InstanceReservation, LoadEnd, PlacementEvent};
pub use instance::{InstanceReport, LoadSource};
pub use order::{Order, OrderAction, OrderOutcome, OrderRationale, PlacementStep};

use crate::configuration::ServiceConfiguration;
use crate::instance::{CachedWeights, InstanceState, InstanceView, Registration};
use crate::relay::RelayedRegistration;
use courseshunt_types::{Millis, ModelName, RunnerId, Timestamp};
use demand::DemandTable;
use incarnations::{Incarnation, IncarnationTable};
use instance::Instance;
use instance_load::InstanceLoadTable;
use instances::InstanceTable;
use pauses::PauseTable;
use round::Round;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use store::WeightStore;
use unseen_ends::UnseenEnds;
use usage::UsageTable;

/// Settings of the [`PlacementEngine`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementSettings {
    /// An instance without a registration or report for longer than this is treated as dead.
    pub silence_limit: Millis,
    /// Window over which the rate limit of loads from the weight store applies.
    pub ceiling_window: Millis,
    /// Fraction of an instance's prompt throughput that one replica of a model may use.
    pub replica_utilisation: f64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            silence_limit: Millis(5_000),
            ceiling_window: Millis(5_000),
            replica_utilisation: 0.33,
        }
    }
}

/// State of the placement on the leader; see the module.
#[derive(Debug)]
pub struct PlacementEngine {
    settings: PlacementSettings,
    configuration: Arc<ServiceConfiguration>,
    instances: InstanceTable,
    incarnations: IncarnationTable,
    terminated: BTreeMap<RunnerId, Timestamp>,
    /// Instances that were removed after a silence, and when.
    timed_out: BTreeMap<RunnerId, Timestamp>,
    /// Instances that announced that they leave; a delayed registration may still report them as
    /// ready.
    leaving: BTreeSet<RunnerId>,
    /// Rate limit in requests per second, for the instances that have sent one.
    limits: BTreeMap<RunnerId, f64>,
    demand: DemandTable,
    /// When the first demand was reported.
    demand_since: Option<Timestamp>,
    usage: UsageTable,
    /// Streams that paused, by model.
    pauses: PauseTable,
    /// Load of the instances that report it.
    instance_loads: InstanceLoadTable,
    /// Adapters that were requested since the last round, with the time of the report.
    requested_adapters: BTreeMap<(ModelName, String), Timestamp>,
    /// Snapshot of the round in progress.
    round: Arc<Round>,
    /// Snapshot of the last round of each service, updated with the orders since.
    last_rounds: BTreeMap<String, Arc<Round>>,
    /// Instances that were reserved for a model; some reservations may have ended.
    reserved: BTreeSet<RunnerId>,
    /// Whether waiting requests were reported, or a reserved instance changed its state, since the
    /// last round of any kind.
    waiting_round_needed: bool,
    unseen_ends: UnseenEnds,
    /// When each service's instances were last searched for what is listed no longer.
    unlisted_searched_at: BTreeMap<String, Timestamp>,
    /// Weight stores by service.
    stores: BTreeMap<String, WeightStore>,
    events: Vec<PlacementEvent>,
    /// When silent instances were last removed.
    last_expiry: Timestamp,
    /// Calls to instances, of which no outcome is known yet.
    calls_in_flight: usize,
    changed: BTreeSet<RunnerId>,
    gone: Vec<RunnerId>,
}

/// How long an instance that left is remembered, so that a delayed registration does not bring it
/// back.
const REMOVED_RETENTION: Millis = Millis(30_000);

/// Whether both start times are known and the first one is earlier.
fn has_started_before(one: &RunnerId, other: &RunnerId) -> bool {
    let started = one.started().zip(other.started());
    started.is_some_and(|(one, other)| one < other)
}

/// Minimum time between two searches for silent instances: a small fraction of the silence that
/// counts, which spans several registrations.
const EXPIRY_INTERVAL: Millis = Millis(100);

impl PlacementEngine {
    /// Creates an engine without a configuration and without instances.
    #[must_use]
    pub fn new(settings: PlacementSettings) -> Self {
        Self {
            settings,
            configuration: Arc::default(),
            instances: InstanceTable::default(),
            incarnations: IncarnationTable::default(),
            terminated: BTreeMap::new(),
            unseen_ends: UnseenEnds::default(),
            timed_out: BTreeMap::new(),
            leaving: BTreeSet::new(),
            limits: BTreeMap::new(),
            demand: DemandTable::default(),
            demand_since: None,
            usage: UsageTable::default(),
            pauses: PauseTable::default(),
            instance_loads: InstanceLoadTable::default(),
            requested_adapters: BTreeMap::new(),
            round: Arc::default(),
            last_rounds: BTreeMap::new(),
            reserved: BTreeSet::new(),
            waiting_round_needed: false,
            unlisted_searched_at: BTreeMap::new(),
            stores: BTreeMap::new(),
            events: Vec::new(),
            last_expiry: Timestamp::default(),
            calls_in_flight: 0,
            changed: BTreeSet::new(),
            gone: Vec::new(),
        }
    }

    /// Applies a newer configuration.
    pub fn configure(&mut self, configuration: Arc<ServiceConfiguration>, now: Timestamp) {
        self.last_rounds.clear();
        self.record_sizes();
        for service in &configuration.services {
            let Some(engine) = &service.engine else {
                continue;
            };
            let window = self.settings.ceiling_window;
            let store = self
                .stores
                .entry(service.name.clone())
                .or_insert_with(|| WeightStore::new(engine.loads_per_second, window, now));
            store.set_rate(engine.loads_per_second, window, now);
        }
        self.configuration = configuration;
    }

    /// Records the sizes that the present configuration lists for what instances hold.
    fn record_sizes(&mut self) {
        let configuration = self.configuration.clone();
        for instance in self.instances.values_mut() {
            if let Some(engine) = configuration.engine(&instance.registration().service) {
                instance.record_sizes(engine);
            }
        }
    }

    /// Applies a registration; returns whether it changed anything.
    pub fn register(&mut self, mut registration: Registration, now: Timestamp) -> bool {
        if self.is_of_unseen_end(&registration.id, now) {
            return false;
        }
        match self
            .incarnations
            .observe(&registration.id, registration.sequence)
        {
            Incarnation::Earlier => return false,
            Incarnation::Current(current) => registration.id = current,
            Incarnation::StartKnown { previous } => self.rename(&previous, &registration.id),
            Incarnation::New {
                previous: Some(previous),
            } => self.terminate(&previous, now),
            Incarnation::New { previous: None } => {}
        }
        let id = registration.id.clone();
        if self.leaving.contains(&id) {
            registration.state = InstanceState::Draining;
        }
        if self.terminated.contains_key(&id) || self.is_delayed_registration(&registration, now) {
            return false;
        }
        let configuration = self.configuration.clone();
        let engine = configuration.engine(&registration.service);
        let is_changed = match self.instances.contains(&id) {
            true => {
                let register = |one: &mut Instance| one.register(registration, engine, now);
                self.instances.update(&id, now, register) == Some(true)
            }
            false => {
                self.remove_replaced_instances(&registration, now);
                self.timed_out.remove(&id);
                let instance = Instance::new(registration, now);
                self.instances.insert(instance, now);
                true
            }
        };
        self.waiting_round_needed |= is_changed && self.reserved.contains(&id);
        self.record_finished_load(&id, now);
        if is_changed {
            self.changed.insert(id);
        }
        is_changed
    }

    /// Applies a registration that another controller received; returns whether it changed
    /// anything.
    ///
    /// # Errors
    /// The instance, when the message repeats a registration that is not the last one received
    /// here.
    pub fn register_relayed(
        &mut self,
        relayed: RelayedRegistration,
        now: Timestamp,
    ) -> Result<bool, RunnerId> {
        let registration = match relayed {
            RelayedRegistration::Full(registration) => registration,
            RelayedRegistration::Unchanged {
                id,
                sequence,
                previous_sequence,
            } => match self.registration_with_sequence(&id, previous_sequence) {
                Some(last) => Registration {
                    sequence,
                    ..last.clone()
                },
                None if self.terminated.contains_key(self.incarnations.newest(&id)) => {
                    return Ok(false);
                }
                None => return Err(id),
            },
        };
        let (id, sequence) = (&registration.id, registration.sequence);
        let is_late = self.incarnations.is_earlier(id, sequence);
        if is_late || self.is_of_unseen_end(id, now) {
            return Ok(false);
        }
        if registration.state == InstanceState::Draining {
            self.mark_leaving(&registration.id);
        }
        Ok(self.register(registration, now))
    }

    /// Whether a registration may be a late one of an instance that ended before this leader saw it.
    fn is_of_unseen_end(&self, id: &RunnerId, now: Timestamp) -> bool {
        let has_ended = self.terminated.contains_key(id) || self.unseen_ends.may_concern(id, now);
        !self.incarnations.contains(id) && has_ended
    }

    /// The last registration of an instance, if it stated this identity and has this sequence number.
    fn registration_with_sequence(&self, id: &RunnerId, sequence: u64) -> Option<&Registration> {
        if !self.incarnations.was_stated_last(id) {
            return None;
        }
        let id = self.incarnations.newest(id);
        let last = self.instances.get(id).map(Instance::registration);
        last.filter(|last| last.sequence == sequence)
    }

    /// Adds an instance that an earlier leader recorded; an instance that is already present is
    /// left unchanged.
    pub fn seed(&mut self, view: &InstanceView, now: Timestamp) {
        let is_present = self.instances.contains(&view.id);
        if is_present || self.leaving.contains(&view.id) || view.state == InstanceState::Draining {
            return;
        }
        let registration = Registration {
            id: view.id.clone(),
            service: view.service.clone(),
            address: view.address.clone(),
            zone: view.zone.clone(),
            slots: view.slots,
            state: view.state,
            sequence: 0,
            remaining: None,
            models: view.models.clone(),
            cached_weights: CachedWeights::default(),
        };
        self.unseen_ends.forget(&registration.id);
        self.register(registration, now);
    }

    /// Removes instances at the address of a new registration that are silent or started before it: an
    /// address belongs to the instance that registered it last.
    fn remove_replaced_instances(&mut self, registration: &Registration, now: Timestamp) {
        let occupants = self.instances.at_address(&registration.address);
        let replaced = occupants.filter(|one| {
            one.may_be_replaced(now) || has_started_before(one.id(), &registration.id)
        });
        let replaced: Vec<RunnerId> = replaced.map(|one| one.id().clone()).collect();
        for id in replaced {
            self.time_out(id, now);
        }
    }

    /// Removes an instance that has been silent for too long.
    fn time_out(&mut self, id: RunnerId, now: Timestamp) {
        self.remove(&id);
        self.incarnations.note_silence(&id);
        self.timed_out.insert(id, now);
    }

    /// Whether a registration was delayed on its way: another instance is active at its address, and the
    /// sender was removed for its silence or started before the other one. The registration is ignored
    /// only while the other instance is active, since either of the two may be the one that was delayed.
    fn is_delayed_registration(&self, registration: &Registration, now: Timestamp) -> bool {
        let id = &registration.id;
        let others = self.instances.at_address(&registration.address);
        let mut active = others.filter(|other| !other.may_be_replaced(now));
        let was_removed = self.timed_out.contains_key(id);
        active.any(|other| was_removed || has_started_before(id, other.id()))
    }

    /// Marks an instance as leaving: it takes no more work.
    pub fn mark_leaving(&mut self, id: &RunnerId) {
        self.learn_start(id);
        let id = &self.incarnations.newest(id).clone();
        self.leaving.insert(id.clone());
        match self.instances.get_mut(id) {
            Some(instance) => {
                if instance.leave() {
                    self.changed.insert(id.clone());
                }
            }
            // Routers may have the instance from an earlier leader.
            None => self.gone.push(id.clone()),
        }
    }

    /// Marks an instance as leaving that announced this in a response; returns whether it was ready
    /// before. This is not committed to the log: the process that received the response reports it to
    /// the next leader again.
    pub fn mark_leaving_if_ready(&mut self, id: &RunnerId) -> bool {
        let instance = self.instances.get(id);
        let was_ready = instance.is_some_and(|one| one.state() == InstanceState::Ready);
        if was_ready {
            self.mark_leaving(id);
        }
        was_ready
    }

    /// Replaces the rate limits of instances, in requests per second summed over all routers.
    pub fn set_limits(&mut self, limits: BTreeMap<RunnerId, f64>) {
        self.limits = limits;
    }

    /// Starts the backoff that an instance asked for: until it ends, the instance gets no queries
    /// and no orders.
    pub fn start_backoff(&mut self, id: &RunnerId, duration: Millis, now: Timestamp) {
        if let Some(instance) = self.instances.get_mut(id) {
            instance.start_backoff(duration, now);
        }
    }

    /// Removes an instance that has terminated or is about to.
    pub fn mark_terminated(&mut self, id: &RunnerId, now: Timestamp) {
        if !self.incarnations.contains(id) {
            self.unseen_ends.note(id, now);
        }
        self.learn_start(id);
        let id = self.incarnations.newest(id).clone();
        self.terminate(&id, now);
    }

    /// Removes exactly this incarnation, which has terminated.
    fn terminate(&mut self, id: &RunnerId, now: Timestamp) {
        self.terminated.insert(id.clone(), now);
        self.leaving.insert(id.clone());
        self.remove(id);
    }

    /// Takes the start time of an instance from a notice about it, if it was unknown until now.
    fn learn_start(&mut self, id: &RunnerId) {
        if let Some(previous) = self.incarnations.learn_start(id) {
            self.rename(&previous, id);
        }
    }

    /// Replaces the identity of an instance whose start time was unknown until now. What was recorded
    /// about its end under the previous identity holds for the new one.
    fn rename(&mut self, previous: &RunnerId, id: &RunnerId) {
        if self.leaving.remove(previous) {
            self.leaving.insert(id.clone());
        }
        if let Some(at) = self.terminated.remove(previous) {
            self.terminated.insert(id.clone(), at);
        }
        self.timed_out.remove(previous);
        self.remove(previous);
    }

    /// Removes an instance. Routers are notified even when this leader does not have it, since they
    /// may have it from an earlier leader.
    fn remove(&mut self, id: &RunnerId) {
        self.instances.remove(id);
        self.changed.remove(id);
        self.gone.push(id.clone());
    }

    /// Removes instances that are silent for too long. The search over all instances runs at most a
    /// few times per second, however often this is called.
    pub fn expire(&mut self, now: Timestamp) {
        if now.since(self.last_expiry) < EXPIRY_INTERVAL {
            return;
        }
        self.last_expiry = now;
        self.terminated
            .retain(|_, at| now.since(*at) < REMOVED_RETENTION);
        let limit = self.settings.silence_limit;
        let silent = self.instances.values();
        let silent = silent.filter(|instance| instance.silent_for(now) > limit);
        let silent: Vec<RunnerId> = silent.map(|one| one.id().clone()).collect();
        for id in silent {
            self.time_out(id, now);
        }
        self.timed_out
            .retain(|_, at| now.since(*at) < REMOVED_RETENTION);
        self.unseen_ends.expire(now);
        let (instances, terminated, silent) = (&self.instances, &self.terminated, &self.timed_out);
        self.incarnations.retain(|id| {
            instances.contains(id) || terminated.contains_key(id) || silent.contains_key(id)
        });
    }

    /// Applies a router's report of its usage and demand.
    pub fn report_usage(
        &mut self,
        router: &str,
        usage: Vec<crate::feed::InstanceUsage>,
        demand: &[crate::feed::ModelDemand],
        now: Timestamp,
    ) {
        for one in demand.iter().filter(|one| one.arrivals > 0) {
            let Some(adapter) = &one.adapter else {
                continue;
            };
            let model = ModelName::from(one.model.as_str());
            self.requested_adapters
                .insert((model, adapter.clone()), now);
        }
        self.waiting_round_needed |= demand.iter().any(|one| one.waiting > 0);
        if self.demand_since.is_none() && !demand.is_empty() {
            self.demand_since = Some(now);
        }
        self.usage.record(router, usage);
        self.demand.record(router, demand, now);
    }

    /// Records that a router could not connect to instances.
    pub fn report_unreachable(&mut self, router: &str, instances: &[RunnerId], now: Timestamp) {
        for id in instances {
            if let Some(instance) = self.instances.get_mut(id) {
                instance.report_unreachable(router, now);
            }
        }
    }

    /// Removes the usage and demand of a router that is gone.
    pub fn remove_router(&mut self, router: &str) {
        self.usage.remove(router);
        self.demand.remove(router);
    }

    /// Usage per instance, summed over all routers.
    #[must_use]
    pub fn total_usage(&self) -> Vec<crate::feed::InstanceUsage> {
        self.usage.totals()
    }

    /// Current views of all instances.
    #[must_use]
    pub fn views(&self, now: Timestamp) -> Vec<InstanceView> {
        let instances = self.instances.values();
        instances.map(|instance| instance.view(now)).collect()
    }

    /// Views that changed since the last call, and the instances that were removed.
    pub fn take_changes(&mut self, now: Timestamp) -> (Vec<InstanceView>, Vec<RunnerId>) {
        let changed = std::mem::take(&mut self.changed);
        let changed = changed.iter().filter_map(|id| self.instances.get(id));
        let views = changed.map(|instance| instance.view(now)).collect();
        (views, std::mem::take(&mut self.gone))
    }

    /// Whether the engine has this instance.
    #[must_use]
    pub fn contains(&self, id: &RunnerId) -> bool {
        self.instances.contains(id)
    }

    /// The ids of all instances.
    #[must_use]
    pub fn ids(&self) -> Vec<RunnerId> {
        self.instances.ids().cloned().collect()
    }

    /// Number of instances.
    #[must_use]
    pub fn count(&self) -> usize {
        self.instances.len()
    }

    /// Whether an instance exists and takes work.
    #[must_use]
    pub fn is_ready(&self, id: &RunnerId) -> bool {
        let instance = self.instances.get(id);
        instance.is_some_and(|one| one.state() == InstanceState::Ready)
    }
}
