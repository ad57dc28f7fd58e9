//! Seeded randomness of a run.

use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// See the module.
#[derive(Debug, Clone)]
pub struct Random {
    generator: Pcg32,
}

impl Random {
    /// A generator for one seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            generator: Pcg32::seed_from_u64(seed),
        }
    }

    /// A number below `bound`; 0 when `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.generator.next_u64() % bound.max(1)
    }

    /// A number from `low` to `high`, both included.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.below(high - low + 1)
    }

    /// True in `per_mille` of 1000 cases.
    pub fn chance(&mut self, per_mille: u64) -> bool {
        self.below(1000) < per_mille
    }

    /// One of the items.
    pub fn pick<T: Copy>(&mut self, items: &[T]) -> Option<T> {
        let position = self.below(items.len() as u64) as usize;
        items.get(position).copied()
    }
}
