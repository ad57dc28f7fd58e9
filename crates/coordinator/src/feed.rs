//! Connections of routers and of other members.

use crate::lead::CONTACT_LIMIT;
use crate::records::ControllerRecord;
use crate::sessions::{SESSION_QUEUE, Session, encode};
use crate::{Shared, join, quarantine, relay};
use courseshunt_controller::peers::{REPLY_QUEUE, send_replies, serve_replica};
use courseshunt_http::AcceptPace;
use courseshunt_records::emit;
use courseshunt_services::{
    FeedMessage, InstanceDigests, QuotaAnswer, QuotaAsk, QuotaVerdict, ReportMessage,
};
use courseshunt_types::{ControllerId, RunnerId};
use courseshunt_wire::{
    Connection, Frame, Message, PeerIdentity, Receiver, Sender, WireError, accept,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Longest time that a router waits here for the end of an election.
const ELECTION_WAIT: Duration = Duration::from_millis(150);
/// Pause after an accept error.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts other processes until the stop.
pub(crate) async fn accept_all(listener: TcpListener, shared: Arc<Shared>) {
    let mut pace = AcceptPace::default();
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                tokio::spawn(serve_peer(stream, address, shared.clone()));
                pace.accepted().await;
            }
            Err(error) => {
                log::warn!("feed: accept failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_peer(stream: TcpStream, address: SocketAddr, shared: Arc<Shared>) {
    let identity = PeerIdentity::Controller(shared.id);
    let connection = accept(stream, address, &shared.key, &identity).await;
    let ended = match connection {
        Ok(connection) => match connection.peer.clone() {
            PeerIdentity::Controller(peer) => {
                // All members listen on the same port.
                let wire_address = SocketAddr::new(address.ip(), shared.settings.wire_port);
                shared.addresses.set(peer, wire_address);
                shared.addresses.heard_from(peer);
                serve_member(connection, peer, &shared).await
            }
            PeerIdentity::Router(router, incarnation) => {
                serve_router(connection, router.0, incarnation.0, &shared).await
            }
        },
        Err(error) => Err(error),
    };
    if let Err(error) = ended {
        log::debug!("feed: connection ended: {error}");
    }
}

async fn serve_member(
    connection: Connection,
    peer: ControllerId,
    shared: &Arc<Shared>,
) -> Result<(), WireError> {
    let Connection {
        sender, receiver, ..
    } = connection;
    let (replies, reply_queue) = mpsc::channel(REPLY_QUEUE);
    tokio::select! {
        () = shared.stop.cancelled() => Ok(()),
        ended = send_replies(sender, reply_queue) => ended,
        ended = receive_member(receiver, peer, replies, shared) => ended,
    }
}

async fn receive_member(
    mut receiver: Receiver,
    peer: ControllerId,
    replies: mpsc::Sender<Message>,
    shared: &Arc<Shared>,
) -> Result<(), WireError> {
    while let Some(message) = receiver.receive().await? {
        match serve_replica(peer, message, &shared.replica, &replies) {
            Some(Message::Join {
                member,
                wire_address,
            }) => {
                let answer = take_in(member, &wire_address, shared).await;
                let _ = replies.send(answer).await;
            }
            Some(Message::Registrations(batch)) => {
                let answer = relay::take(batch, peer, shared);
                let _ = replies.send(answer).await;
            }
            Some(other) => log::warn!("peers: controller {peer} sent {other:?}"),
            None => {}
        }
    }
    Ok(())
}

/// Notes that a process wants to join, and tells it where the leader is.
async fn take_in(member: ControllerId, wire_address: &str, shared: &Shared) -> Message {
    let leads = shared.replica.leads();
    if leads && let Ok(address) = wire_address.parse() {
        shared.addresses.set(member, address);
        shared.note_applicant(member, address);
    }
    let mut known = join::members(shared).await;
    if known.is_empty() {
        // No member itself: whom it has met may know more.
        known = shared.addresses.all().into_iter().collect();
    }
    if shared.asked_to_join(member, leads) {
        emit(&ControllerRecord::AskedToJoin {
            member: member.0,
            address: wire_address,
            noted: leads,
            members: known.len(),
        });
    }
    let leader = shared.leader_address().map(|address| address.to_string());
    let members = known.into_iter();
    let members = members.map(|(id, address)| (id, address.to_string()));
    Message::Joined {
        leads,
        leader,
        members: members.collect(),
    }
}

/// Whether this member feeds routers; waits a little for an election to end, so
/// that routers learn of the new leader at once, and for the leader's first look
/// at what was committed, so that they learn of the instances.
async fn feeds_soon(shared: &Shared) -> bool {
    let mut status = shared.replica.status();
    let decided = status.wait_for(|status| status.leader.is_some());
    let _ = tokio::time::timeout(ELECTION_WAIT, decided).await;
    if !shared.replica.leads() {
        return false;
    }
    let mut feeding = shared.feeding.subscribe();
    let begun = feeding.wait_for(|feeding| *feeding);
    let _ = tokio::time::timeout(ELECTION_WAIT, begun).await;
    *shared.feeding.borrow()
}

async fn serve_router(
    connection: Connection,
    router: String,
    incarnation: u64,
    shared: &Arc<Shared>,
) -> Result<(), WireError> {
    let Connection {
        mut sender,
        mut receiver,
        ..
    } = connection;
    let Some(Message::ServiceReport(ReportMessage::Subscribe { number, known })) =
        receiver.receive().await?
    else {
        return Ok(());
    };
    let members = join::members(shared).await.into_iter();
    let members = members.map(|(_, address)| address.to_string()).collect();
    send(&mut sender, FeedMessage::Members(members)).await?;
    if !feeds_soon(shared).await {
        let leader = shared.leader_address().map(|address| address.to_string());
        return send(&mut sender, FeedMessage::NotLeader { leader }).await;
    }
    let (queue, messages) = mpsc::channel(SESSION_QUEUE);
    let session = Session {
        number: incarnation,
        queue,
        configuration: number,
        in_force: number,
    };
    open_session(&router, session, &known, shared);
    let ended = tokio::select! {
        () = shared.stop.cancelled() => Ok(()),
        ended = send_all(sender, messages) => ended,
        ended = receive_reports(receiver, &router, shared) => ended,
    };
    let mut sessions = shared.sessions.lock();
    if sessions
        .get(&router)
        .is_some_and(|session| session.number == incarnation)
    {
        sessions.remove(&router);
        emit(&ControllerRecord::RouterLost { router: &router });
        shared.engine().forget_router(&router);
        shared.quotas().router_lost(&router, shared.clock.now());
    }
    ended
}

/// Sends a router what it lacks, and from then on what changes.
fn open_session(router: &str, session: Session, known: &InstanceDigests, shared: &Shared) {
    let now = shared.clock.now();
    // Before all else: without it a router that has just started would send such a request.
    if let Some(frame) = encode(quarantine::told(shared)) {
        let _ = session.queue.try_send(frame);
    }
    let lacking = shared
        .sessions
        .lacking(known, || shared.engine().views(now));
    for frame in lacking {
        let _ = session.queue.try_send(frame);
    }
    let gone = unknown_leaving(shared);
    if !gone.is_empty()
        && let Some(frame) = encode(FeedMessage::Instances {
            changed: Vec::new(),
            gone,
        })
    {
        let _ = session.queue.try_send(frame);
    }
    shared.quotas().router_heard(router);
    if let Some(frame) = shared.quota_standings(now).and_then(encode) {
        let _ = session.queue.try_send(frame);
    }
    let configuration = session.configuration;
    shared.sessions.lock().insert(router.to_owned(), session);
    let state = shared.replica.state();
    let services = &state.services;
    shared
        .sessions
        .configure(services.number, &services.document, &*shared.interface, now);
    drop(state);
    emit(&ControllerRecord::RouterFollows {
        router,
        configuration,
    });
}

/// Leaving instances that this leader has not met: the router may know them from
/// an earlier one.
fn unknown_leaving(shared: &Shared) -> Vec<RunnerId> {
    let state = shared.replica.state();
    let engine = shared.engine();
    let leaving = state.services.leaving.iter().map(|one| &one.instance);
    leaving.filter(|id| !engine.knows(id)).cloned().collect()
}

async fn send(sender: &mut Sender, message: FeedMessage) -> Result<(), WireError> {
    sender.send(&Message::ServiceFeed(message)).await
}

async fn send_all(
    mut sender: Sender,
    mut messages: mpsc::Receiver<Arc<Frame>>,
) -> Result<(), WireError> {
    while let Some(frame) = messages.recv().await {
        sender.send_frame(&frame).await?;
    }
    Ok(())
}

/// Answers a router's questions on tenants' limits.
fn answer_quotas(router: &str, questions: &[QuotaAsk], shared: &Shared) {
    let now = shared.clock.now();
    let in_contact = shared.replica.confirmation_age();
    let in_contact = in_contact.is_some_and(|age| age < CONTACT_LIMIT);
    let mut quotas = shared.quotas();
    let answers = questions.iter().map(|one| QuotaAnswer {
        number: one.number,
        verdict: match in_contact {
            true => quotas.ask(router, one, now),
            false => QuotaVerdict::Unknown,
        },
    });
    let answers = answers.collect();
    drop(quotas);
    let Some(frame) = encode(FeedMessage::QuotaAnswers(answers)) else {
        return;
    };
    if let Some(session) = shared.sessions.lock().get(router) {
        let _ = session.queue.try_send(frame);
    }
}

async fn receive_reports(
    mut receiver: Receiver,
    router: &str,
    shared: &Shared,
) -> Result<(), WireError> {
    while let Some(message) = receiver.receive().await? {
        let Message::ServiceReport(report) = message else {
            continue;
        };
        let (configuration, instances, demand, unreachable) = match report {
            ReportMessage::Usage {
                configuration,
                instances,
                demand,
                unreachable,
            } => (configuration, instances, demand, unreachable),
            ReportMessage::TenantUse { epoch, uses } => {
                let now = shared.clock.now();
                if shared.quotas().report(router, epoch, &uses, now) {
                    shared.wake.notify_one();
                }
                continue;
            }
            ReportMessage::AskQuotas(questions) => {
                answer_quotas(router, &questions, shared);
                continue;
            }
            ReportMessage::Ends { ends, answered } => {
                quarantine::take(&ends, answered, shared);
                continue;
            }
            ReportMessage::Subscribe { .. } => continue,
        };
        let waits = demand.iter().any(|one| one.waiting > 0);
        let now = shared.clock.now();
        if let Some(spread) = shared.sessions.confirm(router, configuration, now) {
            shared.metrics.spread(spread.after);
            emit(&ControllerRecord::ConfigurationEverywhere {
                number: spread.number,
                routers: spread.routers,
                after_ms: spread.after.0,
            });
        }
        let mut engine = shared.engine();
        engine.report_usage(router, instances, &demand, now);
        engine.report_unreachable(router, &unreachable, now);
        drop(engine);
        if waits {
            shared.wake.notify_one();
        }
    }
    Ok(())
}
