//! Loads and stagings in progress: what they take from the weight store, how
//! long they last, and which of them died. Pure.
//!
//! Invariant: each load from the weight store takes one start and, while it
//! runs, one place of the concurrency limit; a load that was adopted after a
//! failover takes its place too.

use super::usage::Moment;
use courseshunt_placement::{LoadBackoff, LoadTimes, StoreLimiter, WeightStoreView};
use courseshunt_state::{ReplicaPhase, ReplicaRecord};
use courseshunt_types::runner_api::{CacheTier, Inventory};
use courseshunt_types::{
    DeploymentDocument, Fence, Millis, ModelName, ReplicaKey, RunnerId, Timestamp,
};
use std::collections::BTreeMap;

/// A staging that takes this many times its estimate is given up as lost.
const STAGING_PATIENCE: u64 = 10;

/// See the module.
#[derive(Debug)]
pub struct LoadTracker {
    limiter: StoreLimiter,
    times: LoadTimes,
    backoff: LoadBackoff,
    loads: BTreeMap<ReplicaKey, Transfer>,
    stagings: BTreeMap<(RunnerId, ModelName), Transfer>,
    accepted: BTreeMap<ReplicaKey, AcceptedOrder>,
}

/// A checkpoint on its way.
#[derive(Debug, Clone)]
struct Transfer {
    model: ModelName,
    source: CacheTier,
    target: CacheTier,
    size_mib: u64,
    expected: Millis,
    started: Timestamp,
}

/// An order that a runner took.
#[derive(Debug, Clone, Copy)]
struct AcceptedOrder {
    fence: Fence,
    at: Timestamp,
}

impl LoadTracker {
    /// Nothing in progress; limits of the weight store from the settings.
    #[must_use]
    pub fn new(starts_per_second: u32, concurrency: u32) -> Self {
        Self {
            limiter: StoreLimiter::new(f64::from(starts_per_second), concurrency),
            times: LoadTimes::default(),
            backoff: LoadBackoff::default(),
            loads: BTreeMap::new(),
            stagings: BTreeMap::new(),
            accepted: BTreeMap::new(),
        }
    }

    /// The learned load times.
    #[must_use]
    pub fn times(&self) -> &LoadTimes {
        &self.times
    }

    /// Whether the weight store was seen to be slow.
    #[must_use]
    pub fn store_is_slow(&self) -> bool {
        self.limiter.is_slow()
    }

    /// Models that a runner should not be given now.
    #[must_use]
    pub fn avoided(&self, runner: &RunnerId, now: Timestamp) -> Vec<ModelName> {
        self.backoff.avoided(runner, now)
    }

    /// Checkpoints being staged on a runner.
    #[must_use]
    pub fn staging_on(&self, runner: &RunnerId) -> Vec<ModelName> {
        let first = (runner.clone(), ModelName::default());
        let here = self.stagings.range(first..);
        let here = here.take_while(|((one, _), _)| one == runner);
        here.map(|((_, model), _)| model.clone()).collect()
    }

    /// The weight store as its limiter knows it.
    pub fn store_view(&mut self, now: Timestamp) -> WeightStoreView {
        let transfers = self.loads.values().chain(self.stagings.values());
        let active = transfers.filter(|one| one.source == CacheTier::Remote);
        WeightStoreView {
            active_loads: u32::try_from(active.count()).unwrap_or(u32::MAX),
            concurrency_limit: self.limiter.concurrency(),
            starts_available: self.limiter.starts_available(now),
        }
    }

    /// Notes a decided load from `source`.
    pub fn begin(
        &mut self,
        replica: &ReplicaKey,
        document: &DeploymentDocument,
        source: CacheTier,
        now: Timestamp,
    ) {
        if source == CacheTier::Remote {
            self.limiter.take(now);
        }
        let transfer = self.transfer(document, source, CacheTier::Accelerator, now);
        self.loads.insert(replica.clone(), transfer);
    }

    /// Notes an ordered staging.
    pub fn begin_staging(
        &mut self,
        runner: &RunnerId,
        document: &DeploymentDocument,
        source: CacheTier,
        target: CacheTier,
        now: Timestamp,
    ) {
        if source == CacheTier::Remote {
            self.limiter.take(now);
        }
        let transfer = self.transfer(document, source, target, now);
        let key = (runner.clone(), document.model.clone());
        self.stagings.insert(key, transfer);
    }

