//! A runner: accelerator memory, cache tiers, loads and engines.
//!
//! Invariant: the memory of all loaded, loading and unloading deployments
//! never exceeds the accelerator memory; an order that would is refused and
//! counted.

mod reports;

use super::checkpoints::CheckpointCache;
use super::engine::Engine;
use super::fetches::Fetches;
use super::prefix::PrefixCache;
use super::sequence::{
    EngineRejection, EngineRequest, ExportedSequence, SequenceKey, SequenceProgress,
};
use super::settings::RunnerModelSettings;
use courseshunt_types::runner_api::{
    CacheTier, LoadPhase, OrderAction, OrderRejection, OrderReply, OrderRequest,
};
use courseshunt_types::{AdapterName, DeploymentName, Fence, Millis, ModelName, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// Ended executions whose length is remembered, so that a stream can resume.
const REMEMBERED_EXECUTIONS: usize = 256;

/// Something that happened on a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunnerEvent {
    /// A checkpoint must be fetched from the weight store; answer with
    /// [`RunnerModel::fetch_finished`] or [`RunnerModel::fetch_failed`].
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

/// One deployment in accelerator memory.
#[derive(Debug, Clone, Copy)]
pub struct HeldDeployment<'a> {
    /// The deployment.
    pub deployment: &'a DeploymentName,
    /// Memory taken, in MiB.
    pub memory_mib: u64,
    /// State.
    pub phase: LoadPhase,
    /// Requests running.
    pub running: usize,
}

#[derive(Debug)]
struct LoadedDeployment {
    model: ModelName,
    checkpoint_mib: u64,
    memory_mib: u64,
    adapters: Vec<AdapterName>,
    fence: Fence,
    phase: LoadPhase,
    /// End of the load; `None` while the weight store sends.
    ready_at: Option<Timestamp>,
    engine: Engine,
}

/// The model.
#[derive(Debug)]
pub struct RunnerModel {
    settings: RunnerModelSettings,
    draining: bool,
    deployments: BTreeMap<DeploymentName, LoadedDeployment>,
    highest_fences: BTreeMap<DeploymentName, Fence>,
    checkpoints: CheckpointCache,
    fetches: Fetches,
    prefixes: PrefixCache,
    ended: VecDeque<(SequenceKey, u32)>,
    pending: Vec<RunnerEvent>,
    /// Orders refused because memory would have been overcommitted.
    pub overcommit_attempts: u64,
}

impl RunnerModel {
    /// An empty runner.
    #[must_use]
    pub fn new(settings: RunnerModelSettings) -> Self {
        let checkpoints = CheckpointCache::new(settings.host_memory_mib, settings.disk_mib);
        let prefixes = PrefixCache::new(settings.prefix_cache_blocks);
        Self {
            settings,
            draining: false,
            deployments: BTreeMap::new(),
            highest_fences: BTreeMap::new(),
            checkpoints,
            fetches: Fetches::default(),
            prefixes,
            ended: VecDeque::new(),
            pending: Vec::new(),
            overcommit_attempts: 0,
        }
    }

    /// The settings.
    #[must_use]
    pub fn settings(&self) -> &RunnerModelSettings {
        &self.settings
    }

    /// The prefix cache, for its events.
    #[must_use]
    pub fn prefixes(&self) -> &PrefixCache {
        &self.prefixes
    }

    /// Takes over the checkpoints on the disk of an earlier incarnation.
    pub fn keep_disk_of(&mut self, earlier: &RunnerModel) {
        for item in earlier.checkpoints.items() {
            if item.tier == CacheTier::Disk {
                self.checkpoints
                    .insert(&item.model, item.tier, item.size_mib);
            }
        }
    }

    /// Forgets all fences, as a faulty engine would.
    pub fn forget_fences(&mut self) {
        self.highest_fences.clear();
    }

