//! Wire addresses of the members: from the settings, then from the replicated
//! state, which wins.

use courseshunt_state::members::MemberAddresses;
use courseshunt_types::ControllerId;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use tokio::sync::Notify;

/// See the module; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct AddressBook {
    addresses: Arc<RwLock<BTreeMap<ControllerId, SocketAddr>>>,
    heard: Arc<Mutex<BTreeMap<ControllerId, Arc<Notify>>>>,
    source: Option<IpAddr>,
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
    pub fn heard_from(&self, member: ControllerId) {
        self.heard(member).notify_one();
    }

    /// Told each time a member connects here.
    pub(super) fn heard(&self, member: ControllerId) -> Arc<Notify> {
        let heard = self.heard.lock();
        let mut heard = heard.unwrap_or_else(PoisonError::into_inner);
        heard.entry(member).or_default().clone()
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
