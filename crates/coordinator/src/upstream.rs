//! On a controller that does not lead: subscribes to the leader's feed, relays it to the routers
//! that subscribe here, and relays their reports to the leader.
//!
//! Invariant: routers receive as the leader's state only what came from the leader. While there
//! is no leader, their sessions are kept open with keepalive messages for a bounded time, so that
//! an election costs them no connection. A controller without contact to a quorum ends the
//! sessions: other controllers may have a leader, and commit changes that its routers would miss.

use crate::Shared;
use crate::leader_link::{self, timed_out};
use crate::records::ControllerRecord;
use crate::sessions::Leadership;
use courseshunt_records::emit;
use courseshunt_services::{FeedMessage, RelayedReport, ReportMessage, RouterUpdate};
use courseshunt_types::Zone;
use courseshunt_wire::{Connection, Message, Receiver, Sender, WireError};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// A feed without a message for this time is closed. Routers detect a silent leader after about
/// the same time, and look for another controller.
const FEED_SILENCE_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest wait for the first message; a new leader restores the committed state before it.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Reports that are not urgent are batched for this time, so that the leader receives a few
/// messages a second from each controller instead of several from each router.
const BATCH_DELAY: Duration = Duration::from_millis(25);
/// Maximum reports in one message.
const MAX_BATCH_REPORTS: usize = 512;
/// Maximum pending reports: about as many as twice the routers of a controller send while it
/// connects to the leader. Beyond that the oldest are dropped: use is reported again, and
/// requests of routers end at their time limit.
const MAX_PENDING_REPORTS: usize = 8 * MAX_BATCH_REPORTS;
/// Interval of keepalive messages to routers while there is no leader.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time without a leader for which sessions of routers are kept while a quorum is in
/// contact: another controller may have a leader nevertheless. Most elections are far shorter.
const MAX_TIME_WITHOUT_LEADER: Duration = Duration::from_secs(2);

/// Reports that are to be sent to the leader, and what is known of the link to it.
#[derive(Debug, Default)]
pub(crate) struct Upstream {
    pending: Mutex<PendingReports>,
    wake: Notify,
    /// Whether the current leader runs the previous release.
    leader_is_previous_release: watch::Sender<bool>,
    /// Problem of the last recorded attempt; `None` if it ended without one.
    last_recorded_problem: Mutex<Option<String>>,
}

#[derive(Debug, Default)]
struct PendingReports {
    linked: bool,
    reports: Vec<RelayedReport>,
    /// A router waits for the effect of one of the reports.
    urgent: bool,
}

impl Upstream {
    fn pending(&self) -> MutexGuard<'_, PendingReports> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a report for the leader. Without a link it is dropped, since routers send the next
    /// leader all relevant state again.
    pub(crate) fn enqueue(&self, report: RelayedReport) {
        let mut pending = self.pending();
        if !pending.linked {
            return;
        }
        pending.urgent |= is_urgent(&report.update);
        if pending.reports.len() >= MAX_PENDING_REPORTS {
            pending.reports.drain(..MAX_BATCH_REPORTS);
        }
        pending.reports.push(report);
        drop(pending);
        self.wake.notify_one();
    }

    /// Whether the current leader is known to run the previous release.
    pub(crate) fn leader_is_previous_release(&self) -> bool {
        *self.leader_is_previous_release.borrow()
    }

    fn set_leader_is_previous_release(&self, is_previous_release: bool) {
        self.leader_is_previous_release
            .send_replace(is_previous_release);
    }

    /// Waits until the leader is known to run the previous release.
    pub(crate) async fn until_leader_is_previous_release(&self) {
        let mut known = self.leader_is_previous_release.subscribe();
        if known
            .wait_for(|is_previous_release| *is_previous_release)
            .await
            .is_err()
        {
            // Unreachable: the sender lives as long as `self`.
            std::future::pending::<()>().await;
        }
    }

    fn link(&self, routers: Vec<RelayedReport>) {
        *self.pending() = PendingReports {
            linked: true,
            urgent: true,
            reports: routers,
        };
        self.wake.notify_one();
    }

    /// Ends the link and drops its reports; returns whether there was one.
    fn unlink(&self) -> bool {
        std::mem::take(&mut *self.pending()).linked
    }

    /// Notes how an attempt ended; returns whether the previous one ended differently.
    fn is_new_problem(&self, problem: Option<&str>) -> bool {
        let recorded = self.last_recorded_problem.lock();
        let mut recorded = recorded.unwrap_or_else(PoisonError::into_inner);
        let is_new_problem = recorded.as_deref() != problem;
        *recorded = problem.map(str::to_owned);
        is_new_problem
    }

