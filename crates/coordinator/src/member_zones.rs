//! Zones of the members. A router subscribes to a controller of its own zone, so that the feed
//! crosses zones once for each controller and not once for each router.
//!
//! Source: each controller reports its zone when it subscribes to the leader, which sends the
//! zones to all subscribers.

use crate::{Shared, join};
use courseshunt_services::{FeedMessage, MemberLocation};
use courseshunt_types::Zone;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Zones of the members by wire address.
#[derive(Debug, Default)]
pub(crate) struct MemberZones {
    zones: Mutex<BTreeMap<SocketAddr, Zone>>,
}

impl MemberZones {
    fn zones(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Zone>> {
        self.zones.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes the zone of a member; returns whether it has changed.
    pub(crate) fn note(&self, address: SocketAddr, zone: &Zone) -> bool {
        self.zones().insert(address, zone.clone()).as_ref() != Some(zone)
    }

    /// Applies the zones that the leader sends.
    pub(crate) fn update(&self, members: &[MemberLocation]) {
        for member in members {
            if let (Ok(address), Some(zone)) = (member.address.parse(), &member.zone) {
                self.note(address, zone);
            }
        }
    }
}

/// The feed message with the members and their zones.
pub(crate) async fn feed_message(shared: &Shared) -> FeedMessage {
    let members = join::members(shared).await;
    let zones = shared.member_zones.zones();
    let members = members.into_iter().map(|(_, address)| MemberLocation {
        address: address.to_string(),
        zone: zones.get(&address).cloned(),
    });
    FeedMessage::Members(members.collect())
}
