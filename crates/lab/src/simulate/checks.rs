//! Checkers of what must always hold, run on every event that can break it.
//!
//! They look at the modelled machines themselves, not at what the control
//! processes believe.

use courseshunt_standin::model::HeldDeployment;
use courseshunt_state::Placement;
use courseshunt_types::{DeploymentName, Digest, Millis, Revision, RunnerId, Timestamp, Version};
use std::collections::{BTreeMap, BTreeSet};

/// A leaving runner gets no new work after this time.
pub const LEAVING_GRACE: Millis = Millis::from_secs(3);

/// Broken promises by kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize)]
pub struct Violations {
    /// A runner held a replica that no decision covered, or more were decided
    /// than the document allows.
    pub replicas_over_decided: u64,
    /// Accelerator memory was overcommitted, or ordered to be.
    pub memory_overcommit: u64,
    /// A once-only request ran again.
    pub twice_run: u64,
    /// A request that had run was refused as not run.
    pub false_not_run: u64,
    /// A leaving runner started new work.
    pub work_to_leaving_runner: u64,
    /// A router or controller went back to an earlier configuration.
    pub configuration_reverted: u64,
}

impl Violations {
    /// All kinds together.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.replicas_over_decided
            + self.memory_overcommit
            + self.twice_run
            + self.false_not_run
            + self.work_to_leaving_runner
            + self.configuration_reverted
    }
}

/// The checkers' state.
#[derive(Debug, Default)]
pub struct Checks {
    /// Broken promises so far.
    pub violations: Violations,
    /// Starts of once-only requests by the number of their first request.
    started: BTreeMap<usize, u32>,
    /// Replicas already reported as undecided.
    reported: BTreeSet<(RunnerId, DeploymentName)>,
    /// Revision in force by process name.
    revisions: BTreeMap<String, Revision>,
    /// Documents in force.
    documents: BTreeMap<DeploymentName, (Version, Digest)>,
}

impl Checks {
    /// A runner's accelerator memory after an order: each replica there must
    /// be decided, and all must fit.
    pub fn runner_changed<'a>(
        &mut self,
        runner: &RunnerId,
        memory_mib: u64,
        held: impl Iterator<Item = HeldDeployment<'a>>,
        placement: &Placement,
    ) {
        let mut used = 0;
        for one in held {
            used += one.memory_mib;
            let replicas = placement.replicas.values();
            let mut here = replicas.filter(|record| record.replica.runner == *runner);
            let decided = here.any(|record| record.replica.deployment == *one.deployment);
            let key = (runner.clone(), one.deployment.clone());
            if !decided && self.reported.insert(key) {
                self.violations.replicas_over_decided += 1;
            }
        }
        if used > memory_mib {
            self.violations.memory_overcommit += 1;
        }
    }

    /// A decision was committed: reservations must fit and replicas stay
    /// within the document's limit.
    pub fn decided(&mut self, placement: &Placement, deployment: &DeploymentName, limit: u32) {
        if placement.count_against_limit(deployment) > limit {
            self.violations.replicas_over_decided += 1;
        }
        let over = |(name, record): (&RunnerId, &courseshunt_state::RunnerRecord)| {
            placement.reserved_mib(name) > record.memory_mib
        };
        if placement.runners.iter().any(over) {
            self.violations.memory_overcommit += 1;
        }
    }

    /// A runner refused an order because its memory would not have sufficed.
    pub fn overcommit_ordered(&mut self) {
        self.violations.memory_overcommit += 1;
    }

    /// A request started on a runner. `origin` is the number of the caller's
    /// first request under the same key; `leaving_since` tells when the runner
    /// began to leave.
    pub fn started(
        &mut self,
        origin: usize,
        once_only: bool,
        leaving_since: Option<Timestamp>,
        now: Timestamp,
    ) {
        let starts = self.started.entry(origin).or_default();
        *starts += 1;
        if once_only && *starts > 1 {
            self.violations.twice_run += 1;
        }
        if leaving_since.is_some_and(|since| now.since(since) > LEAVING_GRACE) {
            self.violations.work_to_leaving_runner += 1;
        }
    }

    /// A request was refused as not run. `starts` counts its own executions
    /// that began.
    pub fn refused_not_run(&mut self, starts: u32) {
        if starts > 0 {
            self.violations.false_not_run += 1;
        }
    }

    /// A process put a revision in force.
    pub fn configuration(&mut self, process: &str, revision: Revision) {
        let known = self.revisions.entry(process.to_owned()).or_default();
        if revision < *known {
            self.violations.configuration_reverted += 1;
        }
        *known = revision;
    }

    /// A document is in force: its version never falls, and under one version
    /// its content never changes.
    pub fn document(&mut self, name: &DeploymentName, version: Version, digest: &Digest) {
        let now = (version, *digest);
        let earlier = self.documents.insert(name.clone(), now);
        let reverted = earlier.is_some_and(|(known, content)| {
            version < known || version == known && *digest != content
        });
        if reverted {
            self.violations.configuration_reverted += 1;
        }
    }
}
