//! Connections between controllers.
//!
//! Invariant: a controller sends its messages only on the connections that it opened, one for
//! each other member, and receives the replies to its calls on the same connection. Messages may
//! be lost; consensus and the callers retry what matters.

mod addresses;
mod demand;
mod inbound;
mod link;

pub use addresses::AddressBook;
pub use demand::clear_on_leadership_loss;
pub use inbound::{REPLY_QUEUE, send_replies, serve, serve_replica};

use courseshunt_consensus::MembershipChange;
use courseshunt_queue::DemandReport;
use courseshunt_state::CommandReply;
use courseshunt_types::{ControllerId, GroupId, LogIndex, RouterId};
use courseshunt_wire::message::CallId;
use courseshunt_wire::{ClusterKey, Message, PeerIdentity};
use link::{LinkHandle, PendingCalls};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;

/// The consensus group that every controller serves.
pub const GROUP: GroupId = GroupId(0);
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a membership change, during which a learner may have to catch up.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(70);

/// Sends messages and calls to the other controllers; cheap to clone.
#[derive(Debug, Clone)]
pub struct PeerNetwork {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    id: ControllerId,
    key: ClusterKey,
    addresses: AddressBook,
    links: Mutex<BTreeMap<ControllerId, LinkHandle>>,
    pending: PendingCalls,
    last_call: AtomicU64,
    /// Runtime on which links run, independent of the thread that sends the first message.
    runtime: Handle,
    stop: CancellationToken,
}

impl PeerNetwork {
    /// Creates a network without connections. They are opened on first use, on the runtime that
    /// calls this function.
    #[must_use]
    pub fn new(
        id: ControllerId,
        key: ClusterKey,
        addresses: AddressBook,
        stop: CancellationToken,
    ) -> Self {
        Self {
            shared: Arc::new(Shared {
                id,
                key,
                addresses,
                links: Mutex::default(),
                pending: PendingCalls::default(),
                last_call: AtomicU64::new(0),
                runtime: Handle::current(),
                stop,
            }),
        }
    }

    /// Addresses of the members.
    #[must_use]
    pub fn addresses(&self) -> &AddressBook {
        &self.shared.addresses
    }

    /// Queues a message; it is dropped when the member can't be reached.
    pub fn send(&self, to: ControllerId, message: Message) {
        let mut links = self
            .shared
            .links
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let link = links.entry(to).or_insert_with(|| self.start_link(to));
        link.send(message);
    }

    fn start_link(&self, to: ControllerId) -> LinkHandle {
        let shared = &self.shared;
        let link = link::Link {
            to,
            key: shared.key.clone(),
            identity: PeerIdentity::Controller(shared.id),
            addresses: shared.addresses.clone(),
            pending: shared.pending.clone(),
        };
        link.start(&shared.runtime, shared.stop.clone())
    }

    async fn call(
        &self,
        to: ControllerId,
        timeout: Duration,
        message: impl FnOnce(CallId) -> Message,
    ) -> Option<Message> {
        let call = CallId(self.shared.last_call.fetch_add(1, Ordering::Relaxed) + 1);
        let reply = self.shared.pending.register(call);
        self.send(to, message(call));
        let replied = tokio::time::timeout(timeout, reply).await;
        self.shared.pending.remove(call);
        replied.ok()?.ok()
    }

    /// Forwards an encoded command to another member; `None` when the result is unknown.
    pub async fn forward(&self, to: ControllerId, envelope: Vec<u8>) -> Option<CommandReply> {
        let reply = self.call(to, CALL_TIMEOUT, |call| Message::Forward {
            call,
            group: GROUP,
            envelope,
        });
        match reply.await? {
            Message::ForwardReply { reply, .. } => reply,
            _ => None,
        }
    }

    /// Requests an index at which a read is linearizable from another member.
    pub async fn read_index(&self, to: ControllerId) -> Option<LogIndex> {
        let reply = self.call(to, CALL_TIMEOUT, |call| Message::ReadIndex {
            call,
            group: GROUP,
        });
        match reply.await? {
            Message::ReadIndexReply { index, .. } => index,
            _ => None,
        }
    }

    /// Forwards a membership change to another member; `None` when the result is unknown.
    pub async fn change_membership(
        &self,
        to: ControllerId,
        change: MembershipChange,
    ) -> Option<Result<LogIndex, String>> {
        let reply = self.call(to, CHANGE_TIMEOUT, |call| Message::ChangeMembership {
            call,
            group: GROUP,
            change,
        });
        match reply.await? {
            Message::ChangeMembershipReply { result, .. } => Some(result),
            _ => None,
        }
    }

    /// Relays a router's demand reports to the leader.
    pub fn relay_demand(
        &self,
        leader: ControllerId,
        router: &RouterId,
        reports: Vec<DemandReport>,
    ) {
        let router = router.clone();
        let message = Message::RelayedDemand {
            router,
            reports,
            gone: false,
        };
        self.send(leader, message);
    }

    /// Notifies the leader that a router has disconnected.
    pub fn relay_gone(&self, leader: ControllerId, router: &RouterId) {
        let message = Message::RelayedDemand {
            router: router.clone(),
            reports: Vec::new(),
            gone: true,
        };
        self.send(leader, message);
    }
}
