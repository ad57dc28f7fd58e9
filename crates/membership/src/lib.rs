//! Membership of the control group: which processes a joining process contacts, which members
//! the leader adds, promotes, replaces and removes, and how many voter losses the group
//! tolerates.
//!
//! Invariants: nothing here does I/O or reads a clock, so that the simulation runs the shipped
//! code; a process becomes a member if it can reach any process that has the address of the
//! leader, or if it runs at the address of a member; a repair never reduces the number of
//! voters.

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
