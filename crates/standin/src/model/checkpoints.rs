//! Checkpoints in a runner's host memory and on its disk.
//!
//! Invariant: no tier holds more than its capacity; the least recently used
//! checkpoint leaves first.

use courseshunt_types::ModelName;
use courseshunt_types::runner_api::{CacheItem, CacheTier};

/// See the module.
#[derive(Debug)]
pub struct CheckpointCache {
    host_memory_mib: u64,
    disk_mib: u64,
    /// The least recently used first.
    items: Vec<CacheItem>,
}

impl CheckpointCache {
    /// An empty cache with these capacities, in MiB.
    #[must_use]
    pub fn new(host_memory_mib: u64, disk_mib: u64) -> Self {
        Self {
            host_memory_mib,
            disk_mib,
            items: Vec::new(),
        }
    }

    /// All items.
    #[must_use]
    pub fn items(&self) -> &[CacheItem] {
        &self.items
    }

    /// The fastest tier that holds a model.
    #[must_use]
    pub fn tier_of(&self, model: &ModelName) -> Option<CacheTier> {
        let tiers = self.items.iter().filter(|item| item.model == *model);
        tiers.map(|item| item.tier).min()
    }

    /// Notes a use of a model, which keeps it longer.
    pub fn touch(&mut self, model: &ModelName) {
        let (used, mut rest): (Vec<CacheItem>, Vec<CacheItem>) =
            self.items.drain(..).partition(|item| item.model == *model);
        rest.extend(used);
        self.items = rest;
    }

    /// Keeps a checkpoint in one tier, dropping others when it is full.
    pub fn insert(&mut self, model: &ModelName, tier: CacheTier, size_mib: u64) {
        let capacity = self.capacity_mib(tier);
        if size_mib > capacity {
            return;
        }
        self.items
            .retain(|item| item.model != *model || item.tier != tier);
        while self.used_mib(tier) + size_mib > capacity {
            let oldest = self.items.iter().position(|item| item.tier == tier);
            let Some(oldest) = oldest else { break };
            self.items.remove(oldest);
        }
        self.items.push(CacheItem {
            model: model.clone(),
            tier,
            size_mib,
        });
    }

    fn capacity_mib(&self, tier: CacheTier) -> u64 {
        match tier {
            CacheTier::HostMemory => self.host_memory_mib,
            CacheTier::Disk => self.disk_mib,
            CacheTier::Accelerator | CacheTier::Remote => 0,
        }
    }

    fn used_mib(&self, tier: CacheTier) -> u64 {
        let items = self.items.iter().filter(|item| item.tier == tier);
        items.map(|item| item.size_mib).sum()
    }
}
