//! Keeps one connection to an owner of queues.

use super::links::PeerContext;
use super::{PeerEvent, SEND_QUEUE};
use courseshunt_types::RouterId;
use courseshunt_wire::{Connection, Message, Receiver, Sender, WireError, connect_within};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Longest time for connecting; a longer one counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// First pause after a failed dial; doubles up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between dials.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Time between pings.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// An owner that sends nothing for this long is lost.
const SILENCE_LIMIT: Duration = Duration::from_millis(1500);

/// Dials an owner again and again until dropped.
pub async fn run(owner: RouterId, address: SocketAddr, context: PeerContext) {
    let mut pause = FIRST_PAUSE;
    loop {
        match dial(address, &context).await {
            Ok(connection) => {
                pause = FIRST_PAUSE;
                let ended = session(&owner, connection, &context).await;
                let silent = matches!(ended, Err(WireError::TimedOut { .. }));
                if let Err(error) = ended {
                    log::info!("peers: session with owner {owner} ended: {error}");
                }
                let lost = owner.clone();
                context.tell(PeerEvent::OwnerDisconnected { owner: lost });
                if silent {
                    // It hardly answers a dial; tickets must not wait for that.
                    let owner = owner.clone();
                    context.tell(PeerEvent::OwnerUnreachable { owner });
                }
            }
            Err(error) => {
                log::debug!("peers: owner {owner} can't be reached: {error}");
                let owner = owner.clone();
                context.tell(PeerEvent::OwnerUnreachable { owner });
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(MAX_PAUSE);
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
    context.tell(PeerEvent::OwnerConnected {
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
        let silent_at = Instant::now() + SILENCE_LIMIT;
        let received = tokio::time::timeout_at(silent_at, receiver.receive()).await;
        let message = received.map_err(|_| WireError::TimedOut {
            step: "receive",
            peer: owner.to_string(),
        })??;
        match message {
            None => return Ok(()),
            Some(Message::Pong) => {}
            Some(message) => context.tell(PeerEvent::FromOwner {
                owner: owner.clone(),
                message,
            }),
        }
    }
}