    fn transfer(
        &self,
        document: &DeploymentDocument,
        source: CacheTier,
        target: CacheTier,
        started: Timestamp,
    ) -> Transfer {
        Transfer {
            model: document.model.clone(),
            source,
            target,
            size_mib: document.checkpoint_size_mib(),
            expected: self.times.expected(document, source),
            started,
        }
    }

    /// Adopts a load that an earlier leader decided.
    pub fn adopt(
        &mut self,
        record: &ReplicaRecord,
        document: &DeploymentDocument,
        source: CacheTier,
        moment: Moment,
    ) {
        if record.phase != ReplicaPhase::Loading || self.loads.contains_key(&record.replica) {
            return;
        }
        let started = moment.of_wall(record.placed_at);
        let transfer = self.transfer(document, source, CacheTier::Accelerator, started);
        self.loads.insert(record.replica.clone(), transfer);
    }

    /// Notes that a runner took the load order of a replica.
    pub fn order_accepted(&mut self, replica: &ReplicaKey, fence: Fence, at: Timestamp) {
        let accepted = AcceptedOrder { fence, at };
        self.accepted.insert(replica.clone(), accepted);
    }

    /// Whether a runner took the load order under this fence before `moment`,
    /// so that an inventory asked for at `moment` must show the replica.
    #[must_use]
    pub fn was_accepted(&self, replica: &ReplicaKey, fence: Fence, moment: Timestamp) -> bool {
        let accepted = self.accepted.get(replica);
        accepted.is_some_and(|one| one.fence == fence && one.at < moment)
    }

    /// Notes that a load died or was refused.
    pub fn failed(&mut self, replica: &ReplicaKey, model: &ModelName, now: Timestamp) {
        self.loads.remove(replica);
        self.backoff.failed(&replica.runner, model, now);
    }

    /// Learns from a replica that serves.
    pub fn finished(&mut self, replica: &ReplicaKey, now: Timestamp) {
        let Some(load) = self.loads.remove(replica) else {
            return;
        };
        let taken = now.since(load.started);
        self.times
            .record(&load.model, load.source, load.size_mib, taken);
        self.backoff.succeeded(&replica.runner, &load.model);
        if load.source == CacheTier::Remote {
            self.limiter.observe(taken, load.expected, true, now);
        }
    }

    /// Forgets loads of replicas that are no longer decided to load, and orders
    /// of replicas that are gone.
    pub fn retain(
        &mut self,
        loading: impl Fn(&ReplicaKey) -> bool,
        decided: impl Fn(&ReplicaKey) -> bool,
    ) {
        self.loads.retain(|key, _| loading(key));
        self.accepted.retain(|key, _| decided(key));
    }

    /// Notes that a runner refused to stage a checkpoint.
    pub fn staging_refused(&mut self, runner: &RunnerId, model: &ModelName, now: Timestamp) {
        self.stagings.remove(&(runner.clone(), model.clone()));
        self.backoff.failed(runner, model, now);
    }

    /// Learns from what a runner holds: stagings that ended.
    pub fn observe_inventory(&mut self, inventory: &Inventory, now: Timestamp) {
        for item in &inventory.cached {
            let key = (inventory.runner.clone(), item.model.clone());
            let reached = |one: &Transfer| item.tier <= one.target;
            if self.stagings.get(&key).is_some_and(reached) {
                self.end_staging(&key, now);
            }
        }
    }

    fn end_staging(&mut self, key: &(RunnerId, ModelName), now: Timestamp) {
        let Some(staging) = self.stagings.remove(key) else {
            return;
        };
        if staging.source == CacheTier::Remote {
            let taken = now.since(staging.started);
            self.limiter.observe(taken, staging.expected, true, now);
        }
    }

    /// Looks for transfers that take too long: a sign of a slow store. Stagings
    /// that were lost are given up.
    pub fn watch(&mut self, now: Timestamp) {
        let running = self.loads.values().chain(self.stagings.values());
        let remote = running.filter(|one| one.source == CacheTier::Remote);
        for transfer in remote {
            let taken = now.since(transfer.started);
            self.limiter.observe(taken, transfer.expected, false, now);
        }
        self.stagings.retain(|_, one| {
            let patience = Millis(one.expected.0.max(1000) * STAGING_PATIENCE);
            now.since(one.started) < patience
        });
    }

    /// Forgets what is in progress, at the end of leadership; what was learned
    /// about load times stays.
    pub fn clear(&mut self) {
        self.loads.clear();
        self.stagings.clear();
        self.accepted.clear();
    }
}
