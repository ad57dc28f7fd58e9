//! Bodies of the runner's control interface (`/control/...`), as JSON.
//!
//! Runners are outside systems; this is the published protocol they serve.

use crate::fence::Fence;
use crate::ids::{
    AdapterName, Attempt, DeploymentName, Incarnation, ModelName, RequestId, RunnerId, Zone,
};
use crate::time::Millis;

/// Header that carries the request's identity to a runner and back.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header that carries the attempt number to a runner and back.
pub const ATTEMPT_HEADER: &str = "x-attempt";
/// Header that carries the priority class to a runner.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header by which a runner says that a refused request did not start.
pub const NOT_STARTED_HEADER: &str = "x-not-started";
/// Header in which an answer carries the runner's present load.
pub const RUNNER_LOAD_HEADER: &str = "x-runner-load";

/// Path of one execution at a runner. `GET` with `?from=N` gives its answer
/// again, a stream from token N on; 404 says that the runner knows nothing of
/// it. `GET` with `/status` tells its phase. `DELETE` ends it; one that had not
/// started never will.
#[must_use]
pub fn execution_path(request: &RequestId, attempt: Attempt) -> String {
    format!("/v1/executions/{request}/{attempt}")
}

/// Reply to `GET /v1/executions/REQUEST/ATTEMPT/status` and to `DELETE`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ExecutionStatus {
    /// The runner's incarnation: only the process that got a request can prove
    /// that it did not start.
    pub incarnation: Incarnation,
    /// How far it has come.
    pub phase: ExecutionPhase,
}

/// How far an execution has come at its runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionPhase {
    /// The runner never started it; after a `DELETE` it never will.
    NotStarted,
    /// It waits or runs in the engine.
    Running,
    /// All of its answer is there.
    Finished,
    /// It was ended early.
    Cancelled,
}

/// Where a checkpoint lies; a lower tier loads faster.
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
    /// Refused when lower than the highest seen for this deployment.
    pub fence: Fence,
    /// The deployment that the order is about.
    pub deployment: DeploymentName,
    /// Incarnation that the order is meant for; another one refuses it, because
    /// it has forgotten the fences of the former. `None` is for any.
    #[serde(default)]
    pub incarnation: Option<Incarnation>,
    /// What to do.
    pub action: OrderAction,
}

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum OrderAction {
    /// Load the base model and these adapters into accelerator memory.
    Load {
        /// Base model.
        model: ModelName,
        /// Checkpoint size, in MiB.
        checkpoint_mib: u64,
        /// Accelerator memory taken, in MiB, adapters included.
        memory_mib: u64,
        /// Requests run together at the most.
        slots: u32,
        /// Adapters to attach.
        adapters: Vec<AdapterName>,
    },
    /// Finish running requests, then free the memory.
    Unload,
    /// Copy the checkpoint to a cache tier; takes no accelerator memory.
    Stage {
        /// Base model.
        model: ModelName,
        /// Checkpoint size, in MiB.
        checkpoint_mib: u64,
        /// Target: host memory or disk.
        tier: CacheTier,
    },
}

/// Answer to an accepted order.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct OrderReply {
    /// The runner's incarnation.
    pub incarnation: Incarnation,
}

/// Why a runner refused an order.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum OrderRejection {
    /// A higher fence was seen for this deployment.
    StaleFence {
        /// The highest fence seen.
        highest: Fence,
    },
    /// The order is meant for another incarnation of the runner.
    OtherIncarnation {
        /// The present one.
        present: Incarnation,
    },
    /// The accelerator memory does not suffice.
    OutOfMemory {
        /// Free accelerator memory, in MiB.
        free_mib: u64,
    },
    /// The runner is draining and loads nothing new.
    Draining,
    /// The order can't be read or does not fit the runner.
    Invalid {
        /// What is wrong.
        message: String,
    },
}

/// State of one deployment on a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadPhase {
    /// The checkpoint is on its way.
    Loading,
    /// Requests are served.
    Ready,
    /// Running requests finish; no new ones are taken.
    Unloading,
}

/// One deployment on a runner.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct InventoryItem {
    /// The deployment.
    pub deployment: DeploymentName,
    /// Base model.
    pub model: ModelName,
    /// Fence of the order that started it.
    pub fence: Fence,
    /// State.
    pub phase: LoadPhase,
    /// Accelerator memory taken, in MiB.
    pub memory_mib: u64,
    /// Estimated rest of the load, in milliseconds.
    pub remaining_ms: Millis,
}

/// A cached checkpoint on a runner.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CacheItem {
    /// Base model.
    pub model: ModelName,
    /// Where it lies.
    pub tier: CacheTier,
    /// Size, in MiB.
    pub size_mib: u64,
}

/// `GET /control/inventory`: what a runner holds right now.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Inventory {
    /// The runner.
    pub runner: RunnerId,
    /// Its incarnation; a new one holds nothing of the old.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: Zone,
    /// Accelerators in the runner.
    pub accelerators: u32,
    /// Accelerator memory, in MiB.
    pub memory_mib: u64,
    /// Host memory for cached checkpoints, in MiB.
    pub host_memory_mib: u64,
    /// Disk for cached checkpoints, in MiB.
    pub disk_mib: u64,
    /// Whether the runner is leaving and takes no new work.
    pub draining: bool,
    /// Deployments in accelerator memory or on the way there.
    pub deployments: Vec<InventoryItem>,
    /// Checkpoints in the cache tiers.
    pub cached: Vec<CacheItem>,
    /// Checkpoints on their way to a cache tier by a staging order.
    #[serde(default)]
    pub staging: Vec<ModelName>,
}

/// Load of one deployment on a runner.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct DeploymentLoad {
    /// The deployment.
    pub deployment: DeploymentName,
    /// Requests running.
    pub running: u32,
    /// Requests waiting in the engine.
    pub waiting: u32,
}

/// `GET /control/load`: a runner's load, which may lag.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// The runner.
    pub runner: RunnerId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Whether the runner is leaving.
    pub draining: bool,
    /// Load by deployment.
    pub deployments: Vec<DeploymentLoad>,
}

/// `GET /control/events?after=N`: one change of the prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CacheEvent {
    /// Number of the event; gaps mean lost events.
    pub sequence: u64,
    /// Deployment whose prefix cache changed.
    pub deployment: DeploymentName,
    /// Hash of the prompt block (with all blocks before it).
    pub block_hash: u64,
    /// Whether the block was stored (or else evicted).
    pub stored: bool,
}

/// One machine of the platform's list (`GET /machines`), which lags.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct MachineItem {
    /// The runner on the machine.
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
    /// Will be taken away.
    Leaving,
    /// Taken away; nothing runs there any more.
    Gone,
}
