//! Errors of a router's start, which name the step and the file or address.

use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a router can't start.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RouterError {
    /// A file can't be read.
    #[snafu(display("router: read {}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The cluster key is too short.
    #[snafu(display("router: the cluster key must have at least 16 bytes"))]
    ShortKey,
    /// An address can't be bound.
    #[snafu(display("router: listen on {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// An actor can't be started.
    #[snafu(display("router: start the {part}: {message}"))]
    Actor {
        /// The part.
        part: &'static str,
        /// What is wrong.
        message: String,
    },
}
