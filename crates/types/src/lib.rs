//! Identifiers, units, priority classes, outcomes and deployment documents
//! shared by every crate.
//!
//! This crate knows no transport, no clock and no I/O. Everything here can be
//! written as JSON (for people) and as `rkyv` bytes (between processes).

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
