//! Checkpoints on their way to a runner's cache tiers.

use courseshunt_types::runner_api::CacheTier;
use courseshunt_types::{ModelName, Timestamp};
use std::collections::BTreeMap;

/// Where a checkpoint that the weight store sends shall stay.
#[derive(Debug, Default)]
pub(crate) struct Fetches {
    /// Slowest tier that suffices, by model; host memory keeps a disk copy too.
    remote: BTreeMap<ModelName, CacheTier>,
    /// Copies from disk to host memory, with their ends.
    local: BTreeMap<ModelName, Timestamp>,
}

impl Fetches {
    /// Notes a wanted fetch. Returns whether the store must be asked.
    pub(crate) fn want(&mut self, model: &ModelName, tier: CacheTier) -> bool {
        match self.remote.get_mut(model) {
            Some(known) => {
                *known = tier.min(*known);
                false
            }
            None => {
                self.remote.insert(model.clone(), tier);
                true
            }
        }
    }

    /// Ends a fetch; its tier when it was wanted.
    pub(crate) fn finish(&mut self, model: &ModelName) -> Option<CacheTier> {
        self.remote.remove(model)
    }

    /// Models on their way.
    pub(crate) fn models(&self) -> impl Iterator<Item = &ModelName> {
        self.remote.keys().chain(self.local.keys())
    }

    /// Notes a copy from disk to host memory.
    pub(crate) fn copy(&mut self, model: &ModelName, end: Timestamp) {
        self.local.entry(model.clone()).or_insert(end);
    }

    /// Models whose copy has ended.
    pub(crate) fn finish_copies(&mut self, now: Timestamp) -> Vec<ModelName> {
        let due = self.local.iter().filter(|(_, end)| **end <= now);
        let due: Vec<ModelName> = due.map(|(model, _)| model.clone()).collect();
        for model in &due {
            self.local.remove(model);
        }
        due
    }

    /// End of the next copy.
    pub(crate) fn next_copy(&self) -> Option<Timestamp> {
        self.local.values().copied().min()
    }
}