    /// Waits for the next batch of reports; an urgent report ends the wait.
    async fn next_batch(&self) -> Vec<RelayedReport> {
        while self.pending().reports.is_empty() {
            self.wake.notified().await;
        }
        let due = Instant::now() + BATCH_DELAY;
        while !self.pending().is_due() {
            if tokio::time::timeout_at(due, self.wake.notified())
                .await
                .is_err()
            {
                break;
            }
        }
        self.pending().take_batch()
    }
}

impl PendingReports {
    fn is_due(&self) -> bool {
        self.urgent || self.reports.len() >= MAX_BATCH_REPORTS
    }

    fn take_batch(&mut self) -> Vec<RelayedReport> {
        let length = self.reports.len().min(MAX_BATCH_REPORTS);
        let batch: Vec<RelayedReport> = self.reports.drain(..length).collect();
        self.urgent &= !self.reports.is_empty();
        batch
    }
}

/// Whether a router or its requests wait for the effect of a report.
fn is_urgent(update: &RouterUpdate) -> bool {
    match update {
        RouterUpdate::Report(ReportMessage::Usage {
            demand, leaving, ..
        }) => !leaving.is_empty() || demand.iter().any(|one| one.waiting > 0),
        RouterUpdate::Report(ReportMessage::StreamOrigins { queries, .. }) => !queries.is_empty(),
        RouterUpdate::Report(
            ReportMessage::QuotaQueries(_)
            | ReportMessage::Ends { .. }
            | ReportMessage::Limits { .. }
            | ReportMessage::Forwarding(_),
        ) => true,
        RouterUpdate::Report(_) | RouterUpdate::Connected { .. } | RouterUpdate::Disconnected => {
            false
        }
    }
}

/// Relays the feed of each leader in turn until the process stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    let ended = |address: SocketAddr, problem: Option<WireError>| {
        shared.upstream.set_leader_is_previous_release(false);
        let linked = shared.upstream.unlink();
        if !shared.replica.leads() && shared.feed_available.send_replace(false) {
            shared
                .sessions
                .broadcast_to_routers(FeedMessage::AwaitingLeader);
        }
        let problem = problem.as_ref().map(ToString::to_string);
        // Attempts to connect to an unreachable leader are repeated; an unchanged problem is
        // recorded once.
        if linked || shared.upstream.is_new_problem(problem.as_deref()) {
            emit(&ControllerRecord::UpstreamEnded {
                leader: &address.to_string(),
                problem: problem.as_deref(),
            });
        }
    };
    leader_link::run_with_leader(&shared, |address| subscribe(address, &shared), ended).await;
}

/// Subscribes to a leader's feed and relays it until it ends.
async fn subscribe(address: SocketAddr, shared: &Arc<Shared>) -> Result<(), WireError> {
    let connection = leader_link::connect(address, shared).await?;
    let is_previous_release = connection.is_previous_release();
    shared
        .upstream
        .set_leader_is_previous_release(is_previous_release);
    let Connection {
        mut sender,
        receiver,
        version,
        ..
    } = connection;
    if is_previous_release {
        return wait_until_silent(receiver, address).await;
    }
    let request = Message::FollowLeader {
        zone: Zone::from(shared.settings.zone.as_str()),
        known: shared.sessions.digests(),
    };
    sender.send(&request).await?;
    let leader = FeedingLeader { address, version };
    tokio::select! {
        ended = receive_feed(receiver, leader, shared) => ended,
        ended = send_reports(sender, shared) => ended,
    }
}

/// Waits until a leader of the previous release is silent or closes the connection. It has no
/// feed for controllers, so routers are redirected to it.
async fn wait_until_silent(mut receiver: Receiver, address: SocketAddr) -> Result<(), WireError> {
    loop {
        let received = tokio::time::timeout(FEED_SILENCE_TIMEOUT, receiver.receive()).await;
        let received = received.unwrap_or(Err(timed_out("receive", address)));
        if received?.is_none() {
            return Ok(());
        }
    }
}

async fn send_reports(mut sender: Sender, shared: &Shared) -> Result<(), WireError> {
    loop {
        let reports = shared.upstream.next_batch().await;
        sender.send(&Message::RelayedReports(reports)).await?;
    }
}

/// The leader whose feed is relayed.
#[derive(Debug, Clone, Copy)]
struct FeedingLeader {
    address: SocketAddr,
    /// Protocol version of the connection.
    version: u8,
}

async fn receive_feed(
    mut receiver: Receiver,
    leader: FeedingLeader,
    shared: &Shared,
) -> Result<(), WireError> {
    let address = leader.address;
    let mut limit = FIRST_MESSAGE_TIMEOUT;
    loop {
        let received = tokio::time::timeout(limit, receiver.receive()).await;
        let received = received.unwrap_or(Err(timed_out("receive", address)));
        match received? {
            Some(Message::ServiceFeed(FeedMessage::NoFeed { .. })) | None => return Ok(()),
            Some(Message::ServiceFeed(message)) => handle_feed_message(message, leader, shared),
            Some(Message::RelayedAnswer {
                router,
                session,
                answer,
            }) => shared.sessions.send_to_router(&router, session, answer),
            Some(other) => {
                log::warn!("upstream: unexpected message from leader {address}: {other:?}")
            }
        }
        limit = FEED_SILENCE_TIMEOUT;
    }
}

