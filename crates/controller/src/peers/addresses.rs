//! Wire addresses of the members, one book for a process: from its settings or its disk,
//! from whoever connects here, from answers to a wish to join, and from the replicated
//! state, which wins.
//!
//! Invariant: a process that lives at another one's address is never taken for it; it is
//! told as a stranger.

use courseshunt_state::members::MemberAddresses;
use courseshunt_types::ControllerId;
use courseshunt_wire::{
    ClusterKey, Connection, PROTOCOL_VERSION, PeerIdentity, WireError, connect_within,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A stranger that was not met for so long is forgotten, so that it is told again.
const STRANGER_LIFETIME: Duration = Duration::from_secs(30);
/// A stranger met within this time lives there; addresses in use are tried far more often.
const MET_LATELY: Duration = Duration::from_secs(2);

/// A process at an address that stands under another identity.
#[derive(Debug, Clone, Copy)]
struct Stranger {
    peer: ControllerId,
    met_at: Instant,
}

/// See the module; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct AddressBook {
    addresses: Arc<RwLock<BTreeMap<ControllerId, SocketAddr>>>,
    heard: Arc<Mutex<BTreeMap<ControllerId, Arc<Notify>>>>,
    strangers: Arc<Mutex<BTreeMap<SocketAddr, Stranger>>>,
    /// Version of the protocol in which each member was last spoken with.
    versions: Arc<Mutex<BTreeMap<ControllerId, u8>>>,
    source: Option<IpAddr>,
    /// Port on which members listen for each other, where it is another than that of their
    /// addresses.
    member_port: Option<u16>,
}

impl AddressBook {
    /// A book of a member that dials from `source`; `None` lets the system
    /// choose.
    #[must_use]
    pub fn dialling_from(source: Option<IpAddr>) -> Self {
        Self {
            source,
            ..Self::default()
        }
    }

    /// Has members dialled at this port of their machines.
    #[must_use]
    pub fn at_member_port(self, port: u16) -> Self {
        Self {
            member_port: Some(port),
            ..self
        }
    }

    /// Where a process is dialled as a member that stands under `address`.
    #[must_use]
    pub fn dialled(&self, address: SocketAddr) -> SocketAddr {
        let port = self.member_port.unwrap_or(address.port());
        SocketAddr::new(address.ip(), port)
    }

    /// Notes the version of the protocol in which a member speaks; returns whether that is new.
    pub fn record_protocol_version(&self, member: ControllerId, version: u8) -> bool {
        let versions = self.versions.lock();
        let mut versions = versions.unwrap_or_else(PoisonError::into_inner);
        versions.insert(member, version) != Some(version)
    }

    /// Whether these members, this one included, are all known to be of the present build: none
    /// has to read what production's build can read alone.
    #[must_use]
    pub fn all_speak_present(&self, members: &BTreeSet<ControllerId>) -> bool {
        let versions = self.versions.lock();
        let versions = versions.unwrap_or_else(PoisonError::into_inner);
        let present = |member| versions.get(member) == Some(&PROTOCOL_VERSION);
        let unknown = members.iter().filter(|member| !present(member));
        // It speaks with itself by no connection.
        unknown.count() <= 1
    }

    /// Connects to the member that stands under `address`. Members of production's build have
    /// no port of their own for each other: they are met at the address itself.
    ///
    /// # Errors
    /// When it can't be reached, is silent, or does not know the key.
    pub async fn connect(
        &self,
        address: SocketAddr,
        limit: Duration,
        key: &ClusterKey,
        identity: &PeerIdentity,
    ) -> Result<Connection, WireError> {
        let dialled = self.dialled(address);
        let connected = connect_within(limit, self.source, dialled, key, identity).await;
        if dialled == address || !is_refused(&connected) {
            return connected;
        }
        let earlier = connect_within(limit, self.source, address, key, identity).await;
        match earlier {
            Ok(connection) if connection.is_earlier() => Ok(connection),
            _ => connected,
        }
    }

    /// Where this member dials from.
    #[must_use]
    pub fn source(&self) -> Option<IpAddr> {
        self.source
    }

    /// Sets the address of a member.
    pub fn set(&self, member: ControllerId, address: SocketAddr) {
        let addresses = self.addresses.write();
        addresses
            .unwrap_or_else(PoisonError::into_inner)
            .insert(member, address);
    }

    /// Notes that a member has connected here: it is up, so a try to reach it
    /// that hangs is made anew.
    pub fn record_inbound_connection(&self, member: ControllerId) {
        self.heard(member).notify_one();
    }

    /// Told each time a member connects here.
    pub(super) fn heard(&self, member: ControllerId) -> Arc<Notify> {
        let heard = self.heard.lock();
        let mut heard = heard.unwrap_or_else(PoisonError::into_inner);
        heard.entry(member).or_default().clone()
    }

    /// Notes that `peer` lives at an address that stands under another identity; returns
    /// whether that is new.
    pub fn record_unexpected_peer(&self, address: SocketAddr, peer: ControllerId) -> bool {
        let strangers = self.strangers.lock();
        let mut strangers = strangers.unwrap_or_else(PoisonError::into_inner);
        strangers.retain(|_, one| one.met_at.elapsed() < STRANGER_LIFETIME);
        let met_at = Instant::now();
        let before = strangers.insert(address, Stranger { peer, met_at });
        before.is_none_or(|before| before.peer != peer)
    }

    /// Who was met at others' addresses just now.
    #[must_use]
    pub fn recent_unexpected_peers(&self) -> Vec<(ControllerId, SocketAddr)> {
        let strangers = self.strangers.lock();
        let strangers = strangers.unwrap_or_else(PoisonError::into_inner);
        let recent = strangers.iter();
        let recent = recent.filter(|(_, one)| one.met_at.elapsed() < MET_LATELY);
        recent.map(|(address, one)| (one.peer, *address)).collect()
    }

    /// All known addresses.
    #[must_use]
    pub fn all(&self) -> BTreeMap<ControllerId, SocketAddr> {
        let addresses = self.addresses.read();
        addresses.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sets the addresses that the replicated state holds.
    pub fn set_all(&self, members: &MemberAddresses) {
        for (member, address) in members {
            match address.parse() {
                Ok(address) if self.get(*member) != Some(address) => self.set(*member, address),
                Ok(_) => {}
                Err(_) => log::warn!("peers: member {member} has no valid address: {address}"),
            }
        }
    }

    /// The address of a member, if known.
    #[must_use]
    pub fn get(&self, member: ControllerId) -> Option<SocketAddr> {
        let addresses = self.addresses.read();
        addresses
            .unwrap_or_else(PoisonError::into_inner)
            .get(&member)
            .copied()
    }
}

fn is_refused(connected: &Result<Connection, WireError>) -> bool {
    let error = connected.as_ref().err();
    error.is_some_and(|error| match error {
        WireError::Io { source, .. } => source.kind() == std::io::ErrorKind::ConnectionRefused,
        WireError::Protocol { .. } | WireError::TimedOut { .. } => false,
    })
}
