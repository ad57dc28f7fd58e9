//! What a runner says about itself: inventory and load.

use super::{HeldDeployment, RunnerModel};
use courseshunt_types::runner_api::{
    DeploymentLoad, Inventory, InventoryItem, LoadPhase, LoadReport,
};
use courseshunt_types::{Millis, ModelName, Timestamp};

impl RunnerModel {
    /// What lies in accelerator memory.
    pub fn held(&self) -> impl Iterator<Item = HeldDeployment<'_>> {
        self.deployments.iter().map(|(name, one)| HeldDeployment {
            deployment: name,
            memory_mib: one.memory_mib,
            phase: one.phase,
            running: one.engine.running(),
        })
    }

    /// Models on their way to a cache tier that no load waits for.
    fn staging(&self) -> Vec<ModelName> {
        let loads = |model: &ModelName| {
            let mut loads = self.deployments.values();
            loads.any(|one| one.model == *model && one.phase == LoadPhase::Loading)
        };
        let models = self.fetches.models();
        models.filter(|model| !loads(model)).cloned().collect()
    }

    /// What the runner holds.
    #[must_use]
    pub fn inventory(&self, now: Timestamp) -> Inventory {
        let items = self
            .deployments
            .iter()
            .map(|(deployment, loaded)| InventoryItem {
                deployment: deployment.clone(),
                model: loaded.model.clone(),
                fence: loaded.fence,
                phase: loaded.phase,
                memory_mib: loaded.memory_mib,
                remaining_ms: loaded.ready_at.map_or(Millis(0), |at| at.since(now)),
            });
        Inventory {
            runner: self.settings.runner.clone(),
            incarnation: self.settings.incarnation,
            zone: self.settings.zone.clone(),
            accelerators: self.settings.accelerators,
            memory_mib: self.settings.memory_mib,
            host_memory_mib: self.settings.host_memory_mib,
            disk_mib: self.settings.disk_mib,
            draining: self.draining,
            deployments: items.collect(),
            cached: self.checkpoints.items().to_vec(),
            staging: self.staging(),
        }
    }

    /// The present load.
    #[must_use]
    pub fn load_report(&self) -> LoadReport {
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        let deployments = self.deployments.iter();
        let deployments = deployments.map(|(deployment, loaded)| DeploymentLoad {
            deployment: deployment.clone(),
            running: count(loaded.engine.running()),
            waiting: count(loaded.engine.waiting()),
        });
        LoadReport {
            runner: self.settings.runner.clone(),
            incarnation: self.settings.incarnation,
            draining: self.draining,
            deployments: deployments.collect(),
        }
    }
}
