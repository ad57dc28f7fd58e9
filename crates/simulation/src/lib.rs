//! Seeded simulation of the real consensus, storage and state cores.
//!
//! Invariant: a run depends on its seed and options only; the same seed gives
//! the same run. Time, network, disks and clients are simulated; the code that
//! decides is the code that ships.

pub mod checker;
mod clients;
pub mod disk;
mod faults;
mod group;
pub mod measure;
mod node;
mod random;
mod steward;
mod world;

pub use checker::{Promise, Violation};
pub use group::{GroupOptions, GroupReport, Way, run_group};
pub use random::Random;
pub use world::{Options, Report, Sabotage, run};
