//! The replicated log as a pure state machine: no I/O, no clock, no threads.
//!
//! Invariant: an entry handed out by [`Output::Apply`] is on the durable log of
//! a quorum of voters, and no later leader lacks it.
//!
//! The caller feeds [`Input`]s with the present [`Timestamp`] to
//! [`Core::step`] and carries out the [`Output`]s in order: *persist* before
//! *send* and *apply*. Messages that depend on a persisted state come out only
//! after the matching [`Input::Persisted`].
//!
//! [`Timestamp`]: courseshunt_types::Timestamp

#![allow(
    missing_docs,
    reason = "the fields of the archived enums that rkyv derives carry no docs"
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
