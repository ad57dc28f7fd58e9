//! The laboratory: demo, fleet, simulation, load, capacity and reports.

pub mod callers;
pub mod capacity;
pub mod commands;
pub mod compare;
pub mod demo;
pub mod error;
pub mod files;
pub mod hollow;
pub mod propagate;
pub mod simulate;
pub mod site;

pub use error::LabError;
