//! The product's policy: keeps, pre-loads, evicts and stages by expected cost.
//!
//! Everything it reads reached a real controller: calls, queues, inventories,
//! the learned load times and its own decisions. Each plan
//! 1. loads what waits, the most urgent first, where that costs least;
//! 2. loads gathered batch work whose window has ended;
//! 3. loads ahead what is about to be called;
//! 4. unloads what costs more idle than its next cold start would;
//! 5. stages checkpoints into host memory and onto disks.

mod cost;
mod forecast;
mod history;
mod period;
mod room;
mod staging;
mod window;

pub use forecast::Forecast;
pub use history::{CallHistory, HazardTable};
pub use period::{DueTime, Period, PeriodDetector};

use crate::decision::{Decision, DecisionKind};
use crate::policy::{DemandEvent, PlacementPolicy};
use crate::view::{ClusterView, DeploymentView, ReplicaView, RunnerView};
use cost::{idle_cost, wait_cost};
use courseshunt_state::ReplicaPhase;
use courseshunt_types::runner_api::CacheTier;
use courseshunt_types::{DeploymentName, Millis, PriorityClass, RunnerId, Timestamp};
use room::{Place, Reach, Rooms};
use staging::Stager;
use std::collections::BTreeMap;

/// A replica stays this long after its last use in any case: the calls of one
/// burst come a little apart.
const SHORTEST_KEEP: Millis = Millis::from_secs(20);
/// Time between two looks at what is idle.
const REVIEW_INTERVAL: Millis = Millis::from_secs(15);
/// Time between two looks at the cache tiers.
const STAGING_INTERVAL: Millis = Millis::from_secs(10);
/// A pre-load must be worth this many times its idle cost, so that nothing is
/// loaded and unloaded in turn.
const PRELOAD_FACTOR: f64 = 1.5;
/// Pre-loads begin this long before the load must.
const PRELOAD_MARGIN: Millis = Millis::from_secs(3);
/// A pre-load lasts this long at least before its worth is judged.
const PRELOAD_TRIAL: Millis = Millis::from_secs(60);
/// Waiting requests for each slot of the ready replicas that are worth another.
const QUEUE_FOR_EACH_SLOT: u32 = 2;
/// An assignment of a runner to a load is held this long while memory is freed.
const ASSIGNMENT_TIME: Millis = Millis::from_secs(30);

/// See the module.
#[derive(Debug, Default)]
pub struct Adaptive {
    forecast: Forecast,
    /// Runners on which memory is being freed for a load.
    assigned: BTreeMap<DeploymentName, Assignment>,
    staged_at: Option<Timestamp>,
    stager: Stager,
}

#[derive(Debug, Clone)]
struct Assignment {
    runner: RunnerId,
    until: Timestamp,
}

impl PlacementPolicy for Adaptive {
    fn name(&self) -> &'static str {
        "adaptive"
    }

    fn observe(&mut self, event: &DemandEvent) {
        let DemandEvent::Arrived {
            deployment,
            class,
            at,
            ..
        } = event;
        if *class != PriorityClass::Batch {
            self.forecast.call(deployment, *at);
        }
    }

    fn plan(&mut self, view: &ClusterView) -> Vec<Decision> {
        for deployment in &view.deployments {
            self.forecast.know(deployment.name(), view.now);
        }
        self.assigned.retain(|_, one| one.until > view.now);
        let mut rooms = Rooms::of(view, &self.forecast);
        let mut decisions = Vec::new();
        for (deployment, reason) in wanted(view) {
            decisions.extend(self.load(view, &mut rooms, deployment, Reach::Busy, reason));
        }
        decisions.extend(self.preload(view, &mut rooms));
        decisions.extend(self.unload_idle(view));
        decisions.extend(self.stage(view));
        decisions
    }

    fn next_wake(&self, view: &ClusterView) -> Option<Timestamp> {
        let windows = view.deployments.iter();
        let windows = windows.filter(|one| one.replicas.is_empty());
        let windows = windows.filter_map(|one| window::load_at(one, view.now));
        let due = view
            .deployments
            .iter()
            .filter_map(|one| self.preload_at(one, view.now));
        let soonest = windows.chain(due).filter(|at| *at > view.now).min();
        let review = view.now + REVIEW_INTERVAL;
        Some(soonest.map_or(review, |at| at.min(review)))
    }

    fn explain(&self, view: &ClusterView, name: &DeploymentName) -> Vec<String> {
        let Some(deployment) = view.deployment(name) else {
            return Vec::new();
        };
        self.thoughts(view, deployment)
    }
}

