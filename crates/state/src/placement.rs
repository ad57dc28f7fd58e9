//! Runners, placed replicas and their memory reservations.
//!
//! Invariants: the reservations on a runner never exceed its memory; a
//! deployment never has more replicas than its document allows, not counting
//! those on machines that are leaving, which may be replaced before they are
//! gone; a reservation ends only by a release with the current fence, a new
//! incarnation of the runner, or the end of its machine. The replicas of an
//! unreachable runner count.

use crate::reply::CommandError;
use courseshunt_types::runner_api::MachineState;
use courseshunt_types::{
    DeploymentName, Fence, Incarnation, ReplicaKey, RunnerId, UnixMillis, Zone,
};
use std::collections::{BTreeMap, BTreeSet};

/// A registered runner.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct RunnerRecord {
    /// The runner.
    pub runner: RunnerId,
    /// `ip:port` of its HTTP interface.
    pub address: String,
    /// Its zone.
    pub zone: Zone,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Accelerator memory, in MiB.
    pub memory_mib: u64,
    /// State of its machine.
    pub state: MachineState,
}

/// State of a placed replica.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub enum ReplicaPhase {
    /// Placed; the runner has to load it.
    Loading,
    /// The runner reported that it is ready.
    Ready,
    /// To be unloaded; the reservation stays until it is released.
    Withdrawn,
}

/// A placed replica.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct ReplicaRecord {
    /// The replica.
    pub replica: ReplicaKey,
    /// Fence of the latest decision on it.
    pub fence: Fence,
    /// Reserved memory, in MiB.
    pub memory_mib: u64,
    /// Current phase.
    pub phase: ReplicaPhase,
    /// Incarnation of the runner when the replica was placed.
    pub incarnation: Incarnation,
    /// When it was placed.
    pub placed_at: UnixMillis,
}

/// Runners and replicas.
#[derive(
    Debug, Clone, PartialEq, Eq, Default, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub struct Placement {
    /// Runners by name.
    pub runners: BTreeMap<RunnerId, RunnerRecord>,
    /// Replicas by deployment and runner.
    pub replicas: BTreeMap<ReplicaKey, ReplicaRecord>,
    /// Index of `replicas` by runner, so that the work on the loss of a runner is
    /// proportional to the number of its replicas.
    by_runner: BTreeMap<RunnerId, BTreeSet<DeploymentName>>,
}

