//! Deferred jobs: the HTTP API for callers and the executor.

mod api;
mod executor;
mod lease;
mod tracker;

pub use api::{JOBS_PATH, handle};
pub use executor::run;
pub use tracker::{JobTracker, WaitingJob, is_due};
