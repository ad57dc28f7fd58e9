//! The courseshunt command line: one module for each subcommand.

pub mod commands;
pub mod error;
pub mod file_kind;
pub mod view;

pub use error::CommandError;
