//! Errors when a router starts.

use std::net::SocketAddr;

/// Why a router can't start.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum GatewayError {
    /// The cluster key is too short.
    #[snafu(display("router: the cluster key must have at least 16 bytes"))]
    ShortKey,
    /// No listen address for clients is configured.
    #[snafu(display("router: `listen.clients` is missing"))]
    NoAddress,
    /// A listen address can't be bound.
    #[snafu(display("router: listen on {address}: {source}"))]
    Bind {
        /// The address to listen on.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
}
