//! A model of instances that a placement engine gives orders to.

#![allow(dead_code, reason = "each test file uses a part")]

use courseshunt_services::{
    CachedWeights, Engine, InstanceReport, InstanceState, ModelDemand, ModelSpecification, Order,
    OrderAction, OrderOutcome, PlacementEngine, PlacementEvent, PlacementSettings, PlacementStep,
    Registration, ResidentModel, Service, ServiceConfiguration,
};
use courseshunt_types::{Millis, ModelName, RunnerId, Timestamp, Zone};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
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

/// The same with so much disk for copies at each instance, in MB.
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
                loads_per_second: LOADS_PER_SECOND,
                cache_memory_mb: 0.0,
                cache_disk_mb: disk_mb,
                models: models.map(|one| (one.name.0.clone(), one)).collect(),
            }),
        }],
        ..ServiceConfiguration::default()
    })
}

/// What an instance really does with orders.
#[derive(Debug, Default)]
pub struct Runner {
    pub models: BTreeMap<String, Vec<String>>,
    pub busy: Option<(OrderAction, u64)>,
    pub sequence: u64,
    pub beat: u64,
    /// Models with a copy on disk, the one used longest ago first.
    pub disk: Vec<String>,
    /// Room for these.
    pub disk_copies: usize,
}

impl Runner {
    /// Keeps a copy of a model on disk.
    pub fn keep(&mut self, model: &str) {
        self.disk.retain(|one| one != model);
        self.disk.push(model.to_owned());
        let over = self.disk.len().saturating_sub(self.disk_copies);
        self.disk.drain(..over);
    }

    pub fn used_mb(&self) -> f64 {
        let adapters: usize = self.models.values().map(Vec::len).sum();
        let coming = matches!(&self.busy, Some((OrderAction::LoadModel(_), _)));
        (self.models.len() + usize::from(coming)) as f64 * MODEL_MB + adapters as f64
    }

