//! Load of the instances that report it, and what it costs the requests of a model to be served
//! there.
//!
//! Invariant: an instance without a load entry costs nothing here, so that instances that report no
//! load are chosen as if this module did not exist.

use super::PlacementEngine;
use super::planning::PlanContext;
use super::round::{ModelState, Round};
use super::value::HORIZON_S;
use super::work::PROMPT_TOKENS_PER_SECOND;
use crate::configuration::Engine;
use courseshunt_engine_model::{EngineLimits, predicted_pause_ms};
use courseshunt_instance_load::{InstanceCondition, InstanceLoad, LoadReport};
use courseshunt_types::{Millis, RunnerId, Timestamp};
use std::collections::HashMap;

/// A report that is older than this says nothing about the requests that run now; those that the
/// routers have in flight there count instead.
const MAX_REPORT_AGE: Millis = Millis(3_000);
/// Weight of the load for a model without requests, in late requests. It decides between targets
/// that are equal otherwise.
const MIN_WEIGHT: f64 = 0.02;
/// Load of an idle instance in these costs, as a fraction of its capacity, so that a slow idle
/// instance costs more than a fast one.
const IDLE_LOAD: f64 = 0.05;
/// Bounds of the slowness that counts, as a ratio of durations: a measured value outside of them
/// is an error of the prediction.
const SLOWNESS_BOUNDS: (f64, f64) = (0.2, 5.0);

/// Time constant of the average of predicted pauses, in milliseconds. Prompts come and go within a
/// second; only pauses that last are a reason to load a model elsewhere.
const PAUSE_TIME_CONSTANT_MS: f64 = 3_000.0;

/// Load entries of instances; see the module.
#[derive(Debug, Default)]
pub(super) struct InstanceLoadTable {
    loads: HashMap<RunnerId, InstanceLoad>,
    received_at: Timestamp,
    pauses: HashMap<RunnerId, AveragePause>,
}

/// Average of the predicted pauses of an instance. It starts at zero, so that a single value says
/// little.
#[derive(Debug, Clone, Copy)]
struct AveragePause {
    pause_ms: f64,
    updated_at: Timestamp,
}

impl AveragePause {
    /// The average after one more value.
    fn with(self, pause_ms: f64, now: Timestamp) -> Self {
        let elapsed_ms = now.since(self.updated_at).0 as f64;
        let kept = (-elapsed_ms / PAUSE_TIME_CONSTANT_MS).exp();
        Self {
            pause_ms: pause_ms + (self.pause_ms - pause_ms) * kept,
            updated_at: now,
        }
    }
}

impl InstanceLoadTable {
    /// The report of an instance, unless it is too old.
    fn fresh_report(&self, load: &InstanceLoad, now: Timestamp) -> Option<LoadReport> {
        let (report, age) = load.report?;
        let age = age + now.since(self.received_at);
        (age <= MAX_REPORT_AGE).then_some(report)
    }

    /// Replaces the predicted pauses of all loads by their averages over time.
    fn average_pauses(&mut self, loads: &mut TargetLoads, now: Timestamp) {
        for (instance, load) in &mut loads.loads {
            if let Some(average) = self.pauses.get_mut(instance) {
                *average = average.with(load.pause_ms, now);
                load.pause_ms = average.pause_ms;
                continue;
            }
            load.pause_ms = 0.0;
            let initial = AveragePause {
                pause_ms: 0.0,
                updated_at: now,
            };
            self.pauses.insert(instance.clone(), initial);
        }
    }

    fn replace(&mut self, loads: Vec<InstanceLoad>, now: Timestamp) {
        let loads = loads.into_iter().map(|one| (one.instance.clone(), one));
        self.loads = loads.collect();
        self.received_at = now;
        let loads = &self.loads;
        self.pauses
            .retain(|instance, _| loads.contains_key(instance));
    }
}

/// Load of an instance that a model may be loaded on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct TargetLoad {
    /// Present load as a fraction of the capacity of the instance.
    present: f64,
    /// Work of the models that it holds or is loading, as a fraction of its throughput.
    expected: f64,
    /// Duration of work relative to the usual one.
    slowness: f64,
    /// Predicted longest pause of the streams there, averaged over time, in milliseconds.
    pause_ms: f64,
}

impl TargetLoad {
    /// The larger of the present load and the expected work, as a fraction of the instance's capacity.
    /// The expected work is not in the present load while a model has just been loaded or has no
    /// requests at the moment.
    fn relevant_load(&self) -> f64 {
        self.present.max(self.expected)
    }

    /// Whether the streams there pause for longer than `allowed`.
    pub(super) fn exceeds_pause(&self, allowed: Millis) -> bool {
        self.pause_ms > allowed.0 as f64
    }

    /// Load in percent of the capacity at the usual speed.
    pub(super) fn utilisation_percent(&self) -> u32 {
        (self.relevant_load() * self.slowness * 100.0) as u32
    }
}

/// Load of all instances with an entry, in one round.
#[derive(Debug, Clone, Default)]
pub(super) struct TargetLoads {
    loads: HashMap<RunnerId, TargetLoad>,
}

