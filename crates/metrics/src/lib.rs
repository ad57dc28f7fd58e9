//! Metrics pages in the Prometheus text format.
//!
//! A page is built when it is asked for, from the values of that moment, so
//! that parts of a process keep plain numbers and no registry.

mod page;
mod process;

pub use page::{MetricsPage, Sample, page_with_process};
pub use process::{ProcessUsage, process_usage};
