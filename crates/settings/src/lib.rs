//! Settings files, command-line flags and logging set-up.
//!
//! Each process has one table of [`Setting`]s. The table gives the settings
//! file's keys, the flags, the help text, the checks and the reference page;
//! the parsed values end in one typed struct per process.

pub mod error;
pub mod limit_variables;
mod load;
pub mod locate;
pub mod logging;
pub mod manual;
pub mod process;
pub mod reference;
pub mod service;
pub mod standins;
pub mod table;

pub use error::SettingsError;
pub use load::{Origin, Values, help_text, load};
pub use process::{ControllerSettings, PeerAddress, RouterSettings, StandinSettings};
pub use reference::settings_reference;
pub use table::{Kind, MachineAddress, Setting};
