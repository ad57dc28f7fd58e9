//! A runner: accelerator memory, cache tiers, loads and engines.
//!
//! Invariant: the memory of all loaded, loading and unloading deployments
//! never exceeds the accelerator memory; an order that would is refused and
//! counted.

use super::sequence::{EngineRejection, EngineRequest, EngineTiming, Sequence, SequenceKey};
use courseshunt_types::runner_api::{
    CacheItem, CacheTier, DeploymentLoad, Inventory, InventoryItem, LoadPhase, LoadReport,
    OrderAction, OrderRejection, OrderReply, OrderRequest,
};
use courseshunt_types::{
    DeploymentName, Fence, Incarnation, Millis, ModelName, RunnerId, Timestamp, Zone,
};
use std::collections::BTreeMap;

/// Settings of the model.
#[derive(Debug, Clone)]
pub struct RunnerModelSettings {
    /// Name.
    pub runner: RunnerId,
    /// Drawn at each start.
    pub incarnation: Incarnation,
    /// Zone.
    pub zone: Zone,
    /// Accelerators.
    pub accelerators: u32,
    /// Accelerator memory, in MiB.
    pub memory_mib: u64,
    /// Host memory for checkpoints, in MiB.
    pub host_memory_mib: u64,
    /// Disk for checkpoints, in MiB.
    pub disk_mib: u64,
    /// Speed from host memory to accelerator, in MiB per second.
    pub host_mib_per_second: f64,
    /// Speed from disk to accelerator, in MiB per second.
    pub disk_mib_per_second: f64,
    /// Time for setting up an engine after the weights are there, in milliseconds.
    pub engine_start_ms: Millis,
    /// Requests that wait in an engine at the most.
    pub engine_queue: usize,
    /// Engine speed.
    pub timing: EngineTiming,
}

impl RunnerModelSettings {
    /// Usual settings for one runner.
    #[must_use]
    pub fn named(runner: &str, zone: &str, memory_mib: u64) -> Self {
        Self {
            runner: runner.into(),
            incarnation: Incarnation(1),
            zone: zone.into(),
            accelerators: 1,
            memory_mib,
            host_memory_mib: memory_mib,
            disk_mib: memory_mib * 4,
            host_mib_per_second: 10_000.0,
            disk_mib_per_second: 2_000.0,
            engine_start_ms: Millis(500),
            engine_queue: 16,
            timing: EngineTiming::default(),
        }
    }
}

/// Something that happened on a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunnerEvent {
    /// A checkpoint must be fetched from the weight store; answer with
    /// [`RunnerModel::fetch_finished`].
    FetchNeeded {
        /// Base model.
        model: ModelName,
        /// Size, in MiB.
        size_mib: u64,
    },
    /// A deployment serves.
    Loaded(DeploymentName),
    /// The memory of a deployment is free again.
    Unloaded(DeploymentName),
    /// A token was generated.
    Token {
        /// The execution.
        key: SequenceKey,
        /// Position of the token, from 0.
        position: u32,
        /// Whether it is the last.
        last: bool,
    },
}

#[derive(Debug, Clone)]
struct LoadedDeployment {
    model: ModelName,
    checkpoint_mib: u64,
    memory_mib: u64,
    slots: u32,
    fence: Fence,
    phase: LoadPhase,
    /// End of the load; `None` while the weight store sends.
    ready_at: Option<Timestamp>,
}

/// The model.
#[derive(Debug)]
pub struct RunnerModel {
    settings: RunnerModelSettings,
    draining: bool,
    deployments: BTreeMap<DeploymentName, LoadedDeployment>,
    highest_fences: BTreeMap<DeploymentName, Fence>,
    cached: Vec<CacheItem>,
    sequences: BTreeMap<SequenceKey, Sequence>,
    arrivals: u64,
    pending: Vec<RunnerEvent>,
    /// Orders refused because memory would have been overcommitted.
    pub overcommit_attempts: u64,
}

impl RunnerModel {
    /// An empty runner.
    #[must_use]
    pub fn new(settings: RunnerModelSettings) -> Self {
        Self {
            settings,
            draining: false,
            deployments: BTreeMap::new(),
            highest_fences: BTreeMap::new(),
            cached: Vec::new(),
            sequences: BTreeMap::new(),
            arrivals: 0,
            pending: Vec::new(),
            overcommit_attempts: 0,
        }
    }

