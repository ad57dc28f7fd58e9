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
mod registrations;
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
use crate::instance::{InstanceState, InstanceView};
use courseshunt_types::{Millis, ModelName, RunnerId, Timestamp};
use demand::DemandTable;
use incarnations::IncarnationTable;
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
