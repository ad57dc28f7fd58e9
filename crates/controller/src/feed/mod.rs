//! Feeds to routers, and what routers send back.

mod jobs;
mod registry;
mod session;
mod updates;

pub use registry::RouterRegistry;

use crate::ControllerContext;
use courseshunt_wire::{Connection, PeerIdentity, WireError, accept};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Pause after an accept error.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts other processes of the cluster until the planned stop.
pub async fn accept_peers(listener: TcpListener, context: ControllerContext) {
    loop {
        let accepted = tokio::select! {
            () = context.stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, address)) => {
                tokio::spawn(serve_peer(stream, address, context.clone()));
            }
            Err(error) => {
                log::warn!("feed: accept failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_peer(stream: TcpStream, address: SocketAddr, context: ControllerContext) {
    let identity = PeerIdentity::Controller(context.settings.id);
    let connection = accept(stream, address, &context.cluster_key, &identity).await;
    let ended = match connection {
        Ok(connection) => serve_connection(connection, &context).await,
        Err(error) => Err(error),
    };
    if let Err(error) = ended {
        log::warn!("feed: connection ended: {error}");
    }
}

async fn serve_connection(
    connection: Connection,
    context: &ControllerContext,
) -> Result<(), WireError> {
    match connection.peer.clone() {
        PeerIdentity::Router(router, _) => session::serve(connection, router, context).await,
        PeerIdentity::Controller(_) => Ok(()),
    }
}
