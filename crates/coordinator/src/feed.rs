//! Connections of routers, and of the controllers that pass the leader's feed on.
//!
//! Invariant: a controller feeds routers only what its leader feeds it, so that the age of
//! what a router hears is the age of the leader's word, by however many hands it came.

use crate::records::ControllerRecord;
use crate::router_book::Way;
use crate::sessions::{SESSION_QUEUE, Session};
use crate::{Shared, accept, member_thread, places, relay, reports};
use courseshunt_records::emit;
use courseshunt_services::{
    FeedMessage, InstanceDigests, RelayedReport, ReportMessage, RouterNews,
};
use courseshunt_types::{ControllerId, RunnerId};
use courseshunt_wire::{Connection, Frame, Message, PeerIdentity, Receiver, Sender, WireError};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// Longest time that a router waits here for this controller's feed. To wait costs nobody
/// anything, and it has the feed in the moment in which there is one; a router that is sent
/// away costs a handshake each time, and comes back some time after that moment.
const FEED_WAIT: Duration = Duration::from_millis(500);
/// Longest time that a controller waits here for the leader's first look at what was
/// committed before.
const LEADER_WAIT: Duration = Duration::from_secs(2);
/// Answers to one controller that wait to be sent.
const ANSWER_QUEUE: usize = 1024;

/// Accepts other processes until the stop.
pub(crate) async fn accept_all(listener: TcpListener, shared: Arc<Shared>) {
    let serve = |stream, address| serve_peer(stream, address, shared.clone());
    accept::accept_all(listener, "feed", serve).await;
}

