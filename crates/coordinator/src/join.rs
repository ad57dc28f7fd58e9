//! Makes sure that this process is a member of the group: a process without a leader
//! asks the processes that it knows, and those it is told of, to take it in.

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

/// Longest time between looks at whether a leader is known.
const LOOK_INTERVAL: Duration = Duration::from_millis(300);
/// Shortest time between looks.
const LEAST_PAUSE: Duration = Duration::from_millis(10);
/// Longest time for one question.
const QUESTION_LIMIT: Duration = Duration::from_millis(700);
/// Answers that wait to be taken; more questions are never under way.
const ANSWERS: usize = 64;

/// What became of a question to this address; `None` without an answer.
type Answered = (SocketAddr, Option<JoinReply>);

/// Runs until the process stops.
pub(crate) async fn keep_joined(shared: Arc<Shared>) {
    let mut written = Vec::new();
    let mut joiner = Joiner::default();
    let mut told = Vec::new();
    let (answers, mut answered) = mpsc::channel(ANSWERS);
    loop {
        store_members(&shared, &mut written).await;
        for address in due(&shared, &mut joiner).await {
            tokio::spawn(ask(shared.clone(), address, answers.clone()));
        }
        tell(&joiner, &mut told);
        let pause = pause(&shared, &joiner);
        let Ok(Some(answer)) = tokio::time::timeout(pause, answered.recv()).await else {
            continue;
        };
        take(&shared, &mut joiner, answer);
        while let Ok(answer) = answered.try_recv() {
            take(&shared, &mut joiner, answer);
        }
    }
}

/// Whom to ask now.
async fn due(shared: &Shared, joiner: &mut Joiner) -> Vec<SocketAddr> {
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
    next.map_or(LOOK_INTERVAL, |next| next.clamp(LEAST_PAUSE, LOOK_INTERVAL))
}

/// Records who was asked and what was answered, when that has changed.
fn tell(joiner: &Joiner, told: &mut Vec<AskedMember>) {
    let answers = joiner.outcomes();
    let asked: Vec<AskedMember> = answers.map(AskedMember::from).collect();
    if asked == *told {
        return;
    }
    if !asked.is_empty() {
        emit(&ControllerRecord::AsksToJoin { asked: &asked });
    }
    *told = asked;
}

fn take(shared: &Shared, joiner: &mut Joiner, (address, reply): Answered) {
    let now = shared.clock.now();
    match reply {
        Some(reply) => joiner.reply_received(address, &reply, now),
        None => joiner.no_reply(address, now),
    }
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
async fn ask(shared: Arc<Shared>, address: SocketAddr, answers: mpsc::Sender<Answered>) {
    let reply = tokio::time::timeout(QUESTION_LIMIT, question(&shared, address)).await;
    // Nobody takes answers any more once the process stops.
    let _ = answers.send((address, reply.ok().flatten())).await;
}

async fn question(shared: &Shared, address: SocketAddr) -> Option<JoinReply> {
    let identity = PeerIdentity::Controller(shared.id);
    let connecting = shared
        .addresses
        .connect(address, QUESTION_LIMIT, &shared.key, &identity);
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
