//! The courseshunt command line: one module for each subcommand.

pub mod commands;
pub mod error;

pub use error::CommandError;