fn handle_feed_message(message: FeedMessage, leader: FeedingLeader, shared: &Shared) {
    let sessions = &shared.sessions;
    match message {
        FeedMessage::Leadership { term, settled } => {
            sessions.begin_leadership(Leadership { term, settled });
            shared.software_versions().note_new_leader();
            shared.upstream.link(router_subscriptions(shared));
            emit(&ControllerRecord::UpstreamBegan {
                term,
                leader: &leader.address.to_string(),
                protocol: leader.version,
            });
        }
        FeedMessage::Bucket {
            bucket,
            instances,
            complete,
        } => sessions.set_bucket(bucket, instances, complete),
        FeedMessage::LiveInstances(live) => sessions.mark_settled(live),
        FeedMessage::Instances { changed, gone } => sessions.send_instances(changed, gone),
        FeedMessage::Usage { .. } => {
            sessions.broadcast_to_routers(message);
            // The last of the initial messages: the state is complete.
            if !shared.feed_available.send_replace(true) {
                sessions.send_digests();
            }
        }
        FeedMessage::Members(members) => {
            shared.member_zones.update(&members);
            sessions.broadcast_to_routers(FeedMessage::Members(members));
        }
        FeedMessage::Quotas { .. }
        | FeedMessage::Quarantine { .. }
        | FeedMessage::Limits(_)
        | FeedMessage::InstanceLoads(_) => sessions.broadcast_to_routers(message),
        FeedMessage::SoftwareVersions(services) => {
            // This member may be the next leader, and instances of an earlier version be gone.
            let now = shared.clock.now();
            shared.software_versions().note_list(&services, now);
            sessions.broadcast_to_routers(FeedMessage::SoftwareVersions(services));
        }
        FeedMessage::NoFeed { .. }
        | FeedMessage::AwaitingLeader
        | FeedMessage::Configuration { .. }
        | FeedMessage::Digests(_)
        | FeedMessage::QuotaAnswers(_)
        | FeedMessage::LimitAnswers(_)
        | FeedMessage::OriginAnswers(_)
        | FeedMessage::Forwarders(_) => {}
    }
}

/// The routers that subscribe here, as reports for a new leader.
pub(crate) fn router_subscriptions(shared: &Shared) -> Vec<RelayedReport> {
    let routers = shared.sessions.routers().into_iter();
    // The routers' next reports contain the configuration that is in force there.
    let subscription = RouterUpdate::Connected { configuration: 0 };
    let routers = routers.map(|(router, session)| RelayedReport {
        router,
        session,
        update: subscription.clone(),
    });
    routers.collect()
}

/// Keeps the sessions of routers open through an election; ends them when it takes longer than
/// [`MAX_TIME_WITHOUT_LEADER`], or at once when contact with a quorum is lost.
pub(crate) async fn retain_routers(shared: Arc<Shared>) {
    let mut last_fed_at = Instant::now();
    loop {
        let lost_quorum = tokio::select! {
            () = tokio::time::sleep(KEEPALIVE_INTERVAL) => shared.replica.has_lost_quorum(),
            () = quorum_loss(&shared) => true,
            () = switch_to_previous_release(&shared) => false,
        };
        if *shared.feed_available.borrow() {
            last_fed_at = Instant::now();
        } else if lost_quorum
            || shared.upstream.leader_is_previous_release()
            || last_fed_at.elapsed() >= MAX_TIME_WITHOUT_LEADER
        {
            dismiss_routers(&shared, lost_quorum);
        } else {
            shared
                .sessions
                .broadcast_to_routers(FeedMessage::AwaitingLeader);
        }
    }
}

/// Waits until contact with a quorum is lost; pends forever if it already is.
async fn quorum_loss(shared: &Shared) {
    if shared.replica.has_lost_quorum() {
        std::future::pending::<()>().await;
    }
    shared.replica.until_quorum_lost().await;
}

/// Waits until the leader changes to one of the previous release; pends forever if it already is
/// one.
async fn switch_to_previous_release(shared: &Shared) {
    if shared.upstream.leader_is_previous_release() {
        std::future::pending::<()>().await;
    }
    shared.upstream.until_leader_is_previous_release().await;
}

fn dismiss_routers(shared: &Shared, lost_quorum: bool) {
    let leader = shared.leader_address().map(|address| address.to_string());
    let routers = shared.sessions.dismiss_routers(leader);
    if routers > 0 {
        emit(&ControllerRecord::RoutersLetGo {
            routers,
            lost_quorum,
        });
    }
}
