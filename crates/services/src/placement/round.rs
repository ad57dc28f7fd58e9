//! Snapshot that one planning round is based on, computed once: the locations of replicas and
//! adapters, how soon each model could be reloaded, and the value of its replicas.
//!
//! Cost: proportional to the instances and to the models of the service.

use super::PlacementEngine;
use super::demand::{DemandSummary, WaitingRequests};
use super::evictions::EvictionEffect;
use super::instance_load::TargetLoads;
use super::pauses::{KEPT_REPLICA_COST, PauseNeed};
use super::value::{absence_cost, missing_replica_cost, waiting_value};
use super::work::{MIN_SCALING_RATE, replicas_for, work_ratio};
use crate::configuration::{Engine, ModelSpecification};
use courseshunt_types::{Millis, ModelName, RunnerId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// A replica is surplus when the others would stay below this fraction of the utilisation at which
/// one is added.
pub(super) const SURPLUS_UTILISATION_RATIO: f64 = 0.6;
/// Fraction of a model's answers that may be late before it gets another replica.
const LATE_ANSWER_RATIO: f64 = 0.35;
/// Cost of evicting a replica that is not needed, in late requests.
const SURPLUS_EVICTION_COST: f64 = 0.001;
/// Cost of evicting a model that requests wait for, in late requests.
const WAITING_EVICTION_COST: f64 = 1e6;

/// State of one model in this round.
#[derive(Debug, Clone, Default)]
pub(super) struct ModelState {
    pub(super) demand: DemandSummary,
    /// Replicas that the current demand needs, at least one.
    pub(super) desired: usize,
    /// Number of replicas above which a replica is surplus. It is at least `desired`, so that a
    /// demand that varies a little causes no loads or evictions.
    surplus_threshold: usize,
    /// What it needs because its streams pause.
    pub(super) pauses: PauseNeed,
    /// Whether requests would be late if the model had to be reloaded first.
    pub(super) urgent: bool,
    /// Whether requests wait for it.
    pub(super) has_waiting_requests: bool,
    /// Requests that wait for it or for an adapter of it.
    pub(super) waiting: u32,
    /// Instances that have its weights cached on disk.
    disks_with_weights: u32,
    /// Time of a load from an instance's own disk, and from the weight store.
    disk_load_time: Millis,
    store_load_time: Millis,
}

impl ModelState {
    /// Time of a reload when no replica is loaded and `gone` of the disks that have the weights do
    /// not count.
    fn reload_time(&self, gone: u32) -> Millis {
        match self.disks_with_weights > gone {
            true => self.disk_load_time,
            false => self.store_load_time,
        }
    }

    /// Work of all its requests, as a fraction of an instance's throughput.
    pub(super) fn work_ratio(&self) -> f64 {
        work_ratio(self.demand.steady, self.demand.steady_tokens)
    }

    /// Value of one of `count` replicas that are all needed, in late requests.
    fn value_of_one_of(&self, count: usize) -> f64 {
        (self.demand.fast / count as f64).max(self.pauses.value)
    }
}

/// Snapshot of one service; see the module.
#[derive(Debug, Clone, Default)]
pub(super) struct Round {
    /// Instances with a replica of each model, including those that are loading it or are reserved
    /// for it.
    pub(super) replicas: BTreeMap<ModelName, Vec<RunnerId>>,
    /// Adapters that some instance holds, by model.
    pub(super) adapters: BTreeMap<ModelName, BTreeSet<String>>,
    models: BTreeMap<ModelName, ModelState>,
    /// Models of which a replica is being loaded or has a reserved instance.
    pending: BTreeSet<ModelName>,
    /// Whether demand has been reported for long enough to identify surplus replicas.
    has_demand_history: bool,
    /// Load of the instances that have a load entry.
    pub(super) target_loads: TargetLoads,
    /// Longest pause that all routes to the service allow a stream.
    pub(super) longest_pause: Option<Millis>,
}

impl Round {
    /// Creates the snapshot of a service.
    pub(super) fn new(
        placement: &PlacementEngine,
        service: &str,
        engine: &Engine,
        waiting: &[WaitingRequests],
        now: Timestamp,
    ) -> Self {
        let mut round = Self {
            has_demand_history: placement.has_demand_history(now),
            ..Self::default()
        };
        let utilisation = placement.settings.replica_utilisation;
        let store = placement.stores.get(service);
        let store_delay = |one: &ModelSpecification| {
            store.map_or(Millis(0), |store| store.delay(one.load_time, 0, now))
        };
        for specification in engine.models.values() {
            let name = specification.name.as_str();
            let demand = placement.demand.summary(service, name, now);
            let mut state = model_state(demand, specification, utilisation);
            state.store_load_time = specification.load_time + store_delay(specification);
            round.models.insert(specification.name.clone(), state);
        }
        round.set_waiting(waiting);
        for instance in placement.usable_instances(service, now) {
            let held = instance.held().map(|(name, _)| name);
            let pending = instance
                .loading()
                .into_iter()
                .chain(instance.reserved_for());
            round.pending.extend(pending.clone().cloned());
            for name in held.chain(pending) {
                round.record_replica(name, instance.id());
            }
            for name in instance.models_cached_on_disk() {
                if let Some(state) = round.models.get_mut(name) {
                    state.disks_with_weights += 1;
                }
            }
            for (model, adapter) in instance.all_adapters() {
                round.record_adapter(model, adapter);
            }
        }
        for state in round.models.values_mut() {
            let reload_time = state.reload_time(0);
            let objective = state.demand.objective;
            state.urgent = objective.is_some_and(|objective| objective < reload_time);
        }
        round.scale_for_late_answers();
        round.scale_for_rate_limits(&placement.limits);
        round
    }

    /// Replaces the waiting requests.
    pub(super) fn set_waiting(&mut self, waiting: &[WaitingRequests]) {
        for state in self.models.values_mut() {
            state.has_waiting_requests = false;
            state.waiting = 0;
        }
        for one in waiting {
            let model = ModelName::from(one.key.model.as_str());
            if let Some(state) = self.models.get_mut(&model) {
                state.has_waiting_requests = true;
                state.waiting += one.count;
            }
        }
    }

    /// Drops the replicas of a model for which `is_present` is false.
    pub(super) fn retain_replicas(
        &mut self,
        model: &ModelName,
        is_present: impl Fn(&RunnerId) -> bool,
    ) {
        if let Some(instances) = self.replicas.get_mut(model) {
            instances.retain(is_present);
        }
    }

    /// A model whose answers are late needs one more replica than it has, whatever its measured
    /// work suggests, unless one is being loaded.
    fn scale_for_late_answers(&mut self) {
        let replicas = &self.replicas;
        for (name, state) in &mut self.models {
            let demand = &state.demand;
            let is_late =
                demand.fast >= MIN_SCALING_RATE && demand.late > demand.fast * LATE_ANSWER_RATIO;
            if !is_late {
                continue;
            }
            let count = replicas.get(name).map_or(0, Vec::len);
            let additional = usize::from(!self.pending.contains(name));
            state.desired = state.desired.max(count + additional);
            state.surplus_threshold = state.surplus_threshold.max(count);
        }
    }

    /// A model needs one more replica if all its replicas are on instances with a rate limit and
    /// these limits add up to less than its demand, unless one is being loaded.
    fn scale_for_rate_limits(&mut self, limits: &BTreeMap<RunnerId, f64>) {
        if limits.is_empty() {
            return;
        }
        for (name, state) in &mut self.models {
            let instances = self.replicas.get(name).map_or(&[][..], Vec::as_slice);
            let capacity: Option<f64> = instances.iter().map(|one| limits.get(one)).sum();
            let is_short = capacity.is_some_and(|capacity| state.demand.fast > capacity);
            if instances.is_empty() || !is_short || state.demand.fast < MIN_SCALING_RATE {
                continue;
            }
            let additional = usize::from(!self.pending.contains(name));
            state.desired = state.desired.max(instances.len() + additional);
            state.surplus_threshold = state.surplus_threshold.max(instances.len());
        }
    }

    /// Records a replica on the instance that is being visited. Instances are visited one after the
    /// other, so only the last entry can be a duplicate; a search through all entries would take
    /// quadratic time.
    fn record_replica(&mut self, model: &ModelName, instance: &RunnerId) {
        let Some(instances) = self.replicas.get_mut(model) else {
            self.replicas.insert(model.clone(), vec![instance.clone()]);
            return;
        };
        if instances.last() != Some(instance) {
            instances.push(instance.clone());
        }
    }

    fn record_adapter(&mut self, model: &ModelName, adapter: &str) {
        let Some(adapters) = self.adapters.get_mut(model) else {
            let adapters = BTreeSet::from([adapter.to_owned()]);
            self.adapters.insert(model.clone(), adapters);
            return;
        };
        if !adapters.contains(adapter) {
            adapters.insert(adapter.to_owned());
        }
    }

    pub(super) fn add_replica(&mut self, model: &ModelName, instance: &RunnerId) {
        let instances = self.replicas.entry(model.clone()).or_default();
        if !instances.contains(instance) {
            instances.push(instance.clone());
            let work = self.work_per_replica(model);
            self.target_loads.add_expected(instance, work);
        }
    }

    pub(super) fn remove_replica(&mut self, model: &ModelName, instance: &RunnerId) {
        if let Some(instances) = self.replicas.get_mut(model) {
            instances.retain(|one| one != instance);
        }
    }

    /// Replicas of a model.
    pub(super) fn replica_count(&self, model: &ModelName) -> usize {
        self.replicas.get(model).map_or(0, Vec::len)
    }

    /// Work of one replica of a model, as a fraction of an instance's throughput.
    pub(super) fn work_per_replica(&self, model: &ModelName) -> f64 {
        let work = self.models.get(model).map_or(0.0, ModelState::work_ratio);
        work / self.replica_count(model).max(1) as f64
    }

    /// Whether a replica of a model is being loaded or has a reserved instance.
    pub(super) fn is_pending(&self, model: &ModelName) -> bool {
        self.pending.contains(model)
    }

    pub(super) fn state_mut(&mut self, model: &ModelName) -> Option<&mut ModelState> {
        self.models.get_mut(model)
    }

    /// State of a model.
    pub(super) fn state(&self, model: &ModelName) -> ModelState {
        self.models.get(model).cloned().unwrap_or_default()
    }

    /// Models that were requested and have fewer replicas than they need, with the value of one
    /// more.
    pub(super) fn under_replicated(&self) -> Vec<(f64, ModelName)> {
        let counted = self.models.iter().map(|(name, state)| {
            let count = self.replica_count(name);
            (name, state, count)
        });
        let under_replicated =
            counted.filter(|(_, state, count)| *count > 0 && state.desired > *count);
        let under_replicated = under_replicated.map(|(name, state, count)| {
            let value = state.value_of_one_of(count + 1);
            (value, name.clone())
        });
        under_replicated.collect()
    }

    /// Value of a load that has been started or reserved: zero for a replica that is no longer
    /// needed.
    pub(super) fn load_value(&self, model: &ModelName) -> f64 {
        self.replica_value(model, self.replica_count(model).max(1))
    }

    /// Value of one more replica.
    pub(super) fn next_load_value(&self, model: &ModelName) -> f64 {
        self.replica_value(model, self.replica_count(model) + 1)
    }

    fn replica_value(&self, model: &ModelName, count: usize) -> f64 {
        let state = self.state(model);
        match count {
            1 if state.has_waiting_requests => {
                waiting_value(state.waiting) + cost_of_absence(&state)
            }
            1 => cost_of_absence(&state),
            _ if state.desired >= count => state.value_of_one_of(count),
            _ => 0.0,
        }
    }

    /// Whether some instance has the weights of the model cached on disk.
    pub(super) fn is_cached_on_any_disk(&self, model: &ModelName) -> bool {
        self.models
            .get(model)
            .is_some_and(|state| state.disks_with_weights > 0)
    }

    /// Models without a replica that no request waits for, with the value of their first one.
    pub(super) fn without_replica(&self) -> Vec<(f64, ModelName)> {
        let absent = self.models.iter();
        let absent = absent
            .filter(|(name, state)| !state.has_waiting_requests && self.replica_count(name) == 0);
        let absent = absent.map(|(name, state)| (cost_of_absence(state), name.clone()));
        absent.collect()
    }

    /// Cost of the eviction of a model: low if it can be reloaded soon.
    pub(super) fn eviction_effect(&self, one: &ModelSpecification) -> EvictionEffect {
        let state = self.models.get(&one.name);
        let count = self.replica_count(&one.name).max(1);
        let cost =
            |from_cache| state.map_or(0.0, |state| self.eviction_cost(state, count, from_cache));
        EvictionEffect {
            cost_from_store: cost(false),
            cost_from_cache: cost(true),
            has_demand: state.is_some_and(|state| state.demand.objective.is_some()),
        }
    }

    fn eviction_cost(&self, state: &ModelState, count: usize, from_cache: bool) -> f64 {
        if state.has_waiting_requests {
            return WAITING_EVICTION_COST;
        }
        let demand = &state.demand;
        let has_demand = demand.objective.is_some();
        if has_demand && self.has_demand_history && count > state.surplus_threshold {
            let cost = SURPLUS_EVICTION_COST + demand.slow / count as f64 * 0.01;
            return match state.pauses.keeps_replicas() {
                true => cost.max(KEPT_REPLICA_COST),
                false => cost,
            };
        }
        let reload_time = match from_cache {
            true => state.disk_load_time,
            false => state.reload_time(0),
        };
        match count {
            1 => absence_cost(demand, reload_time),
            _ => missing_replica_cost(demand, count, reload_time),
        }
    }
}

fn model_state(
    demand: DemandSummary,
    specification: &ModelSpecification,
    utilisation: f64,
) -> ModelState {
    let desired = replicas_for(demand.fast, demand.tokens, utilisation);
    let steady = replicas_for(
        demand.steady / SURPLUS_UTILISATION_RATIO,
        demand.steady_tokens,
        utilisation * SURPLUS_UTILISATION_RATIO,
    );
    ModelState {
        desired,
        surplus_threshold: desired.max(steady),
        demand,
        disk_load_time: specification.disk_load_time,
        store_load_time: specification.load_time,
        ..ModelState::default()
    }
}

/// Cost of the absence of a model.
fn cost_of_absence(state: &ModelState) -> f64 {
    absence_cost(&state.demand, state.reload_time(0))
}
