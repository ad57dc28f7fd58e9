//! Maintains a connection to an owner of queues.

use super::links::PeerContext;
use super::{PeerEvent, SEND_QUEUE};
use courseshunt_types::RouterId;
use courseshunt_wire::{Connection, Message, Receiver, Sender, WireError, connect_within};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Timeout of a connection attempt, after which the owner counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after the first failed connection attempt; doubles up to [`MAX_RETRY_PAUSE`].
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Maximum pause between connection attempts.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);
/// Interval between pings.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Time without any message after which an owner counts as lost.
const SILENCE_LIMIT: Duration = Duration::from_millis(1500);

/// Connects to an owner and reconnects after each failure, until dropped.
pub async fn run(owner: RouterId, address: SocketAddr, context: PeerContext) {
    let mut pause = FIRST_RETRY_PAUSE;
    loop {
        match dial(address, &context).await {
            Ok(connection) => {
                pause = FIRST_RETRY_PAUSE;
                let ended = session(&owner, connection, &context).await;
                let timed_out = matches!(ended, Err(WireError::TimedOut { .. }));
                if let Err(error) = ended {
                    log::info!("peers: session with owner {owner} ended: {error}");
                }
                let disconnected = owner.clone();
                context.notify(PeerEvent::OwnerDisconnected {
                    owner: disconnected,
                });
                if timed_out {
                    // An unresponsive owner would hardly answer a new connection, and
                    // tickets must not wait for that attempt to time out.
                    let owner = owner.clone();
                    context.notify(PeerEvent::OwnerUnreachable { owner });
                }
            }
            Err(error) => {
                log::debug!("peers: connecting to owner {owner} at {address} failed: {error}");
                let owner = owner.clone();
                context.notify(PeerEvent::OwnerUnreachable { owner });
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
    }
}

async fn dial(address: SocketAddr, context: &PeerContext) -> Result<Connection, WireError> {
    let PeerContext {
        source,
        key,
        identity,
        ..
    } = context;
    connect_within(CONNECT_TIMEOUT, *source, address, key, identity).await
}

async fn session(
    owner: &RouterId,
    connection: Connection,
    context: &PeerContext,
) -> Result<(), WireError> {
    let Connection {
        sender, receiver, ..
    } = connection;
    let (messages, queue) = mpsc::channel(SEND_QUEUE);
    context.notify(PeerEvent::OwnerConnected {
        owner: owner.clone(),
        sender: messages,
    });
    tokio::select! {
        ended = send(sender, queue) => ended,
        ended = receive(owner, receiver, context) => ended,
    }
}

async fn send(mut sender: Sender, mut queue: mpsc::Receiver<Message>) -> Result<(), WireError> {
    let mut ping = tokio::time::interval(PING_INTERVAL);
    loop {
        tokio::select! {
            message = queue.recv() => match message {
                Some(message) => sender.send(&message).await?,
                None => return Ok(()),
            },
            _ = ping.tick() => sender.send(&Message::Ping).await?,
        }
    }
}

async fn receive(
    owner: &RouterId,
    mut receiver: Receiver,
    context: &PeerContext,
) -> Result<(), WireError> {
    loop {
        let deadline = Instant::now() + SILENCE_LIMIT;
        let received = tokio::time::timeout_at(deadline, receiver.receive()).await;
        let message = received.map_err(|_| WireError::TimedOut {
            step: "receive",
            peer: owner.to_string(),
        })??;
        match message {
            None => return Ok(()),
            Some(Message::Pong) => {}
            Some(message) => context.notify(PeerEvent::FromOwner {
                owner: owner.clone(),
                message,
            }),
        }
    }
}
