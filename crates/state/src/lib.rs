//! Replicated commands and the state machine that applies them.
//!
//! Invariant: [`ReplicatedState::apply`] is deterministic. It depends on no
//! clock, random numbers or memory addresses; equal logs give equal states on
//! every member. Time comes from the log, as written by the leader.

#![allow(
    missing_docs,
    reason = "the fields of the archived enums that rkyv derives have no doc comments"
)]

pub mod claims;
pub mod command;
pub mod configuration;
pub mod drains;
pub mod jobs;
pub mod members;
pub mod placement;
pub mod reply;
pub mod services;
pub mod session;
mod state;
mod stored;

pub use claims::{ClaimRecord, ClaimState, Claims, ExecutionName};
pub use command::{ClaimRequest, Command, CommandEnvelope};
pub use configuration::{
    ChangeRequest, Configuration, DocumentKey, DocumentKind, FleetLimits, HistoryEntry,
    ModelDocument, Removal, StoredDeployment, StoredTenant, TenantDocument, ValidationOutcome,
};
pub use drains::Drains;
pub use jobs::{JobRecord, JobState, Jobs};
pub use placement::{Placement, ReplicaPhase, ReplicaRecord, RunnerRecord};
pub use reply::{
    ClaimReply, CommandError, CommandReply, ConfigurationConflict, JobReply, JobView, JobWork,
    StoredAnswer,
};
pub use services::{LeavingInstance, Services};
pub use state::ReplicatedState;
pub use stored::SnapshotError;