/// Deployments that need a replica now, the most urgent first, with the reason.
fn wanted(view: &ClusterView) -> Vec<(&DeploymentView, &'static str)> {
    let mut wanted: Vec<(&DeploymentView, &'static str)> = view
        .deployments
        .iter()
        .filter_map(|one| Some((one, need(one, view.now)?)))
        .collect();
    wanted.sort_by_key(|(one, _)| {
        let demand = &one.demand;
        let class = (
            demand.waiting_critical == 0,
            demand.waiting_interactive == 0,
        );
        (class, demand.earliest_deadline, one.name().clone())
    });
    wanted
}

fn need(deployment: &DeploymentView, now: Timestamp) -> Option<&'static str> {
    let demand = &deployment.demand;
    let urgent = demand.waiting_critical + demand.waiting_interactive;
    let serving = count(deployment, |one| one.phase == ReplicaPhase::Ready);
    let coming = count(deployment, |one| one.phase == ReplicaPhase::Loading);
    if serving + coming < deployment.document.min_replicas {
        return Some("the deployment asks for this many replicas at least");
    }
    if serving + coming == 0 {
        if urgent > 0 {
            return Some("requests wait and no replica is loaded");
        }
        let due = window::load_at(deployment, now);
        return due
            .filter(|at| *at <= now)
            .map(|_| "the window of the gathered batch work has ended");
    }
    let slots = deployment.document.slots_per_replica;
    let queued = urgent > serving * slots * QUEUE_FOR_EACH_SLOT;
    (coming == 0 && queued).then_some("the queue is long for the replicas that serve")
}

fn count(deployment: &DeploymentView, which: impl Fn(&ReplicaView) -> bool) -> u32 {
    let replicas = deployment.replicas.iter().filter(|one| which(one));
    u32::try_from(replicas.count()).unwrap_or(u32::MAX)
}

impl Adaptive {
    /// Loads a replica, or makes room for it first.
    fn load(
        &mut self,
        view: &ClusterView,
        rooms: &mut Rooms<'_>,
        deployment: &DeploymentView,
        reach: Reach,
        reason: &str,
    ) -> Vec<Decision> {
        let name = deployment.name();
        let assigned = self.assigned.get(name).map(|one| one.runner.clone());
        let place = assigned
            .and_then(|runner| rooms.on(deployment, &runner, reach))
            .or_else(|| rooms.best(deployment, reach));
        let Some(place) = place else {
            return Vec::new();
        };
        rooms.take(deployment, &place);
        if place.waits {
            let assignment = Assignment {
                runner: place.runner.clone(),
                until: view.now + ASSIGNMENT_TIME,
            };
            self.assigned.entry(name.clone()).or_insert(assignment);
            return evictions(&place, name);
        }
        self.assigned.remove(name);
        let kind = DecisionKind::Load {
            deployment: name.clone(),
            runner: place.runner.clone(),
        };
        let reason = format!("{reason}; about {} ms from {:?}", place.delay.0, place.tier);
        vec![Decision { kind, reason }]
    }

    /// Loads ahead what is worth more than it costs idle.
    fn preload(&mut self, view: &ClusterView, rooms: &mut Rooms<'_>) -> Vec<Decision> {
        let mut candidates: Vec<(f64, &DeploymentView, bool)> = view
            .deployments
            .iter()
            .filter(|one| one.replicas.is_empty() && one.demand.waiting() == 0)
            .filter_map(|one| self.preload_worth(view, one))
            .collect();
        candidates.sort_by(|one, other| other.0.total_cmp(&one.0));
        let mut decisions = Vec::new();
        for (worth, deployment, due) in candidates {
            let reach = if due { Reach::Idle } else { Reach::Free };
            let Some(place) = rooms.best(deployment, reach) else {
                continue;
            };
            let Some(runner) = view.runner(&place.runner) else {
                continue;
            };
            let costs = idle_cost(deployment, runner) * PRELOAD_FACTOR;
            let remote = place.tier == CacheTier::Remote;
            if !due && (worth < costs || remote)
                || due && place.loss > wait_cost(deployment, place.delay)
            {
                continue;
            }
            let reason = match due {
                true => "its next call is due",
                false => "its next cold start would cost more than its idle time",
            };
            decisions.extend(self.load(view, rooms, deployment, reach, reason));
        }
        decisions
    }

