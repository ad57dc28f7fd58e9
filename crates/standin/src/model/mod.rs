//! Pure models.

pub mod runner;
pub mod sequence;
pub mod store;

pub use runner::{RunnerEvent, RunnerModel, RunnerModelSettings};
pub use sequence::{EngineRejection, EngineRequest, EngineTiming, SequenceKey};
pub use store::{StoreModel, StoreModelSettings, TransferId};
