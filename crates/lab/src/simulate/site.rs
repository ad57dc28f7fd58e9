//! The site of a scenario: deployments, runners, routers and their zones.

use courseshunt_standin::model::RunnerModelSettings;
use courseshunt_standin::scenario::{ModelFamily, RunnerPool, Scenario};
use courseshunt_types::{
    AdapterDocument, DeploymentDocument, Incarnation, Millis, RouterId, Version, Zone,
};
use std::sync::Arc;

/// Spreads sizes evenly between their bounds without any order (golden ratio).
const SPREAD: f64 = 0.618_033_988_749_895;
/// Tenant that owns all deployments of a scenario.
pub const TENANT: &str = "site";

/// One deployment.
#[derive(Debug, Clone)]
pub struct SiteDeployment {
    /// Position of its family in the scenario.
    pub family: usize,
    /// Its document.
    pub document: Arc<DeploymentDocument>,
}

/// One router.
#[derive(Debug, Clone)]
pub struct SiteRouter {
    /// Name.
    pub router: RouterId,
    /// Zone.
    pub zone: Zone,
}

/// The deployments of a scenario, ordered by name.
#[must_use]
pub fn deployments(scenario: &Scenario) -> Vec<SiteDeployment> {
    let mut all = Vec::new();
    for (family, settings) in scenario.family.iter().enumerate() {
        for number in 0..settings.count {
            let document = Arc::new(document(scenario, settings, number));
            all.push(SiteDeployment { family, document });
        }
    }
    all.sort_by(|one, other| one.document.name.cmp(&other.document.name));
    all
}

fn document(scenario: &Scenario, family: &ModelFamily, number: u32) -> DeploymentDocument {
    let place = (f64::from(number + 1) * SPREAD).fract();
    let span = family.memory_mib_max.saturating_sub(family.memory_mib_min) as f64;
    let memory_mib = family.memory_mib_min + (span * place) as u64;
    let copy_s = memory_mib as f64 / scenario.store.transfer_mib_per_second;
    let name = format!("{}-{:02}", family.name, number + 1);
    DeploymentDocument {
        name: name.as_str().into(),
        version: Version(1),
        model: format!("{name}-base").into(),
        tenant: TENANT.into(),
        shared_with: Vec::new(),
        adapters: adapters(family, number),
        memory_mib,
        checkpoint_mib: memory_mib,
        min_replicas: 0,
        max_replicas: family.max_replicas,
        slots_per_replica: family.slots,
        load_estimate_ms: Millis((copy_s * 1000.0).ceil() as u64),
        limits: family.limits,
        tenant_rate_per_second: 0.0,
        weights: family.weights,
        batch_window_ms: family.batch_window_ms,
    }
}

/// The family's adapters are dealt out in turn.
fn adapters(family: &ModelFamily, number: u32) -> Vec<AdapterDocument> {
    let mine = (0..family.adapters).filter(|one| one % family.count.max(1) == number);
    mine.map(|one| AdapterDocument {
        name: format!("adapter-{:03}", one + 1).into(),
        version: Version(1),
        memory_mib: family.adapter_mib,
    })
    .collect()
}

/// The runners of a scenario.
#[must_use]
pub fn runners(scenario: &Scenario) -> Vec<RunnerModelSettings> {
    let mut all = Vec::new();
    for pool in &scenario.runner_pool {
        for number in 0..pool.count {
            let zone = zone(scenario, all.len());
            all.push(runner(pool, number, zone));
        }
    }
    all
}

fn runner(pool: &RunnerPool, number: u32, zone: Zone) -> RunnerModelSettings {
    let name = format!("{}-{:03}", pool.name, number + 1);
    RunnerModelSettings {
        incarnation: Incarnation(1),
        zone,
        accelerators: pool.accelerators,
        host_memory_mib: pool.host_memory_mib,
        disk_mib: pool.disk_mib,
        host_mib_per_second: pool.host_mib_per_second,
        disk_mib_per_second: pool.disk_mib_per_second,
        engine_start_ms: pool.engine_start_ms,
        every_token: false,
        timing: pool.timing,
        ..RunnerModelSettings::named(&name, "", pool.memory_mib)
    }
}

/// The routers of a scenario.
#[must_use]
pub fn routers(scenario: &Scenario) -> Vec<SiteRouter> {
    let numbers = 0..scenario.control.routers.max(1);
    let routers = numbers.map(|number| SiteRouter {
        router: format!("router-{:03}", number + 1).into(),
        zone: zone(scenario, number as usize),
    });
    routers.collect()
}

fn zone(scenario: &Scenario, number: usize) -> Zone {
    let zones = &scenario.zones;
    let name = zones.get(number % zones.len().max(1));
    name.map_or("default", String::as_str).into()
}
