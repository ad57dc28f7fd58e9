//! How fast a change of the configuration is in force at all routers, and what
//! that costs: real controllers on sockets, hollow routers with the real link.
//!
//! Times of one run compare with each other; the machine decides the rest.

mod fleet;
mod table;

pub use table::render;

use crate::capacity::documents::{one_change, whole_configuration};
use crate::error::LabError;
use courseshunt_types::Revision;
use courseshunt_wire::traffic;
use fleet::Fleet;
use hdrhistogram::Histogram;
use std::time::Duration;
use tokio::time::Instant;

/// Significant digits of recorded times.
const DIGITS: u8 = 3;
/// Time for the news of the start to reach all routers.
const SETTLE_PHASE: Duration = Duration::from_secs(1);
/// Length of the phase without changes.
const IDLE_PHASE: Duration = Duration::from_secs(3);

/// What is run.
#[derive(Debug, Clone)]
pub struct PropagateSettings {
    /// Voting controllers.
    pub controllers: usize,
    /// Numbers of hollow routers, one run each.
    pub routers: Vec<usize>,
    /// Changes in each run.
    pub changes: usize,
}

/// What one run gave.
#[derive(Debug, Clone)]
pub struct PropagateReport {
    /// Hollow routers.
    pub routers: usize,
    /// From the operator's call to its answer, in microseconds.
    pub accepted: Histogram<u64>,
    /// From the operator's call until in force everywhere, in microseconds.
    pub in_force: Histogram<u64>,
    /// Bytes to one router for one change.
    pub bytes_per_change: u64,
    /// Bytes to and from one router in one second without changes.
    pub idle_bytes_per_second: u64,
    /// From the restart of all routers at once until all are synced.
    pub restart_sync: Duration,
    /// Bytes of configuration to one router in the restart.
    pub bytes_per_sync: u64,
}

/// Runs all sizes, one after the other.
///
/// # Errors
/// When a part can't start or something is not in time.
pub async fn run(settings: &PropagateSettings) -> Result<Vec<PropagateReport>, LabError> {
    let mut reports = Vec::new();
    for routers in &settings.routers {
        reports.push(run_size(settings, *routers).await?);
    }
    Ok(reports)
}

async fn run_size(
    settings: &PropagateSettings,
    routers: usize,
) -> Result<PropagateReport, LabError> {
    let mut fleet = Fleet::start(settings.controllers).await?;
    let whole = fleet.admin().apply(&whole_configuration()?).await?;
    fleet.start_routers(routers);
    fleet.wait_in_force(whole).await?;
    let idle_bytes_per_second = idle(routers).await;
    let mut report = PropagateReport {
        routers,
        accepted: histogram()?,
        in_force: histogram()?,
        bytes_per_change: 0,
        idle_bytes_per_second,
        restart_sync: Duration::ZERO,
        bytes_per_sync: 0,
    };
    let before = configuration_bytes();
    for number in 0..settings.changes {
        change(&fleet, number, &mut report).await?;
    }
    let sent = configuration_bytes() - before;
    report.bytes_per_change = sent / (routers * settings.changes.max(1)) as u64;
    let newest = Revision(whole.0 + settings.changes as u64);
    restart(&mut fleet, routers, newest, &mut report).await?;
    fleet.stop().await;
    Ok(report)
}

fn histogram() -> Result<Histogram<u64>, LabError> {
    Histogram::new(DIGITS).map_err(|error| LabError::violation(error.to_string()))
}

async fn change(
    fleet: &Fleet,
    number: usize,
    report: &mut PropagateReport,
) -> Result<(), LabError> {
    let change = one_change(number, 2)?;
    let started = Instant::now();
    let revision = fleet.admin().apply(&change).await?;
    record(&mut report.accepted, started)?;
    fleet.wait_in_force(revision).await?;
    record(&mut report.in_force, started)?;
    Ok(())
}

fn record(times: &mut Histogram<u64>, started: Instant) -> Result<(), LabError> {
    let micros = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
    let recorded = times.record(micros);
    recorded.map_err(|error| LabError::violation(error.to_string()))
}

async fn idle(routers: usize) -> u64 {
    tokio::time::sleep(SETTLE_PHASE).await;
    let before = all_bytes();
    tokio::time::sleep(IDLE_PHASE).await;
    let passed = all_bytes() - before;
    passed / (routers as u64 * IDLE_PHASE.as_secs()).max(1)
}

async fn restart(
    fleet: &mut Fleet,
    routers: usize,
    newest: Revision,
    report: &mut PropagateReport,
) -> Result<(), LabError> {
    let before = configuration_bytes();
    let started = Instant::now();
    fleet.restart_routers(routers);
    fleet.wait_in_force(newest).await?;
    report.restart_sync = started.elapsed();
    report.bytes_per_sync = (configuration_bytes() - before) / routers.max(1) as u64;
    Ok(())
}

/// Bytes of configuration that this process has sent.
fn configuration_bytes() -> u64 {
    let kinds = traffic().into_iter();
    let sent = kinds.filter(|one| one.kind == "configuration");
    sent.map(|one| one.sent.bytes).sum()
}

/// Bytes that routers and controllers have sent to each other.
fn all_bytes() -> u64 {
    let between_controllers = ["consensus", "forward"];
    let kinds = traffic().into_iter();
    let wanted = kinds.filter(|one| !between_controllers.contains(&one.kind));
    wanted.map(|one| one.sent.bytes).sum()
}
