//! Follows the leader's feed, as some controller passes it on, and reports to it.

use crate::Shared;
use crate::records::RouterRecord;
use crate::search::{FeedEnd, Search, next_look};
use courseshunt_records::emit;
use courseshunt_services::{FeedMessage, LimitWord, ReportMessage, RouteTable, judge};
use courseshunt_types::{Incarnation, RouterId, RunnerId};
use courseshunt_wire::{
    ClusterKey, Connection, Message, PREVIOUS_RELEASE_VERSION, PeerIdentity, Receiver, Sender,
    WireError, connect_within,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// A feed on which nothing came for so long is given up: the leader sends at least twice a
/// second, and a controller without a leader sends signs of life.
const SILENCE_LIMIT: Duration = Duration::from_millis(900);
/// Shortest time between reports when requests wait.
const URGENT_PAUSE: Duration = Duration::from_millis(3);

/// Runs until the process ends.
pub(crate) async fn follow(shared: Arc<Shared>, key: ClusterKey) {
    let mut search = Search::of(&shared.settings.name, &shared.settings.zone);
    loop {
        let Some(address) = search.next(shared.seeds.addresses()) else {
            tokio::time::sleep(search.begin_again()).await;
            continue;
        };
        let end = follow_one(address, &shared, &key, &mut search).await;
        shared.quotas.disconnected();
        shared.limits.disconnected();
        let pause = search.ended(address, &end, &shared);
        tokio::time::sleep(pause).await;
    }
}

async fn follow_one(
    address: SocketAddr,
    shared: &Arc<Shared>,
    key: &ClusterKey,
    search: &mut Search,
) -> FeedEnd {
    match try_one(address, shared, key, search).await {
        Ok(end) | Err(end) => end,
    }
}

async fn try_one(
    address: SocketAddr,
    shared: &Arc<Shared>,
    key: &ClusterKey,
    search: &mut Search,
) -> Result<FeedEnd, FeedEnd> {
    let name = RouterId::from(shared.settings.name.as_str());
    let identity = PeerIdentity::Router(name, Incarnation(rand::random()));
    let source = Some(shared.settings.address);
    let limit = search.limit.present();
    let connected = connect_within(limit, source, address, key, &identity).await;
    let Connection {
        mut sender,
        mut receiver,
        version,
        ..
    } = connected?;
    search.limit.succeeded();
    // One of production's build tells nothing before it is asked.
    if version != PREVIOUS_RELEASE_VERSION {
        if let FeedMessage::Members(members) = receive(&mut receiver, address).await? {
            search.set_members(members);
        }
        if search.has_better(address) {
            return Ok(FeedEnd::Better);
        }
    }
    let number = shared.view.base();
    let known = shared.view.digests();
    let subscribe = ReportMessage::Subscribe { number, known };
    sender.send(&Message::ServiceReport(subscribe)).await?;
    tokio::select! {
        ended = receive_all(receiver, address, shared, search, version) => ended,
        ended = report_all(sender, shared) => Err(ended.err().map_or(FeedEnd::NoFeed(None), FeedEnd::Lost)),
    }
}

/// The next message of a feed.
async fn receive(receiver: &mut Receiver, address: SocketAddr) -> Result<FeedMessage, WireError> {
    let received = tokio::time::timeout(SILENCE_LIMIT, receiver.receive()).await;
    match received.unwrap_or(Err(timed_out("receive", address)))? {
        Some(Message::ServiceFeed(message)) => Ok(message),
        Some(_) | None => Err(closed(address)),
    }
}

fn closed(address: SocketAddr) -> WireError {
    WireError::Protocol {
        step: "receive",
        peer: address.to_string(),
        problem: "the controller ended the feed".to_owned(),
    }
}

fn timed_out(step: &'static str, address: SocketAddr) -> WireError {
    WireError::TimedOut {
        step,
        peer: address.to_string(),
    }
}

async fn receive_all(
    mut receiver: Receiver,
    address: SocketAddr,
    shared: &Shared,
    search: &mut Search,
    version: u8,
) -> Result<FeedEnd, FeedEnd> {
    let mut looks_at = next_look(false);
    loop {
        let message = receive(&mut receiver, address).await?;
        // A leader of production's build is the only one that feeds.
        if looks_at <= Instant::now() && version != PREVIOUS_RELEASE_VERSION {
            if search.has_better(address) {
                return Ok(FeedEnd::Better);
            }
            looks_at = next_look(false);
        }
        if is_leaders(&message) {
            shared.view.hear_leader();
            if !std::mem::replace(&mut search.fed, true) {
                begin_earlier(&message, shared);
                emit(&RouterRecord::FeedRegained {
                    controller: &address.to_string(),
                    protocol: version,
                });
            }
        }
        match message {
            FeedMessage::NoFeed { leader } => {
                let leader = leader.and_then(|leader| leader.parse().ok());
                return Ok(FeedEnd::NoFeed(leader));
            }
            FeedMessage::Members(members) => {
                search.set_members(members);
                looks_at = next_look(true);
            }
            FeedMessage::Configuration {
                number,
                base,
                digest,
                difference,
            } => {
                let document = shared.view.apply(base, digest, &difference);
                let document = document.map_err(|problem| WireError::Protocol {
                    step: "apply a configuration",
                    peer: address.to_string(),
                    problem,
                })?;
                configure(number, document, shared);
            }
            other => take(other, shared),
        }
    }
}

/// Whether only a leader sends it.
fn is_leaders(message: &FeedMessage) -> bool {
    !matches!(
        message,
        FeedMessage::NoFeed { .. } | FeedMessage::Awaiting | FeedMessage::Members(_)
    )
}

/// Begins the feed of a leader of production's build, which does not say whose feed it is. Such
/// a leader keeps no accounts: limits are this router's own part.
fn begin_earlier(first: &FeedMessage, shared: &Shared) {
    if !matches!(first, FeedMessage::Leadership { .. }) {
        shared.view.begin_leader();
        shared.quarantine.begin_leader();
    }
}

fn take(message: FeedMessage, shared: &Shared) {
    match message {
        FeedMessage::Leadership { .. } => {
            shared.view.begin_leader();
            shared.quarantine.begin_leader();
            shared.limits.begin_leader();
        }
        FeedMessage::Awaiting => {
            shared.quotas.disconnected();
            shared.limits.disconnected();
        }
        FeedMessage::Part {
            part,
            instances,
            complete,
        } => {
            let lost = shared.view.set_part(part, instances, complete);
            forget(lost, shared);
        }
        FeedMessage::Instances { changed, gone } => {
            let lost = shared.view.set_instances(changed, gone);
            forget(lost, shared);
        }
        FeedMessage::Live(live) => {
            let lost = shared.view.keep_instances(&live);
            forget(lost, shared);
        }
        FeedMessage::Digests(digests) => {
            let own = shared.view.digests();
            let parts = digests.differing(&own).count();
            if parts > 0 {
                emit(&RouterRecord::InstancesDiffer { parts });
                shared.view.differs.notify_one();
            }
        }
        FeedMessage::Usage {
            configuration,
            routers,
            instances,
        } => {
            shared.view.announce(configuration);
            shared.quotas.set_routers(routers);
            let now = shared.clock.now();
            shared.view.set_usage(routers, &instances, now);
            shared.pool.tidy();
        }
        FeedMessage::Quotas { epoch, standings } => {
            let now = shared.clock.now();
            shared.quotas.set_standings(epoch, standings, now);
        }
        FeedMessage::QuotaAnswers(answers) => {
            shared.quotas.answered(answers, shared.clock.now());
        }
        FeedMessage::Limits(words) => take_limits(&words, shared),
        FeedMessage::LimitAnswers(answers) => shared.limits.answered(answers),
        FeedMessage::Quarantine {
            suspected,
            quarantined,
        } => shared.quarantine.set(suspected, quarantined),
        FeedMessage::Configuration { .. }
        | FeedMessage::NoFeed { .. }
        | FeedMessage::Members(_) => {}
    }
}

/// Takes over what the leader tells of limits that instances name.
fn take_limits(words: &[LimitWord], shared: &Shared) {
    for word in shared.view.told_limits(words) {
        emit(&RouterRecord::LimitTold {
            instance: word.instance.as_str(),
            limit_per_1000_s: word.rate.map(|rate| rate.0),
            age_ms: word.age.0,
        });
    }
}

/// Drops what is kept for instances that are gone.
fn forget(lost: Vec<RunnerId>, shared: &Shared) {
    if lost.is_empty() {
        return;
    }
    shared.pool.forget(&lost);
    shared.quarantine.forget(&lost);
    let instances: Vec<String> = lost.into_iter().map(|id| id.0).collect();
    emit(&RouterRecord::InstancesGone {
        instances: &instances,
    });
}

fn configure(number: u64, document: Vec<u8>, shared: &Shared) {
    let read = shared.interface.read_configuration(&document);
    let judged = read.and_then(|read| judge(&read).map(|()| read));
    match judged {
        Ok(configuration) => {
            let table = RouteTable::new(configuration);
            let in_force = shared.view.configure(table, document);
            emit(&RouterRecord::Configuration { number, in_force });
        }
        Err(error) => emit(&RouterRecord::ConfigurationUnusable {
            number,
            problem: &error.to_string(),
        }),
    }
}

async fn report_all(mut sender: Sender, shared: &Shared) -> Result<(), WireError> {
    let mut due = Instant::now() + Duration::from(shared.view.report_interval());
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(due) => {}
            () = shared.view.news.notified() => tokio::time::sleep(URGENT_PAUSE).await,
            () = shared.quotas.has_questions.notified() => {
                ask_quotas(&mut sender, shared).await?;
                continue;
            }
            () = shared.limits.has_news.notified() => {
                report_limits(&mut sender, shared).await?;
                continue;
            }
            () = shared.view.differs.notified() => {
                let report = ReportMessage::Compare(shared.view.digests());
                sender.send(&Message::ServiceReport(report)).await?;
                continue;
            }
            () = shared.quarantine.has_news.notified() => {
                report_ends(&mut sender, shared).await?;
                continue;
            }
        }
        due = Instant::now() + Duration::from(shared.view.report_interval());
        let now = shared.clock.now();
        if let Some(report) = shared.view.take_report(now) {
            sender.send(&Message::ServiceReport(report)).await?;
        }
        let (epoch, uses) = shared.quotas.take_report(now);
        if !uses.is_empty() {
            let report = ReportMessage::TenantUse { epoch, uses };
            sender.send(&Message::ServiceReport(report)).await?;
        }
    }
}

async fn ask_quotas(sender: &mut Sender, shared: &Shared) -> Result<(), WireError> {
    let questions = shared.quotas.take_questions();
    if questions.is_empty() {
        return Ok(());
    }
    let report = ReportMessage::AskQuotas(questions);
    sender.send(&Message::ServiceReport(report)).await
}

/// Tells what instances said of their limits, and asks on requests for them.
async fn report_limits(sender: &mut Sender, shared: &Shared) -> Result<(), WireError> {
    let words = shared.view.take_untold_limits();
    let asks = shared.limits.take_questions();
    if words.is_empty() && asks.is_empty() {
        return Ok(());
    }
    let report = ReportMessage::Limits { words, asks };
    sender.send(&Message::ServiceReport(report)).await
}

/// Tells of instances that ended under requests, and of contents that were answered.
async fn report_ends(sender: &mut Sender, shared: &Shared) -> Result<(), WireError> {
    let (ends, answered) = shared.quarantine.take_unsent();
    if ends.is_empty() && answered.is_empty() {
        return Ok(());
    }
    let report = ReportMessage::Ends { ends, answered };
    sender.send(&Message::ServiceReport(report)).await
}