    /// What a second of readiness saves, and whether a call is due.
    fn preload_worth<'a>(
        &self,
        view: &ClusterView,
        deployment: &'a DeploymentView,
    ) -> Option<(f64, &'a DeploymentView, bool)> {
        let name = deployment.name();
        let due = self.preload_at(deployment, view.now);
        let due = due.is_some_and(|at| at <= view.now);
        let hazard = self.forecast.hazard(name, view.now);
        let best = view
            .runners
            .iter()
            .map(|one| one.tier_of(&deployment.document.model))
            .min()?;
        let saved = wait_cost(deployment, deployment.expected_load().of(best));
        Some((hazard * saved, deployment, due))
    }

    /// When to begin the load for the next due time.
    fn preload_at(&self, deployment: &DeploymentView, now: Timestamp) -> Option<Timestamp> {
        if !deployment.replicas.is_empty() {
            return None;
        }
        let due = self.forecast.next_due(deployment.name(), now)?;
        let times = deployment.expected_load();
        Some(due - Millis(times.disk.0 + PRELOAD_MARGIN.0))
    }

    /// Unloads idle replicas that cost more than they are worth.
    fn unload_idle(&self, view: &ClusterView) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for deployment in &view.deployments {
            let ready = count(deployment, |one| one.phase == ReplicaPhase::Ready);
            if deployment.demand.waiting() > 0 || ready <= deployment.document.min_replicas {
                continue;
            }
            for replica in &deployment.replicas {
                let Some(runner) = view.runner(&replica.runner) else {
                    continue;
                };
                if self.is_worthless(view, deployment, replica, runner, ready) {
                    decisions.push(unload(
                        deployment.name(),
                        &replica.runner,
                        "its idle time costs more than its next cold start",
                    ));
                }
            }
        }
        decisions
    }

    fn is_worthless(
        &self,
        view: &ClusterView,
        deployment: &DeploymentView,
        replica: &ReplicaView,
        runner: &RunnerView,
        ready: u32,
    ) -> bool {
        let idle = replica.phase == ReplicaPhase::Ready && replica.running == 0;
        if !idle || ready == 1 && deployment.demand.running > 0 {
            return false;
        }
        let used = replica.last_used.max(replica.since);
        let call = self.forecast.last_call(deployment.name());
        let used = used.max(call.filter(|_| ready == 1).unwrap_or_default());
        let short = view.now.since(used) < SHORTEST_KEEP;
        let trial =
            view.now.since(replica.since) < PRELOAD_TRIAL && replica.last_used <= replica.since;
        if short || trial {
            return false;
        }
        let soon = self.forecast.next_due(deployment.name(), view.now);
        let reload = deployment
            .expected_load()
            .of(runner.tier_of(&deployment.document.model));
        if ready == 1 && soon.is_some_and(|at| at.since(view.now) < Millis(reload.0 * 3)) {
            return false;
        }
        let hazard = self.forecast.hazard(deployment.name(), view.now) / f64::from(ready.max(1));
        hazard * wait_cost(deployment, reload) < idle_cost(deployment, runner)
    }

    fn stage(&mut self, view: &ClusterView) -> Vec<Decision> {
        let due = self
            .staged_at
            .is_none_or(|at| view.now.since(at) >= STAGING_INTERVAL);
        if !due {
            return Vec::new();
        }
        self.staged_at = Some(view.now);
        self.stager.stage(view, &self.forecast)
    }

    fn thoughts(&self, view: &ClusterView, deployment: &DeploymentView) -> Vec<String> {
        let (name, now) = (deployment.name(), view.now);
        let mut thoughts = vec![format!(
            "expected: {:.2} calls an hour now, {:.2} sessions an hour in the mean",
            self.forecast.hazard(name, now) * 3600.0,
            self.forecast.mean_rate(name, now) * 3600.0
        )];
        if let Some(interval) = self.forecast.interval(name) {
            thoughts.push(format!("called about every {} s", interval.0 / 1000));
        }
        if let Some(due) = self.forecast.next_due(name, now) {
            thoughts.push(format!("next due in {} s", due.since(now).0 / 1000));
        }
        if let Some(at) = window::load_at(deployment, now) {
            let left = at.since(now).0 / 1000;
            thoughts.push(format!("batch work is gathered for another {left} s"));
        }
        if let Some(one) = self.assigned.get(name) {
            thoughts.push(format!("waits for memory to be freed on {}", one.runner));
        }
        thoughts
    }
}

fn evictions(place: &Place, wanted: &DeploymentName) -> Vec<Decision> {
    let reason = format!("cheapest to lose; {wanted} wants its memory");
    let victims = place.victims.iter();
    victims
        .map(|victim| unload(victim, &place.runner, &reason))
        .collect()
}

fn unload(deployment: &DeploymentName, runner: &RunnerId, reason: &str) -> Decision {
    Decision {
        kind: DecisionKind::Unload {
            deployment: deployment.clone(),
            runner: runner.clone(),
        },
        reason: reason.to_owned(),
    }
}
