//! Startup errors of a controller. Each names the failed step and the file or address.

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
    /// A line of the operator token file is malformed.
    #[snafu(display("controller: {}:{line}: expected `role token [name]`, role one of read, apply, operate, token perhaps as sha256:DIGEST", path.display()))]
    OperatorToken {
        /// The file.
        path: PathBuf,
        /// Line number, counted from 1.
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
        /// The cause.
        message: String,
    },
    /// The configured placement policy does not exist.
    #[snafu(display("controller: `policy` is `{name}`; allowed: {allowed}"))]
    UnknownPolicy {
        /// The configured name.
        name: String,
        /// The supported names, separated by commas.
        allowed: String,
    },
    /// An actor can't be started.
    #[snafu(display("controller: start the {part}: {message}"))]
    Actor {
        /// The actor or thread that failed to start.
        part: &'static str,
        /// The cause.
        message: String,
    },
}