impl TargetLoads {
    pub(super) fn get(&self, instance: &RunnerId) -> Option<&TargetLoad> {
        self.loads.get(instance)
    }

    /// Adds the work of a model that is to be loaded on an instance.
    pub(super) fn add_expected(&mut self, instance: &RunnerId, work: f64) {
        if let Some(load) = self.loads.get_mut(instance) {
            load.expected += work;
        }
    }
}

/// Cost of the load of a target for the requests of one model.
#[derive(Debug, Clone, Copy)]
pub(super) struct TargetLoadCost {
    /// Cost at full load, in late requests: the requests of one replica within [`HORIZON_S`]. After
    /// that time another replica may be loaded elsewhere.
    weight: f64,
    /// Work of one replica, as a fraction of an instance's throughput.
    own_work: f64,
}

impl TargetLoadCost {
    /// The cost for one more replica of a model that has `replicas`.
    pub(super) fn of(state: &ModelState, replicas: usize) -> Self {
        let after = (replicas + 1) as f64;
        Self {
            weight: MIN_WEIGHT + state.demand.steady / after * HORIZON_S,
            own_work: state.work_ratio() / after,
        }
    }

    /// The cost at a target, in late requests.
    pub(super) fn at(&self, load: &TargetLoad) -> f64 {
        self.weight * (IDLE_LOAD + load.relevant_load() + self.own_work) * load.slowness
    }
}

impl PlacementEngine {
    /// Replaces the load of all instances that report it.
    pub fn set_instance_loads(&mut self, loads: Vec<InstanceLoad>, now: Timestamp) {
        self.instance_loads.replace(loads, now);
    }

    /// Load of the instances of a service that report it.
    pub(super) fn target_loads(&mut self, round: &Round, context: &PlanContext<'_>) -> TargetLoads {
        let mut loads = TargetLoads::default();
        if self.instance_loads.loads.is_empty() {
            return loads;
        }
        for instance in self.usable_instances(context.service, context.now) {
            if let Some(entry) = self.instance_loads.loads.get(instance.id()) {
                let load = self.target_load(entry, context);
                loads.loads.insert(instance.id().clone(), load);
            }
        }
        self.instance_loads.average_pauses(&mut loads, context.now);
        for (model, instances) in &round.replicas {
            let work = round.work_per_replica(model);
            if work > 0.0 {
                for instance in instances {
                    loads.add_expected(instance, work);
                }
            }
        }
        loads
    }

    fn target_load(&self, entry: &InstanceLoad, context: &PlanContext<'_>) -> TargetLoad {
        let condition = self.condition(entry, context);
        let requests = condition.running.saturating_add(condition.waiting);
        let occupied = f64::from(requests) / f64::from(condition.slots.max(1));
        let prompt_tokens = self.usage.prompt_tokens(&entry.instance);
        let prompt_work = f64::from(prompt_tokens) / PROMPT_TOKENS_PER_SECOND;
        let limits = EngineLimits {
            slots: context.engine.slots,
            kv_capacity_tokens: context.engine.kv_capacity_tokens,
        };
        TargetLoad {
            present: occupied.max(memory_in_use(entry, context.engine)) + prompt_work,
            expected: 0.0,
            slowness: condition.slowness,
            pause_ms: predicted_pause_ms(&condition, prompt_tokens, limits),
        }
    }

    /// Condition of an instance: its report, and at least the requests that the routers have in
    /// flight there.
    fn condition(&self, entry: &InstanceLoad, context: &PlanContext<'_>) -> InstanceCondition {
        let report = self.instance_loads.fresh_report(entry, context.now);
        let waiting = report.map_or(0, |one| one.waiting);
        let in_flight = self.usage.in_flight(&entry.instance);
        let running = report.map_or(0, |one| one.running);
        InstanceCondition {
            running: running.max(in_flight.saturating_sub(waiting)),
            waiting,
            slots: report.map_or(context.engine.slots, |one| one.slots),
            work_factor: report.map_or(1.0, |one| f64::from(one.work_percent) / 100.0),
            slowness: slowness(entry),
            held_tokens: entry.held_tokens,
        }
    }
}

/// Tokens of the requests in flight as a fraction of the memory for them.
fn memory_in_use(entry: &InstanceLoad, engine: &Engine) -> f64 {
    let capacity = engine.kv_capacity_tokens.filter(|capacity| *capacity > 0);
    capacity.map_or(0.0, |capacity| {
        f64::from(entry.held_tokens) / f64::from(capacity)
    })
}

/// Duration of work relative to the usual one; 1 without measurements. The cost of a target does not
/// count the present work factor, which changes many times a second: a replica stays for longer.
fn slowness(entry: &InstanceLoad) -> f64 {
    let (least, most) = SLOWNESS_BOUNDS;
    let measured = entry.slowness_permille.map(|one| f64::from(one) / 1_000.0);
    measured.map_or(1.0, |one| one.clamp(least, most))
}
