//! Pure choice of a runner for a granted request.
//!
//! Invariants: a runner that drains gets no new work; a runner that is ejected
//! gets one probe at a time; cached prefixes and load reports are hints, which
//! may cost time when wrong but never correctness.

pub mod balancer;
pub mod health;
pub mod prefix;

pub use balancer::{Balancer, ChoiceMode, PREFIX_BLOCK_TOKENS};
pub use health::{HealthCounts, RunnerHealth};
pub use prefix::{PrefixIndex, PrefixMatch};
