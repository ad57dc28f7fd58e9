//! Builds the planner's view from the replicated state, the runners' inventories and the
//! routers' demand, in time linear in runners, replicas and deployments.

use super::SchedulerState;
use super::loads::LoadTracker;
use super::runner_table::RunnerTable;
use super::usage::{Moment, ReplicaUsage};
use crate::demand::DemandTracker;
use courseshunt_placement::{
    CacheView, ClusterView, DemandView, DeploymentView, ReplicaView, RunnerView,
};
use courseshunt_state::{ReplicaPhase, ReplicatedState, RunnerRecord, StoredDeployment};
use courseshunt_types::runner_api::CacheTier;
use courseshunt_types::{Millis, ModelName, ReplicaKey, RunnerId, Timestamp, UnixMillis};
use std::sync::Arc;

/// Length of a day, in milliseconds.
const DAY_MS: u64 = 24 * 3600 * 1000;

/// The planner's view at `moment`.
#[must_use]
pub fn cluster_view(
    state: &ReplicatedState,
    scheduler: &SchedulerState,
    demand: &DemandTracker,
    moment: Moment,
) -> ClusterView {
    let mut loads = scheduler.loads();
    let mut usage = scheduler.usage();
    adopt(state, &scheduler.runners, &mut loads, moment);
    usage.retain(|key| state.placement.replicas.contains_key(key));
    let runners = state.placement.runners.values();
    let runners = runners.map(|record| runner_view(state, scheduler, &loads, record, moment.now));
    let runners = runners.collect();
    let deployments = state.configuration.deployments.values();
    let deployments = deployments.map(|stored| {
        let demand = demand.view(&stored.document.name);
        let replicas = replica_views(
            state,
            &scheduler.runners,
            &mut usage,
            stored,
            &demand,
            moment,
        );
        DeploymentView {
            document: Arc::new(stored.document.clone()),
            demand,
            replicas,
            load_times: Some(loads.times().estimates(&stored.document)),
        }
    });
    ClusterView {
        now: moment.now,
        time_of_day: Millis(moment.wall.0 % DAY_MS),
        runners,
        deployments: deployments.collect(),
        store: loads.store_view(moment.now),
    }
}

/// `now` with the current time of the wall clock.
#[must_use]
pub fn present(now: Timestamp) -> Moment {
    Moment {
        now,
        wall: UnixMillis::now(),
    }
}

/// Adopts the loads in the log that this leader did not decide, and drops those that ended.
fn adopt(state: &ReplicatedState, runners: &RunnerTable, loads: &mut LoadTracker, moment: Moment) {
    let replicas = &state.placement.replicas;
    let is_loading = |key: &ReplicaKey| {
        let record = replicas.get(key);
        record.is_some_and(|record| record.phase == ReplicaPhase::Loading)
    };
    loads.retain(is_loading, |key| replicas.contains_key(key));
    for record in replicas.values() {
        let stored = state
            .configuration
            .deployments
            .get(&record.replica.deployment);
        if let Some(stored) = stored {
            let source = tier_on(runners, &record.replica.runner, &stored.document.model);
            loads.adopt(record, &stored.document, source, moment);
        }
    }
    loads.watch(moment.now);
}

fn tier_on(runners: &RunnerTable, runner: &RunnerId, model: &ModelName) -> CacheTier {
    let observation = runners.get(runner);
    let cached = observation
        .iter()
        .flat_map(|observation| &observation.inventory.cached);
    let tiers = cached.filter(|item| item.model == *model);
    tiers
        .map(|item| item.tier)
        .min()
        .unwrap_or(CacheTier::Remote)
}

fn runner_view(
    state: &ReplicatedState,
    scheduler: &SchedulerState,
    loads: &LoadTracker,
    record: &RunnerRecord,
    now: Timestamp,
) -> RunnerView {
    let observation = scheduler.runners.get(&record.runner);
    let reachable = observation
        .as_ref()
        .is_some_and(|observation| observation.is_fresh(now));
    let inventory = observation
        .as_ref()
        .map(|observation| &observation.inventory);
    let host_memory_mib = inventory.map_or(0, |one| one.host_memory_mib);
    let disk_mib = inventory.map_or(0, |one| one.disk_mib);
    let mut staging = loads.staging_on(&record.runner);
    staging.extend(inventory.iter().flat_map(|one| one.staging.clone()));
    staging.sort();
    staging.dedup();
    let cached = inventory.iter().flat_map(|one| &one.cached);
    let cached = cached.map(|item| CacheView {
        model: item.model.clone(),
        tier: item.tier,
        size_mib: item.size_mib,
    });
    RunnerView {
        runner: record.runner.clone(),
        zone: record.zone.clone(),
        accelerators: record.accelerators,
        memory_mib: record.memory_mib,
        reserved_mib: state.placement.reserved_mib(&record.runner),
        host_memory_mib,
        disk_mib,
        state: record.state,
        reachable,
        cached: cached.collect(),
        staging,
        avoid: loads.avoided(&record.runner, now),
    }
}

fn replica_views(
    state: &ReplicatedState,
    runners: &RunnerTable,
    usage: &mut ReplicaUsage,
    stored: &StoredDeployment,
    demand: &DemandView,
    moment: Moment,
) -> Vec<ReplicaView> {
    let name = &stored.document.name;
    let only = state.placement.count(name) == 1;
    let arrival = match demand.running {
        0 => demand.last_arrival,
        _ => Some(moment.now),
    };
    let records = state.placement.of_deployment(name);
    let views = records.map(|record| {
        let observation = runners.get(&record.replica.runner);
        let running = observation.map_or(0, |observation| observation.running(name));
        let running = if only {
            running.max(demand.running)
        } else {
            running
        };
        usage.observe(record, running, arrival.filter(|_| only), moment)
    });
    views.collect()
}
