//! Wire addresses of the members, shared within a process. Sources are the settings, the disk,
//! inbound connections, responses to join requests, and the replicated state, which overrides
//! the others.
//!
//! Invariant: a process that answers at the address of another member is never treated as that
//! member; it is recorded as an unexpected peer.

use courseshunt_state::members::MemberAddresses;
use courseshunt_types::ControllerId;
use courseshunt_wire::{
    ClusterKey, Connection, PREVIOUS_RELEASE_VERSION, PROTOCOL_VERSION, PeerIdentity, WireError,
    connect_within,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// An unexpected peer expires after this time without contact, so that it is logged again.
const UNEXPECTED_PEER_TTL: Duration = Duration::from_secs(30);
/// An unexpected peer contacted within this time counts as present at the address; addresses in
/// use are dialled far more often.
const RECENT_CONTACT: Duration = Duration::from_secs(2);

/// A process at an address that is recorded for another member.
#[derive(Debug, Clone, Copy)]
struct UnexpectedPeer {
    peer: ControllerId,
    contacted_at: Instant,
}

/// Addresses and protocol versions of the members; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct AddressBook {
    addresses: Arc<RwLock<BTreeMap<ControllerId, SocketAddr>>>,
    inbound: Arc<Mutex<BTreeMap<ControllerId, Arc<Notify>>>>,
    unexpected_peers: Arc<Mutex<BTreeMap<SocketAddr, UnexpectedPeer>>>,
    /// Protocol version of the latest connection with each member.
    versions: Arc<Mutex<BTreeMap<ControllerId, u8>>>,
    source: Option<IpAddr>,
    /// Port on which members listen for each other, if it differs from the port of their
    /// addresses.
    member_port: Option<u16>,
}

impl AddressBook {
    /// Creates an address book for a member that dials from `source`; `None` lets the operating
    /// system choose.
    #[must_use]
    pub fn dialling_from(source: Option<IpAddr>) -> Self {
        Self {
            source,
            ..Self::default()
        }
    }

    /// Dials members at this port instead of the port of their addresses.
    #[must_use]
    pub fn at_member_port(self, port: u16) -> Self {
        Self {
            member_port: Some(port),
            ..self
        }
    }

    /// The address at which the member recorded under `address` is dialled.
    #[must_use]
    pub fn dialled(&self, address: SocketAddr) -> SocketAddr {
        let port = self.member_port.unwrap_or(address.port());
        SocketAddr::new(address.ip(), port)
    }

    /// Records the protocol version of a connection with a member; returns whether it changed.
    pub fn record_protocol_version(&self, member: ControllerId, version: u8) -> bool {
        let versions = self.versions.lock();
        let mut versions = versions.unwrap_or_else(PoisonError::into_inner);
        versions.insert(member, version) != Some(version)
    }

    /// The protocol version of the latest connection with a member, if there was one.
    #[must_use]
    pub fn protocol_version(&self, member: ControllerId) -> Option<u8> {
        let versions = self.versions.lock();
        let versions = versions.unwrap_or_else(PoisonError::into_inner);
        versions.get(&member).copied()
    }

    /// Whether all of these members, which include this one, are known to use the current
    /// protocol version, so that no member needs the snapshot format of the previous release.
    #[must_use]
    pub fn all_at_current_version(&self, members: &BTreeSet<ControllerId>) -> bool {
        let versions = self.versions.lock();
        let versions = versions.unwrap_or_else(PoisonError::into_inner);
        let is_current = |member| versions.get(member) == Some(&PROTOCOL_VERSION);
        let not_current = members.iter().filter(|member| !is_current(member));
        // This member has no connection, and so no recorded version, of its own.
        not_current.count() <= 1
    }

    /// Whether the member is known to run the previous release.
    #[must_use]
    pub fn is_previous_release(&self, member: ControllerId) -> bool {
        self.protocol_version(member) == Some(PREVIOUS_RELEASE_VERSION)
    }

    /// Connects to the member recorded under `address`. Members of the previous release have no
    /// separate member port and are reached at the address itself.
    ///
    /// # Errors
    /// When the member can't be reached, does not respond in time, or does not have the key.
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
        let previous_release = connect_within(limit, self.source, address, key, identity).await;
        match previous_release {
            Ok(connection) if connection.is_previous_release() => Ok(connection),
            _ => connected,
        }
    }

    /// Source address of outgoing connections.
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

    /// Records that a member has connected here. It is reachable, so a hanging attempt to dial it
    /// is restarted.
    pub fn record_inbound_connection(&self, member: ControllerId) {
        self.inbound_signal(member).notify_one();
    }

    /// Signal that fires each time a member connects here.
    pub(super) fn inbound_signal(&self, member: ControllerId) -> Arc<Notify> {
        let inbound = self.inbound.lock();
        let mut inbound = inbound.unwrap_or_else(PoisonError::into_inner);
        inbound.entry(member).or_default().clone()
    }

    /// Records that `peer` answers at an address that is recorded for another member; returns
    /// whether that is new.
    pub fn record_unexpected_peer(&self, address: SocketAddr, peer: ControllerId) -> bool {
        let peers = self.unexpected_peers.lock();
        let mut peers = peers.unwrap_or_else(PoisonError::into_inner);
        peers.retain(|_, one| one.contacted_at.elapsed() < UNEXPECTED_PEER_TTL);
        let contacted_at = Instant::now();
        let previous = peers.insert(address, UnexpectedPeer { peer, contacted_at });
        previous.is_none_or(|previous| previous.peer != peer)
    }

    /// Peers that recently answered at addresses of other members.
    #[must_use]
    pub fn recent_unexpected_peers(&self) -> Vec<(ControllerId, SocketAddr)> {
        let peers = self.unexpected_peers.lock();
        let peers = peers.unwrap_or_else(PoisonError::into_inner);
        let recent = peers.iter();
        let recent = recent.filter(|(_, one)| one.contacted_at.elapsed() < RECENT_CONTACT);
        recent.map(|(address, one)| (one.peer, *address)).collect()
    }

    /// All known addresses.
    #[must_use]
    pub fn all(&self) -> BTreeMap<ControllerId, SocketAddr> {
        let addresses = self.addresses.read();
        addresses.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sets the addresses of the replicated state.
    pub fn set_all(&self, members: &MemberAddresses) {
        for (member, address) in members {
            match address.parse() {
                Ok(address) if self.get(*member) != Some(address) => self.set(*member, address),
                Ok(_) => {}
                Err(_) => log::warn!("peers: invalid address of member {member}: {address}"),
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
