//! Deferred jobs: the callers' interface and the executor.

mod api;
mod board;
mod executor;
mod lease;

pub use api::{JOBS_PATH, handle};
pub use board::{JobBoard, WaitingJob, is_due};
pub use executor::run;
