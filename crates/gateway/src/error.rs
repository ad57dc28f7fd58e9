//! Errors of a router's start.

use std::net::SocketAddr;

/// Why a router can't start.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum GatewayError {
    /// The cluster key is too short.
    #[snafu(display("router: the cluster key must have at least 16 bytes"))]
    ShortKey,
    /// There is no address for clients.
    #[snafu(display("router: `listen.clients` is missing"))]
    NoAddress,
    /// An address can't be bound.
    #[snafu(display("router: listen on {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
}
