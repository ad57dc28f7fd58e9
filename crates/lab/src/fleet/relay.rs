//! A plain TCP forwarder in front of each node, which the fault schedule makes
//! silent, slow or narrow, link by link.
//!
//! A dead node refuses connections, since its forwarder is closed; a cut-off
//! one accepts them and stays silent. (On real machines the connection itself
//! would not come about; here the kernel accepts before the relay can.)

use super::address::{FleetNetwork, NodeId, relayed};
use super::links::{LinkKey, Links};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const CHUNK_BYTES: usize = 16 * 1024;
/// Chunks under way in one direction of a connection.
const CHUNKS_UNDER_WAY: usize = 64;

/// See the module.
#[derive(Debug, Clone)]
pub struct Relay {
    network: FleetNetwork,
    /// The links' states.
    pub links: Arc<Links>,
    open: Arc<Mutex<BTreeMap<SocketAddr, CancellationToken>>>,
}

impl Relay {
    /// A relay without any forwarder.
    #[must_use]
    pub fn new(network: FleetNetwork) -> Self {
        Self {
            network,
            links: Arc::default(),
            open: Arc::default(),
        }
    }

    /// Opens the forwarder in front of `address`.
    ///
    /// # Errors
    /// When its address can't be bound.
    pub async fn open(&self, node: NodeId, address: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(relayed(address)).await?;
        let stop = CancellationToken::new();
        let relay = self.clone();
        let accepting = stop.clone();
        tokio::spawn(accepting.run_until_cancelled_owned(async move {
            relay.accept(listener, node, address).await;
        }));
        let replaced = self.forwarders().insert(address, stop);
        if let Some(replaced) = replaced {
            replaced.cancel();
        }
        Ok(())
    }

    /// Closes the forwarder in front of `address`: new connections are refused.
    /// Those that exist end with their node.
    pub fn close(&self, address: SocketAddr) {
        if let Some(stop) = self.forwarders().remove(&address) {
            stop.cancel();
        }
    }

    /// Closes all forwarders.
    pub fn close_all(&self) {
        for (_, stop) in std::mem::take(&mut *self.forwarders()) {
            stop.cancel();
        }
    }

    fn forwarders(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, CancellationToken>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn accept(&self, listener: TcpListener, node: NodeId, address: SocketAddr) {
        loop {
            let Ok((stream, peer)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            let dialler = self.network.node_at(peer.ip());
            tokio::spawn(self.clone().forward(stream, dialler, node, address));
        }
    }

    async fn forward(
        self,
        dialled: TcpStream,
        dialler: Option<NodeId>,
        node: NodeId,
        address: SocketAddr,
    ) {
        let from = dialler.unwrap_or_else(NodeId::platform);
        let Ok(onward) = TcpStream::connect(address).await else {
            return;
        };
        let _ = dialled.set_nodelay(true);
        let _ = onward.set_nodelay(true);
        let (dialled_read, dialled_write) = dialled.into_split();
        let (onward_read, onward_write) = onward.into_split();
        let there = LinkKey { from, to: node };
        let back = LinkKey {
            from: node,
            to: from,
        };
        tokio::join!(
            pump(dialled_read, onward_write, &self.links, there),
            pump(onward_read, dialled_write, &self.links, back),
        );
    }
}

struct Chunk {
    due: Instant,
    content: Bytes,
}

/// Carries one direction until it ends on either side.
async fn pump(read: OwnedReadHalf, write: OwnedWriteHalf, links: &Links, key: LinkKey) {
    let (sender, receiver) = mpsc::channel(CHUNKS_UNDER_WAY);
    let reading = take_in(read, sender, links, key);
    let writing = give_out(write, receiver, links, key);
    tokio::join!(reading, writing);
}

async fn take_in(
    mut read: OwnedReadHalf,
    chunks: mpsc::Sender<Chunk>,
    links: &Links,
    key: LinkKey,
) {
    loop {
        let mut content = vec![0; CHUNK_BYTES];
        let Ok(length @ 1..) = read.read(&mut content).await else {
            return;
        };
        content.truncate(length);
        let due = Instant::now() + links.get(key).delay;
        let content = Bytes::from(content);
        if chunks.send(Chunk { due, content }).await.is_err() {
            return;
        }
    }
}

async fn give_out(
    mut write: OwnedWriteHalf,
    mut chunks: mpsc::Receiver<Chunk>,
    links: &Links,
    key: LinkKey,
) {
    while let Some(chunk) = chunks.recv().await {
        tokio::time::sleep_until(chunk.due).await;
        passable(links, key).await;
        if write.write_all(&chunk.content).await.is_err() {
            return;
        }
        if let Some(limit) = links.get(key).bytes_per_second {
            let seconds = chunk.content.len() as f64 / limit.max(1) as f64;
            tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
        }
    }
    passable(links, key).await;
    let _ = write.shutdown().await;
}

/// Waits while the link is cut.
async fn passable(links: &Links, key: LinkKey) {
    let mut changes = links.changes();
    while links.get(key).cut {
        if changes.changed().await.is_err() {
            return;
        }
    }
}
