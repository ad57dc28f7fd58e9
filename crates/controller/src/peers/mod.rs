//! Connections between controllers.
//!
//! Each controller keeps one connection to each other member and sends only on
//! those; replies to its calls come back on the same. Messages may get lost:
//! consensus and calls repeat what matters.

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

/// The group that every controller serves.
pub const GROUP: GroupId = GroupId(0);
/// Longest wait for the reply to a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for a change of the membership; a learner may have to catch up.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(70);

/// Sends to the other controllers; cheap to clone.
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
    /// Where links run, whoever sends the first message on them.
    runtime: Handle,
    stop: CancellationToken,
}

impl PeerNetwork {
    /// A network without connections; they are made when first needed, on the runtime
    /// that this is called on.
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

    /// Sends a message, or drops it when the member can't be reached.
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
        let reply = self.shared.pending.expect(call);
        self.send(to, message(call));
        let replied = tokio::time::timeout(timeout, reply).await;
        self.shared.pending.forget(call);
        replied.ok()?.ok()
    }

    /// Has another member commit an encoded command; `None` when that is not known.
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

    /// Asks another member for an index at which a read is linearizable.
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

    /// Has another member change the membership; `None` when the result is not
    /// known.
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

    /// Passes a router's reports on to the leader.
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

    /// Tells the leader that a router has left.
    pub fn relay_gone(&self, leader: ControllerId, router: &RouterId) {
        let message = Message::RelayedDemand {
            router: router.clone(),
            reports: Vec::new(),
            gone: true,
        };
        self.send(leader, message);
    }
}
