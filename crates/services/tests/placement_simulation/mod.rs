//! Simulation of instances that carry out the orders of a placement engine.

#![allow(dead_code, reason = "each test file uses a part")]

use courseshunt_services::{
    CachedWeights, Engine, InstanceReport, InstanceState, ModelDemand, ModelSpecification, Order,
    OrderAction, OrderOutcome, PlacementEngine, PlacementEvent, PlacementSettings, PlacementStep,
    Registration, ResidentModel, Service, ServiceConfiguration,
};
use courseshunt_types::{Millis, ModelName, RunnerId, Timestamp, Zone};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::sync::Arc;

pub const MODEL_MB: f64 = 70.0;
pub const MEMORY_MB: f64 = 200.0;
pub const ADAPTER_SLOTS: u32 = 4;
pub const MODELS: usize = 40;
pub const LOAD_TIME: u64 = 2_000;
pub const LOADS_PER_SECOND: f64 = 4.0;
pub const DISK_LOAD_TIME: u64 = 1_000;

pub fn configuration() -> Arc<ServiceConfiguration> {
    configuration_with_disks(0.0)
}

/// The same configuration with this much disk for cached weights on each instance, in MB.
pub fn configuration_with_disks(disk_mb: f64) -> Arc<ServiceConfiguration> {
    let models = (0..MODELS).map(|number| ModelSpecification {
        name: ModelName::from(format!("m{number}")),
        memory_mb: MODEL_MB,
        load_time: Millis(LOAD_TIME),
        warm_load_time: Millis(500),
        disk_load_time: Millis(DISK_LOAD_TIME),
        adapters: (0..6).map(|adapter| format!("a{adapter}")).collect(),
        adapter_mb: 1.0,
    });
    Arc::new(ServiceConfiguration {
        number: 1,
        services: vec![Service {
            name: "s".to_owned(),
            max_connections: 100,
            health_path: None,
            engine: Some(Engine {
                slots: 64,
                memory_mb: MEMORY_MB,
                adapter_slots: ADAPTER_SLOTS,
                kv_capacity_tokens: None,
                loads_per_second: LOADS_PER_SECOND,
                cache_memory_mb: 0.0,
                cache_disk_mb: disk_mb,
                models: models.map(|one| (one.name.0.clone(), one)).collect(),
                earlier_sizes: BTreeMap::new(),
            }),
        }],
        ..ServiceConfiguration::default()
    })
}

/// An instance that carries out orders.
#[derive(Default)]
pub struct SimulatedInstance {
    pub models: BTreeMap<String, Vec<String>>,
    pub busy: Option<(OrderAction, u64)>,
    pub sequence: u64,
    pub registrations: u64,
    /// Models cached on disk, the least recently used first.
    pub disk: Vec<String>,
    /// Maximum number of models cached on disk.
    pub disk_slots: usize,
    /// Memory that models took when they were loaded, in MB; [`MODEL_MB`] for others.
    pub sizes: BTreeMap<String, f64>,
    /// Memory that a model takes if it is loaded now, in MB; `None`: [`MODEL_MB`].
    pub load_mb: Option<f64>,
    /// The model that takes [`MODEL_MB`] all the same, since it was ordered before.
    pub ordered_before: Option<String>,
    /// Its own memory, in MB, and its adapter slots, if they differ from the usual ones.
    pub memory_mb: Option<f64>,
    pub adapter_slots: Option<u32>,
}

/// Sizes are left out: a recorded digest covers this text.
impl fmt::Debug for SimulatedInstance {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("SimulatedInstance")
            .field("models", &self.models)
            .field("busy", &self.busy)
            .field("sequence", &self.sequence)
            .field("registrations", &self.registrations)
            .field("disk", &self.disk)
            .field("disk_slots", &self.disk_slots)
            .finish()
    }
}

impl SimulatedInstance {
    /// Caches the weights of a model on disk.
    pub fn cache_on_disk(&mut self, model: &str) {
        self.disk.retain(|one| one != model);
        self.disk.push(model.to_owned());
        let excess = self.disk.len().saturating_sub(self.disk_slots);
        self.disk.drain(..excess);
    }

