//! What a large fleet costs: real controllers among hollow routers and hollow
//! runners at growing sizes, costs by role and phase, and slopes through them.
//!
//! Invariant: every figure of the table comes from a counter of the run that
//! wrote it; what is computed from slopes says so.

pub mod documents;
pub mod fit;
pub mod measure;
pub mod requests;
pub mod roles;
pub mod site;
pub mod slopes;
pub mod table;
pub mod usage;

use crate::error::LabError;
use courseshunt_state::ReplicaPhase;
use measure::{Cost, counters};
use site::{FleetSize, HollowFleet, wait_until};
use std::time::Duration;

/// Settings of a run.
#[derive(Debug, Clone)]
pub struct CapacitySettings {
    /// The sizes, in the order of the run.
    pub sizes: Vec<FleetSize>,
    /// Length of the idle phase.
    pub idle: Duration,
    /// Changes of configuration at each size.
    pub changes: usize,
    /// Loads at each size; at most the number of models.
    pub loads: usize,
}

/// Pause between demands, so that loads come one by one as on a usual day.
const LOAD_PAUSE: Duration = Duration::from_millis(60);
/// Rest before the idle phase, in which the start's work ends.
const SETTLE: Duration = Duration::from_secs(2);

/// What was measured at one size.
#[derive(Debug, Clone, serde::Serialize)]
pub struct SizeReport {
    /// The size.
    pub size: FleetSize,
    /// All routers sync at once.
    pub sync: Cost,
    /// Nothing changes.
    pub idle: Cost,
    /// Changes of configuration, beyond idle.
    pub changes: Cost,
    /// Their number.
    pub change_count: usize,
    /// Longest time from the acceptance of a change until it was in force at
    /// all routers, in milliseconds.
    pub in_force_ms: f64,
    /// Loads, beyond idle.
    pub loads: Cost,
    /// Their number.
    pub load_count: usize,
}

/// Runs all sizes, one after the other.
///
/// # Errors
/// When a part can't start or is not in time.
pub async fn run(settings: &CapacitySettings) -> Result<Vec<SizeReport>, LabError> {
    let mut reports = Vec::new();
    for size in &settings.sizes {
        eprintln!(
            "capacity: {} controllers, {} routers, {} runners",
            size.controllers, size.routers, size.runners
        );
        reports.push(measure_size(*size, settings).await?);
    }
    Ok(reports)
}

async fn measure_size(
    size: FleetSize,
    settings: &CapacitySettings,
) -> Result<SizeReport, LabError> {
    let mut fleet = HollowFleet::start(size).await?;
    let before = counters(&fleet);
    fleet.start_routers(size.routers).await?;
    let sync = counters(&fleet).cost_since(&before);
    tokio::time::sleep(SETTLE).await;
    let idle = idle_phase(&fleet, settings.idle).await;
    let (changes, in_force) = change_phase(&fleet, settings.changes).await?;
    let loads = load_phase(&fleet, settings.loads).await?;
    fleet.stop().await;
    Ok(SizeReport {
        size,
        sync,
        changes: changes.beyond(&idle),
        change_count: settings.changes,
        in_force_ms: in_force.as_secs_f64() * 1000.0,
        loads: loads.beyond(&idle),
        load_count: settings.loads,
        idle,
    })
}

async fn idle_phase(fleet: &HollowFleet, length: Duration) -> Cost {
    let before = counters(fleet);
    tokio::time::sleep(length).await;
    counters(fleet).cost_since(&before)
}

/// Changes one after the other, each waited for at all routers.
async fn change_phase(fleet: &HollowFleet, changes: usize) -> Result<(Cost, Duration), LabError> {
    let before = counters(fleet);
    let mut longest = Duration::ZERO;
    for number in 0..changes {
        let place = number % documents::MODELS;
        let version = 2 + (number / documents::MODELS) as u64;
        let revision = fleet.apply(&documents::one_change(place, version)?).await?;
        longest = longest.max(fleet.wait_in_force(revision).await?);
    }
    Ok((counters(fleet).cost_since(&before), longest))
}

/// One cold model after the other gets a first request at some router.
async fn load_phase(fleet: &HollowFleet, loads: usize) -> Result<Cost, LabError> {
    let before = counters(fleet);
    for number in 0..loads {
        let router = &fleet.routers[(number * 7) % fleet.routers.len()];
        router.demand(documents::deployment_name(number));
        tokio::time::sleep(LOAD_PAUSE).await;
    }
    let replica = fleet.controllers[fleet.leader()].context().replica.clone();
    let ready = || {
        let state = replica.state();
        let replicas = state.placement.replicas.values();
        replicas
            .filter(|one| one.phase == ReplicaPhase::Ready)
            .count()
            >= loads
    };
    wait_until("all loads are ready", ready).await?;
    Ok(counters(fleet).cost_since(&before))
}
