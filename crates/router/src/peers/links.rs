//! The connections of this router, by peer.

use super::{PeerEvent, PeerSender, SessionNumber, dial};
use crate::dispatch::DispatcherMessage;
use courseshunt_types::RouterId;
use courseshunt_wire::message::RouterEndpoint;
use courseshunt_wire::{ClusterKey, Message, PeerIdentity};
use ractor::ActorRef;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use tokio::task::AbortHandle;

/// What a connection needs.
#[derive(Debug, Clone)]
pub struct PeerContext {
    /// Key of the cluster.
    pub key: ClusterKey,
    /// Who this router is.
    pub identity: PeerIdentity,
    /// IP number that dialled connections come from.
    pub source: Option<IpAddr>,
    /// Receives the events.
    pub dispatcher: ActorRef<DispatcherMessage>,
}

impl PeerContext {
    /// Tells the dispatcher an event.
    pub fn tell(&self, event: PeerEvent) {
        if self
            .dispatcher
            .cast(DispatcherMessage::Peer(event))
            .is_err()
        {
            log::debug!("peers: the dispatcher has stopped");
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

/// Links to owners and holders.
#[derive(Debug)]
pub struct Links {
    context: PeerContext,
    addresses: BTreeMap<RouterId, SocketAddr>,
    owners: BTreeMap<RouterId, OwnerLink>,
    holders: BTreeMap<RouterId, HolderLink>,
}

impl Links {
    /// No links.
    #[must_use]
    pub fn new(context: PeerContext) -> Self {
        Self {
            context,
            addresses: BTreeMap::new(),
            owners: BTreeMap::new(),
            holders: BTreeMap::new(),
        }
    }

    /// Takes the live routers in; links to others and to old addresses end.
    pub fn set_routers(&mut self, routers: &[RouterEndpoint]) {
        let addresses = routers.iter().filter_map(|one| {
            let address = one.wire_address.parse::<SocketAddr>().ok()?;
            Some((one.router.clone(), address))
        });
        self.addresses = addresses.collect();
        let addresses = &self.addresses;
        self.owners
            .retain(|owner, link| addresses.get(owner) == Some(&link.address));
    }

    /// Ends the links to owners that are not used.
    pub fn retain_owners(&mut self, used: impl Fn(&RouterId) -> bool) {
        self.owners.retain(|owner, _| used(owner));
    }

    /// Sends to an owner; dials it when there is no link yet. Without a
    /// session the message is dropped, and repeated when one begins.
    pub fn to_owner(&mut self, owner: &RouterId, message: Message) {
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
            log::warn!("peers: owner {owner} does not keep up");
            link.sender = None;
        }
    }

    fn dial(&mut self, owner: &RouterId) {
        let Some(address) = self.addresses.get(owner).copied() else {
            let owner = owner.clone();
            self.context.tell(PeerEvent::OwnerUnreachable { owner });
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

    /// Takes a new session with an owner in. Returns whether it is wanted.
    pub fn owner_connected(&mut self, owner: &RouterId, sender: PeerSender) -> bool {
        let Some(link) = self.owners.get_mut(owner) else {
            return false;
        };
        link.sender = Some(sender);
        true
    }

    /// Notes that a session with an owner ended.
    pub fn owner_disconnected(&mut self, owner: &RouterId) {
        if let Some(link) = self.owners.get_mut(owner) {
            link.sender = None;
        }
    }

    /// Takes a new session of a holder in; an older one ends.
    pub fn holder_connected(
        &mut self,
        holder: RouterId,
        session: SessionNumber,
        sender: PeerSender,
    ) {
        let link = HolderLink { session, sender };
        self.holders.insert(holder, link);
    }

    /// Forgets a holder unless it has a newer session. Returns whether the
    /// holder has no session now.
    pub fn holder_lost(&mut self, holder: &RouterId, session: SessionNumber) -> bool {
        if self.is_session(holder, session) {
            self.holders.remove(holder);
        }
        !self.holders.contains_key(holder)
    }

    /// Whether this is the present session of a holder.
    #[must_use]
    pub fn is_session(&self, holder: &RouterId, session: SessionNumber) -> bool {
        let link = self.holders.get(holder);
        link.is_some_and(|link| link.session == session)
    }

    /// Sends to a holder. A message that can't be sent ends its session.
    pub fn to_holder(&mut self, holder: &RouterId, message: Message) {
        let Some(link) = self.holders.get(holder) else {
            return;
        };
        if link.sender.try_send(message).is_err() {
            log::warn!("peers: holder {holder} does not keep up");
            self.holders.remove(holder);
        }
    }

    /// Sends to all holders.
    pub fn to_all_holders(&mut self, message: &Message) {
        let holders: Vec<RouterId> = self.holders.keys().cloned().collect();
        for holder in holders {
            self.to_holder(&holder, message.clone());
        }
    }
}