    /// The settings.
    #[must_use]
    pub fn settings(&self) -> &RunnerModelSettings {
        &self.settings
    }

    /// Stops taking new loads and requests.
    pub fn start_draining(&mut self) {
        self.draining = true;
    }

    /// Carries an order out.
    ///
    /// # Errors
    /// When the fence is stale, the memory does not suffice, or it drains.
    pub fn order(
        &mut self,
        order: &OrderRequest,
        now: Timestamp,
    ) -> Result<OrderReply, OrderRejection> {
        let present = self.settings.incarnation;
        if order.incarnation.is_some_and(|meant| meant != present) {
            return Err(OrderRejection::OtherIncarnation { present });
        }
        let highest = self.highest_fences.get(&order.deployment).copied();
        if let Some(highest) = highest.filter(|highest| order.fence < *highest) {
            return Err(OrderRejection::StaleFence { highest });
        }
        match &order.action {
            OrderAction::Load {
                model,
                checkpoint_mib,
                memory_mib,
                slots,
                ..
            } => {
                let wanted = LoadedDeployment {
                    model: model.clone(),
                    checkpoint_mib: *checkpoint_mib,
                    memory_mib: *memory_mib,
                    slots: *slots,
                    fence: order.fence,
                    phase: LoadPhase::Loading,
                    ready_at: None,
                };
                self.load(&order.deployment, wanted, now)?;
            }
            OrderAction::Unload => self.unload(&order.deployment, order.fence),
            OrderAction::Stage {
                model,
                checkpoint_mib,
                ..
            } => self.fetch(model, *checkpoint_mib),
        }
        self.highest_fences
            .insert(order.deployment.clone(), order.fence);
        Ok(OrderReply {
            incarnation: self.settings.incarnation,
        })
    }

    fn load(
        &mut self,
        deployment: &DeploymentName,
        mut wanted: LoadedDeployment,
        now: Timestamp,
    ) -> Result<(), OrderRejection> {
        if self.deployments.contains_key(deployment) {
            return Ok(());
        }
        if self.draining {
            return Err(OrderRejection::Draining);
        }
        let free_mib = self.settings.memory_mib.saturating_sub(self.used_mib());
        if wanted.memory_mib > free_mib {
            self.overcommit_attempts += 1;
            return Err(OrderRejection::OutOfMemory { free_mib });
        }
        match self.cached_tier(&wanted.model) {
            Some(tier) => {
                wanted.ready_at = Some(now + self.local_load(tier, wanted.checkpoint_mib))
            }
            None => self.fetch(&wanted.model.clone(), wanted.checkpoint_mib),
        }
        self.deployments.insert(deployment.clone(), wanted);
        Ok(())
    }

    fn unload(&mut self, deployment: &DeploymentName, fence: Fence) {
        if let Some(loaded) = self.deployments.get_mut(deployment) {
            loaded.phase = LoadPhase::Unloading;
            loaded.fence = fence;
        }
        self.finish_unloads();
    }

    fn fetch(&mut self, model: &ModelName, size_mib: u64) {
        let model = model.clone();
        self.pending
            .push(RunnerEvent::FetchNeeded { model, size_mib });
    }

    fn cached_tier(&self, model: &ModelName) -> Option<CacheTier> {
        let tiers = self.cached.iter().filter(|item| item.model == *model);
        tiers.map(|item| item.tier).min()
    }

    fn local_load(&self, tier: CacheTier, size_mib: u64) -> Millis {
        let speed = match tier {
            CacheTier::Accelerator | CacheTier::HostMemory => self.settings.host_mib_per_second,
            CacheTier::Disk | CacheTier::Remote => self.settings.disk_mib_per_second,
        };
        let copy = Millis((size_mib as f64 / speed * 1000.0).ceil() as u64);
        Millis(copy.0 + self.settings.engine_start_ms.0)
    }

    fn used_mib(&self) -> u64 {
        self.deployments.values().map(|one| one.memory_mib).sum()
    }

    /// Notes that the weight store sent a checkpoint.
    pub fn fetch_finished(&mut self, model: &ModelName, size_mib: u64, now: Timestamp) {
        self.cache(model, size_mib);
        let start = self.settings.engine_start_ms;
        for loaded in self.deployments.values_mut() {
            let waits = loaded.model == *model && loaded.ready_at.is_none();
            if waits && loaded.phase == LoadPhase::Loading {
                loaded.ready_at = Some(now + start);
            }
        }
    }

