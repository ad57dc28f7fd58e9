//! Serves connections of routers, and of controllers that relay the leader's feed.
//!
//! Invariant: a controller that does not lead feeds routers only what the leader feeds it, so
//! that the age of a router's feed is measured from the leader, whether it is direct or relayed.

use crate::records::ControllerRecord;
use crate::router_registry::FeedPath;
use crate::sessions::{SESSION_QUEUE, Session};
use crate::{Shared, accept, member_thread, member_zones, relay, reports};
use courseshunt_records::emit;
use courseshunt_services::instance_aliases::RouterAliases;
use courseshunt_services::{
    FeedMessage, InstanceDigests, RelayedReport, ReportMessage, RouterUpdate,
};
use courseshunt_types::{ControllerId, RunnerId};
use courseshunt_wire::{Connection, Frame, Message, PeerIdentity, Receiver, Sender, WireError};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// Longest time that a router waits for this controller to have a feed. Waiting is cheap and the
/// router receives the feed as soon as there is one. A rejected router costs a handshake for each
/// retry, and retries only some time after the feed is available.
const MAX_FEED_WAIT: Duration = Duration::from_millis(500);
/// Longest time that a controller waits for this leader to restore the committed state.
const MAX_LEADER_WAIT: Duration = Duration::from_secs(2);
/// Capacity of the queue of answers to one controller, in messages.
const ANSWER_QUEUE: usize = 1024;

/// Accepts connections of routers and controllers until the process stops.
pub(crate) async fn accept_all(listener: TcpListener, shared: Arc<Shared>) {
    let serve = |stream, address| serve_peer(stream, address, shared.clone());
    accept::accept_all(listener, "feed", serve).await;
}

