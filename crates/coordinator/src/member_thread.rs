//! The thread of the control group: runs the replica, the connections between members, and the
//! listener for them.
//!
//! Invariant: nothing runs here whose cost grows with the number of routers or instances. That
//! work runs on the process's other thread, and the kernel shares the core between the two, so
//! that heartbeats are sent in time while the other thread plans or restores 10,000 instances.
//! State that both threads use is locked only while it is copied.

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

/// Name of the thread in the operating system.
const THREAD_NAME: &str = "members";

/// Starts the thread; it ends when the token is cancelled.
///
/// # Errors
/// When the runtime or the thread can't be created.
pub(crate) fn start(stop: CancellationToken) -> Result<Handle, CoordinatorError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(ThreadSnafu { step: "build" })?;
    let handle = runtime.handle().clone();
    std::thread::Builder::new()
        .name(THREAD_NAME.to_owned())
        .spawn(move || runtime.block_on(stop.cancelled()))
        .context(ThreadSnafu { step: "start" })?;
    Ok(handle)
}

/// Accepts connections of other members, and of processes that want to join, until the process
/// stops.
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
        log::warn!("members: connection of {peer} at {address} closed: not a controller");
        return Ok(());
    };
    // All members listen on the same port numbers.
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
                let answer = handle_join(member, &wire_address, shared).await;
                let _ = replies.send(answer).await;
            }
            // The previous release sends registrations by the connection between members.
            Some(Message::Registrations(batch)) => {
                let answer = relay::handle_batch(batch, peer, shared);
                let _ = replies.send(answer).await;
            }
            Some(other) => {
                log::warn!("members: unexpected message from controller {peer}: {other:?}")
            }
            None => {}
        }
    }
    Ok(())
}

/// Handles a join request: records it if this member leads, and replies with the leader
/// and the members.
async fn handle_join(member: ControllerId, wire_address: &str, shared: &Shared) -> Message {
    let leads = shared.replica.leads();
    if leads && let Ok(address) = wire_address.parse() {
        shared.addresses.set(member, address);
        shared.record_join_request(member, address);
    }
    let mut known = join::members(shared).await;
    if known.is_empty() {
        // This process is not a member itself; the processes whose addresses it has may be members.
        known = shared.addresses.all().into_iter().collect();
    }
    if shared.note_join_answer(member, leads) {
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