    /// Keeps a checkpoint in host memory, or on disk, dropping the oldest.
    fn cache(&mut self, model: &ModelName, size_mib: u64) {
        let tiers = [
            (CacheTier::HostMemory, self.settings.host_memory_mib),
            (CacheTier::Disk, self.settings.disk_mib),
        ];
        for (tier, capacity) in tiers {
            if size_mib > capacity {
                continue;
            }
            self.cached
                .retain(|item| item.model != *model || item.tier != tier);
            while self.cached_mib(tier) + size_mib > capacity {
                let oldest = self.cached.iter().position(|item| item.tier == tier);
                let Some(oldest) = oldest else { break };
                self.cached.remove(oldest);
            }
            self.cached.push(CacheItem {
                model: model.clone(),
                tier,
                size_mib,
            });
        }
    }

    fn cached_mib(&self, tier: CacheTier) -> u64 {
        let items = self.cached.iter().filter(|item| item.tier == tier);
        items.map(|item| item.size_mib).sum()
    }

    /// Starts a request, or queues it in the engine.
    ///
    /// # Errors
    /// When the engine can't take it; it did not start then.
    pub fn submit(
        &mut self,
        request: EngineRequest,
        now: Timestamp,
    ) -> Result<(), EngineRejection> {
        if self.sequences.contains_key(&request.key) {
            return Err(EngineRejection::Duplicate);
        }
        if self.draining {
            return Err(EngineRejection::Draining);
        }
        let loaded = self.deployments.get(&request.deployment);
        if loaded.is_none_or(|loaded| loaded.phase != LoadPhase::Ready) {
            return Err(EngineRejection::NotLoaded);
        }
        if self.engine_waiting(&request.deployment) >= self.settings.engine_queue {
            return Err(EngineRejection::Full);
        }
        self.arrivals += 1;
        let deployment = request.deployment.clone();
        let sequence = Sequence {
            request,
            tokens_done: 0,
            next_token: None,
            arrival: self.arrivals,
        };
        self.sequences
            .insert(sequence.request.key.clone(), sequence);
        self.start_waiting(&deployment, now);
        Ok(())
    }

    /// Ends a request early.
    pub fn cancel(&mut self, key: &SequenceKey, now: Timestamp) {
        if let Some(sequence) = self.sequences.remove(key) {
            self.start_waiting(&sequence.request.deployment, now);
            self.finish_unloads();
        }
    }

    fn of<'a>(&'a self, deployment: &'a DeploymentName) -> impl Iterator<Item = &'a Sequence> {
        let sequences = self.sequences.values();
        sequences.filter(move |one| one.request.deployment == *deployment)
    }

    fn engine_running(&self, deployment: &DeploymentName) -> usize {
        self.of(deployment)
            .filter(|one| one.next_token.is_some())
            .count()
    }

    fn engine_waiting(&self, deployment: &DeploymentName) -> usize {
        self.of(deployment)
            .filter(|one| one.next_token.is_none())
            .count()
    }

    /// Starts waiting requests while slots are free, the most urgent first.
    fn start_waiting(&mut self, deployment: &DeploymentName, now: Timestamp) {
        let slots = self
            .deployments
            .get(deployment)
            .map_or(0, |one| one.slots as usize);
        while self.engine_running(deployment) < slots {
            let waiting = self.of(deployment).filter(|one| one.next_token.is_none());
            let first = waiting.min_by_key(|one| (one.request.class, one.arrival));
            let Some(key) = first.map(|one| one.request.key.clone()) else {
                break;
            };
            let timing = self.settings.timing;
            if let Some(sequence) = self.sequences.get_mut(&key) {
                let prompt = f64::from(sequence.request.prompt_tokens) * timing.prompt_token_ms;
                let wait = Millis((timing.first_token_ms + prompt).ceil() as u64);
                sequence.next_token = Some(now + wait);
            }
        }
    }