async fn serve_peer(stream: TcpStream, address: SocketAddr, shared: Arc<Shared>) {
    let identity = PeerIdentity::Controller(shared.id);
    let connection = courseshunt_wire::accept(stream, address, &shared.key, &identity).await;
    let ended = match connection {
        Ok(connection) => match connection.peer.clone() {
            // Members of production's build have no port of their own for each other.
            PeerIdentity::Controller(_) if connection.is_previous_release() => {
                member_thread::serve_member(connection, address, &shared).await
            }
            PeerIdentity::Controller(peer) => {
                // All controllers listen on the same ports.
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

/// Waits for a state of this controller; returns whether it holds.
async fn holds_soon(state: &watch::Sender<bool>, limit: Duration) -> bool {
    let mut changes = state.subscribe();
    let begun = changes.wait_for(|holds| *holds);
    let _ = tokio::time::timeout(limit, begun).await;
    *state.borrow()
}

async fn serve_router(
    connection: Connection,
    router: String,
    number: u64,
    shared: &Arc<Shared>,
) -> Result<(), WireError> {
    let is_earlier = connection.is_previous_release();
    let Connection {
        mut sender,
        mut receiver,
        ..
    } = connection;
    // First: there may be a controller nearer to the router.
    send(&mut sender, places::told(shared).await).await?;
    let Some(Message::ServiceReport(ReportMessage::Subscribe {
        number: configuration,
        known,
    })) = receiver.receive().await?
    else {
        return Ok(());
    };
    let feeds = tokio::select! {
        biased;
        feeds = holds_soon(&shared.feeding, FEED_WAIT) => feeds,
        // A leader of production's build feeds routers alone, and this router directly.
        () = shared.upstream.until_leader_is_earlier() => *shared.feeding.borrow(),
        // Another controller may feed it: to wait here costs its callers the newest word.
        () = shared.replica.until_quorum_lost() => *shared.feeding.borrow(),
    };
    if !feeds {
        let leader = shared.leader_address().map(|address| address.to_string());
        return send(&mut sender, FeedMessage::NoFeed { leader }).await;
    }
    let (queue, messages) = mpsc::channel(SESSION_QUEUE);
    let session = Session {
        number,
        queue,
        configuration,
        is_earlier,
    };
    let gone = unknown_leaving(shared);
    shared.sessions.open_router(&router, session, &known, gone);
    tell(
        &router,
        number,
        RouterNews::Follows { configuration },
        shared,
    );
    emit(&ControllerRecord::RouterFollows {
        router: &router,
        configuration,
        is_earlier,
    });
    let ended = tokio::select! {
        () = shared.stop.cancelled() => Ok(()),
        ended = send_all(sender, messages) => ended,
        ended = receive_reports(receiver, &router, number, shared) => ended,
    };
    if shared.sessions.close_router(&router, number) {
        emit(&ControllerRecord::RouterLost { router: &router });
    }
    tell(&router, number, RouterNews::Lost, shared);
    ended
}

fn tell(router: &str, session: u64, news: RouterNews, shared: &Shared) {
    let router = router.to_owned();
    let report = RelayedReport {
        router,
        session,
        news,
    };
    reports::take_local(report, shared);
}

/// Leaving instances that this controller has not met: a follower may know them from an
/// earlier feed.
fn unknown_leaving(shared: &Shared) -> Vec<RunnerId> {
    let leaving: Vec<RunnerId> = {
        let state = shared.replica.state();
        let leaving = state.services.leaving.iter();
        leaving.map(|one| one.instance.clone()).collect()
    };
    let unknown = leaving.into_iter();
    unknown.filter(|id| !shared.sessions.knows(id)).collect()
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

async fn receive_reports(
    mut receiver: Receiver,
    router: &str,
    number: u64,
    shared: &Shared,
) -> Result<(), WireError> {
    while let Some(message) = receiver.receive().await? {
        if let Message::ServiceReport(ReportMessage::Compare(known)) = message {
            shared.sessions.compare(router, number, &known);
        } else if let Message::ServiceReport(report) = message {
            tell(router, number, RouterNews::Reports(report), shared);
        }
    }
    Ok(())
}

/// Serves another controller: it passes registrations on, or the feed.
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
                let answer = relay::take(batch, peer, shared);
                sender.send(&answer).await?;
            }
            Message::FollowLeader { zone, known } => {
                if shared.places.note(address, &zone) {
                    shared.sessions.broadcast(places::told(shared).await);
                }
                return feed_controller(sender, receiver, peer, &known, shared).await;
            }
            other => log::warn!("feed: controller {peer} sent {other:?}"),
        }
    }
    Ok(())
}

/// Feeds a controller, as the leader, and takes what its routers report.
async fn feed_controller(
    mut sender: Sender,
    receiver: Receiver,
    peer: ControllerId,
    known: &InstanceDigests,
    shared: &Arc<Shared>,
) -> Result<(), WireError> {
    if !holds_soon(&shared.leading, LEADER_WAIT).await {
        let leader = shared.leader_address().map(|address| address.to_string());
        return send(&mut sender, FeedMessage::NoFeed { leader }).await;
    }
    let connection = rand::random();
    let (queue, messages) = mpsc::channel(SESSION_QUEUE);
    let (answers, answer_queue) = mpsc::channel(ANSWER_QUEUE);
    send(&mut sender, places::told(shared).await).await?;
    // Told once when this leader began; without it the routers there would go on sending
    // requests to instances that left before, until this leader has heard from all others.
    let gone = unknown_leaving(shared);
    shared
        .sessions
        .open_controller(connection, queue, known, gone);
    emit(&ControllerRecord::ControllerFollows { member: peer.0 });
    let ended = tokio::select! {
        () = shared.stop.cancelled() => Ok(()),
        ended = send_both(sender, messages, answer_queue) => ended,
        ended = receive_relayed(receiver, connection, answers, shared) => ended,
    };
    shared.sessions.close_controller(connection);
    let lost = shared.routers().relay_lost(connection);
    for router in &lost {
        reports::forget(router, shared);
    }
    emit(&ControllerRecord::ControllerLost {
        member: peer.0,
        routers: lost.len(),
        problem: ended.as_ref().err().map(ToString::to_string).as_deref(),
    });
    ended
}

async fn send_both(
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
    shared: &Shared,
) -> Result<(), WireError> {
    while let Some(message) = receiver.receive().await? {
        let Message::RelayedReports(reports) = message else {
            continue;
        };
        for report in reports {
            let (router, session) = (report.router.clone(), report.session);
            let answer = reports::take(report, Way::Through(connection), shared);
            if let Some(answer) = answer {
                let answer = Message::RelayedAnswer {
                    router,
                    session,
                    answer,
                };
                // A full queue: the router decides alone after its time limit.
                let _ = answers.try_send(answer);
            }
        }
    }
    Ok(())
}
