//! Errors of settings, which name file, line or flag, value and what is allowed.

use std::path::PathBuf;

/// A fault in a settings file or flag.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum SettingsError {
    /// A file can't be read.
    #[snafu(display("{}: can't be read: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A file is no TOML.
    #[snafu(display("{}:{line}: {problem}", path.display()))]
    Syntax {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// What is wrong.
        problem: String,
    },
    /// A key is not known.
    #[snafu(display("{origin}: unknown setting `{key}`; known are: {known}"))]
    UnknownKey {
        /// Where.
        origin: String,
        /// The key.
        key: String,
        /// All keys.
        known: String,
    },
    /// A value is not allowed.
    #[snafu(display("{origin}: `{key}` is `{value}`; allowed: {allowed}"))]
    Value {
        /// Where.
        origin: String,
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// What is allowed.
        allowed: String,
    },
    /// A setting without default is missing.
    #[snafu(display("setting `{key}` is missing; give it in the settings file or as --{flag}"))]
    Missing {
        /// The key.
        key: String,
        /// The flag.
        flag: String,
    },
    /// The flags are wrong.
    #[snafu(display("{problem}"))]
    Flags {
        /// What is wrong.
        problem: String,
    },
}
