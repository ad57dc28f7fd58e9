//! The planner's view, built from what the leader knows.

use super::control::SeenRunner;
use super::world::World;
use courseshunt_placement::{
    CacheView, ClusterView, DeploymentView, ReplicaView, RunnerView, WeightStoreView,
};
use courseshunt_state::RunnerRecord;
use courseshunt_types::{DeploymentName, Millis};

/// Milliseconds of a day.
const DAY: u64 = 24 * 3600 * 1000;

impl World {
    /// The view at this moment. It starts at midnight.
    pub(super) fn cluster_view(&mut self) -> ClusterView {
        let starts_available = self.control.limiter.starts_available(self.now);
        let runners = self.control.state.placement.runners.values();
        let runners = runners.map(|record| self.runner_view(record));
        let deployments = self.site.iter().map(|one| DeploymentView {
            document: one.document.clone(),
            demand: self.control.demand.view(&one.document.name),
            replicas: self.replica_views(&one.document.name),
            load_times: Some(self.control.load_times.estimates(&one.document)),
        });
        ClusterView {
            now: self.now,
            time_of_day: Millis(self.now.0 % DAY),
            runners: runners.collect(),
            deployments: deployments.collect(),
            store: WeightStoreView {
                active_loads: self.remote_loads(),
                concurrency_limit: self.control.limiter.concurrency(),
                starts_available,
            },
        }
    }

    fn runner_view(&self, record: &RunnerRecord) -> RunnerView {
        let seen = self.control.seen.get(&record.runner);
        let inventory = seen.map(|seen| &seen.inventory);
        let cached = inventory.map(|one| one.cached.iter());
        let cached = cached.into_iter().flatten().map(|item| CacheView {
            model: item.model.clone(),
            tier: item.tier,
            size_mib: item.size_mib,
        });
        let staging = self.control.staging.keys();
        let staging = staging.filter(|(runner, _)| *runner == record.runner);
        let placement = &self.control.state.placement;
        RunnerView {
            runner: record.runner.clone(),
            zone: record.zone.clone(),
            accelerators: record.accelerators,
            memory_mib: record.memory_mib,
            reserved_mib: placement.reserved_mib(&record.runner),
            host_memory_mib: inventory.map_or(0, |one| one.host_memory_mib),
            disk_mib: inventory.map_or(0, |one| one.disk_mib),
            state: record.state,
            reachable: seen.is_some_and(|seen: &SeenRunner| seen.is_reachable(self.now)),
            cached: cached.collect(),
            staging: staging.map(|(_, model)| model.clone()).collect(),
            avoid: self.control.backoff.avoided(&record.runner, self.now),
        }
    }

    fn replica_views(&self, deployment: &DeploymentName) -> Vec<ReplicaView> {
        let records = self.control.state.placement.replicas.values();
        let records = records.filter(|record| record.replica.deployment == *deployment);
        let views = records.map(|record| {
            let known = self.control.uses.get(&record.replica);
            ReplicaView {
                runner: record.replica.runner.clone(),
                fence: record.fence,
                phase: record.phase,
                since: known.map_or(self.now, |known| known.since),
                last_used: known.map_or(self.now, |known| known.last_used),
                running: known.map_or(0, |known| known.running),
            }
        });
        views.collect()
    }
}