    pub fn used_mb(&self) -> f64 {
        let adapters: usize = self.models.values().map(Vec::len).sum();
        let loading = match &self.busy {
            Some((OrderAction::LoadModel(model), _)) => Some(model.as_str()),
            _ => None,
        };
        let models = self.models.keys().map(String::as_str).chain(loading);
        let models = models.map(|model| self.sizes.get(model).copied().unwrap_or(MODEL_MB));
        models.sum::<f64>() + adapters as f64
    }

    /// Applies an order according to the platform's specification; panics if it overfills the
    /// instance.
    pub fn accept(&mut self, order: &Order, now: u64, store_load_time: u64) -> OrderOutcome {
        if order.expected_sequence != self.sequence || self.busy.is_some() {
            return OrderOutcome::Conflict;
        }
        self.sequence += 1;
        match &order.action {
            OrderAction::LoadModel(model) => {
                assert!(
                    !self.models.contains_key(model.as_str()),
                    "{order:?} is for a model that is already held"
                );
                let time = match self.disk.iter().any(|one| one == model.as_str()) {
                    true => DISK_LOAD_TIME,
                    false => store_load_time,
                };
                self.busy = Some((order.action.clone(), now + time));
                let is_earlier = self.ordered_before.as_deref() == Some(model.as_str());
                let size_mb = self.load_mb.filter(|_| !is_earlier).unwrap_or(MODEL_MB);
                self.sizes.insert(model.0.clone(), size_mb);
                assert!(
                    self.used_mb() <= self.memory_mb.unwrap_or(MEMORY_MB),
                    "overfilled by {order:?}: {self:?}"
                );
            }
            OrderAction::UnloadModel(_) => {
                self.busy = Some((order.action.clone(), now + 60));
            }
            OrderAction::LoadAdapter(model, adapter) => {
                let adapters = self.models.get_mut(model.as_str());
                adapters.expect("the model is held").push(adapter.clone());
                let count: usize = self.models.values().map(Vec::len).sum();
                assert!(
                    count <= self.adapter_slots.unwrap_or(ADAPTER_SLOTS) as usize,
                    "too many adapters: {self:?}"
                );
            }
            OrderAction::UnloadAdapter(model, adapter) => {
                let adapters = self.models.get_mut(model.as_str());
                adapters
                    .expect("the model is held")
                    .retain(|one| one != adapter);
                return OrderOutcome::AlreadyDone;
            }
        }
        OrderOutcome::Accepted
    }

    pub fn advance(&mut self, now: u64) -> bool {
        let is_done = self.busy.as_ref().is_some_and(|(_, due)| *due <= now);
        if is_done && let Some((action, _)) = self.busy.take() {
            match action {
                OrderAction::LoadModel(model) => {
                    self.cache_on_disk(model.as_str());
                    self.models.insert(model.0, Vec::new());
                }
                OrderAction::UnloadModel(model) => {
                    self.models.remove(model.as_str());
                }
                _ => {}
            }
        }
        is_done
    }

    fn report(&self) -> InstanceReport {
        InstanceReport {
            models: self.held(),
            busy: self.busy.is_some(),
            sequence: self.sequence,
            pending: Vec::new(),
            started: None,
            cached_weights: Some(self.cached_weights()),
        }
    }

    fn cached_weights(&self) -> CachedWeights {
        let on_disk = self.disk.iter().map(|one| ModelName::from(one.as_str()));
        CachedWeights {
            in_memory: Vec::new(),
            on_disk: on_disk.collect(),
        }
    }

    pub fn held(&self) -> Vec<ResidentModel> {
        let held = self.models.iter().map(|(name, adapters)| ResidentModel {
            name: ModelName::from(name.as_str()),
            version: 1,
            adapters: adapters.clone(),
        });
        held.collect()
    }
}

