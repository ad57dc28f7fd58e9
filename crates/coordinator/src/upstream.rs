//! A controller that does not lead follows the leader's feed, passes it on to the routers
//! that follow it, and passes their reports on to the leader.
//!
//! Invariant: routers are told nothing as the leader's word that did not come from the
//! leader; while there is none, they are kept with signs of life for a bounded time, so
//! that an election costs them no connection. A controller that hears no quorum lets them go:
//! others may have a leader, and take changes that its routers would miss.

use crate::Shared;
use crate::leader_link::{self, timed_out};
use crate::records::ControllerRecord;
use crate::sessions::Leadership;
use courseshunt_records::emit;
use courseshunt_services::{FeedMessage, RelayedReport, ReportMessage, RouterNews};
use courseshunt_types::Zone;
use courseshunt_wire::{Connection, Message, Receiver, Sender, WireError};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// A feed on which nothing came for so long is given up: routers notice a leader's silence
/// about as soon, and look for another controller.
const SILENCE_LIMIT: Duration = Duration::from_millis(900);
/// Longest wait for the first message: a new leader looks first at what was committed.
const FIRST_LIMIT: Duration = Duration::from_millis(2_200);
/// Reports that nobody waits for are gathered for so long, so that the leader takes a few
/// messages a second of each controller, not several of each router.
const GATHERING: Duration = Duration::from_millis(25);
/// Reports in one message at the most, and in all that wait: about as many as twice the
/// routers of a controller send while it dials the leader. Beyond that the oldest go; use
/// is reported anew, and questions end at the router's time limit.
const BATCH: usize = 512;
const MOST_WAITING: usize = 8 * BATCH;
/// Time between signs of life to routers while there is no leader.
const AWAITING_INTERVAL: Duration = Duration::from_millis(250);
/// Routers are kept without a leader for so long where a quorum is heard: another controller
/// may have one all the same. Most elections are far shorter.
const KEPT_WITHOUT_LEADER: Duration = Duration::from_secs(2);

/// Reports on their way to the leader.
#[derive(Debug, Default)]
pub(crate) struct Upstream {
    waiting: Mutex<Waiting>,
    wake: Notify,
    /// Whether the present leader is of production's build.
    leader_is_earlier: watch::Sender<bool>,
    /// How the last try ended, as it was recorded.
    told_problem: Mutex<Option<String>>,
}

#[derive(Debug, Default)]
struct Waiting {
    linked: bool,
    reports: Vec<RelayedReport>,
    /// Some router waits for what its report brings about.
    urgent: bool,
}

impl Upstream {
    fn waiting(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps a report for the leader. Without a link it is dropped: with the next leader
    /// routers tell anew what matters.
    pub(crate) fn offer(&self, report: RelayedReport) {
        let mut waiting = self.waiting();
        if !waiting.linked {
            return;
        }
        waiting.urgent |= is_urgent(&report.news);
        if waiting.reports.len() >= MOST_WAITING {
            waiting.reports.drain(..BATCH);
        }
        waiting.reports.push(report);
        drop(waiting);
        self.wake.notify_one();
    }

    fn leader_is_earlier(&self) -> bool {
        *self.leader_is_earlier.borrow()
    }

    fn set_leader_is_earlier(&self, is_earlier: bool) {
        self.leader_is_earlier.send_replace(is_earlier);
    }

    /// Waits until the leader is known to be of production's build.
    pub(crate) async fn until_leader_is_earlier(&self) {
        let mut known = self.leader_is_earlier.subscribe();
        if known.wait_for(|is_earlier| *is_earlier).await.is_err() {
            // The sender lives as long as this.
            std::future::pending::<()>().await;
        }
    }

    fn link(&self, routers: Vec<RelayedReport>) {
        *self.waiting() = Waiting {
            linked: true,
            urgent: true,
            reports: routers,
        };
        self.wake.notify_one();
    }

    /// Ends the link; returns whether there was one.
    fn unlink(&self) -> bool {
        std::mem::take(&mut *self.waiting()).linked
    }

    /// Whether the last try ended in another way than this.
    fn is_new(&self, problem: Option<&str>) -> bool {
        let told = self.told_problem.lock();
        let mut told = told.unwrap_or_else(PoisonError::into_inner);
        let is_new = told.as_deref() != problem;
        *told = problem.map(str::to_owned);
        is_new
    }

    /// Waits for reports; urgent ones go at once.
    async fn gather(&self) -> Vec<RelayedReport> {
        while self.waiting().reports.is_empty() {
            self.wake.notified().await;
        }
        let due = Instant::now() + GATHERING;
        while !self.waiting().is_due() {
            if tokio::time::timeout_at(due, self.wake.notified())
                .await
                .is_err()
            {
                break;
            }
        }
        self.waiting().take()
    }
}

impl Waiting {
    fn is_due(&self) -> bool {
        self.urgent || self.reports.len() >= BATCH
    }

