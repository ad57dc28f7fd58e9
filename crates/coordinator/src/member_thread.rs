//! The thread of the control group: its replica, the links between members, and the
//! listener for them.
//!
//! Invariant: nothing runs here whose cost grows with the routers or instances of the
//! fleet; their upkeep runs on the process's other thread, and the kernel shares the core
//! between the two. So heartbeats leave in time however long a plan or the taking over of
//! 10,000 instances takes. What both threads use is locked for the time of a copy only.

use crate::error::{CoordinatorError, ThreadSnafu};
use crate::join;
use crate::records::ControllerRecord;
use crate::relay;
use crate::{Shared, accept};
use courseshunt_controller::peers::{REPLY_QUEUE, send_replies, serve_replica};
use courseshunt_records::emit;
use courseshunt_types::ControllerId;
use courseshunt_wire::{Connection, Message, PeerIdentity, Receiver, WireError};
use snafu::ResultExt;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Name of the thread, as the system shows it.
const NAME: &str = "members";

/// Starts the thread; it ends with the token.
///
/// # Errors
/// When the system allows no further thread.
pub(crate) fn start(stop: CancellationToken) -> Result<Handle, CoordinatorError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(ThreadSnafu { step: "build" })?;
    let handle = runtime.handle().clone();
    std::thread::Builder::new()
        .name(NAME.to_owned())
        .spawn(move || runtime.block_on(stop.cancelled()))
        .context(ThreadSnafu { step: "start" })?;
    Ok(handle)
}

/// Accepts other members, and processes that want to join, until the stop.
pub(crate) async fn accept_all(listener: TcpListener, shared: Arc<Shared>) {
    let serve = |stream, address| serve_peer(stream, address, shared.clone());
    accept::accept_all(listener, "members", serve).await;
}

async fn serve_peer(stream: TcpStream, address: SocketAddr, shared: Arc<Shared>) {
    let identity = PeerIdentity::Controller(shared.id);
    let connection = courseshunt_wire::accept(stream, address, &shared.key, &identity).await;
    let ended = match connection {
        Ok(connection) => serve_member(connection, address, &shared).await,
        Err(error) => Err(error),
    };
    if let Err(error) = ended {
        log::debug!("members: connection ended: {error}");
    }
}

pub(crate) async fn serve_member(
    connection: Connection,
    address: SocketAddr,
    shared: &Arc<Shared>,
) -> Result<(), WireError> {
    let Connection {
        sender,
        receiver,
        peer,
        version,
    } = connection;
    let PeerIdentity::Controller(peer) = peer else {
        log::warn!("members: {peer} connected where only members do");
        return Ok(());
    };
    // All members listen on the same ports.
    let wire_address = SocketAddr::new(address.ip(), shared.settings.wire_port);
    shared.addresses.set(peer, wire_address);
    shared.addresses.record_protocol_version(peer, version);
    shared.addresses.record_inbound_connection(peer);
    let (replies, reply_queue) = mpsc::channel(REPLY_QUEUE);
    tokio::select! {
        () = shared.stop.cancelled() => Ok(()),
        ended = send_replies(sender, reply_queue) => ended,
        ended = receive_member(receiver, peer, replies, shared) => ended,
    }
}

async fn receive_member(
    mut receiver: Receiver,
    peer: ControllerId,
    replies: mpsc::Sender<Message>,
    shared: &Arc<Shared>,
) -> Result<(), WireError> {
    while let Some(message) = receiver.receive().await? {
        match serve_replica(peer, message, &shared.replica, &replies) {
            Some(Message::Join {
                member,
                wire_address,
            }) => {
                let answer = take_in(member, &wire_address, shared).await;
                let _ = replies.send(answer).await;
            }
            // Production's build sends them by the same connection.
            Some(Message::Registrations(batch)) => {
                let answer = relay::take(batch, peer, shared);
                let _ = replies.send(answer).await;
            }
            Some(other) => log::warn!("members: controller {peer} sent {other:?}"),
            None => {}
        }
    }
    Ok(())
}

/// Notes that a process wants to join, and tells it where the leader is.
async fn take_in(member: ControllerId, wire_address: &str, shared: &Shared) -> Message {
    let leads = shared.replica.leads();
    if leads && let Ok(address) = wire_address.parse() {
        shared.addresses.set(member, address);
        shared.note_applicant(member, address);
    }
    let mut known = join::members(shared).await;
    if known.is_empty() {
        // No member itself: whom it has met may know more.
        known = shared.addresses.all().into_iter().collect();
    }
    if shared.asked_to_join(member, leads) {
        emit(&ControllerRecord::AskedToJoin {
            member: member.0,
            address: wire_address,
            noted: leads,
            members: known.len(),
        });
    }
    let leader = shared.leader_address().map(|address| address.to_string());
    let members = known.into_iter();
    let members = members.map(|(id, address)| (id, address.to_string()));
    Message::Joined {
        leads,
        leader,
        members: members.collect(),
    }
}
