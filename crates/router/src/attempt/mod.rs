//! One attempt at a runner, and what may follow it.
//!
//! Invariant: an attempt is called not-run only while no byte of it can have
//! reached a runner, or when the runner itself says that it did not start. An
//! answer is taken only when its request identity and attempt match.

mod budget;
mod machine;
mod outcome;

pub use budget::RetryBudget;
pub use machine::{AttemptEvent, AttemptMachine, AttemptStage};
pub use outcome::{AttemptOutcome, NotRunCause, UnknownCause};
