//! `GET /admin/v1/overview`: the state of the whole system for operators, as JSON.

use crate::fence::Fence;
use crate::ids::{
    ControllerId, DeploymentName, LogIndex, Revision, RouterId, RunnerId, Term, Zone,
};
use crate::runner_api::MachineState;
use crate::time::Millis;

/// State of the whole system, as one controller sees it.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Overview {
    /// Controller that sent this overview.
    pub controller: ControllerId,
    /// Role of the controller, such as `leader`.
    pub role: String,
    /// Current term of the controller.
    pub term: Term,
    /// The leader, if known.
    pub leader: Option<ControllerId>,
    /// Index of the last log entry that the controller has applied.
    pub applied: LogIndex,
    /// Revision of the configuration at the controller.
    pub revision: Revision,
    /// Fault tolerance of the control group; reported by the leader only.
    #[serde(default)]
    pub control_group: Option<ControlGroupOverview>,
    /// Routers that are subscribed to the controller's feed.
    pub routers: Vec<RouterOverview>,
    /// Runners in the replicated state.
    pub runners: Vec<RunnerOverview>,
    /// Deployments in force.
    pub deployments: Vec<DeploymentOverview>,
}

/// The control group, as its leader sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ControlGroupOverview {
    /// Number of voters.
    pub voters: usize,
    /// Number of voters that recently answered the leader.
    pub live_voters: usize,
    /// Number of live voters that may fail without loss of the quorum.
    pub bearable_losses: usize,
}

/// One router.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RouterOverview {
    /// The router.
    pub router: RouterId,
    /// Its zone.
    pub zone: Zone,
    /// `ip:port` for clients.
    pub http_address: String,
    /// Last revision that the router confirmed.
    pub revision: Revision,
    /// Number of revisions by which the router is stale.
    pub behind: u64,
}

/// One runner.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RunnerOverview {
    /// The runner.
    pub runner: RunnerId,
    /// Its zone.
    pub zone: Zone,
    /// State of its machine.
    pub state: MachineState,
    /// Accelerator memory, in MiB.
    pub memory_mib: u64,
    /// Accelerator memory reserved for placed replicas, in MiB.
    pub reserved_mib: u64,
}

/// Whether a deployment can serve requests without waiting for a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Warmth {
    /// At least one replica is ready.
    Warm,
    /// No replica is ready, and at least one is being loaded.
    Loading,
    /// No replica is ready or being loaded.
    Cold,
}

/// One deployment with the state of its queue.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct DeploymentOverview {
    /// The deployment.
    pub deployment: DeploymentName,
    /// Whether it can serve requests without waiting for a load.
    pub warmth: Warmth,
    /// Replicas with their runners.
    pub replicas: Vec<ReplicaOverview>,
    /// Maximum number of replicas.
    pub max_replicas: u32,
    /// Queued requests of class critical.
    pub waiting_critical: u32,
    /// Queued requests of class interactive.
    pub waiting_interactive: u32,
    /// Queued requests of class batch.
    pub waiting_batch: u32,
    /// Running requests.
    pub running: u32,
    /// Time for which the oldest queued request has waited, in milliseconds.
    pub oldest_wait_ms: Millis,
}

impl DeploymentOverview {
    /// Queued requests of all classes.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.waiting_critical + self.waiting_interactive + self.waiting_batch
    }
}

/// One replica.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ReplicaOverview {
    /// The runner.
    pub runner: RunnerId,
    /// `loading`, `ready` or `withdrawn`.
    pub phase: String,
    /// Fence of the decision that placed the replica.
    pub fence: Fence,
}
