//! Errors of the command line and their exit codes.

use courseshunt_controller::ControllerError;
use courseshunt_operator::{AdminError, JobError, RenderError};
use courseshunt_router::RouterError;
use courseshunt_settings::SettingsError;
use std::process::ExitCode;

/// Why a subcommand failed.
#[derive(Debug, snafu::Snafu)]
pub enum CommandError {
    /// Settings or flags are wrong.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// The cause.
        source: SettingsError,
    },
    /// A template or document is wrong.
    #[snafu(display("{source}"), context(false))]
    Render {
        /// The cause.
        source: RenderError,
    },
    /// The controllers refused or can't be reached.
    #[snafu(display("{source}"), context(false))]
    Admin {
        /// The cause.
        source: AdminError,
    },
    /// A router refused or can't be reached.
    #[snafu(display("{source}"), context(false))]
    Job {
        /// The cause.
        source: JobError,
    },
    /// Routers lack a change after the wait.
    #[snafu(display("not in force at {routers}"))]
    Lagging {
        /// The routers, with their revisions.
        routers: String,
    },
    /// The controller can't start.
    #[snafu(display("{source}"), context(false))]
    Controller {
        /// The cause.
        source: ControllerError,
    },
    /// The controller's replica has ended by itself, as when its store fails for good.
    #[snafu(display("controller: {problem}"))]
    ReplicaEnded {
        /// Why.
        problem: String,
    },
    /// The router can't start.
    #[snafu(display("{source}"), context(false))]
    Router {
        /// The cause.
        source: RouterError,
    },
    /// Something of the system failed.
    #[snafu(display("{source}"), context(false))]
    Io {
        /// The cause.
        source: std::io::Error,
    },
}

/// Exit code for wrong settings, flags and documents.
const EXIT_USAGE: u8 = 2;
/// Exit code for everything else.
const EXIT_FAILURE: u8 = 1;

impl CommandError {
    /// The exit code.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Settings { .. } | Self::Render { .. } => ExitCode::from(EXIT_USAGE),
            _ => ExitCode::from(EXIT_FAILURE),
        }
    }

    /// An error of the command's own flags.
    #[must_use]
    pub fn usage(problem: impl Into<String>) -> Self {
        let problem = problem.into();
        SettingsError::Flags { problem }.into()
    }
}
