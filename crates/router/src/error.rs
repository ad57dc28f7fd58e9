//! Errors at the start of a router. Each names the step and the file or address.

use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a router can't start.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RouterError {
    /// The file with the cluster key can't be read.
    #[snafu(display("router: read {}: {source}", path.display()))]
    File {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The cluster key has fewer than 16 bytes.
    #[snafu(display("router: the cluster key must have at least 16 bytes"))]
    ShortKey,
    /// A listen address can't be bound.
    #[snafu(display("router: listen on {address}: {source}"))]
    Bind {
        /// The address from the settings.
        address: SocketAddr,
        /// The I/O error.
        source: std::io::Error,
    },
    /// An actor can't be started.
    #[snafu(display("router: start the {component}: {message}"))]
    Actor {
        /// Component that the actor implements.
        component: &'static str,
        /// The router's name and the error of the actor system.
        message: String,
    },
}
