//! In which zones the members are: a router follows one of its own zone, so that the feed
//! crosses zones once for a controller and not once for each router.
//!
//! Source: the leader is told by each controller that follows it, and tells all.

use crate::{Shared, join};
use courseshunt_services::{FeedMessage, MemberLocation};
use courseshunt_types::Zone;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// See the module; by wire address.
#[derive(Debug, Default)]
pub(crate) struct Places {
    zones: Mutex<BTreeMap<SocketAddr, Zone>>,
}

impl Places {
    fn zones(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Zone>> {
        self.zones.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes where a member is; returns whether that is new.
    pub(crate) fn note(&self, address: SocketAddr, zone: &Zone) -> bool {
        self.zones().insert(address, zone.clone()).as_ref() != Some(zone)
    }

    /// Takes over what the leader tells.
    pub(crate) fn follow(&self, members: &[MemberLocation]) {
        for member in members {
            if let (Ok(address), Some(zone)) = (member.address.parse(), &member.zone) {
                self.note(address, zone);
            }
        }
    }
}

/// The members with their zones, as routers and controllers are told.
pub(crate) async fn told(shared: &Shared) -> FeedMessage {
    let members = join::members(shared).await;
    let zones = shared.places.zones();
    let members = members.into_iter().map(|(_, address)| MemberLocation {
        address: address.to_string(),
        zone: zones.get(&address).cloned(),
    });
    FeedMessage::Members(members.collect())
}
