//! Who belongs to the control group: whom a process asks that wants to join, whom the
//! leader takes in, promotes, replaces and forgets, and how many losses can be borne.
//!
//! Invariants: nothing here does I/O or reads a clock, so that the simulation runs the
//! code that ships; a process that can reach any process that knows the leader, or that
//! lives at a member's address, becomes a member; the number of voters never falls by a
//! repair.

mod join_requests;
mod joiner;
mod redundancy;
mod repair;
mod settings;

pub use join_requests::JoinRequests;
pub use joiner::{JoinOutcome, JoinReply, JoinStrategy, Joiner, JoinerView};
pub use redundancy::{Redundancy, RedundancyTracker};
pub use repair::{GroupView, next_address_to_record, next_change};
pub use settings::core_settings;
