//! The connection to one other member, made again whenever it breaks or falls
//! silent.

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

/// Messages that wait to be sent to one member; more are dropped.
const QUEUE: usize = 4096;
/// Pause before the member is dialled again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Longest try to connect.
const LONGEST_DIAL: Duration = Duration::from_secs(1);
/// A connection on which nothing arrives for so long is given up. The other
/// side sends at least every [`ALIVE_INTERVAL`].
const SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// Time between signs of life of the accepting side.
pub(super) const ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Calls that wait for their replies; cheap to clone.
#[derive(Debug, Clone, Default)]
pub(super) struct PendingCalls {
    calls: Arc<Mutex<BTreeMap<CallId, oneshot::Sender<Message>>>>,
}

impl PendingCalls {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<CallId, oneshot::Sender<Message>>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn expect(&self, call: CallId) -> oneshot::Receiver<Message> {
        let (reply, received) = oneshot::channel();
        self.lock().insert(call, reply);
        received
    }

    pub(super) fn forget(&self, call: CallId) {
        self.lock().remove(&call);
    }

    fn finish(&self, call: CallId, message: Message) {
        if let Some(reply) = self.lock().remove(&call) {
            let _ = reply.send(message);
        }
    }
}

/// Sending side of a link.
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

/// See the module.
pub(super) struct Link {
    pub(super) to: ControllerId,
    pub(super) key: ClusterKey,
    pub(super) identity: PeerIdentity,
    pub(super) addresses: AddressBook,
    pub(super) pending: PendingCalls,
}

impl Link {
    pub(super) fn start(self, runtime: &Handle, stop: CancellationToken) -> LinkHandle {
        let (queue, messages) = mpsc::channel(QUEUE);
        runtime.spawn(stop.run_until_cancelled_owned(self.run(messages)));
        LinkHandle { queue }
    }

    async fn run(self, mut messages: mpsc::Receiver<Message>) {
        let mut reachable = true;
        let mut limit = DialLimit::growing_to(LONGEST_DIAL);
        let mut first = None;
        loop {
            if first.is_none() {
                // Dialled only for a message: a member that is gone gets none, and its
                // address would be dialled for ever.
                first = messages.recv().await;
            }
            if first.is_none() {
                return;
            }
            let serving = self.connect_and_serve(&mut first, &mut messages, &mut limit);
            let ended = serving.await;
            if let Err(error) = ended {
                if reachable {
                    log::warn!("peers: controller {}: {error}", self.to);
                }
                reachable = false;
            } else {
                reachable = true;
            }
            let heard = self.addresses.heard(self.to);
            if tokio::time::timeout(RECONNECT_PAUSE, heard.notified())
                .await
                .is_ok()
            {
                // It is up again; what waits is most likely for it.
                continue;
            }
            // What waited meanwhile is out of date; its senders repeat it.
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
        let heard = self.addresses.heard(self.to);
        let dialled = tokio::select! {
            dialled = self.dial(address, limit) => dialled,
            // Its first packet may have been lost while the member was down.
            () = heard.notified() => self.dial(address, limit).await,
        };
        if matches!(dialled, Err(WireError::TimedOut { .. })) {
            limit.timed_out();
        }
        let connection = dialled?;
        limit.succeeded();
        if connection.peer != PeerIdentity::Controller(self.to) {
            self.met(address, &connection.peer);
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

    /// Another process lives at this member's address.
    fn met(&self, address: SocketAddr, peer: &PeerIdentity) {
        let new = match peer {
            PeerIdentity::Controller(peer) => self.addresses.record_unexpected_peer(address, *peer),
            PeerIdentity::Router(..) => true,
        };
        if new {
            log::warn!("peers: {address} is {peer}, not {}", self.to);
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
            let received = tokio::time::timeout(SILENCE_LIMIT, receiver.receive()).await;
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
                    self.pending.finish(*call, message);
                }
                Message::PeerAlive => {}
                other => log::warn!("peers: unexpected message {other:?}"),
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
