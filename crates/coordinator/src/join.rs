//! Makes sure that this process is a member of the group: a process without a
//! leader asks the members that it knows to take it in.

use crate::records::{AskedMember, ControllerRecord, JoinAnswer};
use crate::{Shared, identity};
use courseshunt_records::emit;
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
    let mut told = Vec::new();
    loop {
        tokio::time::sleep(PAUSE).await;
        store_members(&shared, &mut written).await;
        let status = shared.replica.status().borrow().clone();
        if status.leader.is_some() {
            told.clear();
            continue;
        }
        let asked = ask_all(&shared).await;
        if asked != told {
            emit(&ControllerRecord::AsksToJoin { asked: &asked });
            told = asked;
        }
    }
}

/// Asks one candidate after the other until one leads.
async fn ask_all(shared: &Shared) -> Vec<AskedMember> {
    let mut asked = Vec::new();
    for address in candidates(shared).await {
        let answer = try_join(shared, address).await;
        let address = address.to_string();
        asked.push(AskedMember { address, answer });
        if answer == JoinAnswer::Leads {
            break;
        }
    }
    asked
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

/// Asks the process at `address` to take this one in.
async fn try_join(shared: &Shared, address: SocketAddr) -> JoinAnswer {
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
        return JoinAnswer::NoAnswer;
    };
    for (member, address) in members {
        if let Ok(address) = address.parse()
            && member != shared.id
        {
            shared.addresses.set(member, address);
        }
    }
    match leads {
        true => JoinAnswer::Leads,
        false => JoinAnswer::Follows,
    }
}
