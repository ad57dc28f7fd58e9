//! Structured records of decisions, as JSON lines.
//!
//! Invariants: a record is one line of valid JSON, whatever its values hold;
//! writing never blocks the caller; what does not fit the bound is counted and
//! told, and the last record of a failed request goes before all others.

mod output;
mod story;

pub use output::{Bounds, Counts, Output, dispatch};
pub use story::{Story, read_stories};

use serde::Serialize;

/// Target of records in the `log` facade.
pub const TARGET: &str = "record";
/// Target of records that are kept when others are left out.
pub const KEPT_TARGET: &str = "record.kept";

/// A decision, with what it rests on.
pub trait Record: Serialize {
    /// Whether the record is kept when others are left out: the last one of a
    /// failed request, and what changes a process's beliefs.
    fn is_kept(&self) -> bool;
}

/// Writes a record through the `log` facade.
pub fn emit(record: &impl Record) {
    let target = match record.is_kept() {
        true => KEPT_TARGET,
        false => TARGET,
    };
    if !log::log_enabled!(target: target, log::Level::Info) {
        return;
    }
    match serde_json::to_string(record) {
        Ok(text) => log::info!(target: target, "{text}"),
        Err(error) => log::error!("record: {error}"),
    }
}
