//! Outgoing connection to one other member. It is re-established, once there is a message to
//! send, after it breaks or times out.

use super::addresses::AddressBook;
use courseshunt_types::ControllerId;
use courseshunt_wire::message::CallId;
use courseshunt_wire::{
    ClusterKey, Connection, DialLimit, Message, PeerIdentity, Receiver, Sender, WireError,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// Capacity of the queue of messages to one member; further messages are dropped.
const QUEUE_CAPACITY: usize = 4096;
/// Pause before a member is dialled again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Upper bound of the dial timeout.
const MAX_DIAL_TIMEOUT: Duration = Duration::from_secs(1);
/// A connection is closed when nothing arrives for this long. The accepting side sends at least
/// every [`ALIVE_INTERVAL`].
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between heartbeats of the accepting side.
pub(super) const ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Calls in flight, by their ids; cheap to clone.
#[derive(Debug, Clone, Default)]
pub(super) struct PendingCalls {
    calls: Arc<Mutex<BTreeMap<CallId, oneshot::Sender<Message>>>>,
}

impl PendingCalls {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<CallId, oneshot::Sender<Message>>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn register(&self, call: CallId) -> oneshot::Receiver<Message> {
        let (reply, received) = oneshot::channel();
        self.lock().insert(call, reply);
        received
    }

    pub(super) fn remove(&self, call: CallId) {
        self.lock().remove(&call);
    }

    fn complete(&self, call: CallId, message: Message) {
        if let Some(reply) = self.lock().remove(&call) {
            let _ = reply.send(message);
        }
    }
}

/// Queue of messages to a link's member.
#[derive(Debug)]
pub(super) struct LinkHandle {
    queue: mpsc::Sender<Message>,
}

impl LinkHandle {
    /// Queues a message; drops it when the queue is full.
    pub(super) fn send(&self, message: Message) {
        let _ = self.queue.try_send(message);
    }
}

/// Connection to one member, with its parameters.
pub(super) struct Link {
    pub(super) to: ControllerId,
    pub(super) key: ClusterKey,
    pub(super) identity: PeerIdentity,
    pub(super) addresses: AddressBook,
    pub(super) pending: PendingCalls,
}

impl Link {
    pub(super) fn start(self, runtime: &Handle, stop: CancellationToken) -> LinkHandle {
        let (queue, messages) = mpsc::channel(QUEUE_CAPACITY);
        runtime.spawn(stop.run_until_cancelled_owned(self.run(messages)));
        LinkHandle { queue }
    }

    async fn run(self, mut messages: mpsc::Receiver<Message>) {
        let mut reachable = true;
        let mut limit = DialLimit::growing_to(MAX_DIAL_TIMEOUT);
        let mut first = None;
        loop {
            if first.is_none() {
                // The member is dialled only for a message: a removed member gets none, and its
                // address would otherwise be dialled for ever.
                first = messages.recv().await;
            }
            if first.is_none() {
                return;
            }
            let serving = self.connect_and_serve(&mut first, &mut messages, &mut limit);
            let ended = serving.await;
            if let Err(error) = ended {
                if reachable {
                    log::warn!(
                        "peers: connection to controller {} failed: {error}",
                        self.to
                    );
                }
                reachable = false;
            } else {
                reachable = true;
            }
            let inbound = self.addresses.inbound_signal(self.to);
            if tokio::time::timeout(RECONNECT_PAUSE, inbound.notified())
                .await
                .is_ok()
            {
                // The member is reachable again, and the queued messages are likely still valid.
                continue;
            }
            // The queued messages are outdated; their senders repeat what matters.
            first = None;
            while messages.try_recv().is_ok() {}
        }
    }

    async fn connect_and_serve(
        &self,
        first: &mut Option<Message>,
        messages: &mut mpsc::Receiver<Message>,
        limit: &mut DialLimit,
    ) -> Result<(), WireError> {
        let Some(address) = self.addresses.get(self.to) else {
            return Ok(());
        };
        let inbound = self.addresses.inbound_signal(self.to);
        let dialled = tokio::select! {
            dialled = self.dial(address, limit) => dialled,
            // The first packet of the attempt may have been lost while the member was down.
            () = inbound.notified() => self.dial(address, limit).await,
        };
        if matches!(dialled, Err(WireError::TimedOut { .. })) {
            limit.timed_out();
        }
        let connection = dialled?;
        limit.succeeded();
        if connection.peer != PeerIdentity::Controller(self.to) {
            self.report_unexpected_peer(address, &connection.peer);
            return Ok(());
        }
        if self
            .addresses
            .record_protocol_version(self.to, connection.version)
        {
            let version = connection.version;
            log::info!("peers: controller {} speaks protocol {version}", self.to);
        }
        log::info!("peers: connected to controller {}", self.to);
        let Connection {
            sender, receiver, ..
        } = connection;
        tokio::select! {
            ended = send_all(sender, first.take(), messages) => ended,
            ended = self.receive_all(receiver) => ended,
        }
    }

    /// Records and logs that another process answers at this member's address.
    fn report_unexpected_peer(&self, address: SocketAddr, peer: &PeerIdentity) {
        let is_new = match peer {
            PeerIdentity::Controller(peer) => self.addresses.record_unexpected_peer(address, *peer),
            PeerIdentity::Router(..) => true,
        };
        if is_new {
            log::warn!(
                "peers: {address} answers as {peer}, expected controller {}",
                self.to
            );
        }
    }

    async fn dial(&self, address: SocketAddr, limit: &DialLimit) -> Result<Connection, WireError> {
        let limit = limit.present();
        let connecting = self
            .addresses
            .connect(address, limit, &self.key, &self.identity);
        connecting.await
    }

    async fn receive_all(&self, mut receiver: Receiver) -> Result<(), WireError> {
        loop {
            let received = tokio::time::timeout(RECEIVE_TIMEOUT, receiver.receive()).await;
            let Ok(received) = received else {
                return Err(WireError::TimedOut {
                    step: "receive",
                    peer: format!("controller {}", self.to),
                });
            };
            let Some(message) = received? else {
                return Ok(());
            };
            match &message {
                Message::ForwardReply { call, .. }
                | Message::ReadIndexReply { call, .. }
                | Message::ChangeMembershipReply { call, .. } => {
                    self.pending.complete(*call, message);
                }
                Message::PeerAlive => {}
                other => log::warn!(
                    "peers: controller {} sent an unexpected message: {other:?}",
                    self.to
                ),
            }
        }
    }
}

async fn send_all(
    mut sender: Sender,
    first: Option<Message>,
    messages: &mut mpsc::Receiver<Message>,
) -> Result<(), WireError> {
    if let Some(first) = first {
        sender.send(&first).await?;
    }
    while let Some(message) = messages.recv().await {
        sender.send(&message).await?;
    }
    Ok(())
}
