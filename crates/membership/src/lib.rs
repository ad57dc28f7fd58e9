//! Who belongs to the control group: whom a process asks that wants to join, whom the
//! leader takes in, promotes, replaces and forgets, and how many losses can be borne.
//!
//! Invariants: nothing here does I/O or reads a clock, so that the simulation runs the
//! code that ships; a process that can reach any process that knows the leader, or that
//! lives at a member's address, becomes a member; the number of voters never falls by a
//! repair.

mod applicants;
mod joiner;
mod redundancy;
mod repair;
mod settings;

pub use applicants::Applicants;
pub use joiner::{JoinAnswer, JoinReply, JoinWay, Joiner, JoinerView};
pub use redundancy::{Redundancy, RedundancyWatch};
pub use repair::{GroupView, decide, next_to_record};
pub use settings::core_settings;
