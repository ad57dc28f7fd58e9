//! The prefix cache of a runner: hashes of prompt blocks in limited memory.
//!
//! Invariant: never more blocks than the capacity; the least recently used
//! block leaves first.

use courseshunt_types::DeploymentName;
use courseshunt_types::runner_api::CacheEvent;
use std::collections::{BTreeMap, VecDeque};

/// Tokens in one block of a prompt.
pub const PREFIX_BLOCK_TOKENS: u32 = 16;
/// Events kept for readers that lag; older ones are lost, which shows as a gap.
const KEPT_EVENTS: usize = 1024;

type Block = (DeploymentName, u64);

/// See the module.
#[derive(Debug, Default)]
pub struct PrefixCache {
    capacity: usize,
    last_uses: BTreeMap<Block, u64>,
    by_use: BTreeMap<u64, Block>,
    uses: u64,
    events: VecDeque<CacheEvent>,
    last_event: u64,
}

impl PrefixCache {
    /// An empty cache of `capacity` blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Takes a prompt's blocks in. Returns how many leading ones were there.
    pub fn admit(&mut self, deployment: &DeploymentName, blocks: &[u64]) -> u32 {
        let known = |hash: &&u64| {
            let block = (deployment.clone(), **hash);
            self.last_uses.contains_key(&block)
        };
        let hits = blocks.iter().take_while(known).count();
        for hash in blocks {
            self.touch((deployment.clone(), *hash));
        }
        u32::try_from(hits).unwrap_or(u32::MAX)
    }

    /// Forgets the blocks of a deployment that was unloaded.
    pub fn forget(&mut self, deployment: &DeploymentName) {
        let first = (deployment.clone(), 0);
        let here = self.last_uses.range(first..);
        let here = here.take_while(|((one, _), _)| one == deployment);
        let gone: Vec<Block> = here.map(|(block, _)| block.clone()).collect();
        for block in gone {
            self.evict(&block);
        }
    }

    /// Blocks in it.
    #[must_use]
    pub fn len(&self) -> usize {
        self.last_uses.len()
    }

    /// Whether nothing is in it.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.last_uses.is_empty()
    }

    /// Events after number `after` that are still kept.
    pub fn events_after(&self, after: u64) -> impl Iterator<Item = &CacheEvent> {
        self.events
            .iter()
            .filter(move |event| event.sequence > after)
    }

    fn touch(&mut self, block: Block) {
        if self.capacity == 0 {
            return;
        }
        self.uses += 1;
        match self.last_uses.insert(block.clone(), self.uses) {
            Some(earlier) => {
                self.by_use.remove(&earlier);
            }
            None => self.record(&block, true),
        }
        self.by_use.insert(self.uses, block);
        while self.last_uses.len() > self.capacity {
            let Some((_, oldest)) = self.by_use.first_key_value() else {
                break;
            };
            let oldest = oldest.clone();
            self.evict(&oldest);
        }
    }

    fn evict(&mut self, block: &Block) {
        if let Some(used) = self.last_uses.remove(block) {
            self.by_use.remove(&used);
            self.record(block, false);
        }
    }

    fn record(&mut self, block: &Block, stored: bool) {
        self.last_event += 1;
        self.events.push_back(CacheEvent {
            sequence: self.last_event,
            deployment: block.0.clone(),
            block_hash: block.1,
            stored,
        });
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}
