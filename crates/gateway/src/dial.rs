//! How a router opens TCP connections to instances.
//!
//! Invariant: all connections to instances, those of probes included, are opened by the router's
//! one dialler, so that tests can take the paths to instances away from a single router.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use tokio::net::TcpStream;

/// The result of dialling, once it is known.
pub type Dialling<'a> = Pin<Box<dyn Future<Output = io::Result<TcpStream>> + Send + 'a>>;

/// Opens TCP connections to instances.
pub trait InstanceDialler: Send + Sync + 'static {
    /// Opens a connection to `address`. The caller limits the time.
    fn dial(&self, address: SocketAddr) -> Dialling<'_>;
}

/// Opens connections with the operating system's routing.
#[derive(Debug, Default, Clone, Copy)]
pub struct TcpDialler;

impl InstanceDialler for TcpDialler {
    fn dial(&self, address: SocketAddr) -> Dialling<'_> {
        Box::pin(TcpStream::connect(address))
    }
}