    /// When to call [`Self::advance`] next.
    #[must_use]
    pub fn next_event(&self) -> Option<Timestamp> {
        if !self.pending.is_empty() {
            return Some(Timestamp(0));
        }
        let loading = |one: &&LoadedDeployment| one.phase == LoadPhase::Loading;
        let loads = self.deployments.values().filter(loading);
        let loads = loads.filter_map(|one| one.ready_at);
        let tokens = self.sequences.values().filter_map(|one| one.next_token);
        loads.chain(tokens).min()
    }

    /// Moves on to `now` and returns what happened, in order.
    pub fn advance(&mut self, now: Timestamp) -> Vec<RunnerEvent> {
        self.finish_loads(now);
        self.generate(now);
        self.finish_unloads();
        std::mem::take(&mut self.pending)
    }

    fn finish_loads(&mut self, now: Timestamp) {
        for (deployment, loaded) in &mut self.deployments {
            let due = loaded.ready_at.is_some_and(|at| at <= now);
            if loaded.phase == LoadPhase::Loading && due {
                loaded.phase = LoadPhase::Ready;
                self.pending.push(RunnerEvent::Loaded(deployment.clone()));
            }
        }
    }

    fn generate(&mut self, now: Timestamp) {
        loop {
            let due = self.sequences.values().filter_map(|one| {
                let at = one.next_token.filter(|at| *at <= now)?;
                Some((at, one.arrival, one.request.key.clone()))
            });
            let Some((at, _, key)) = due.min() else {
                break;
            };
            self.generate_one(&key, at);
        }
    }

    fn generate_one(&mut self, key: &SequenceKey, at: Timestamp) {
        let Some(sequence) = self.sequences.get(key) else {
            return;
        };
        let deployment = sequence.request.deployment.clone();
        let others = self.engine_running(&deployment).saturating_sub(1) as f64;
        let timing = self.settings.timing;
        let pause = timing.token_ms + timing.token_per_request_ms * others;
        let Some(sequence) = self.sequences.get_mut(key) else {
            return;
        };
        let position = sequence.tokens_done;
        sequence.tokens_done += 1;
        sequence.next_token = Some(at + Millis(pause.ceil().max(1.0) as u64));
        let last = sequence.tokens_done >= sequence.request.max_tokens.max(1);
        let key = key.clone();
        if last {
            self.sequences.remove(&key);
            self.start_waiting(&deployment, at);
        }
        self.pending.push(RunnerEvent::Token {
            key,
            position,
            last,
        });
    }

    fn finish_unloads(&mut self) {
        let unloading: Vec<DeploymentName> = self
            .deployments
            .iter()
            .filter(|(_, loaded)| loaded.phase == LoadPhase::Unloading)
            .map(|(deployment, _)| deployment.clone())
            .collect();
        for deployment in unloading {
            if self.of(&deployment).next().is_none() {
                self.deployments.remove(&deployment);
                self.pending.push(RunnerEvent::Unloaded(deployment));
            }
        }
    }

    /// What the runner holds.
    #[must_use]
    pub fn inventory(&self, now: Timestamp) -> Inventory {
        let items = self
            .deployments
            .iter()
            .map(|(deployment, loaded)| InventoryItem {
                deployment: deployment.clone(),
                model: loaded.model.clone(),
                fence: loaded.fence,
                phase: loaded.phase,
                memory_mib: loaded.memory_mib,
                remaining_ms: loaded.ready_at.map_or(Millis(0), |at| at.since(now)),
            });
        Inventory {
            runner: self.settings.runner.clone(),
            incarnation: self.settings.incarnation,
            zone: self.settings.zone.clone(),
            accelerators: self.settings.accelerators,
            memory_mib: self.settings.memory_mib,
            host_memory_mib: self.settings.host_memory_mib,
            disk_mib: self.settings.disk_mib,
            draining: self.draining,
            deployments: items.collect(),
            cached: self.cached.clone(),
            staging: Vec::new(),
        }
    }

    /// The present load.
    #[must_use]
    pub fn load_report(&self) -> LoadReport {
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        let deployments = self.deployments.keys().map(|deployment| DeploymentLoad {
            deployment: deployment.clone(),
            running: count(self.engine_running(deployment)),
            waiting: count(self.engine_waiting(deployment)),
        });
        LoadReport {
            runner: self.settings.runner.clone(),
            incarnation: self.settings.incarnation,
            draining: self.draining,
            deployments: deployments.collect(),
        }
    }
}
