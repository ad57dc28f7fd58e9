//! Errors of a controller's start, which name the step and the file or address.

use courseshunt_storage::StorageError;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a controller can't start.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControllerError {
    /// A file can't be read.
    #[snafu(display("controller: read {}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The cluster key is too short.
    #[snafu(display("controller: the cluster key must have at least 16 bytes"))]
    ShortKey,
    /// A line of the operators' tokens is wrong.
    #[snafu(display("controller: {}:{line}: expected `role token [name]`, role one of read, apply, operate, token perhaps as sha256:DIGEST", path.display()))]
    OperatorToken {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
    },
    /// An address can't be bound.
    #[snafu(display("controller: listen on {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The store can't be opened.
    #[snafu(display("controller: open the store: {source}"))]
    Storage {
        /// The cause.
        source: StorageError,
    },
    /// A snapshot or entry can't be read.
    #[snafu(display("controller: restore the state: {message}"))]
    Restore {
        /// What is wrong.
        message: String,
    },
    /// There is no such placement policy.
    #[snafu(display("controller: `policy` is `{name}`; allowed: {allowed}"))]
    UnknownPolicy {
        /// The name.
        name: String,
        /// All names.
        allowed: String,
    },
    /// An actor can't be started.
    #[snafu(display("controller: start the {part}: {message}"))]
    Actor {
        /// The part.
        part: &'static str,
        /// What is wrong.
        message: String,
    },
}
