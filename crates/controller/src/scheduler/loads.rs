//! Tracks loads and stagings in progress: their use of the weight store, their durations and
//! their failures. Pure.
//!
//! Invariant: each load from the weight store consumes one start of the rate limit and, while
//! it runs, one slot of the concurrency limit. A load adopted after a failover occupies a slot,
//! too.

use super::usage::Moment;
use courseshunt_placement::{LoadBackoff, LoadTimes, StoreLimiter, WeightStoreView};
use courseshunt_state::{ReplicaPhase, ReplicaRecord};
use courseshunt_types::runner_api::{CacheTier, Inventory};
use courseshunt_types::{
    DeploymentDocument, Fence, Millis, ModelName, ReplicaKey, RunnerId, Timestamp,
};
use std::collections::BTreeMap;

/// A staging that runs this many times longer than its estimate is dropped as lost.
const STAGING_TIMEOUT_FACTOR: u64 = 10;

/// Loads and stagings in progress, the limiter of the weight store and learned load times.
#[derive(Debug)]
pub struct LoadTracker {
    limiter: StoreLimiter,
    times: LoadTimes,
    backoff: LoadBackoff,
    loads: BTreeMap<ReplicaKey, Transfer>,
    stagings: BTreeMap<(RunnerId, ModelName), Transfer>,
    accepted: BTreeMap<ReplicaKey, AcceptedOrder>,
}

/// Transfer of a checkpoint to a runner's cache tier or accelerators.
#[derive(Debug, Clone)]
struct Transfer {
    model: ModelName,
    source: CacheTier,
    target: CacheTier,
    size_mib: u64,
    expected: Millis,
    started: Timestamp,
}

/// A load order that a runner accepted.
#[derive(Debug, Clone, Copy)]
struct AcceptedOrder {
    fence: Fence,
    at: Timestamp,
}

impl LoadTracker {
    /// Creates a tracker without transfers. `starts_per_second` and `concurrency` limit the loads
    /// from the weight store.
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

    /// Whether the limiter currently classifies the weight store as slow.
    #[must_use]
    pub fn store_is_slow(&self) -> bool {
        self.limiter.is_slow()
    }

    /// Models that are in load backoff on a runner.
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

    /// State of the weight store according to its limiter.
    pub fn store_view(&mut self, now: Timestamp) -> WeightStoreView {
        let transfers = self.loads.values().chain(self.stagings.values());
        let active = transfers.filter(|one| one.source == CacheTier::Remote);
        WeightStoreView {
            active_loads: u32::try_from(active.count()).unwrap_or(u32::MAX),
            concurrency_limit: self.limiter.concurrency(),
            starts_available: self.limiter.starts_available(now),
        }
    }

    /// Records a decided load from `source`.
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

    /// Records an ordered staging.
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

    /// Adopts a load that a previous leader decided.
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

    /// Records that a runner accepted the load order of a replica.
    pub fn order_accepted(&mut self, replica: &ReplicaKey, fence: Fence, at: Timestamp) {
        let accepted = AcceptedOrder { fence, at };
        self.accepted.insert(replica.clone(), accepted);
    }

    /// Whether a runner accepted the load order under this fence before `moment`,
    /// so that an inventory requested at `moment` must contain the replica.
    #[must_use]
    pub fn was_accepted(&self, replica: &ReplicaKey, fence: Fence, moment: Timestamp) -> bool {
        let accepted = self.accepted.get(replica);
        accepted.is_some_and(|one| one.fence == fence && one.at < moment)
    }

    /// Records that a load failed or was rejected, and starts a backoff.
    pub fn failed(&mut self, replica: &ReplicaKey, model: &ModelName, now: Timestamp) {
        self.loads.remove(replica);
        self.backoff.failed(&replica.runner, model, now);
    }

    /// Records that a load finished; updates load times, backoff and limiter.
    pub fn finished(&mut self, replica: &ReplicaKey, now: Timestamp) {
        let Some(load) = self.loads.remove(replica) else {
            return;
        };
        let duration = now.since(load.started);
        self.times
            .record(&load.model, load.source, load.size_mib, duration);
        self.backoff.succeeded(&replica.runner, &load.model);
        if load.source == CacheTier::Remote {
            self.limiter.observe(duration, load.expected, true, now);
        }
    }

    /// Drops loads of replicas that are no longer in the loading phase, and accepted orders of
    /// replicas that no longer exist.
    pub fn retain(
        &mut self,
        loading: impl Fn(&ReplicaKey) -> bool,
        decided: impl Fn(&ReplicaKey) -> bool,
    ) {
        self.loads.retain(|key, _| loading(key));
        self.accepted.retain(|key, _| decided(key));
    }

    /// Records that a runner rejected a staging, and starts a backoff.
    pub fn staging_refused(&mut self, runner: &RunnerId, model: &ModelName, now: Timestamp) {
        self.stagings.remove(&(runner.clone(), model.clone()));
        self.backoff.failed(runner, model, now);
    }

    /// Finishes the stagings whose checkpoints the inventory shows in the target tier.
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
            let duration = now.since(staging.started);
            self.limiter.observe(duration, staging.expected, true, now);
        }
    }

    /// Reports running transfers to the limiter, which detects a slow store by overdue ones, and
    /// drops stagings that count as lost.
    pub fn watch(&mut self, now: Timestamp) {
        let running = self.loads.values().chain(self.stagings.values());
        let remote = running.filter(|one| one.source == CacheTier::Remote);
        for transfer in remote {
            let elapsed = now.since(transfer.started);
            self.limiter.observe(elapsed, transfer.expected, false, now);
        }
        self.stagings.retain(|_, one| {
            let timeout = Millis(one.expected.0.max(1000) * STAGING_TIMEOUT_FACTOR);
            now.since(one.started) < timeout
        });
    }

    /// Removes all transfers in progress, at the end of the leadership. Learned load times stay.
    pub fn clear(&mut self) {
        self.loads.clear();
        self.stagings.clear();
        self.accepted.clear();
    }
}