pub struct Simulation {
    pub engine: PlacementEngine,
    pub instances: BTreeMap<RunnerId, SimulatedInstance>,
    pub random: Pcg32,
    pub late_orders: Vec<(u64, Order)>,
    pub loads: Vec<u64>,
    /// Models of the entries of `loads`.
    pub loaded_models: Vec<ModelName>,
    /// Times at which orders were sent, including those that were lost.
    pub sent_at: Vec<u64>,
    pub lost_percent: u32,
    /// Instances that orders cannot be sent to although they register.
    pub unreachable: BTreeSet<RunnerId>,
    /// Instances that register and answer no call.
    pub unanswering: BTreeSet<RunnerId>,
    /// Number of concurrent loads that the store serves at full speed; beyond it each load takes
    /// proportionally longer.
    pub store_capacity: usize,
    /// Loads from the store so far: start time, model, and number of concurrent loads.
    pub store_loads: Vec<(u64, ModelName, usize)>,
    /// Loads from the store that the engine took for loads from a disk: start time and model.
    pub uncounted_store_loads: Vec<(u64, ModelName)>,
    /// Orders that their instance refused, because another order was in progress or because it had
    /// accepted one that the engine did not count.
    pub conflicts: usize,
    /// Milliseconds between full rounds, and between rounds for waiting requests, if there are any.
    pub full_round_interval: u64,
    pub waiting_round_interval: Option<u64>,
    /// Events of the engine.
    pub events: Vec<PlacementEvent>,
    /// Time by which registrations arrive late, in milliseconds.
    pub registration_delay: u64,
    /// Registrations on their way, with their times of arrival.
    pub late_registrations: VecDeque<(u64, Registration)>,
    /// Age of a report's content on arrival, in milliseconds.
    pub report_age: u64,
    /// Reports as of the past, with their times, of instances whose reports are not of the present.
    past_reports: BTreeMap<RunnerId, VecDeque<(u64, InstanceReport)>>,
    pub now: u64,
}

impl Simulation {
    pub fn new(seed: u64, instance_count: usize, lost_percent: u32) -> Self {
        // The demands in the tests are sized for this fraction.
        let settings = PlacementSettings {
            replica_utilisation: 0.25,
            ..PlacementSettings::default()
        };
        let mut engine = PlacementEngine::new(settings);
        engine.configure(configuration(), Timestamp(0));
        let mut simulation = Self {
            engine,
            instances: BTreeMap::new(),
            random: Pcg32::seed_from_u64(seed),
            late_orders: Vec::new(),
            loads: Vec::new(),
            loaded_models: Vec::new(),
            sent_at: Vec::new(),
            lost_percent,
            unreachable: BTreeSet::new(),
            unanswering: BTreeSet::new(),
            store_capacity: usize::MAX,
            store_loads: Vec::new(),
            uncounted_store_loads: Vec::new(),
            conflicts: 0,
            full_round_interval: 50,
            waiting_round_interval: None,
            events: Vec::new(),
            registration_delay: 0,
            late_registrations: VecDeque::new(),
            report_age: 0,
            past_reports: BTreeMap::new(),
            now: 0,
        };
        for number in 0..instance_count {
            let mut instance = SimulatedInstance::default();
            instance
                .models
                .insert(format!("m{}", number % MODELS), Vec::new());
            simulation
                .instances
                .insert(RunnerId::from(format!("r{number}")), instance);
        }
        simulation
    }

    pub fn draw(&mut self, below: u32) -> u32 {
        self.random.next_u32() % below
    }

    pub fn register(&mut self, id: &RunnerId) {
        let instance = self.instances.get_mut(id).expect("the instance exists");
        instance.registrations += 1;
        let registration = Registration {
            id: id.clone(),
            service: "s".to_owned(),
            address: format!("{id}:1"),
            zone: Zone::from("z"),
            slots: 64,
            state: InstanceState::Ready,
            sequence: instance.registrations,
            remaining: None,
            models: instance.held(),
            cached_weights: instance.cached_weights(),
        };
        match self.registration_delay {
            0 => drop(self.engine.register(registration, Timestamp::at(self.now))),
            delay => self
                .late_registrations
                .push_back((self.now + delay, registration)),
        }
    }

