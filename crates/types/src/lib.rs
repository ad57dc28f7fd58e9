//! Identifiers, units, priority classes, outcomes and deployment documents
//! shared by every crate.
//!
//! Identifiers, times and documents are serialised as JSON (for operators, runners and tools) and
//! as `rkyv` bytes (between processes). Nothing here does network or file I/O; the only clocks are
//! those of [`time`].

pub mod class;
pub mod deployment;
pub mod digest;
pub mod fence;
pub mod ids;
pub mod outcome;
pub mod overview;
pub mod runner_api;
pub mod time;

pub use class::PriorityClass;
pub use deployment::{AdapterDocument, ClassLimits, DeploymentDocument, ObjectiveWeights};
pub use digest::Digest;
pub use fence::Fence;
pub use ids::*;
pub use outcome::{Outcome, Refusal, RefusalReason};
pub use time::{Millis, Timestamp, UnixMillis};
