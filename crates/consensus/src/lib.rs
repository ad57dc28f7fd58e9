//! Raft consensus as a pure state machine: no I/O, no clock, no threads.
//!
//! Invariant: an entry returned in [`Output::Apply`] is in the durable log of
//! a quorum of voters, and the log of every later leader contains it.
//!
//! The caller passes [`Input`]s and the current [`Timestamp`] to
//! [`Core::step`] and carries out the returned [`Output`]s in order: *persist*
//! before *send* and *apply*. Messages that depend on persisted state are
//! returned only after the matching [`Input::Persisted`].
//!
//! [`Timestamp`]: courseshunt_types::Timestamp

#![allow(
    missing_docs,
    reason = "the fields of the archived enums that rkyv derives have no doc comments"
)]

pub mod core;
pub mod entry;
mod entry_log;
pub mod input;
pub mod membership;
mod membership_log;
pub mod message;
pub mod output;
mod progress;

pub use crate::core::{Core, CoreSettings, MemberProgress, MembersView, Mutant, Recovered, Role};
pub use entry::{Entry, HardState, Payload, SnapshotMetadata};
pub use input::{Input, PersistNumber, ProposalId, ReadId};
pub use membership::{Membership, MembershipChange, MembershipError};
pub use message::ConsensusMessage;
pub use output::{Output, RejectionReason};
