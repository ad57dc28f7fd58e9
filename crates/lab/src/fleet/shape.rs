//! The size of a fleet and its documents, from a scenario file.

use courseshunt_standin::model::{RunnerModelSettings, StoreModelSettings};
use courseshunt_standin::scenario::{ModelFamily, RunnerPool, Scenario};
use courseshunt_state::{ChangeRequest, TenantDocument};
use courseshunt_types::{
    AdapterDocument, DeploymentDocument, Digest, Incarnation, Millis, TenantName, Version,
};

/// Bearer token of the fleet's callers.
pub const TENANT_TOKEN: &str = "fleet-tenant-token";
const TENANT: &str = "fleet";
/// Loads, the platform's list and its notice run this much faster than in the
/// scenario, so that a run of seconds sees many of them.
pub const LOAD_SPEEDUP: f64 = 16.0;
/// Nodes of one kind at the most (their IP numbers have a range each).
const MAX_CONTROLLERS: u32 = 8;
const MAX_ROUTERS: u32 = 30;
const MAX_RUNNERS: u32 = 120;

/// A fleet to start.
#[derive(Debug, Clone)]
pub struct FleetShape {
    /// Name of the scenario.
    pub name: String,
    /// Zones, used in turn by each kind of node.
    pub zones: Vec<String>,
    /// Voting controllers.
    pub controllers: u8,
    /// Routers.
    pub routers: u8,
    /// Runners, numbered from 1.
    pub runners: Vec<RunnerModelSettings>,
    /// The weight store.
    pub store: StoreModelSettings,
    /// How far the platform's list lags behind.
    pub list_lag: Millis,
    /// Notice before a machine is taken away.
    pub reclaim_notice: Millis,
    /// All deployments.
    pub deployments: Vec<DeploymentDocument>,
}

impl FleetShape {
    /// The fleet of a scenario, its runners, routers, models and adapters
    /// multiplied by `scale`.
    #[must_use]
    pub fn of(scenario: &Scenario, scale: f64) -> Self {
        let scaled = |count: u32| ((f64::from(count) * scale).round() as u32).max(1);
        let routers = scaled(scenario.control.routers).clamp(2, MAX_ROUTERS);
        let controllers = scenario.control.voters.clamp(1, MAX_CONTROLLERS);
        let deployments = scenario
            .family
            .iter()
            .flat_map(|family| family_documents(family, scaled(family.count), scale));
        Self {
            name: scenario.name.clone(),
            zones: scenario.zones.clone(),
            controllers: controllers as u8,
            routers: routers as u8,
            runners: runners(scenario, scaled),
            store: StoreModelSettings {
                transfer_mib_per_second: scenario.store.transfer_mib_per_second * LOAD_SPEEDUP,
                ..scenario.store
            },
            list_lag: sped_up(scenario.platform.list_lag_ms),
            reclaim_notice: sped_up(scenario.platform.reclaim_notice_ms),
            deployments: deployments.collect(),
        }
    }

    /// Zone of the n-th node of a kind, from 1.
    #[must_use]
    pub fn zone(&self, number: u8) -> &str {
        let zones = self.zones.len().max(1);
        let zone = self.zones.get(usize::from(number - 1) % zones);
        zone.map_or("default", String::as_str)
    }

    /// The first change: the tenant and all deployments.
    #[must_use]
    pub fn first_change(&self) -> ChangeRequest {
        let tenant = TenantDocument {
            name: TENANT.into(),
            version: Version(1),
            token_digests: vec![Digest::of(TENANT_TOKEN.as_bytes())],
        };
        ChangeRequest {
            change_id: "fleet-first".into(),
            deployments: self.deployments.clone(),
            tenants: vec![tenant],
            ..ChangeRequest::default()
        }
    }
}

fn sped_up(length: Millis) -> Millis {
    Millis((length.0 as f64 / LOAD_SPEEDUP) as u64)
}

fn runners(scenario: &Scenario, scaled: impl Fn(u32) -> u32) -> Vec<RunnerModelSettings> {
    let pools = scenario.runner_pool.iter();
    let pools = pools.flat_map(|pool| std::iter::repeat_n(pool, scaled(pool.count) as usize));
    let numbered = pools.take(MAX_RUNNERS as usize).enumerate();
    let zones = &scenario.zones;
    numbered
        .map(|(position, pool)| {
            let zone = zones.get(position % zones.len().max(1));
            let zone = zone.map_or("default", String::as_str);
            runner(pool, position + 1, zone)
        })
        .collect()
}

fn runner(pool: &RunnerPool, number: usize, zone: &str) -> RunnerModelSettings {
    let name = format!("runner-{number}");
    RunnerModelSettings {
        incarnation: Incarnation(1),
        accelerators: pool.accelerators,
        host_memory_mib: pool.host_memory_mib,
        disk_mib: pool.disk_mib,
        host_mib_per_second: pool.host_mib_per_second * LOAD_SPEEDUP,
        disk_mib_per_second: pool.disk_mib_per_second * LOAD_SPEEDUP,
        timing: pool.timing,
        ..RunnerModelSettings::named(&name, zone, pool.memory_mib)
    }
}

fn family_documents(family: &ModelFamily, count: u32, scale: f64) -> Vec<DeploymentDocument> {
    let adapters = (f64::from(family.adapters) * scale).round() as u32;
    let document = |number: u32| {
        let name = format!("{}-{}", family.name, number + 1);
        DeploymentDocument {
            name: name.as_str().into(),
            version: Version(1),
            model: name.as_str().into(),
            tenant: TenantName::from(TENANT),
            shared_with: Vec::new(),
            adapters: adapters_of(family, number, count, adapters),
            memory_mib: memory(family, number, count),
            checkpoint_mib: 0,
            min_replicas: 0,
            max_replicas: family.max_replicas,
            slots_per_replica: family.slots,
            load_estimate_ms: Millis::from_secs(2),
            limits: family.limits,
            tenant_rate_per_second: 0.0,
            weights: family.weights,
            batch_window_ms: Millis(0),
        }
    };
    (0..count).map(document).collect()
}

/// Memory grows evenly from the smallest to the largest model.
fn memory(family: &ModelFamily, number: u32, count: u32) -> u64 {
    let span = family.memory_mib_max.saturating_sub(family.memory_mib_min);
    let steps = u64::from(count.saturating_sub(1).max(1));
    family.memory_mib_min + span * u64::from(number) / steps
}

/// Adapters are dealt out in turn.
fn adapters_of(family: &ModelFamily, number: u32, count: u32, total: u32) -> Vec<AdapterDocument> {
    let mine = (0..total).filter(|adapter| adapter % count == number);
    let adapters = mine.map(|adapter| AdapterDocument {
        name: format!("adapter-{adapter}").as_str().into(),
        version: Version(1),
        memory_mib: family.adapter_mib,
    });
    adapters.collect()
}
