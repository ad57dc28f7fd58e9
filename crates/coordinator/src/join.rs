//! Makes sure that this process is a member of the group: a process without a
//! leader asks the members that it knows to take it in.

use crate::{Shared, identity};
use courseshunt_types::ControllerId;
use courseshunt_wire::{Connection, Message, PeerIdentity, connect_from};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Pause between tries.
const PAUSE: Duration = Duration::from_millis(300);
/// Longest time for one try.
const TRY_LIMIT: Duration = Duration::from_millis(700);

/// Runs until the process stops.
pub(crate) async fn keep_joined(shared: Arc<Shared>) {
    let mut written = Vec::new();
    loop {
        tokio::time::sleep(PAUSE).await;
        store_members(&shared, &mut written).await;
        let status = shared.replica.status().borrow().clone();
        if status.leader.is_some() {
            continue;
        }
        for address in candidates(&shared).await {
            if try_join(&shared, address).await {
                break;
            }
        }
    }
}

/// Members' addresses, then the seeds', this process left out.
async fn candidates(shared: &Shared) -> Vec<SocketAddr> {
    let own = shared.settings.wire_address();
    let mut addresses: BTreeSet<SocketAddr> = BTreeSet::new();
    addresses.extend(shared.seeds.addresses());
    for (_, address) in members(shared).await {
        addresses.insert(address);
    }
    addresses.remove(&own);
    addresses.into_iter().collect()
}

/// The members with their addresses.
pub(crate) async fn members(shared: &Shared) -> Vec<(ControllerId, SocketAddr)> {
    let view = shared.replica.members().await;
    let all = view.membership.all().into_iter();
    let known = all.filter_map(|id| shared.addresses.get(id).map(|address| (id, address)));
    known.collect()
}

async fn store_members(shared: &Shared, written: &mut Vec<(ControllerId, SocketAddr)>) {
    let present = members(shared).await;
    if present.is_empty() || present == *written {
        return;
    }
    match identity::write_members(&shared.settings.data_folder, &present) {
        Ok(()) => *written = present,
        Err(error) => log::warn!("{error}"),
    }
}

/// Asks the process at `address` to take this one in; returns whether it leads.
async fn try_join(shared: &Shared, address: SocketAddr) -> bool {
    let work = async {
        let identity = PeerIdentity::Controller(shared.id);
        let source = Some(shared.settings.address);
        let connection = connect_from(source, address, &shared.key, &identity).await;
        let Connection {
            mut sender,
            mut receiver,
            ..
        } = connection.ok()?;
        let join = Message::Join {
            member: shared.id,
            wire_address: shared.settings.wire_address().to_string(),
        };
        sender.send(&join).await.ok()?;
        loop {
            if let Message::Joined { leads, members } = receiver.receive().await.ok()?? {
                return Some((leads, members));
            }
        }
    };
    let Ok(Some((leads, members))) = tokio::time::timeout(TRY_LIMIT, work).await else {
        return false;
    };
    for (member, address) in members {
        if let Ok(address) = address.parse()
            && member != shared.id
        {
            shared.addresses.set(member, address);
        }
    }
    leads
}