    fn take(&mut self) -> Vec<RelayedReport> {
        let length = self.reports.len().min(BATCH);
        let taken: Vec<RelayedReport> = self.reports.drain(..length).collect();
        self.urgent &= !self.reports.is_empty();
        taken
    }
}

/// Whether somebody waits for what a report brings about.
fn is_urgent(news: &RouterNews) -> bool {
    match news {
        RouterNews::Reports(ReportMessage::Usage {
            demand, leaving, ..
        }) => !leaving.is_empty() || demand.iter().any(|one| one.waiting > 0),
        RouterNews::Reports(
            ReportMessage::AskQuotas(_) | ReportMessage::Ends { .. } | ReportMessage::Limits { .. },
        ) => true,
        RouterNews::Reports(_) | RouterNews::Follows { .. } | RouterNews::Lost => false,
    }
}

/// Runs until the process stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    let ended = |address: SocketAddr, problem: Option<WireError>| {
        shared.upstream.set_leader_is_earlier(false);
        let linked = shared.upstream.unlink();
        if !shared.replica.leads() && shared.feeding.send_replace(false) {
            shared.sessions.broadcast_to_routers(FeedMessage::Awaiting);
        }
        let problem = problem.as_ref().map(ToString::to_string);
        // A leader that is down is dialled over and over; it is told once.
        if linked || shared.upstream.is_new(problem.as_deref()) {
            emit(&ControllerRecord::UpstreamEnded {
                leader: &address.to_string(),
                problem: problem.as_deref(),
            });
        }
    };
    leader_link::keep(&shared, |address| follow(address, &shared), ended).await;
}

/// Follows a leader until its feed ends.
async fn follow(address: SocketAddr, shared: &Arc<Shared>) -> Result<(), WireError> {
    let connection = leader_link::connect(address, shared).await?;
    let is_earlier = connection.is_previous_release();
    shared.upstream.set_leader_is_earlier(is_earlier);
    let Connection {
        mut sender,
        receiver,
        ..
    } = connection;
    if is_earlier {
        return until_silent(receiver, address).await;
    }
    let follow = Message::FollowLeader {
        zone: Zone::from(shared.settings.zone.as_str()),
        known: shared.sessions.digests(),
    };
    sender.send(&follow).await?;
    tokio::select! {
        ended = receive_all(receiver, address, shared) => ended,
        ended = report_all(sender, shared) => ended,
    }
}

/// Waits until a leader of production's build is gone. It has no feed for controllers: routers
/// are told to go there themselves.
async fn until_silent(mut receiver: Receiver, address: SocketAddr) -> Result<(), WireError> {
    loop {
        let received = tokio::time::timeout(SILENCE_LIMIT, receiver.receive()).await;
        let received = received.unwrap_or(Err(timed_out("receive", address)));
        if received?.is_none() {
            return Ok(());
        }
    }
}

async fn report_all(mut sender: Sender, shared: &Shared) -> Result<(), WireError> {
    loop {
        let reports = shared.upstream.gather().await;
        sender.send(&Message::RelayedReports(reports)).await?;
    }
}

