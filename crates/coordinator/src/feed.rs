//! Connections of routers and of other members.

use crate::configuration_feed::ConfigurationFeed;
use crate::interface::ControlInterface;
use crate::lead::CONTACT_LIMIT;
use crate::records::ControllerRecord;
use crate::snapshot::Snapshot;
use crate::{Shared, join, quarantine, relay};
use courseshunt_controller::peers::{REPLY_QUEUE, send_replies, serve_replica};
use courseshunt_http::AcceptPace;
use courseshunt_records::emit;
use courseshunt_services::{
    FeedMessage, InstanceDigests, InstanceView, QuotaAnswer, QuotaAsk, QuotaVerdict, ReportMessage,
};
use courseshunt_types::{ControllerId, Millis, RunnerId, Timestamp};
use courseshunt_wire::{
    Connection, Frame, Message, PeerIdentity, Receiver, Sender, WireError, accept,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Messages that wait for one router; a router that falls behind is cut off and
/// asks again.
const SESSION_QUEUE: usize = 512;
/// Longest time that a router waits here for the end of an election.
const ELECTION_WAIT: Duration = Duration::from_millis(150);
/// Pause after an accept error.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A router's session at the leader.
#[derive(Debug)]
struct Session {
    number: u64,
    queue: mpsc::Sender<Arc<Frame>>,
    /// Configuration that the router has or is being sent.
    configuration: u64,
    /// Configuration that the router says is in force there.
    in_force: u64,
}

/// A configuration on its way to the routers.
#[derive(Debug, Clone, Copy)]
struct Spreading {
    number: u64,
    since: Timestamp,
}

/// A configuration that is in force at all routers with a session.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Spread {
    pub(crate) number: u64,
    pub(crate) routers: usize,
    /// Time since the leader knew that it is committed.
    pub(crate) after: Millis,
}

/// All routers' sessions. A message for all is encoded once.
#[derive(Debug, Default)]
pub(crate) struct Sessions {
    sessions: Mutex<BTreeMap<String, Session>>,
    /// The instances as they were last sent to all.
    snapshot: Mutex<Option<Snapshot>>,
    configuration: Mutex<ConfigurationFeed>,
    spreading: Mutex<Option<Spreading>>,
}

impl Session {
    /// Sends the newest configuration if the router lacks it; returns whether the
    /// session goes on.
    fn configure(&mut self, feed: &mut ConfigurationFeed) -> bool {
        let Some(frame) = feed.frame_for(self.configuration) else {
            return true;
        };
        self.configuration = feed.number();
        self.queue.try_send(frame).is_ok()
    }
}

impl Sessions {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Session>> {
        self.sessions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Routers with a session.
    pub(crate) fn count(&self) -> usize {
        self.lock().len()
    }

    /// What a router lacks that knows instances with these digests; `views`
    /// gives the instances if they have changed since the last router.
    fn lacking(
        &self,
        known: &InstanceDigests,
        views: impl FnOnce() -> Vec<InstanceView>,
    ) -> Vec<Arc<Frame>> {
        let snapshot = self.snapshot.lock();
        let mut snapshot = snapshot.unwrap_or_else(PoisonError::into_inner);
        let snapshot = snapshot.get_or_insert_with(|| Snapshot::of(views()));
        snapshot.lacking(known)
    }

    /// Sends changed instances to all routers.
    pub(crate) fn send_instances(&self, changed: Vec<InstanceView>, gone: Vec<RunnerId>) {
        self.forget_snapshot();
        self.broadcast(FeedMessage::Instances { changed, gone });
    }

    fn forget_snapshot(&self) {
        let snapshot = self.snapshot.lock();
        *snapshot.unwrap_or_else(PoisonError::into_inner) = None;
    }

    /// Sends to all routers.
    pub(crate) fn broadcast(&self, message: FeedMessage) {
        let Some(frame) = encode(message) else {
            return;
        };
        self.lock()
            .retain(|_, session| session.queue.try_send(frame.clone()).is_ok());
    }

    /// Takes a configuration over and sends it to the routers that have an older
    /// one, in the form that routers are sent.
    pub(crate) fn configure(
        &self,
        number: u64,
        document: &[u8],
        interface: &dyn ControlInterface,
        now: Timestamp,
    ) {
        let mut feed = self.configuration();
        let is_newer = number > feed.number();
        if is_newer && feed.publish(number, &interface.document_for_routers(document)) {
            let since = now;
            *self.spreading() = Some(Spreading { number, since });
        }
        self.lock()
            .retain(|_, session| session.configure(&mut feed));
    }

    fn configuration(&self) -> MutexGuard<'_, ConfigurationFeed> {
        let configuration = self.configuration.lock();
        configuration.unwrap_or_else(PoisonError::into_inner)
    }

    fn spreading(&self) -> MutexGuard<'_, Option<Spreading>> {
        let spreading = self.spreading.lock();
        spreading.unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes which configuration is in force at a router; tells when the newest
    /// one is in force at all, once.
    fn confirm(&self, router: &str, in_force: u64, now: Timestamp) -> Option<Spread> {
        let mut sessions = self.lock();
        sessions.get_mut(router)?.in_force = in_force;
        let mut spreading = self.spreading();
        let Spreading { number, since } = (*spreading)?;
        if sessions.values().any(|session| session.in_force < number) {
            return None;
        }
        *spreading = None;
        Some(Spread {
            number,
            routers: sessions.len(),
            after: now.since(since),
        })
    }

    /// Ends all sessions.
    pub(crate) fn clear(&self) {
        self.forget_snapshot();
        *self.spreading() = None;
        self.lock().clear();
    }
}

pub(crate) fn encode(message: FeedMessage) -> Option<Arc<Frame>> {
    match Frame::of(&Message::ServiceFeed(message)) {
        Ok(frame) => Some(Arc::new(frame)),
        Err(problem) => {
            log::error!("feed: a message can't be encoded: {problem}");
            None
        }
    }
}

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

/// Notes that a process wants to join.
async fn take_in(member: ControllerId, wire_address: &str, shared: &Shared) -> Message {
    let leads = shared.replica.leads();
    if leads && let Ok(address) = wire_address.parse() {
        shared.addresses.set(member, address);
        let joining = shared.joining.lock();
        let mut joining = joining.unwrap_or_else(PoisonError::into_inner);
        if !joining.iter().any(|(id, _)| *id == member) {
            joining.push((member, address));
        }
        drop(joining);
        shared.wake.notify_one();
    }
    let members = join::members(shared).await.into_iter();
    let members = members.map(|(id, address)| (id, address.to_string()));
    Message::Joined {
        leads,
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