async fn serve_peer(stream: TcpStream, address: SocketAddr, shared: Arc<Shared>) {
    let identity = PeerIdentity::Controller(shared.id);
    let connection = courseshunt_wire::accept(stream, address, &shared.key, &identity).await;
    let ended = match connection {
        Ok(connection) => match connection.peer.clone() {
            // Members of the previous release have no separate port for each other.
            PeerIdentity::Controller(_) if connection.is_previous_release() => {
                member_thread::serve_member(connection, address, &shared).await
            }
            PeerIdentity::Controller(peer) => {
                // All controllers listen on the same port numbers.
                let address = SocketAddr::new(address.ip(), shared.settings.wire_port);
                serve_controller(connection, peer, address, &shared).await
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

/// Waits up to `limit` until a flag of this controller is set; returns whether it is.
async fn wait_until_true(state: &watch::Sender<bool>, limit: Duration) -> bool {
    let mut changes = state.subscribe();
    let reached = changes.wait_for(|is_true| *is_true);
    let _ = tokio::time::timeout(limit, reached).await;
    *state.borrow()
}

async fn serve_router(
    connection: Connection,
    router: String,
    session_number: u64,
    shared: &Arc<Shared>,
) -> Result<(), WireError> {
    let is_previous_release = connection.is_previous_release();
    let Connection {
        mut sender,
        mut receiver,
        ..
    } = connection;
    // Sent first, since the router may prefer a controller of its own zone.
    send(&mut sender, member_zones::feed_message(shared).await).await?;
    let Some(Message::ServiceReport(ReportMessage::Subscribe {
        number: configuration,
        known,
    })) = receiver.receive().await?
    else {
        return Ok(());
    };
    let feeds = tokio::select! {
        biased;
        feeds = wait_until_true(&shared.feed_available, MAX_FEED_WAIT) => feeds,
        // A leader of the previous release feeds no controllers, so the router has to connect to
        // it directly.
        () = shared.upstream.until_leader_is_previous_release() => *shared.feed_available.borrow(),
        // Without a quorum no feed is to be expected here. Another controller may have one, and
        // waiting would leave the router without the newest state.
        () = shared.replica.until_quorum_lost() => *shared.feed_available.borrow(),
    };
    if !feeds {
        let leader = shared.leader_address().map(|address| address.to_string());
        return send(&mut sender, FeedMessage::NoFeed { leader }).await;
    }
    let (queue, messages) = mpsc::channel(SESSION_QUEUE);
    let session = Session {
        number: session_number,
        queue,
        configuration,
        is_previous_release,
        aliases: RouterAliases::default(),
    };
    let gone = match is_previous_release {
        true => unseen_leaving_names(shared),
        false => unseen_leaving_instances(shared),
    };
    shared.sessions.open_router(&router, session, &known, gone);
    report_router_event(
        &router,
        session_number,
        RouterUpdate::Connected { configuration },
        shared,
    );
    emit(&ControllerRecord::RouterFollows {
        router: &router,
        configuration,
        is_earlier: is_previous_release,
    });
    let connection = RouterConnection {
        router: &router,
        session_number,
        is_previous_release,
    };
    let ended = tokio::select! {
        () = shared.stop.cancelled() => Ok(()),
        ended = send_feed(sender, messages) => ended,
        ended = receive_reports(receiver, &connection, shared) => ended,
    };
    if shared.sessions.close_router(&router, session_number) {
        emit(&ControllerRecord::RouterLost { router: &router });
    }
    report_router_event(&router, session_number, RouterUpdate::Disconnected, shared);
    ended
}

/// A router's connection on which it reports.
struct RouterConnection<'a> {
    router: &'a str,
    session_number: u64,
    is_previous_release: bool,
}

fn report_router_event(
    router: &str,
    session_number: u64,
    update: RouterUpdate,
    shared: &Arc<Shared>,
) {
    let router = router.to_owned();
    let report = RelayedReport {
        router,
        session: session_number,
        update,
    };
    reports::handle_local(report, shared);
}

/// Leaving instances that this controller's feed does not contain; a subscriber may hold them
/// from an earlier feed.
fn unseen_leaving_instances(shared: &Shared) -> Vec<RunnerId> {
    let leaving: Vec<RunnerId> = {
        let state = shared.replica.state();
        let leaving = state.services.leaving.iter();
        leaving.map(|one| one.instance.clone()).collect()
    };
    let unseen = leaving.into_iter();
    unseen.filter(|id| !shared.sessions.contains(id)).collect()
}

/// Those of which no later incarnation is there, which has the same name.
fn unseen_leaving_names(shared: &Shared) -> Vec<RunnerId> {
    let mut unseen = unseen_leaving_instances(shared);
    unseen.retain(|id| !shared.sessions.contains_name(id));
    unseen
}

async fn send(sender: &mut Sender, message: FeedMessage) -> Result<(), WireError> {
    sender.send(&Message::ServiceFeed(message)).await
}

async fn send_feed(
    mut sender: Sender,
    mut messages: mpsc::Receiver<Arc<Frame>>,
) -> Result<(), WireError> {
    while let Some(frame) = messages.recv().await {
        sender.send_frame(&frame).await?;
    }
    Ok(())
}

async fn receive_reports(
    mut receiver: Receiver,
    connection: &RouterConnection<'_>,
    shared: &Arc<Shared>,
) -> Result<(), WireError> {
    let RouterConnection {
        router,
        session_number,
        is_previous_release,
    } = *connection;
    while let Some(message) = receiver.receive().await? {
        if let Message::ServiceReport(ReportMessage::Compare(known)) = message {
            shared
                .sessions
                .send_differing_buckets(router, session_number, &known);
        } else if let Message::ServiceReport(report) = message {
            let report = match is_previous_release {
                true => read_previous_release(report, router, session_number, shared),
                false => report,
            };
            report_router_event(router, session_number, RouterUpdate::Report(report), shared);
        }
    }
    Ok(())
}

/// Translates a report of a router of the previous release, and presents to it instances beside which
/// its requests wait.
fn read_previous_release(
    report: ReportMessage,
    router: &str,
    session_number: u64,
    shared: &Shared,
) -> ReportMessage {
    let sessions = &shared.sessions;
    let report = sessions.with_identities(report);
    for presentation in sessions.update_aliases(router, session_number, &report) {
        shared.metrics.instance_presented();
        emit(&ControllerRecord::InstancePresented {
            router,
            instance: presentation.instance.as_str(),
            service: &presentation.service,
            model: &presentation.model,
            waited_ms: presentation.waited.0,
        });
    }
    report
}

/// Serves another controller, which relays registrations to this one or subscribes to its feed.
async fn serve_controller(
    connection: Connection,
    peer: ControllerId,
    address: SocketAddr,
    shared: &Arc<Shared>,
) -> Result<(), WireError> {
    let Connection {
        mut sender,
        mut receiver,
        ..
    } = connection;
    while let Some(message) = receiver.receive().await? {
        match message {
            Message::Registrations(batch) => {
                let answer = relay::handle_batch(batch, peer, shared);
                sender.send(&answer).await?;
            }
            Message::SoftwareVersions(services) => {
                let now = shared.clock.now();
                shared.software_versions().note_all(&services, now);
            }
            Message::FollowLeader { zone, known } => {
                if shared.member_zones.note(address, &zone) {
                    shared
                        .sessions
                        .broadcast(member_zones::feed_message(shared).await);
                }
                return feed_controller(sender, receiver, peer, &known, shared).await;
            }
            other => log::warn!("feed: unexpected message from controller {peer}: {other:?}"),
        }
    }
    Ok(())
}

/// Feeds a controller, as the leader, and handles the reports of its routers.
async fn feed_controller(
    mut sender: Sender,
    receiver: Receiver,
    peer: ControllerId,
    known: &InstanceDigests,
    shared: &Arc<Shared>,
) -> Result<(), WireError> {
    if !wait_until_true(&shared.leading, MAX_LEADER_WAIT).await {
        let leader = shared.leader_address().map(|address| address.to_string());
        return send(&mut sender, FeedMessage::NoFeed { leader }).await;
    }
    let connection = rand::random();
    let (queue, messages) = mpsc::channel(SESSION_QUEUE);
    let (answers, answer_queue) = mpsc::channel(ANSWER_QUEUE);
    send(&mut sender, member_zones::feed_message(shared).await).await?;
    // These removals are otherwise sent only once, when the leadership begins. Without them the
    // controller's routers would send requests to instances that have left, until this leader
    // has received the registrations of all others.
    let gone = unseen_leaving_instances(shared);
    shared
        .sessions
        .open_controller(connection, queue, known, gone);
    emit(&ControllerRecord::ControllerFollows { member: peer.0 });
    let ended = tokio::select! {
        () = shared.stop.cancelled() => Ok(()),
        ended = send_feed_and_answers(sender, messages, answer_queue) => ended,
        ended = receive_relayed(receiver, connection, answers, shared) => ended,
    };
    shared.sessions.close_controller(connection);
    let lost = shared.routers().disconnect_relay(connection);
    for router in &lost {
        reports::remove_router(router, shared);
    }
    emit(&ControllerRecord::ControllerLost {
        member: peer.0,
        routers: lost.len(),
        problem: ended.as_ref().err().map(ToString::to_string).as_deref(),
    });
    ended
}

async fn send_feed_and_answers(
    mut sender: Sender,
    mut messages: mpsc::Receiver<Arc<Frame>>,
    mut answers: mpsc::Receiver<Message>,
) -> Result<(), WireError> {
    loop {
        tokio::select! {
            frame = messages.recv() => match frame {
                Some(frame) => sender.send_frame(&frame).await?,
                None => return Ok(()),
            },
            Some(answer) = answers.recv() => sender.send(&answer).await?,
        }
    }
}

async fn receive_relayed(
    mut receiver: Receiver,
    connection: u64,
    answers: mpsc::Sender<Message>,
    shared: &Arc<Shared>,
) -> Result<(), WireError> {
    while let Some(message) = receiver.receive().await? {
        let Message::RelayedReports(reports) = message else {
            continue;
        };
        for report in reports {
            let (router, session) = (report.router.clone(), report.session);
            let answer = reports::handle(report, FeedPath::Relayed(connection), shared);
            if let Some(answer) = answer {
                let answer = Message::RelayedAnswer {
                    router,
                    session,
                    answer,
                };
                // If the queue is full, the router decides on its own after its time limit.
                let _ = answers.try_send(answer);
            }
        }
    }
    Ok(())
}