    /// Whether it takes no new loads and requests.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining
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
                adapters,
            } => {
                let wanted = LoadedDeployment {
                    model: model.clone(),
                    checkpoint_mib: *checkpoint_mib,
                    memory_mib: *memory_mib,
                    adapters: adapters.clone(),
                    fence: order.fence,
                    phase: LoadPhase::Loading,
                    ready_at: None,
                    engine: Engine::new(*slots, self.settings.timing, self.settings.every_token),
                };
                self.load(&order.deployment, wanted, now)?;
            }
            OrderAction::Unload => self.unload(&order.deployment, order.fence),
            OrderAction::Stage {
                model,
                checkpoint_mib,
                tier,
            } => self.stage(model, *checkpoint_mib, *tier, now),
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
        let (model, size_mib) = (wanted.model.clone(), wanted.checkpoint_mib);
        match self.checkpoints.tier_of(&model) {
            Some(tier) => {
                let copy = self.copy_time(tier, size_mib);
                wanted.ready_at = Some(now + copy + self.settings.engine_start_ms);
                self.checkpoints.touch(&model);
                self.checkpoints
                    .insert(&model, CacheTier::HostMemory, size_mib);
            }
            None => self.fetch(&model, size_mib, CacheTier::HostMemory),
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

    fn stage(&mut self, model: &ModelName, size_mib: u64, tier: CacheTier, now: Timestamp) {
        match self.checkpoints.tier_of(model) {
            Some(known) if known <= tier => self.checkpoints.touch(model),
            Some(known) => {
                let end = now + self.copy_time(known, size_mib);
                self.fetches.copy(model, end);
            }
            None => self.fetch(model, size_mib, tier),
        }
    }

    fn fetch(&mut self, model: &ModelName, size_mib: u64, tier: CacheTier) {
        if self.fetches.want(model, tier) {
            let model = model.clone();
            self.pending
                .push(RunnerEvent::FetchNeeded { model, size_mib });
        }
    }

    fn copy_time(&self, tier: CacheTier, size_mib: u64) -> Millis {
        let speed = match tier {
            CacheTier::Accelerator | CacheTier::HostMemory => self.settings.host_mib_per_second,
            CacheTier::Disk | CacheTier::Remote => self.settings.disk_mib_per_second,
        };
        Millis((size_mib as f64 / speed * 1000.0).ceil() as u64)
    }

    /// Accelerator memory in use, in MiB.
    #[must_use]
    pub fn used_mib(&self) -> u64 {
        self.deployments.values().map(|one| one.memory_mib).sum()
    }

    /// Notes that the weight store sent a checkpoint.
    pub fn fetch_finished(&mut self, model: &ModelName, size_mib: u64, now: Timestamp) {
        let tier = self.fetches.finish(model).unwrap_or(CacheTier::HostMemory);
        self.checkpoints.insert(model, CacheTier::Disk, size_mib);
        if tier == CacheTier::HostMemory {
            self.checkpoints
                .insert(model, CacheTier::HostMemory, size_mib);
        }
        let start = self.settings.engine_start_ms;
        for loaded in self.waiting_for(model) {
            loaded.ready_at = Some(now + start);
        }
    }

    /// Notes that a checkpoint will not come; loads that wait for it end.
    pub fn fetch_failed(&mut self, model: &ModelName) {
        self.fetches.finish(model);
        for loaded in self.waiting_for(model) {
            loaded.phase = LoadPhase::Unloading;
        }
        self.finish_unloads();
    }

    fn waiting_for(&mut self, model: &ModelName) -> impl Iterator<Item = &mut LoadedDeployment> {
        self.deployments.values_mut().filter(move |loaded| {
            let waits = loaded.phase == LoadPhase::Loading && loaded.ready_at.is_none();
            waits && loaded.model == *model
        })
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
        self.admissible(&request)?;
        if let Some(loaded) = self.deployments.get_mut(&request.deployment) {
            loaded.engine.submit(request, now, &mut self.prefixes);
        }
        Ok(())
    }

    fn admissible(&self, request: &EngineRequest) -> Result<(), EngineRejection> {
        if self
            .deployments
            .values()
            .any(|one| one.engine.contains(&request.key))
        {
            return Err(EngineRejection::Duplicate);
        }
        if self.draining {
            return Err(EngineRejection::Draining);
        }
        let loaded = self.deployments.get(&request.deployment);
        let loaded = loaded.filter(|loaded| loaded.phase == LoadPhase::Ready);
        let loaded = loaded.ok_or(EngineRejection::NotLoaded)?;
        let attached = |adapter: &AdapterName| loaded.adapters.contains(adapter);
        if !request.adapter.as_ref().is_none_or(attached) {
            return Err(EngineRejection::AdapterNotLoaded);
        }
        if loaded.engine.waiting() >= self.settings.engine_queue {
            return Err(EngineRejection::Full);
        }
        Ok(())
    }

    /// Ends a request early.
    pub fn cancel(&mut self, key: &SequenceKey, now: Timestamp) {
        self.export(key, now);
    }

    /// Takes a request out with its keys and values, for another runner.
    pub fn export(&mut self, key: &SequenceKey, now: Timestamp) -> Option<ExportedSequence> {
        let mut engines = self.deployments.values_mut().map(|one| &mut one.engine);
        let engine = engines.find(|engine| engine.contains(key))?;
        let exported = engine.remove(key, now, &mut self.prefixes);
        self.finish_unloads();
        exported
    }

    /// Goes on with a request that another runner exported.
    ///
    /// # Errors
    /// When the engine can't take it.
    pub fn import(
        &mut self,
        sequence: ExportedSequence,
        now: Timestamp,
    ) -> Result<(), EngineRejection> {
        self.admissible(&sequence.request)?;
        if let Some(loaded) = self.deployments.get_mut(&sequence.request.deployment) {
            loaded.engine.import(sequence, now, &mut self.prefixes);
        }
        Ok(())
    }

    /// How far an execution is; `None` when it is not known (any more).
    #[must_use]
    pub fn progress(&self, key: &SequenceKey, now: Timestamp) -> Option<SequenceProgress> {
        let mut engines = self.deployments.values().map(|one| &one.engine);
        if let Some(tokens_done) = engines.find_map(|engine| engine.tokens_done(key, now)) {
            let finished = false;
            return Some(SequenceProgress {
                tokens_done,
                finished,
            });
        }
        let (_, tokens_done) = self.ended.iter().find(|(one, _)| one == key)?;
        Some(SequenceProgress {
            tokens_done: *tokens_done,
            finished: true,
        })
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
        let steps = self.deployments.values();
        let steps = steps.filter_map(|one| one.engine.next_event());
        let copies = self.fetches.next_copy();
        loads.chain(steps).chain(copies).min()
    }

    /// Moves on to `now` and returns what happened, in order.
    pub fn advance(&mut self, now: Timestamp) -> Vec<RunnerEvent> {
        self.finish_copies(now);
        self.finish_loads(now);
        self.generate(now);
        self.finish_unloads();
        std::mem::take(&mut self.pending)
    }

    fn finish_copies(&mut self, now: Timestamp) {
        for model in self.fetches.finish_copies(now) {
            let items = self.checkpoints.items().iter();
            let size = items.clone().find(|item| item.model == model);
            if let Some(size) = size.map(|item| item.size_mib) {
                self.checkpoints.insert(&model, CacheTier::HostMemory, size);
            }
        }
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
        for loaded in self.deployments.values_mut() {
            for token in loaded.engine.advance(now, &mut self.prefixes) {
                if token.last {
                    self.ended
                        .push_back((token.key.clone(), token.position + 1));
                }
                self.pending.push(RunnerEvent::Token {
                    key: token.key,
                    position: token.position,
                    last: token.last,
                });
            }
        }
        while self.ended.len() > REMEMBERED_EXECUTIONS {
            self.ended.pop_front();
        }
    }

    fn finish_unloads(&mut self) {
        let freed =
            |one: &LoadedDeployment| one.phase == LoadPhase::Unloading && one.engine.is_idle();
        let unloaded = self.deployments.iter().filter(|(_, one)| freed(one));
        let unloaded: Vec<DeploymentName> = unloaded.map(|(name, _)| name.clone()).collect();
        for deployment in unloaded {
            self.deployments.remove(&deployment);
            self.prefixes.forget(&deployment);
            self.pending.push(RunnerEvent::Unloaded(deployment));
        }
    }
}