    fn deliver_late_registrations(&mut self) {
        let now = self.now;
        let due = self.late_registrations.iter();
        let due = due.take_while(|(at, _)| *at <= now).count();
        for (_, registration) in self.late_registrations.drain(..due) {
            self.engine.register(registration, Timestamp::at(now));
        }
    }

    /// The instance's report, with the content of [`Self::report_age`] ago.
    fn report(&self, id: &RunnerId) -> InstanceReport {
        let newest = self.instances[id].report();
        let past = self.past_reports.get(id);
        let reported = past.and_then(|past| past.front());
        reported.map_or(newest, |(_, report)| report.clone())
    }

    /// Keeps the instances' reports for later queries.
    fn keep_reports(&mut self) {
        if self.report_age == 0 {
            return;
        }
        for (id, instance) in &self.instances {
            let past = self.past_reports.entry(id.clone()).or_default();
            past.push_back((self.now, instance.report()));
            let at = self.now.saturating_sub(self.report_age);
            while past.get(1).is_some_and(|(time, _)| *time <= at) {
                past.pop_front();
            }
        }
    }

    /// Simulates 10 ms.
    pub fn step(&mut self, demand: &[ModelDemand]) {
        self.now += 10;
        let now = self.now;
        self.deliver_late_registrations();
        let due: Vec<(u64, Order)> = self
            .late_orders
            .extract_if(.., |(at, _)| *at <= now)
            .collect();
        for (_, order) in due {
            let outcome = self.deliver(&order);
            self.record_load(&order, outcome);
        }
        let ids: Vec<RunnerId> = self.instances.keys().cloned().collect();
        for (number, id) in ids.iter().enumerate() {
            let is_done = self
                .instances
                .get_mut(id)
                .expect("the instance exists")
                .advance(now);
            if is_done || now % 1_200 == (number as u64 * 30 + 10) % 1_200 {
                self.register(id);
            }
        }
        self.keep_reports();
        if now.is_multiple_of(250) {
            self.engine
                .report_usage("router", Vec::new(), demand, Timestamp::at(now));
        }
        let waiting_round_interval = self.waiting_round_interval;
        if now.is_multiple_of(self.full_round_interval) {
            let steps = self.engine.plan(Timestamp::at(now));
            self.apply_steps(steps);
        } else if waiting_round_interval.is_some_and(|every| now.is_multiple_of(every))
            && self.engine.needs_waiting_round()
        {
            let steps = self.engine.plan_for_waiting(Timestamp::at(now));
            self.apply_steps(steps);
        }
    }

    fn apply_steps(&mut self, steps: Vec<PlacementStep>) {
        self.events.extend(self.engine.take_events());
        for step in steps {
            self.apply_step(step);
        }
    }

    /// Delivers an order to its instance.
    fn deliver(&mut self, order: &Order) -> OrderOutcome {
        let concurrency = 1 + self.loads_from_store();
        let time = match self.store_capacity {
            usize::MAX => LOAD_TIME,
            limit => LOAD_TIME * concurrency.max(limit) as u64 / limit as u64,
        };
        let instance = self
            .instances
            .get_mut(&order.instance)
            .expect("the instance exists");
        let model = order.action.model();
        let from_store = matches!(order.action, OrderAction::LoadModel(_))
            && !instance.disk.iter().any(|one| one == model.as_str());
        let outcome = instance.accept(order, self.now, time);
        self.conflicts += usize::from(outcome == OrderOutcome::Conflict);
        if from_store && outcome == OrderOutcome::Accepted {
            self.store_loads
                .push((self.now, model.clone(), concurrency));
            if !order.from_store {
                self.uncounted_store_loads.push((self.now, model.clone()));
            }
        }
        outcome
    }

    /// Loads from the store in flight.
    pub fn loads_from_store(&self) -> usize {
        let instances = self.instances.values();
        let loads = instances.filter(|one| match &one.busy {
            Some((OrderAction::LoadModel(model), _)) => {
                !one.disk.iter().any(|cached| cached == model.as_str())
            }
            _ => false,
        });
        loads.count()
    }

