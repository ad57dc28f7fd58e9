//! The laboratory: demo, fleet, simulation, load, capacity and reports.

pub mod callers;
pub mod capacity;
pub mod commands;
pub mod compare;
pub mod demo;
pub mod error;
pub mod files;
pub mod fleet;
pub mod hollow;
pub mod load;
pub mod propagate;
pub mod simulate;
pub mod site;
pub mod suite;

pub use error::LabError;
