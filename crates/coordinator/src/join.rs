//! Makes this process a member of the group: a process without a leader sends join requests to
//! the processes whose addresses it has, and to those that their replies name.
//!
//! Invariant: the known members are stored on disk, so that a restarted process finds the group
//! without its seeds.

use crate::records::{AskedMember, ControllerRecord};
use crate::{Shared, identity};
use courseshunt_membership::{JoinReply, Joiner, JoinerView};
use courseshunt_records::emit;
use courseshunt_types::ControllerId;
use courseshunt_wire::{Connection, Message, PeerIdentity};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Longest time between checks whether a leader is known.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Shortest time between checks.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Time limit of one join request.
const JOIN_REQUEST_TIMEOUT: Duration = Duration::from_millis(700);
/// Capacity of the queue of outcomes; there are never more requests in flight.
const OUTCOME_QUEUE: usize = 64;

/// Outcome of a join request to this address; `None` without a reply.
type JoinAttempt = (SocketAddr, Option<JoinReply>);

/// Sends join requests while they are due, and stores the members, until the process stops.
pub(crate) async fn maintain_membership(shared: Arc<Shared>) {
    let mut stored = Vec::new();
    let mut joiner = Joiner::default();
    let mut recorded = Vec::new();
    let (outcomes, mut outcome_queue) = mpsc::channel(OUTCOME_QUEUE);
    loop {
        store_members(&shared, &mut stored).await;
        for address in due_requests(&shared, &mut joiner).await {
            tokio::spawn(request_join(shared.clone(), address, outcomes.clone()));
        }
        record_answers(&joiner, &mut recorded);
        let pause = pause(&shared, &joiner);
        let Ok(Some(outcome)) = tokio::time::timeout(pause, outcome_queue.recv()).await else {
            continue;
        };
        handle_outcome(&shared, &mut joiner, outcome);
        while let Ok(outcome) = outcome_queue.try_recv() {
            handle_outcome(&shared, &mut joiner, outcome);
        }
    }
}

/// Addresses that are to be sent a join request now.
async fn due_requests(shared: &Shared, joiner: &mut Joiner) -> Vec<SocketAddr> {
    let leader_known = shared.replica.status().borrow().leader.is_some();
    let view = shared.replica.members().await;
    let known: BTreeSet<SocketAddr> = shared.addresses.all().into_values().collect();
    let known: Vec<SocketAddr> = known.into_iter().chain(shared.seeds.addresses()).collect();
    let view = JoinerView {
        own_address: shared.settings.wire_address(),
        leader_known,
        is_member: !view.membership.voters.is_empty(),
        known_addresses: &known,
    };
    joiner.due(view, shared.clock.now())
}

fn pause(shared: &Shared, joiner: &Joiner) -> Duration {
    let now = shared.clock.now();
    let next = joiner.next_due_at().map(|at| Duration::from(at.since(now)));
    next.map_or(MAX_CHECK_INTERVAL, |next| {
        next.clamp(MIN_CHECK_INTERVAL, MAX_CHECK_INTERVAL)
    })
}

/// Records the processes that were sent requests and their answers, if they have changed.
fn record_answers(joiner: &Joiner, recorded: &mut Vec<AskedMember>) {
    let outcomes = joiner.outcomes();
    let answers: Vec<AskedMember> = outcomes.map(AskedMember::from).collect();
    if answers == *recorded {
        return;
    }
    if !answers.is_empty() {
        emit(&ControllerRecord::AsksToJoin { asked: &answers });
    }
    *recorded = answers;
}

fn handle_outcome(shared: &Shared, joiner: &mut Joiner, (address, reply): JoinAttempt) {
    let now = shared.clock.now();
    match reply {
        Some(reply) => joiner.reply_received(address, &reply, now),
        None => joiner.no_reply(address, now),
    }
}

/// The members whose addresses are known, with these addresses.
pub(crate) async fn members(shared: &Shared) -> Vec<(ControllerId, SocketAddr)> {
    let view = shared.replica.members().await;
    let all = view.membership.all().into_iter();
    let known = all.filter_map(|id| shared.addresses.get(id).map(|address| (id, address)));
    known.collect()
}

async fn store_members(shared: &Shared, stored: &mut Vec<(ControllerId, SocketAddr)>) {
    let present = members(shared).await;
    if present.is_empty() || present == *stored {
        return;
    }
    match identity::write_members(&shared.settings.data_folder, &present) {
        Ok(()) => *stored = present,
        Err(error) => log::warn!("{error}"),
    }
}

/// Sends a join request to `address`, and passes its outcome on.
async fn request_join(
    shared: Arc<Shared>,
    address: SocketAddr,
    outcomes: mpsc::Sender<JoinAttempt>,
) {
    let reply =
        tokio::time::timeout(JOIN_REQUEST_TIMEOUT, send_join_request(&shared, address)).await;
    // The receiver is dropped when the process stops.
    let _ = outcomes.send((address, reply.ok().flatten())).await;
}

async fn send_join_request(shared: &Shared, address: SocketAddr) -> Option<JoinReply> {
    let identity = PeerIdentity::Controller(shared.id);
    let connecting =
        shared
            .addresses
            .connect(address, JOIN_REQUEST_TIMEOUT, &shared.key, &identity);
    let connection = connecting.await;
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
        let Message::Joined {
            leads,
            leader,
            members,
        } = receiver.receive().await.ok()??
        else {
            continue;
        };
        let members = members.into_iter();
        let members = members.filter_map(|(id, address)| Some((id, address.parse().ok()?)));
        let members: Vec<(ControllerId, SocketAddr)> = members.collect();
        for (member, address) in &members {
            if *member != shared.id {
                shared.addresses.set(*member, *address);
            }
        }
        return Some(JoinReply {
            leads,
            leader: leader.and_then(|leader| leader.parse().ok()),
            members: members.into_iter().map(|(_, address)| address).collect(),
        });
    }
}
