//! Pure models, the same in virtual and in real time.

pub mod checkpoints;
mod engine;
mod fetches;
pub mod prefix;
pub mod runner;
pub mod sequence;
pub mod settings;
pub mod store;

pub use checkpoints::CheckpointCache;
pub use prefix::{PREFIX_BLOCK_TOKENS, PrefixCache};
pub use runner::{HeldDeployment, RunnerEvent, RunnerModel};
pub use sequence::{
    EngineRejection, EngineRequest, EngineTiming, ExportedSequence, SequenceKey, SequenceProgress,
};
pub use settings::RunnerModelSettings;
pub use store::{StoreModel, StoreModelSettings, TransferId};