async fn receive_all(
    mut receiver: Receiver,
    address: SocketAddr,
    shared: &Shared,
) -> Result<(), WireError> {
    let mut limit = FIRST_LIMIT;
    loop {
        let received = tokio::time::timeout(limit, receiver.receive()).await;
        let received = received.unwrap_or(Err(timed_out("receive", address)));
        match received? {
            Some(Message::ServiceFeed(FeedMessage::NoFeed { .. })) | None => return Ok(()),
            Some(Message::ServiceFeed(message)) => take(message, shared),
            Some(Message::RelayedAnswer {
                router,
                session,
                answer,
            }) => shared.sessions.send_to_router(&router, session, answer),
            Some(other) => log::warn!("upstream: {address} sent {other:?}"),
        }
        limit = SILENCE_LIMIT;
    }
}

fn take(message: FeedMessage, shared: &Shared) {
    let sessions = &shared.sessions;
    match message {
        FeedMessage::Leadership { term, settled } => {
            sessions.lead(Leadership { term, settled });
            shared.upstream.link(all_routers(shared));
            emit(&ControllerRecord::UpstreamBegan { term });
        }
        FeedMessage::Part {
            part,
            instances,
            complete,
        } => sessions.take_part(part, instances, complete),
        FeedMessage::Live(live) => sessions.settle(live),
        FeedMessage::Instances { changed, gone } => sessions.send_instances(changed, gone),
        FeedMessage::Usage { .. } => {
            sessions.broadcast_to_routers(message);
            // The last message of an opening: all is there.
            if !shared.feeding.send_replace(true) {
                sessions.tell_digests();
            }
        }
        FeedMessage::Members(members) => {
            shared.places.follow(&members);
            sessions.broadcast_to_routers(FeedMessage::Members(members));
        }
        FeedMessage::Quotas { .. } | FeedMessage::Quarantine { .. } | FeedMessage::Limits(_) => {
            sessions.broadcast_to_routers(message);
        }
        FeedMessage::NoFeed { .. }
        | FeedMessage::Awaiting
        | FeedMessage::Configuration { .. }
        | FeedMessage::Digests(_)
        | FeedMessage::QuotaAnswers(_)
        | FeedMessage::LimitAnswers(_) => {}
    }
}

/// The routers that follow this controller, as a new leader has to be told of them.
pub(crate) fn all_routers(shared: &Shared) -> Vec<RelayedReport> {
    let routers = shared.sessions.routers().into_iter();
    // What is in force there they say themselves with their next reports.
    let follows = RouterNews::Follows { configuration: 0 };
    let routers = routers.map(|(router, session)| RelayedReport {
        router,
        session,
        news: follows.clone(),
    });
    routers.collect()
}

/// Keeps routers through an election; lets them go when it takes too long, or at once when
/// no quorum is heard.
pub(crate) async fn keep_routers(shared: Arc<Shared>) {
    let mut fed_at = Instant::now();
    loop {
        let cut_off = tokio::select! {
            () = tokio::time::sleep(AWAITING_INTERVAL) => shared.replica.has_lost_quorum(),
            () = becomes_cut_off(&shared) => true,
            () = becomes_earlier(&shared) => false,
        };
        if *shared.feeding.borrow() {
            fed_at = Instant::now();
        } else if cut_off
            || shared.upstream.leader_is_earlier()
            || fed_at.elapsed() >= KEPT_WITHOUT_LEADER
        {
            let_go(&shared, cut_off);
        } else {
            shared.sessions.broadcast_to_routers(FeedMessage::Awaiting);
        }
    }
}

/// Waits until no quorum is heard any more; for ever where that is so already.
async fn becomes_cut_off(shared: &Shared) {
    if shared.replica.has_lost_quorum() {
        std::future::pending::<()>().await;
    }
    shared.replica.until_quorum_lost().await;
}

/// Waits until the leader comes to be of production's build; for ever where it is already.
async fn becomes_earlier(shared: &Shared) {
    if shared.upstream.leader_is_earlier() {
        std::future::pending::<()>().await;
    }
    shared.upstream.until_leader_is_earlier().await;
}

fn let_go(shared: &Shared, lost_quorum: bool) {
    let leader = shared.leader_address().map(|address| address.to_string());
    let routers = shared.sessions.let_routers_go(leader);
    if routers > 0 {
        emit(&ControllerRecord::RoutersLetGo {
            routers,
            lost_quorum,
        });
    }
}