impl Placement {
    /// Replicas on a runner, including those that are being unloaded.
    pub fn on_runner<'a>(
        &'a self,
        runner: &'a RunnerId,
    ) -> impl Iterator<Item = &'a ReplicaRecord> {
        let deployments = self.by_runner.get(runner).into_iter().flatten();
        deployments.filter_map(move |deployment| {
            let key = ReplicaKey {
                deployment: deployment.clone(),
                runner: runner.clone(),
            };
            self.replicas.get(&key)
        })
    }

    /// Replicas of a deployment, including those that are being unloaded.
    pub fn of_deployment<'a>(
        &'a self,
        deployment: &'a DeploymentName,
    ) -> impl Iterator<Item = &'a ReplicaRecord> {
        let first = ReplicaKey {
            deployment: deployment.clone(),
            runner: RunnerId::default(),
        };
        let from_first = self.replicas.range(first..);
        let same = from_first.take_while(move |(key, _)| key.deployment == *deployment);
        same.map(|(_, record)| record)
    }

    /// Memory reserved on a runner, in MiB.
    #[must_use]
    pub fn reserved_mib(&self, runner: &RunnerId) -> u64 {
        self.on_runner(runner).map(|record| record.memory_mib).sum()
    }

    /// Number of replicas of a deployment, including those that are being unloaded.
    #[must_use]
    pub fn count(&self, deployment: &DeploymentName) -> u32 {
        u32::try_from(self.of_deployment(deployment).count()).unwrap_or(u32::MAX)
    }

    /// Number of replicas of a deployment that count against its maximum: all
    /// except those on machines that are leaving.
    #[must_use]
    pub fn count_against_limit(&self, deployment: &DeploymentName) -> u32 {
        let leaving = |runner: &RunnerId| {
            let record = self.runners.get(runner);
            record.is_some_and(|record| record.state == MachineState::Leaving)
        };
        let staying = self
            .of_deployment(deployment)
            .filter(|record| !leaving(&record.replica.runner));
        u32::try_from(staying.count()).unwrap_or(u32::MAX)
    }

    /// Records a runner. A new incarnation releases the replicas of the old one.
    pub fn record_runner(&mut self, record: &RunnerRecord) {
        let existing = self.runners.get(&record.runner);
        if existing.is_some_and(|existing| existing.incarnation != record.incarnation) {
            self.release_all(&record.runner);
        }
        self.runners.insert(record.runner.clone(), record.clone());
    }

    /// Records the state of a runner's machine.
    pub fn set_runner_state(
        &mut self,
        runner: &RunnerId,
        incarnation: Incarnation,
        state: MachineState,
    ) {
        let Some(record) = self.runners.get_mut(runner) else {
            return;
        };
        if record.incarnation != incarnation {
            return;
        }
        record.state = state;
        if state == MachineState::Gone {
            self.release_all(runner);
        }
    }

    fn release_all(&mut self, runner: &RunnerId) {
        for deployment in self.by_runner.remove(runner).unwrap_or_default() {
            let runner = runner.clone();
            self.replicas.remove(&ReplicaKey { deployment, runner });
        }
    }

    /// Places a replica and reserves its memory.
    ///
    /// # Errors
    /// When the runner is not live, does not have enough free memory or already
    /// has the replica, or the deployment already has `limit` replicas.
    pub fn place(
        &mut self,
        replica: &ReplicaKey,
        memory_mib: u64,
        limit: u32,
        fence: Fence,
        at: UnixMillis,
    ) -> Result<Fence, CommandError> {
        if let Some(existing) = self.replicas.get(replica) {
            return Err(CommandError::ReplicaExists {
                fence: existing.fence,
            });
        }
        if self.count_against_limit(&replica.deployment) >= limit {
            let deployment = replica.deployment.clone();
            return Err(CommandError::ReplicaLimit { deployment, limit });
        }
        let runner = replica.runner.clone();
        let record = self.runners.get(&runner);
        let record = record.filter(|record| record.state == MachineState::Live);
        let Some(record) = record else {
            return Err(CommandError::RunnerNotLive { runner });
        };
        let free_mib = record.memory_mib.saturating_sub(self.reserved_mib(&runner));
        if memory_mib > free_mib {
            return Err(CommandError::OutOfMemory {
                runner,
                free_mib,
                wanted_mib: memory_mib,
            });
        }
        let placed = ReplicaRecord {
            replica: replica.clone(),
            fence,
            memory_mib,
            phase: ReplicaPhase::Loading,
            incarnation: record.incarnation,
            placed_at: at,
        };
        self.replicas.insert(replica.clone(), placed);
        let on_runner = self.by_runner.entry(runner).or_default();
        on_runner.insert(replica.deployment.clone());
        Ok(fence)
    }

    /// Records that a loading replica is ready to serve.
    ///
    /// # Errors
    /// When no such replica has this fence.
    pub fn confirm(&mut self, replica: &ReplicaKey, fence: Fence) -> Result<(), CommandError> {
        let record = self.with_fence(replica, fence)?;
        if record.phase == ReplicaPhase::Loading {
            record.phase = ReplicaPhase::Ready;
        }
        Ok(())
    }

    /// Starts the unloading of a replica, under a new fence.
    ///
    /// # Errors
    /// When no replica has the old fence.
    pub fn withdraw(
        &mut self,
        replica: &ReplicaKey,
        old: Fence,
        new: Fence,
    ) -> Result<Fence, CommandError> {
        let record = self.with_fence(replica, old)?;
        record.phase = ReplicaPhase::Withdrawn;
        record.fence = new;
        Ok(new)
    }

    /// Removes a replica and its reservation after the runner freed the memory.
    ///
    /// # Errors
    /// When no replica has this fence.
    pub fn release(&mut self, replica: &ReplicaKey, fence: Fence) -> Result<(), CommandError> {
        self.with_fence(replica, fence)?;
        self.replicas.remove(replica);
        if let Some(on_runner) = self.by_runner.get_mut(&replica.runner) {
            on_runner.remove(&replica.deployment);
        }
        Ok(())
    }

    fn with_fence(
        &mut self,
        replica: &ReplicaKey,
        fence: Fence,
    ) -> Result<&mut ReplicaRecord, CommandError> {
        let record = self.replicas.get_mut(replica);
        let record = record.filter(|record| record.fence == fence);
        record.ok_or(CommandError::StaleFence { fence })
    }
}
