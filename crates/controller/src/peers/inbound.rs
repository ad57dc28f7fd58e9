//! Serves inbound connections of other controllers.

use super::link::ALIVE_INTERVAL;
use crate::ControllerContext;
use crate::replica::{ProposeError, ReplicaHandle};
use courseshunt_queue::DemandReport;
use courseshunt_state::CommandEnvelope;
use courseshunt_types::{ControllerId, RouterId};
use courseshunt_wire::message::CallId;
use courseshunt_wire::{Connection, Message, Receiver, Sender, WireError};
use std::collections::BTreeSet;
use tokio::sync::mpsc;

/// Capacity of a connection's queue of replies.
pub const REPLY_QUEUE: usize = 1024;

/// Serves a connection until it ends, and drops the demand that was relayed over it.
///
/// # Errors
/// When the connection breaks or a frame can't be read.
pub async fn serve(
    connection: Connection,
    peer: ControllerId,
    context: &ControllerContext,
) -> Result<(), WireError> {
    let Connection {
        sender, receiver, ..
    } = connection;
    let (replies, reply_queue) = mpsc::channel(REPLY_QUEUE);
    let mut inbound = Inbound {
        peer,
        context,
        replies,
        routers: BTreeSet::new(),
    };
    let ended = tokio::select! {
        () = context.stop.cancelled() => Ok(()),
        ended = send_replies(sender, reply_queue) => ended,
        ended = inbound.receive_all(receiver) => ended,
    };
    for router in &inbound.routers {
        context.demand.forget(router);
    }
    ended
}

/// Sends queued replies, and a heartbeat at a fixed interval.
///
/// # Errors
/// When the connection breaks.
pub async fn send_replies(
    mut sender: Sender,
    mut replies: mpsc::Receiver<Message>,
) -> Result<(), WireError> {
    let mut alive = tokio::time::interval(ALIVE_INTERVAL);
    loop {
        let message = tokio::select! {
            _ = alive.tick() => Message::PeerAlive,
            reply = replies.recv() => match reply {
                Some(reply) => reply,
                None => return Ok(()),
            },
        };
        sender.send(&message).await?;
    }
}

struct Inbound<'a> {
    peer: ControllerId,
    context: &'a ControllerContext,
    replies: mpsc::Sender<Message>,
    /// Routers whose demand was relayed over this connection.
    routers: BTreeSet<RouterId>,
}

impl Inbound<'_> {
    async fn receive_all(&mut self, mut receiver: Receiver) -> Result<(), WireError> {
        while let Some(message) = receiver.receive().await? {
            self.handle(message);
        }
        Ok(())
    }

    fn handle(&mut self, message: Message) {
        let replica = &self.context.replica;
        let Some(message) = serve_replica(self.peer, message, replica, &self.replies) else {
            return;
        };
        match message {
            Message::RelayedDemand {
                router,
                reports,
                gone,
            } => self.handle_demand(router, reports, gone),
            Message::RouterReport(report) => {
                let now = self.context.clock.now();
                self.context.routers.apply_report(self.peer, report, now);
            }
            other => log::warn!(
                "peers: controller {} sent an unexpected message: {other:?}",
                self.peer
            ),
        }
    }

    fn handle_demand(&mut self, router: RouterId, reports: Vec<DemandReport>, gone: bool) {
        let demand = &self.context.demand;
        if gone || !self.context.replica.leads() {
            demand.forget(&router);
            self.routers.remove(&router);
            return;
        }
        for report in reports {
            demand.record(&router, report, self.context.clock.now());
        }
        self.routers.insert(router);
    }
}

/// Handles a message that is addressed to the replica; returns any other message to the caller.
pub fn serve_replica(
    peer: ControllerId,
    message: Message,
    replica: &ReplicaHandle,
    replies: &mpsc::Sender<Message>,
) -> Option<Message> {
    match message {
        Message::Consensus { message, .. } => replica.receive(peer, message),
        Message::Forward { call, envelope, .. } => {
            let (replica, replies) = (replica.clone(), replies.clone());
            tokio::spawn(async move { forward(call, &envelope, &replica, &replies).await });
        }
        Message::ReadIndex { call, .. } => {
            let (replica, replies) = (replica.clone(), replies.clone());
            tokio::spawn(async move { read_index(call, &replica, &replies).await });
        }
        Message::ChangeMembership { call, change, .. } => {
            let (replica, replies) = (replica.clone(), replies.clone());
            tokio::spawn(async move {
                let result = replica.change_membership_here(change).await;
                let result = result.map_err(|error| error.to_string());
                let reply = Message::ChangeMembershipReply { call, result };
                let _ = replies.send(reply).await;
            });
        }
        other => return Some(other),
    }
    None
}

async fn forward(
    call: CallId,
    envelope: &[u8],
    replica: &ReplicaHandle,
    replies: &mpsc::Sender<Message>,
) {
    let reply = match CommandEnvelope::from_payload(envelope) {
        Ok(envelope) => replica.propose_here(envelope).await,
        Err(error) => {
            log::warn!("peers: decoding a forwarded command failed: {error}");
            Err(ProposeError::Undecided)
        }
    };
    let reply = reply.ok();
    let _ = replies.send(Message::ForwardReply { call, reply }).await;
}

async fn read_index(call: CallId, replica: &ReplicaHandle, replies: &mpsc::Sender<Message>) {
    let index = replica.read_index_here().await.ok();
    let _ = replies.send(Message::ReadIndexReply { call, index }).await;
}