    /// Takes an order as the platform's pages say; fails on what overfills it.
    pub fn take(&mut self, order: &Order, now: u64, store_load_time: u64) -> OrderOutcome {
        if order.expected != self.sequence || self.busy.is_some() {
            return OrderOutcome::Conflict;
        }
        self.sequence += 1;
        match &order.action {
            OrderAction::LoadModel(model) => {
                assert!(
                    !self.models.contains_key(model.as_str()),
                    "{order:?} is held"
                );
                let time = match self.disk.iter().any(|one| one == model.as_str()) {
                    true => DISK_LOAD_TIME,
                    false => store_load_time,
                };
                self.busy = Some((order.action.clone(), now + time));
                assert!(
                    self.used_mb() <= MEMORY_MB,
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
                assert!(count <= ADAPTER_SLOTS as usize, "adapters: {self:?}");
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
        let done = self.busy.as_ref().is_some_and(|(_, due)| *due <= now);
        if done && let Some((action, _)) = self.busy.take() {
            match action {
                OrderAction::LoadModel(model) => {
                    self.keep(model.as_str());
                    self.models.insert(model.0, Vec::new());
                }
                OrderAction::UnloadModel(model) => {
                    self.models.remove(model.as_str());
                }
                _ => {}
            }
        }
        done
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

pub struct World {
    pub engine: PlacementEngine,
    pub runners: BTreeMap<RunnerId, Runner>,
    pub random: Pcg32,
    pub late: Vec<(u64, Order)>,
    pub loads: Vec<u64>,
    /// Models of these loads.
    pub loaded: Vec<ModelName>,
    /// When orders were given, taken or lost.
    pub given: Vec<u64>,
    pub lost_share: u32,
    /// Instances that orders can't be sent to, though they register.
    pub unreachable: BTreeSet<RunnerId>,
    /// Loads that the store serves at full speed; beyond it each takes
    /// proportionally longer.
    pub store_at_once: usize,
    /// Loads from the store so far: when, of which model, how many at once.
    pub store_loads: Vec<(u64, ModelName, usize)>,
    /// Orders that their instance refused: it had another under way, or had
    /// taken one that the engine doesn't know of.
    pub conflicts: usize,
    /// Milliseconds between rounds, and between those for what requests wait for, if there are
    /// any.
    pub plans_every: u64,
    pub plans_waited_every: Option<u64>,
    /// What the engine told.
    pub events: Vec<PlacementEvent>,
    pub now: u64,
}

impl World {
    pub fn new(seed: u64, runners: usize, lost_share: u32) -> Self {
        // Demands of the tests are sized for this part.
        let settings = PlacementSettings {
            copy_utilisation: 0.25,
            ..PlacementSettings::default()
        };
        let mut engine = PlacementEngine::new(settings);
        engine.configure(configuration(), Timestamp(0));
        let mut world = Self {
            engine,
            runners: BTreeMap::new(),
            random: Pcg32::seed_from_u64(seed),
            late: Vec::new(),
            loads: Vec::new(),
            loaded: Vec::new(),
            given: Vec::new(),
            lost_share,
            unreachable: BTreeSet::new(),
            store_at_once: usize::MAX,
            store_loads: Vec::new(),
            conflicts: 0,
            plans_every: 50,
            plans_waited_every: None,
            events: Vec::new(),
            now: 0,
        };
        for number in 0..runners {
            let mut runner = Runner::default();
            runner
                .models
                .insert(format!("m{}", number % MODELS), Vec::new());
            world
                .runners
                .insert(RunnerId::from(format!("r{number}")), runner);
        }
        world
    }

    pub fn draw(&mut self, below: u32) -> u32 {
        self.random.next_u32() % below
    }

    pub fn register(&mut self, id: &RunnerId) {
        let runner = self.runners.get_mut(id).expect("a runner");
        runner.beat += 1;
        let registration = Registration {
            id: id.clone(),
            service: "s".to_owned(),
            address: format!("{id}:1"),
            zone: Zone::from("z"),
            slots: 64,
            state: InstanceState::Ready,
            sequence: runner.beat,
            remaining: None,
            models: runner.held(),
            cached_weights: CachedWeights {
                in_memory: Vec::new(),
                on_disk: runner
                    .disk
                    .iter()
                    .map(|one| ModelName::from(one.as_str()))
                    .collect(),
            },
        };
        self.engine.register(registration, Timestamp::at(self.now));
    }

    /// One step of 10 ms.
    pub fn step(&mut self, demand: &[ModelDemand]) {
        self.now += 10;
        let now = self.now;
        let due: Vec<(u64, Order)> = self.late.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, order) in due {
            let outcome = self.take(&order);
            self.count(&order, outcome);
        }
        let ids: Vec<RunnerId> = self.runners.keys().cloned().collect();
        for (number, id) in ids.iter().enumerate() {
            let done = self.runners.get_mut(id).expect("a runner").advance(now);
            if done || now % 1_200 == (number as u64 * 30 + 10) % 1_200 {
                self.register(id);
            }
        }
        if now.is_multiple_of(250) {
            self.engine
                .report_usage("router", Vec::new(), demand, Timestamp::at(now));
        }
        let plans_waited = self.plans_waited_every;
        if now.is_multiple_of(self.plans_every) {
            let steps = self.engine.plan(Timestamp::at(now));
            self.carry_out_all(steps);
        } else if plans_waited.is_some_and(|every| now.is_multiple_of(every)) && self.engine.waits()
        {
            let steps = self.engine.plan_waited(Timestamp::at(now));
            self.carry_out_all(steps);
        }
    }

    fn carry_out_all(&mut self, steps: Vec<PlacementStep>) {
        self.events.extend(self.engine.take_events());
        for step in steps {
            self.carry_out(step);
        }
    }

    /// Gives an order to its instance.
    fn take(&mut self, order: &Order) -> OrderOutcome {
        let at_once = 1 + self.loads_from_store();
        let time = match self.store_at_once {
            usize::MAX => LOAD_TIME,
            limit => LOAD_TIME * at_once.max(limit) as u64 / limit as u64,
        };
        let runner = self.runners.get_mut(&order.instance).expect("a runner");
        let model = order.action.model();
        let from_store = matches!(order.action, OrderAction::LoadModel(_))
            && !runner.disk.iter().any(|one| one == model.as_str());
        let outcome = runner.take(order, self.now, time);
        self.conflicts += usize::from(outcome == OrderOutcome::Conflict);
        if from_store && outcome == OrderOutcome::Accepted {
            self.store_loads.push((self.now, model.clone(), at_once));
        }
        outcome
    }

    /// Loads from the store under way.
    pub fn loads_from_store(&self) -> usize {
        let busy = self.runners.values();
        let loads = busy.filter(|one| match &one.busy {
            Some((OrderAction::LoadModel(model), _)) => {
                !one.disk.iter().any(|copy| copy == model.as_str())
            }
            _ => false,
        });
        loads.count()
    }

    /// Gives every instance a disk for so many copies, with what it holds on it.
    pub fn give_disks(&mut self, copies: usize) {
        let room = copies as f64 * MODEL_MB;
        let configuration = configuration_with_disks(room);
        let now = Timestamp::at(self.now);
        self.engine.configure(configuration, now);
        for runner in self.runners.values_mut() {
            runner.disk_copies = copies;
            let held: Vec<String> = runner.models.keys().cloned().collect();
            for model in held {
                runner.keep(&model);
            }
        }
    }

    pub fn carry_out(&mut self, step: PlacementStep) {
        let now = self.now;
        match step {
            PlacementStep::Ask { instance, .. } => {
                let runner = self.runners.get(&instance).expect("a runner");
                let report = InstanceReport {
                    models: runner.held(),
                    busy: runner.busy.is_some(),
                    sequence: runner.sequence,
                    pending: Vec::new(),
                    started: None,
                    copies: None,
                };
                self.engine
                    .on_report(&instance, Some(report), Timestamp::at(now));
            }
            PlacementStep::Give(order) => {
                self.given.push(now);
                if self.unreachable.contains(&order.instance) {
                    let outcome = OrderOutcome::Unreachable;
                    self.engine.on_outcome(&order, outcome, Timestamp::at(now));
                    return;
                }
                if self.draw(100) < self.lost_share {
                    let delay = u64::from(2_000 + self.draw(10_000));
                    self.late.push((now + delay, order.clone()));
                    let outcome = OrderOutcome::Unknown;
                    self.engine.on_outcome(&order, outcome, Timestamp::at(now));
                    return;
                }
                let outcome = self.take(&order);
                self.count(&order, outcome);
                self.engine.on_outcome(&order, outcome, Timestamp::at(now));
            }
        }
    }

    /// Counts a load that begins.
    pub fn count(&mut self, order: &Order, outcome: OrderOutcome) {
        let loads = matches!(order.action, OrderAction::LoadModel(_));
        if loads && outcome == OrderOutcome::Accepted {
            self.loads.push(self.now);
            self.loaded.push(order.action.model().clone());
        }
    }

    /// Loads of a model that have begun.
    pub fn loads_of(&self, model: &str) -> usize {
        let loaded = self.loaded.iter();
        loaded.filter(|name| name.as_str() == model).count()
    }

    pub fn copies(&self, model: &str) -> usize {
        let holders = self.runners.values();
        holders.filter(|one| one.models.contains_key(model)).count()
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
