//! Feeds to routers, and the demand, confirmations and commands that routers send back.

pub mod configuration;
mod frames;
mod jobs;
pub mod placement_index;
mod registry;
pub mod reports;
mod session;
mod source;
mod writer;

pub use placement_index::PlacementIndex;
pub use registry::{REPORT_TIMEOUT, RegisteredRouter, RouterRegistry};
pub use source::{FeedCounts, FeedSource, FeedVersion, MAX_SYNCS};

use crate::ControllerContext;
use courseshunt_wire::{Connection, PeerIdentity, WireError, accept};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Starts the feeds; they end at shutdown.
pub fn start(listener: TcpListener, context: &ControllerContext) {
    let stop = &context.stop;
    let follow = source::follow(context.clone());
    tokio::spawn(stop.clone().run_until_cancelled_owned(follow));
    let confirm = source::confirm(context.clone());
    tokio::spawn(stop.clone().run_until_cancelled_owned(confirm));
    let reports = reports::run(context.clone());
    tokio::spawn(stop.clone().run_until_cancelled_owned(reports));
    tokio::spawn(accept_peers(listener, context.clone()));
}

/// Accepts connections of other processes of the cluster until shutdown.
async fn accept_peers(listener: TcpListener, context: ControllerContext) {
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
                log::warn!("feed: accepting a connection failed: {error}");
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
        log::warn!("feed: connection from {address} failed: {error}");
    }
}

async fn serve_connection(
    connection: Connection,
    context: &ControllerContext,
) -> Result<(), WireError> {
    match connection.peer.clone() {
        PeerIdentity::Router(router, _) => session::serve(connection, router, context).await,
        PeerIdentity::Controller(peer) => crate::peers::serve(connection, peer, context).await,
    }
}
