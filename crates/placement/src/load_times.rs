//! Load times learned from earlier loads, by model and tier.

use crate::view::LoadEstimates;
use courseshunt_types::runner_api::CacheTier;
use courseshunt_types::{DeploymentDocument, Millis, ModelName};
use std::collections::BTreeMap;

/// Share of a new measurement in the running mean.
const NEW_SHARE: f64 = 0.3;
/// Speed of host memory before anything was measured, in MiB per second.
const DEFAULT_HOST_SPEED: f64 = 8_000.0;
/// Speed of disks before anything was measured, in MiB per second. Rather high:
/// a tier that is thought slow is never tried, and so never measured.
const DEFAULT_DISK_SPEED: f64 = 3_000.0;
/// A faster tier takes this share of the next slower one's time at the most;
/// loads of other sizes on other runners teach only so much.
const FASTER_TIER_SHARE: f64 = 0.7;
/// Time to set an engine up, in milliseconds, before anything was measured.
const DEFAULT_ENGINE_START_MS: f64 = 1_000.0;

/// See the module.
#[derive(Debug, Clone, Default)]
pub struct LoadTimes {
    by_model: BTreeMap<(ModelName, CacheTier), f64>,
    /// Milliseconds for each MiB, over all models.
    by_size: BTreeMap<CacheTier, f64>,
}

impl LoadTimes {
    /// Takes a finished load in.
    pub fn record(&mut self, model: &ModelName, tier: CacheTier, size_mib: u64, taken: Millis) {
        let taken = taken.0 as f64;
        let key = (model.clone(), tier);
        let known = self.by_model.get(&key).copied();
        self.by_model.insert(key, mean(known, taken));
        let for_each_mib = taken / size_mib.max(1) as f64;
        let known = self.by_size.get(&tier).copied();
        self.by_size.insert(tier, mean(known, for_each_mib));
    }

    /// Time to expect for a load of a deployment from one tier.
    #[must_use]
    pub fn expected(&self, document: &DeploymentDocument, tier: CacheTier) -> Millis {
        let expected = self.learned(document, tier);
        let slower = match tier {
            CacheTier::Accelerator => return Millis(0),
            CacheTier::HostMemory => CacheTier::Disk,
            CacheTier::Disk => CacheTier::Remote,
            CacheTier::Remote => return expected,
        };
        let bound = self.expected(document, slower).0 as f64 * FASTER_TIER_SHARE;
        Millis(expected.0.min(bound.ceil() as u64))
    }

    fn learned(&self, document: &DeploymentDocument, tier: CacheTier) -> Millis {
        let size = document.checkpoint_size_mib() as f64;
        let key = (document.model.clone(), tier);
        let learned = self.by_model.get(&key).copied();
        let by_size = self.by_size.get(&tier).map(|one| one * size);
        let guess = match tier {
            CacheTier::Accelerator => 0.0,
            CacheTier::HostMemory => DEFAULT_ENGINE_START_MS + size / DEFAULT_HOST_SPEED * 1000.0,
            CacheTier::Disk => DEFAULT_ENGINE_START_MS + size / DEFAULT_DISK_SPEED * 1000.0,
            CacheTier::Remote => document.load_estimate_ms.0 as f64,
        };
        Millis(learned.or(by_size).unwrap_or(guess).ceil() as u64)
    }

    /// Times to expect for a deployment from each tier.
    #[must_use]
    pub fn estimates(&self, document: &DeploymentDocument) -> LoadEstimates {
        LoadEstimates {
            host_memory: self.expected(document, CacheTier::HostMemory),
            disk: self.expected(document, CacheTier::Disk),
            remote: self.expected(document, CacheTier::Remote),
        }
    }
}

fn mean(known: Option<f64>, new: f64) -> f64 {
    known.map_or(new, |known| known + (new - known) * NEW_SHARE)
}
