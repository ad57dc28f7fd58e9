//! Settings of the runner model.

use super::sequence::EngineTiming;
use courseshunt_types::{Incarnation, Millis, RunnerId, Zone};

/// Settings of the model.
#[derive(Debug, Clone)]
pub struct RunnerModelSettings {
    /// Name.
    pub runner: RunnerId,
    /// Drawn at each start.
    pub incarnation: Incarnation,
    /// Zone.
    pub zone: Zone,
    /// Accelerators.
    pub accelerators: u32,
    /// Accelerator memory, in MiB.
    pub memory_mib: u64,
    /// Host memory for checkpoints, in MiB.
    pub host_memory_mib: u64,
    /// Disk for checkpoints, in MiB.
    pub disk_mib: u64,
    /// Speed from host memory to accelerator, in MiB per second.
    pub host_mib_per_second: f64,
    /// Speed from disk to accelerator, in MiB per second.
    pub disk_mib_per_second: f64,
    /// Time for setting up an engine after the weights are there, in milliseconds.
    pub engine_start_ms: Millis,
    /// Requests that wait in an engine at the most.
    pub engine_queue: usize,
    /// Memory of the prefix cache, in blocks of
    /// [`PREFIX_BLOCK_TOKENS`](super::prefix::PREFIX_BLOCK_TOKENS) tokens.
    pub prefix_cache_blocks: usize,
    /// Whether every token becomes an event. Without it only the first and the
    /// last token of a request do, at the same moments; that is faster.
    pub every_token: bool,
    /// Engine speed.
    pub timing: EngineTiming,
}

impl RunnerModelSettings {
    /// Usual settings for one runner.
    #[must_use]
    pub fn named(runner: &str, zone: &str, memory_mib: u64) -> Self {
        Self {
            runner: runner.into(),
            incarnation: Incarnation(1),
            zone: zone.into(),
            accelerators: 1,
            memory_mib,
            host_memory_mib: memory_mib,
            disk_mib: memory_mib * 4,
            host_mib_per_second: 10_000.0,
            disk_mib_per_second: 2_000.0,
            engine_start_ms: Millis(500),
            engine_queue: 16,
            prefix_cache_blocks: 4096,
            every_token: true,
            timing: EngineTiming::default(),
        }
    }
}
