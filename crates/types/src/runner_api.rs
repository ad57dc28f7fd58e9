//! Bodies of the runner's control interface (`/control/...`), as JSON.
//!
//! Runners are external systems; this is the published protocol that they implement.

use crate::fence::Fence;
use crate::ids::{
    AdapterName, Attempt, DeploymentName, Incarnation, ModelName, RequestId, RunnerId, Zone,
};
use crate::time::Millis;

/// Header with the id of a request, sent to a runner and returned in its response.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the attempt number, sent to a runner and returned in its response.
pub const ATTEMPT_HEADER: &str = "x-attempt";
/// Header with the priority class, sent to a runner.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header by which a runner reports that a refused request was not started.
pub const NOT_STARTED_HEADER: &str = "x-not-started";
/// Response header with the runner's current load.
pub const RUNNER_LOAD_HEADER: &str = "x-runner-load";

/// Path of one execution at a runner. `GET` with `?from=N` returns its response again, a stream
/// from token N on; 404 means that the runner has no record of the execution. `GET` with `/status`
/// returns its phase. `DELETE` cancels it; an execution that has not started by then never starts.
#[must_use]
pub fn execution_path(request: &RequestId, attempt: Attempt) -> String {
    format!("/v1/executions/{request}/{attempt}")
}

/// Reply to `GET /v1/executions/REQUEST/ATTEMPT/status` and to `DELETE`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ExecutionStatus {
    /// Incarnation of the runner: only the process that received a request can prove
    /// that it did not start.
    pub incarnation: Incarnation,
    /// Progress of the execution.
    pub phase: ExecutionPhase,
}

/// Progress of an execution at its runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionPhase {
    /// The runner has not started it; after a `DELETE` it never will.
    NotStarted,
    /// It is queued or running in the engine.
    Running,
    /// Its response is complete.
    Finished,
    /// It was cancelled before it was complete.
    Cancelled,
}

/// Storage tier of a checkpoint. The variants are ordered from the fastest to load to the slowest.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum CacheTier {
    /// Loaded in accelerator memory.
    Accelerator,
    /// In the runner's host memory.
    HostMemory,
    /// On the runner's disk.
    Disk,
    /// Only in the weight store.
    Remote,
}

/// `POST /control/orders`: a fenced order.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct OrderRequest {
    /// Fence of the order; the runner refuses the order when it has received a higher fence for the
    /// deployment.
    pub fence: Fence,
    /// Deployment that the order concerns.
    pub deployment: DeploymentName,
    /// Incarnation of the runner that the order is for. Any other incarnation refuses it, because
    /// a restarted runner has lost the fences of the previous one. `None` is for any incarnation.
    #[serde(default)]
    pub incarnation: Option<Incarnation>,
    /// Action to perform.
    pub action: OrderAction,
}

/// Action that an order requests.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum OrderAction {
    /// Load the base model and these adapters into accelerator memory.
    Load {
        /// Base model.
        model: ModelName,
        /// Checkpoint size, in MiB.
        checkpoint_mib: u64,
        /// Accelerator memory used, in MiB, adapters included.
        memory_mib: u64,
        /// Maximum number of concurrent requests.
        slots: u32,
        /// Adapters to attach.
        adapters: Vec<AdapterName>,
    },
    /// Finish running requests, then free the memory.
    Unload,
    /// Copy the checkpoint to a cache tier; uses no accelerator memory.
    Stage {
        /// Base model.
        model: ModelName,
        /// Checkpoint size, in MiB.
        checkpoint_mib: u64,
        /// Target tier, host memory or disk.
        tier: CacheTier,
    },
}

/// Response to an accepted order.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct OrderReply {
    /// Incarnation of the runner that accepted the order.
    pub incarnation: Incarnation,
}

/// Reason for which a runner refused an order.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum OrderRejection {
    /// The runner has received a higher fence for the deployment.
    StaleFence {
        /// Highest fence received for the deployment.
        highest: Fence,
    },
    /// The order is for another incarnation of the runner.
    OtherIncarnation {
        /// Current incarnation of the runner.
        present: Incarnation,
    },
    /// The free accelerator memory is insufficient.
    OutOfMemory {
        /// Free accelerator memory, in MiB.
        free_mib: u64,
    },
    /// The runner is draining and loads nothing new.
    Draining,
    /// The order can't be parsed or can't be carried out by this runner.
    Invalid {
        /// Human-readable description of the problem.
        message: String,
    },
}

/// State of one deployment on a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadPhase {
    /// The checkpoint is being loaded.
    Loading,
    /// The deployment serves requests.
    Ready,
    /// Running requests finish; new ones are refused.
    Unloading,
}

/// One deployment on a runner.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct InventoryItem {
    /// The deployment.
    pub deployment: DeploymentName,
    /// Base model.
    pub model: ModelName,
    /// Fence of the order that loaded it.
    pub fence: Fence,
    /// State of the load.
    pub phase: LoadPhase,
    /// Accelerator memory used, in MiB.
    pub memory_mib: u64,
    /// Estimated time until the load is complete, in milliseconds.
    pub remaining_ms: Millis,
}

/// A cached checkpoint on a runner.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CacheItem {
    /// Base model.
    pub model: ModelName,
    /// Tier that holds it.
    pub tier: CacheTier,
    /// Size, in MiB.
    pub size_mib: u64,
}

/// `GET /control/inventory`: deployments and checkpoints that a runner currently holds.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Inventory {
    /// The runner.
    pub runner: RunnerId,
    /// Its incarnation; a new one holds no deployments of the previous one.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: Zone,
    /// Number of accelerators in the runner.
    pub accelerators: u32,
    /// Accelerator memory, in MiB.
    pub memory_mib: u64,
    /// Host memory for cached checkpoints, in MiB.
    pub host_memory_mib: u64,
    /// Disk for cached checkpoints, in MiB.
    pub disk_mib: u64,
    /// Whether the runner is draining and accepts no new work.
    pub draining: bool,
    /// Deployments that are in accelerator memory or being loaded into it.
    pub deployments: Vec<InventoryItem>,
    /// Checkpoints in the cache tiers.
    pub cached: Vec<CacheItem>,
    /// Models whose checkpoints are being copied to a cache tier by a staging order.
    #[serde(default)]
    pub staging: Vec<ModelName>,
}

/// Load of one deployment on a runner.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct DeploymentLoad {
    /// The deployment.
    pub deployment: DeploymentName,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued in the engine.
    pub waiting: u32,
}

/// `GET /control/load`: a runner's load, which may be stale.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// The runner.
    pub runner: RunnerId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Whether the runner is draining.
    pub draining: bool,
    /// Load of each deployment.
    pub deployments: Vec<DeploymentLoad>,
}

/// `GET /control/events?after=N`: one change of the prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event; a gap means that events were lost.
    pub sequence: u64,
    /// Deployment whose prefix cache changed.
    pub deployment: DeploymentName,
    /// Hash of the prompt block and all blocks before it.
    pub block_hash: u64,
    /// Whether the block was stored; otherwise it was evicted.
    pub stored: bool,
}

/// One machine of the platform's list (`GET /machines`), which may be stale.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct MachineItem {
    /// Runner on the machine.
    pub runner: RunnerId,
    /// `ip:port` of its HTTP interface.
    pub address: String,
    /// Its zone.
    pub zone: Zone,
    /// State of the machine.
    pub state: MachineState,
}

/// State of a machine in the platform's list.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// In service.
    Live,
    /// Scheduled for removal.
    Leaving,
    /// Removed; nothing runs on it any more.
    Gone,
}
