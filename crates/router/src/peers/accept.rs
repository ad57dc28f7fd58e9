//! Accepts connections from the holders of tickets for this router's queues.

use super::links::PeerContext;
use super::{PeerEvent, SEND_QUEUE, SessionNumber};
use crate::control::RelaySource;
use courseshunt_types::{Revision, RouterId};
use courseshunt_wire::{Connection, Message, PeerIdentity, Receiver, Sender, WireError, accept};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts and serves holders until `stop` is cancelled.
pub async fn accept_holders(
    listener: TcpListener,
    context: PeerContext,
    relay: RelaySource,
    stop: CancellationToken,
) {
    let mut session = SessionNumber(0);
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, address)) => {
                session = SessionNumber(session.0 + 1);
                let serving = serve(stream, address, session, context.clone(), relay.clone());
                tokio::spawn(stop.clone().run_until_cancelled_owned(serving));
            }
            Err(error) => {
                log::warn!("peers: accept failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(
    stream: TcpStream,
    address: SocketAddr,
    session: SessionNumber,
    context: PeerContext,
    relay: RelaySource,
) {
    let connection = match accept(stream, address, &context.key, &context.identity).await {
        Ok(connection) => connection,
        Err(error) => {
            log::warn!("peers: handshake with {address} failed: {error}");
            return;
        }
    };
    let PeerIdentity::Router(holder, _) = connection.peer.clone() else {
        log::warn!(
            "peers: closed connection from {address}: {} is not a router",
            connection.peer
        );
        return;
    };
    let ended = serve_holder(&holder, session, connection, &context, &relay).await;
    if let Err(error) = ended {
        log::info!("peers: session with holder {holder} ended: {error}");
    }
    context.notify(PeerEvent::HolderLost { holder, session });
}

async fn serve_holder(
    holder: &RouterId,
    session: SessionNumber,
    connection: Connection,
    context: &PeerContext,
    relay: &RelaySource,
) -> Result<(), WireError> {
    let Connection {
        sender, receiver, ..
    } = connection;
    let (messages, queue) = mpsc::channel(SEND_QUEUE);
    // Only the dispatcher holds a strong sender: the session ends when the
    // dispatcher drops it.
    let answers = messages.downgrade();
    context.notify(PeerEvent::HolderConnected {
        holder: holder.clone(),
        session,
        sender: messages,
    });
    tokio::select! {
        ended = send(sender, queue) => ended,
        ended = receive(holder, session, receiver, answers, context, relay) => ended,
    }
}

async fn send(mut sender: Sender, mut queue: mpsc::Receiver<Message>) -> Result<(), WireError> {
    while let Some(message) = queue.recv().await {
        sender.send(&message).await?;
    }
    Ok(())
}

/// Answers a subscription of a router that reaches no controller.
async fn send_relayed_state(
    relay: &RelaySource,
    revision: Revision,
    answers: &mpsc::WeakSender<Message>,
) {
    let Some(answers) = answers.upgrade() else {
        return;
    };
    for message in relay.answer(revision) {
        if answers.send(message).await.is_err() {
            return;
        }
    }
}

async fn receive(
    holder: &RouterId,
    session: SessionNumber,
    mut receiver: Receiver,
    answers: mpsc::WeakSender<Message>,
    context: &PeerContext,
    relay: &RelaySource,
) -> Result<(), WireError> {
    while let Some(message) = receiver.receive().await? {
        if message == Message::Ping {
            if let Some(answers) = answers.upgrade() {
                // If the queue is full, its other messages show that this side
                // is alive.
                let _ = answers.try_send(Message::Pong);
            }
            continue;
        }
        if let Message::Subscribe(subscribe) = &message {
            send_relayed_state(relay, subscribe.revision, &answers).await;
            continue;
        }
        context.notify(PeerEvent::FromHolder {
            holder: holder.clone(),
            session,
            message,
        });
    }
    Ok(())
}
