//! `GET /admin/v1/overview`: a person's view of the whole, as JSON.

use crate::fence::Fence;
use crate::ids::{
    ControllerId, DeploymentName, LogIndex, Revision, RouterId, RunnerId, Term, Zone,
};
use crate::runner_api::MachineState;
use crate::time::Millis;

/// The whole, as one controller sees it.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Overview {
    /// The controller that answers.
    pub controller: ControllerId,
    /// Its role, such as `leader`.
    pub role: String,
    /// Its term.
    pub term: Term,
    /// The leader, if known.
    pub leader: Option<ControllerId>,
    /// Last log entry applied here.
    pub applied: LogIndex,
    /// Revision of the configuration.
    pub revision: Revision,
    /// What the control group can bear; known to the leader alone.
    #[serde(default)]
    pub control_group: Option<ControlGroupOverview>,
    /// Routers that take this controller's feed.
    pub routers: Vec<RouterOverview>,
    /// Runners on the record.
    pub runners: Vec<RunnerOverview>,
    /// Deployments in force.
    pub deployments: Vec<DeploymentOverview>,
}

/// The control group, as its leader sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ControlGroupOverview {
    /// Voters.
    pub voters: usize,
    /// Voters that were heard lately.
    pub live_voters: usize,
    /// Live voters that may be lost while a quorum stays.
    pub bearable_losses: usize,
}

/// One router.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RouterOverview {
    /// The router.
    pub router: RouterId,
    /// Its zone.
    pub zone: Zone,
    /// `ip:port` for callers.
    pub http_address: String,
    /// Revision that it confirmed.
    pub revision: Revision,
    /// Revisions that it lags behind.
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
    /// Memory reserved by decided replicas, in MiB.
    pub reserved_mib: u64,
}

/// Whether a deployment can serve at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Warmth {
    /// A replica is ready.
    Warm,
    /// None is ready, one is being loaded.
    Loading,
    /// None is loaded.
    Cold,
}

/// One deployment with its queue.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct DeploymentOverview {
    /// The deployment.
    pub deployment: DeploymentName,
    /// Whether it can serve at once.
    pub warmth: Warmth,
    /// Replicas by place.
    pub replicas: Vec<ReplicaOverview>,
    /// Replicas at the most.
    pub max_replicas: u32,
    /// Waiting requests of class critical.
    pub waiting_critical: u32,
    /// Waiting requests of class interactive.
    pub waiting_interactive: u32,
    /// Waiting requests of class batch.
    pub waiting_batch: u32,
    /// Requests that run.
    pub running: u32,
    /// Wait so far of the oldest waiting request, in milliseconds.
    pub oldest_wait_ms: Millis,
}

impl DeploymentOverview {
    /// Waiting requests of all classes.
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
    /// Fence of the decision.
    pub fence: Fence,
}
