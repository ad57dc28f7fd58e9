//! The open connections of this router, by peer.

use super::{PeerEvent, PeerSender, SessionNumber, dial};
use crate::dispatch::DispatcherMessage;
use courseshunt_types::RouterId;
use courseshunt_wire::message::RouterEndpoint;
use courseshunt_wire::{ClusterKey, Message, PeerIdentity};
use ractor::ActorRef;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use tokio::task::AbortHandle;

/// Parameters that all connections share.
#[derive(Debug, Clone)]
pub struct PeerContext {
    /// Key that authenticates members of the cluster.
    pub key: ClusterKey,
    /// Identity of this router.
    pub identity: PeerIdentity,
    /// Local IP address for outgoing connections; `None` lets the system choose.
    pub source: Option<IpAddr>,
    /// Actor that receives the events.
    pub dispatcher: ActorRef<DispatcherMessage>,
}

impl PeerContext {
    /// Sends an event to the dispatcher.
    pub fn notify(&self, event: PeerEvent) {
        if self
            .dispatcher
            .cast(DispatcherMessage::Peer(event))
            .is_err()
        {
            log::debug!("peers: event dropped, the dispatcher has stopped");
        }
    }
}

#[derive(Debug)]
struct OwnerLink {
    address: SocketAddr,
    task: AbortHandle,
    sender: Option<PeerSender>,
}

impl Drop for OwnerLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct HolderLink {
    session: SessionNumber,
    sender: PeerSender,
}

/// Connections to owners and from holders.
#[derive(Debug)]
pub struct Links {
    context: PeerContext,
    addresses: BTreeMap<RouterId, SocketAddr>,
    owners: BTreeMap<RouterId, OwnerLink>,
    holders: BTreeMap<RouterId, HolderLink>,
}

impl Links {
    /// Creates an empty set of links.
    #[must_use]
    pub fn new(context: PeerContext) -> Self {
        Self {
            context,
            addresses: BTreeMap::new(),
            owners: BTreeMap::new(),
            holders: BTreeMap::new(),
        }
    }

    /// Sets the live routers; closes links to other routers and to old addresses.
    pub fn set_routers(&mut self, routers: &[RouterEndpoint]) {
        let addresses = routers.iter().filter_map(|router| {
            let address = router.wire_address.parse::<SocketAddr>().ok()?;
            Some((router.router.clone(), address))
        });
        self.addresses = addresses.collect();
        let addresses = &self.addresses;
        self.owners
            .retain(|owner, link| addresses.get(owner) == Some(&link.address));
    }

    /// Closes the links to owners for which `used` returns `false`.
    pub fn retain_owners(&mut self, used: impl Fn(&RouterId) -> bool) {
        self.owners.retain(|owner, _| used(owner));
    }

    /// Sends a message to an owner; connects to it if there is no link yet. Without
    /// a session the message is dropped; the holder sends its state again when a
    /// session begins.
    pub fn send_to_owner(&mut self, owner: &RouterId, message: Message) {
        if !self.owners.contains_key(owner) {
            self.dial(owner);
            return;
        }
        let Some(link) = self.owners.get_mut(owner) else {
            return;
        };
        let Some(sender) = &link.sender else {
            return;
        };
        if sender.try_send(message).is_err() {
            log::warn!(
                "peers: send queue to owner {owner} is full or closed; message dropped, session ended"
            );
            link.sender = None;
        }
    }

    fn dial(&mut self, owner: &RouterId) {
        let Some(address) = self.addresses.get(owner).copied() else {
            let owner = owner.clone();
            self.context.notify(PeerEvent::OwnerUnreachable { owner });
            return;
        };
        let work = dial::run(owner.clone(), address, self.context.clone());
        let link = OwnerLink {
            address,
            task: tokio::spawn(work).abort_handle(),
            sender: None,
        };
        self.owners.insert(owner.clone(), link);
    }

    /// Registers a new session with an owner. Returns `false` if the link to the
    /// owner has been closed.
    pub fn owner_connected(&mut self, owner: &RouterId, sender: PeerSender) -> bool {
        let Some(link) = self.owners.get_mut(owner) else {
            return false;
        };
        link.sender = Some(sender);
        true
    }

    /// Removes an ended session with an owner; the link stays and reconnects.
    pub fn owner_disconnected(&mut self, owner: &RouterId) {
        if let Some(link) = self.owners.get_mut(owner) {
            link.sender = None;
        }
    }

    /// Registers a new session of a holder; replaces an older one.
    pub fn holder_connected(
        &mut self,
        holder: RouterId,
        session: SessionNumber,
        sender: PeerSender,
    ) {
        let link = HolderLink { session, sender };
        self.holders.insert(holder, link);
    }

    /// Removes a session of a holder unless a newer one replaced it. Returns
    /// whether the holder now has no session.
    pub fn holder_lost(&mut self, holder: &RouterId, session: SessionNumber) -> bool {
        if self.is_session(holder, session) {
            self.holders.remove(holder);
        }
        !self.holders.contains_key(holder)
    }

    /// Whether `session` is the current session of a holder.
    #[must_use]
    pub fn is_session(&self, holder: &RouterId, session: SessionNumber) -> bool {
        let link = self.holders.get(holder);
        link.is_some_and(|link| link.session == session)
    }

    /// Sends a message to a holder; ends the session if the send queue is full.
    pub fn send_to_holder(&mut self, holder: &RouterId, message: Message) {
        let Some(link) = self.holders.get(holder) else {
            return;
        };
        if link.sender.try_send(message).is_err() {
            log::warn!("peers: send queue to holder {holder} is full or closed; session ended");
            self.holders.remove(holder);
        }
    }

    /// Sends a message to all holders.
    pub fn send_to_all_holders(&mut self, message: &Message) {
        let holders: Vec<RouterId> = self.holders.keys().cloned().collect();
        for holder in holders {
            self.send_to_holder(&holder, message.clone());
        }
    }
}
