//! What a planner sees. It holds only what a real controller can know.

use courseshunt_state::ReplicaPhase;
use courseshunt_types::runner_api::{CacheTier, MachineState};
use courseshunt_types::{
    DeploymentDocument, DeploymentName, Fence, Millis, ModelName, RunnerId, Timestamp, Zone,
};
use std::sync::Arc;

/// The whole cluster at one moment.
#[derive(Debug, Clone, Default)]
pub struct ClusterView {
    /// The moment.
    pub now: Timestamp,
    /// Time of day of the moment, in milliseconds since midnight.
    pub time_of_day: Millis,
    /// Runners, ordered by name.
    pub runners: Vec<RunnerView>,
    /// Deployments, ordered by name.
    pub deployments: Vec<DeploymentView>,
    /// The weight store.
    pub store: WeightStoreView,
}

impl ClusterView {
    /// The runner of that name.
    #[must_use]
    pub fn runner(&self, runner: &RunnerId) -> Option<&RunnerView> {
        let place = self
            .runners
            .binary_search_by(|one| one.runner.cmp(runner))
            .ok()?;
        self.runners.get(place)
    }

    /// The deployment of that name.
    #[must_use]
    pub fn deployment(&self, name: &DeploymentName) -> Option<&DeploymentView> {
        let place = self
            .deployments
            .binary_search_by(|one| one.name().cmp(name))
            .ok()?;
        self.deployments.get(place)
    }

    /// Whether the machine of a runner is leaving.
    #[must_use]
    pub fn is_leaving(&self, runner: &RunnerId) -> bool {
        self.runner(runner)
            .is_some_and(|one| one.state == MachineState::Leaving)
    }

    /// Replicas of a deployment that count against its maximum: all but those
    /// on machines that are leaving.
    #[must_use]
    pub fn count_against_limit(&self, deployment: &DeploymentView) -> u32 {
        let staying = deployment
            .replicas
            .iter()
            .filter(|one| !self.is_leaving(&one.runner));
        u32::try_from(staying.count()).unwrap_or(u32::MAX)
    }
}

/// One runner.
#[derive(Debug, Clone)]
pub struct RunnerView {
    /// The runner.
    pub runner: RunnerId,
    /// Its zone.
    pub zone: Zone,
    /// Accelerators in it.
    pub accelerators: u32,
    /// Accelerator memory, in MiB.
    pub memory_mib: u64,
    /// Memory reserved by decisions, in MiB.
    pub reserved_mib: u64,
    /// Host memory for cached checkpoints, in MiB.
    pub host_memory_mib: u64,
    /// Disk for cached checkpoints, in MiB.
    pub disk_mib: u64,
    /// State of its machine.
    pub state: MachineState,
    /// Whether it answered within the last seconds.
    pub reachable: bool,
    /// Cached checkpoints, as last reported.
    pub cached: Vec<CacheView>,
    /// Checkpoints on their way to its cache tiers by a staging order.
    pub staging: Vec<ModelName>,
    /// Models that failed to load here a short while ago.
    pub avoid: Vec<ModelName>,
}

impl RunnerView {
    /// Accelerator memory that no decision has reserved, in MiB.
    #[must_use]
    pub fn free_mib(&self) -> u64 {
        self.memory_mib.saturating_sub(self.reserved_mib)
    }

    /// Whether new replicas may be placed on it.
    #[must_use]
    pub fn accepts_loads(&self) -> bool {
        self.state == MachineState::Live && self.reachable
    }

    /// The fastest tier in which it holds a checkpoint.
    #[must_use]
    pub fn tier_of(&self, model: &ModelName) -> CacheTier {
        let tiers = self.cached.iter().filter(|one| one.model == *model);
        tiers.map(|one| one.tier).min().unwrap_or(CacheTier::Remote)
    }
}

/// One cached checkpoint.
#[derive(Debug, Clone)]
pub struct CacheView {
    /// Base model.
    pub model: ModelName,
    /// Where it lies.
    pub tier: CacheTier,
    /// Size, in MiB.
    pub size_mib: u64,
}

/// One deployment.
#[derive(Debug, Clone)]
pub struct DeploymentView {
    /// The document in force.
    pub document: Arc<DeploymentDocument>,
    /// Demand.
    pub demand: DemandView,
    /// Decided replicas.
    pub replicas: Vec<ReplicaView>,
    /// Load times to expect; without them the document's estimate counts.
    pub load_times: Option<LoadEstimates>,
}

/// Load times to expect from each tier, learned from earlier loads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct LoadEstimates {
    /// From a runner's host memory.
    pub host_memory: Millis,
    /// From a runner's disk.
    pub disk: Millis,
    /// From the weight store, without waiting for its limits.
    pub remote: Millis,
}

impl LoadEstimates {
    /// The estimate for one tier.
    #[must_use]
    pub fn of(&self, tier: CacheTier) -> Millis {
        match tier {
            CacheTier::Accelerator => Millis(0),
            CacheTier::HostMemory => self.host_memory,
            CacheTier::Disk => self.disk,
            CacheTier::Remote => self.remote,
        }
    }
}

impl DeploymentView {
    /// Name of the deployment.
    #[must_use]
    pub fn name(&self) -> &DeploymentName {
        &self.document.name
    }

    /// Load times to expect: the learned ones, or a guess from the document.
    #[must_use]
    pub fn expected_load(&self) -> LoadEstimates {
        self.load_times
            .unwrap_or_else(|| crate::LoadTimes::default().estimates(&self.document))
    }
}

/// Demand for one deployment, summed over all queues.
#[derive(Debug, Clone, Default)]
pub struct DemandView {
    /// Waiting critical requests.
    pub waiting_critical: u32,
    /// Waiting interactive requests.
    pub waiting_interactive: u32,
    /// Waiting batch requests.
    pub waiting_batch: u32,
    /// Granted requests that have not ended.
    pub running: u32,
    /// Earliest deadline of a waiting request.
    pub earliest_deadline: Option<Timestamp>,
    /// When the oldest waiting request arrived.
    pub oldest_arrival: Option<Timestamp>,
    /// Last arrival of any request.
    pub last_arrival: Option<Timestamp>,
}

impl DemandView {
    /// Waiting requests of all classes.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.waiting_critical + self.waiting_interactive + self.waiting_batch
    }
}

/// One decided replica.
#[derive(Debug, Clone)]
pub struct ReplicaView {
    /// Runner that holds it.
    pub runner: RunnerId,
    /// Fence of the latest decision on it.
    pub fence: Fence,
    /// State.
    pub phase: ReplicaPhase,
    /// When the state was entered.
    pub since: Timestamp,
    /// Last moment at which it had a request.
    pub last_used: Timestamp,
    /// Requests running on it.
    pub running: u32,
}

/// The weight store, as the controller's own limiter knows it.
#[derive(Debug, Clone, Default)]
pub struct WeightStoreView {
    /// Loads from the store in progress.
    pub active_loads: u32,
    /// Loads from the store that may run together.
    pub concurrency_limit: u32,
    /// Loads that may start now under the rate limit.
    pub starts_available: u32,
}
