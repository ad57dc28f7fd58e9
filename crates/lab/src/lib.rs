//! The laboratory: demo, fleet, simulation, load, capacity and reports.

pub mod capacity;
pub mod commands;
pub mod demo;
pub mod error;
pub mod hollow;
pub mod propagate;
pub mod site;

pub use error::LabError;
