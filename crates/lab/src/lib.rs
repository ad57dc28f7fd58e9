//! The laboratory: demo, fleet, simulation, load, capacity and reports.

pub mod callers;
pub mod commands;
pub mod compare;
pub mod demo;
pub mod error;
pub mod files;
pub mod simulate;
pub mod site;

pub use error::LabError;
