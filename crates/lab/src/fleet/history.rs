//! What was seen of a run from outside the product; the checkers read it.

use crate::load::RequestRecord;
use courseshunt_types::DeploymentName;
use std::collections::BTreeMap;
use std::time::Duration;

/// Everything seen of one run. All times count from the start of the load.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Requests, as their callers saw them.
    pub records: Vec<RequestRecord>,
    /// Executions, as the runners logged them.
    pub executions: Vec<RunnerExecution>,
    /// Routers, sampled.
    pub routers: Vec<RouterSample>,
    /// Runners, sampled.
    pub runners: Vec<RunnerSample>,
    /// Faults that were brought about.
    pub faults: Vec<FaultSpan>,
    /// Changes of configuration that were accepted.
    pub changes: Vec<AcceptedChange>,
    /// Runners that the platform said to be leaving.
    pub leaving: Vec<LeavingRunner>,
    /// Replicas of each deployment at the most.
    pub max_replicas: BTreeMap<DeploymentName, u32>,
    /// Routers that had not the last revision when the run had settled.
    pub not_in_force: Vec<String>,
    /// Wrong answers of the operators' API.
    pub operator_faults: Vec<String>,
}

/// One execution.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunnerExecution {
    /// The runner.
    pub runner: String,
    /// The request's identity.
    pub request: String,
    /// The attempt.
    pub attempt: u64,
    /// The prompt, as the runner got it.
    pub prompt: String,
}

/// One look at a router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouterSample {
    /// When.
    pub at: Duration,
    /// The router.
    pub router: String,
    /// Drawn by the router at each start.
    pub incarnation: u64,
    /// Whether it takes callers.
    pub synced: bool,
    /// Its revision in force.
    pub revision: u64,
}

/// One look at a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunnerSample {
    /// Number of the look; all runners of one look are seen together.
    pub look: u64,
    /// When.
    pub at: Duration,
    /// The runner.
    pub runner: String,
    /// Accelerator memory, in MiB.
    pub memory_mib: u64,
    /// Deployments in its accelerator memory.
    pub loaded: Vec<LoadedSample>,
    /// Executions so far, only for a leaving runner.
    pub executions: Option<usize>,
}

/// One deployment on a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedSample {
    /// The deployment.
    pub deployment: DeploymentName,
    /// Its memory, in MiB.
    pub memory_mib: u64,
    /// Whether it is being unloaded.
    pub unloading: bool,
    /// Whether the log, read after the runner, knows the decision; `None` when
    /// too few controllers run to tell.
    pub decided: Option<bool>,
}

/// A fault and its length.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct FaultSpan {
    /// What.
    pub kind: String,
    /// The nodes that it hits.
    pub nodes: Vec<String>,
    /// Begin.
    pub from: Duration,
    /// End: the node runs again, the link is whole again.
    pub until: Duration,
}

/// A change that was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AcceptedChange {
    /// When the answer came.
    pub at: Duration,
    /// Its revision.
    pub revision: u64,
}

/// A runner that leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeavingRunner {
    /// The runner.
    pub runner: String,
    /// When the platform's list said so.
    pub listed_at: Duration,
    /// When a machine of the same name came back, if one did.
    pub until: Option<Duration>,
}

impl FaultSpan {
    /// Whether it lasts at any time within a span.
    #[must_use]
    pub fn overlaps(&self, from: Duration, until: Duration) -> bool {
        self.from <= until && from <= self.until
    }

    /// Whether it hits a node.
    #[must_use]
    pub fn hits(&self, node: &str) -> bool {
        self.nodes.iter().any(|one| one == node)
    }
}