    /// Gives every instance a disk for this number of models, with the models that it holds cached
    /// on it.
    pub fn add_disks(&mut self, disk_slots: usize) {
        let disk_mb = disk_slots as f64 * MODEL_MB;
        let configuration = configuration_with_disks(disk_mb);
        let now = Timestamp::at(self.now);
        self.engine.configure(configuration, now);
        for instance in self.instances.values_mut() {
            instance.disk_slots = disk_slots;
            let held: Vec<String> = instance.models.keys().cloned().collect();
            for model in held {
                instance.cache_on_disk(&model);
            }
        }
    }

    pub fn apply_step(&mut self, step: PlacementStep) {
        let now = self.now;
        match step {
            PlacementStep::QueryInstance { instance, .. } => {
                let is_answered = !self.unanswering.contains(&instance);
                let report = is_answered.then(|| self.report(&instance));
                self.engine.on_report(&instance, report, Timestamp::at(now));
            }
            PlacementStep::SendOrder(order) => {
                self.sent_at.push(now);
                if self.unreachable.contains(&order.instance) {
                    let outcome = OrderOutcome::Unreachable;
                    self.engine.on_outcome(&order, outcome, Timestamp::at(now));
                    return;
                }
                if self.unanswering.contains(&order.instance) {
                    let outcome = OrderOutcome::Unknown;
                    self.engine.on_outcome(&order, outcome, Timestamp::at(now));
                    return;
                }
                if self.draw(100) < self.lost_percent {
                    let delay = u64::from(2_000 + self.draw(10_000));
                    self.late_orders.push((now + delay, order.clone()));
                    let outcome = OrderOutcome::Unknown;
                    self.engine.on_outcome(&order, outcome, Timestamp::at(now));
                    return;
                }
                let outcome = self.deliver(&order);
                self.record_load(&order, outcome);
                self.engine.on_outcome(&order, outcome, Timestamp::at(now));
            }
        }
    }

    /// Records a load that starts.
    pub fn record_load(&mut self, order: &Order, outcome: OrderOutcome) {
        let loads = matches!(order.action, OrderAction::LoadModel(_));
        if loads && outcome == OrderOutcome::Accepted {
            self.loads.push(self.now);
            self.loaded_models.push(order.action.model().clone());
        }
    }

    /// Number of loads of a model that have started.
    pub fn load_count(&self, model: &str) -> usize {
        let loaded = self.loaded_models.iter();
        loaded.filter(|name| name.as_str() == model).count()
    }

    pub fn replicas(&self, model: &str) -> usize {
        let holders = self.instances.values();
        holders.filter(|one| one.models.contains_key(model)).count()
    }
}

/// Times by which registrations arrive late, in milliseconds.
pub const REGISTRATION_DELAYS_MS: [u64; 4] = [0, 1_500, 4_000, 10_000];
/// Steps until late registrations arrive.
const LATE_START_STEPS: u32 = 1_100;
/// Age of reports beside late registrations, in milliseconds.
const LATE_REPORT_AGE_MS: u64 = 300;

impl Simulation {
    /// Registrations are late by this time from now on; the first of them have arrived afterwards.
    pub fn delay_registrations(&mut self, delay_ms: u64) {
        self.registration_delay = delay_ms;
        self.report_age = LATE_REPORT_AGE_MS;
        for _ in 0..LATE_START_STEPS {
            self.step(&[]);
        }
    }

    /// Another leader with this configuration begins with what this one recorded.
    pub fn change_leader(&mut self, configuration: Arc<ServiceConfiguration>) {
        let now = Timestamp::at(self.now);
        let recorded = self.engine.views(now);
        self.engine = PlacementEngine::new(PlacementSettings::default());
        self.engine.configure(configuration, now);
        for view in &recorded {
            self.engine.seed(view, now);
        }
    }
}

pub fn demand(model: &str, arrivals: u32, waiting: u32, objective_ms: u32) -> ModelDemand {
    ModelDemand {
        service: "s".to_owned(),
        model: model.to_owned(),
        adapter: None,
        arrivals,
        tokens: arrivals * 3_000,
        objective_ms,
        late: 0,
        waiting,
    }
}
