//! Which prompt blocks each runner has cached: from events that come late and
//! with gaps, and, until these come, from the prompts that were sent there.

use courseshunt_types::RunnerId;
use std::collections::{BTreeMap, VecDeque};

/// Blocks remembered for one runner; the oldest are forgotten first. About
/// 50 bytes each.
pub const MAX_BLOCKS: usize = 16 * 1024;

/// How much of a prompt a runner has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PrefixMatch {
    /// Leading blocks that the runner surely stored.
    pub blocks: u32,
    /// Whether events were lost since one of them was stored, so that it may
    /// have been evicted.
    pub doubtful: bool,
}

#[derive(Debug, Default)]
struct RunnerBlocks {
    /// Generation in which each block was stored; `None` when assumed.
    blocks: BTreeMap<u64, Option<u64>>,
    order: VecDeque<u64>,
    /// Grows with each gap.
    generation: u64,
    last_sequence: Option<u64>,
}

/// The blocks of all runners of one deployment.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    runners: BTreeMap<RunnerId, RunnerBlocks>,
}

impl PrefixIndex {
    /// Takes one event in. Events older than the last one are ignored; a gap
    /// makes all that is known doubtful.
    pub fn event(&mut self, runner: &RunnerId, sequence: u64, block: u64, stored: bool) {
        let known = self.runners.entry(runner.clone()).or_default();
        match known.last_sequence {
            Some(last) if sequence <= last => return,
            Some(last) if sequence > last + 1 => known.generation += 1,
            _ => {}
        }
        known.last_sequence = Some(sequence);
        match stored {
            true => known.store(block, Some(known.generation)),
            false => {
                known.blocks.remove(&block);
            }
        }
    }

    /// Notes that a prompt goes to a runner, which will store its blocks. This
    /// is doubtful until events tell it.
    pub fn assume(&mut self, runner: &RunnerId, prompt: &[u64]) {
        if prompt.is_empty() {
            return;
        }
        let known = self.runners.entry(runner.clone()).or_default();
        for block in prompt {
            if !known.blocks.contains_key(block) {
                known.store(*block, None);
            }
        }
    }

    /// Number of the last event of a runner.
    #[must_use]
    pub fn last_sequence(&self, runner: &RunnerId) -> Option<u64> {
        self.runners.get(runner)?.last_sequence
    }

    /// Forgets a runner, or an incarnation that has ended.
    pub fn forget(&mut self, runner: &RunnerId) {
        self.runners.remove(runner);
    }

    /// How much of a prompt, given by the hashes of its leading blocks, a
    /// runner has.
    #[must_use]
    pub fn matched(&self, runner: &RunnerId, prompt: &[u64]) -> PrefixMatch {
        let Some(known) = self.runners.get(runner) else {
            return PrefixMatch::default();
        };
        let mut matched = PrefixMatch::default();
        for block in prompt {
            let Some(generation) = known.blocks.get(block) else {
                break;
            };
            matched.blocks += 1;
            matched.doubtful |= *generation != Some(known.generation);
        }
        matched
    }
}

impl RunnerBlocks {
    fn store(&mut self, block: u64, generation: Option<u64>) {
        if self.blocks.insert(block, generation).is_none() {
            self.order.push_back(block);
        }
        while self.order.len() > MAX_BLOCKS {
            if let Some(oldest) = self.order.pop_front() {
                self.blocks.remove(&oldest);
            }
        }
    }
}
