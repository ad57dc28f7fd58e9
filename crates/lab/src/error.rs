//! Errors of the laboratory.

use courseshunt_controller::ControllerError;
use courseshunt_http::HttpError;
use courseshunt_operator::{AdminError, RenderError};
use courseshunt_router::RouterError;
use courseshunt_settings::SettingsError;
use std::process::ExitCode;

/// Why a subcommand failed.
#[derive(Debug, snafu::Snafu)]
pub enum LabError {
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
    /// The operators' API failed.
    #[snafu(display("{source}"), context(false))]
    Admin {
        /// The cause.
        source: AdminError,
    },
    /// A controller can't start.
    #[snafu(display("{source}"), context(false))]
    Controller {
        /// The cause.
        source: ControllerError,
    },
    /// A router can't start.
    #[snafu(display("{source}"), context(false))]
    Router {
        /// The cause.
        source: RouterError,
    },
    /// An HTTP exchange failed.
    #[snafu(display("{source}"), context(false))]
    Http {
        /// The cause.
        source: HttpError,
    },
    /// Something of the system failed.
    #[snafu(display("{source}"), context(false))]
    Io {
        /// The cause.
        source: std::io::Error,
    },
    /// A promise did not hold, or an expected thing did not happen.
    #[snafu(display("{message}"))]
    Violation {
        /// What happened.
        message: String,
    },
}

impl LabError {
    /// The exit code: 2 for usage, 1 for the rest.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Settings { .. } | Self::Render { .. } => ExitCode::from(2),
            _ => ExitCode::from(1),
        }
    }

    /// An error of the command's own flags.
    #[must_use]
    pub fn usage(problem: impl Into<String>) -> Self {
        let problem = problem.into();
        SettingsError::Flags { problem }.into()
    }

    /// A promise that did not hold.
    #[must_use]
    pub fn violation(message: impl Into<String>) -> Self {
        let message = message.into();
        Self::Violation { message }
    }
}
