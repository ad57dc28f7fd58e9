//! Subscribes to the feed of the leader, which any controller relays, and sends reports to it.
//!
//! Invariant: a router follows at most one controller at a time, and a feed that is silent for
//! [`FEED_RECEIVE_TIMEOUT`] is closed.

use crate::Shared;
use crate::controller_search::{ControllerSearch, FeedEnd, next_preference_check};
use crate::forwarding;
use crate::path;
use crate::records::RouterRecord;
use courseshunt_records::emit;
use courseshunt_services::{FeedMessage, LimitReport, ReportMessage, RouteTable, validate};
use courseshunt_types::{RunnerId, Zone};
use courseshunt_wire::{
    ClusterKey, Connection, Message, PREVIOUS_RELEASE_VERSION, Receiver, Sender, WireError,
    connect_within,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// A feed without a message for this time is closed: the leader sends at least twice a second,
/// and a controller without a leader sends keep-alive messages.
const FEED_RECEIVE_TIMEOUT: Duration = Duration::from_millis(900);
/// Minimum time between reports while requests wait.
const URGENT_REPORT_DELAY: Duration = Duration::from_millis(3);

/// Follows controllers until the process ends.
pub(crate) async fn follow(shared: Arc<Shared>, key: ClusterKey) {
    let mut search = ControllerSearch::of(&shared.settings.name, &shared.settings.zone);
    loop {
        let Some(address) = search.next(shared.seeds.addresses()) else {
            tokio::time::sleep(search.restart()).await;
            continue;
        };
        let end = follow_controller(address, &shared, &key, &mut search).await;
        shared.quotas.leader_lost();
        shared.limits.leader_lost();
        shared.origins.leader_lost();
        shared.view.lose_load_feed();
        let pause = search.ended(address, &end, &shared);
        tokio::time::sleep(pause).await;
    }
}

async fn follow_controller(
    address: SocketAddr,
    shared: &Arc<Shared>,
    key: &ClusterKey,
    search: &mut ControllerSearch,
) -> FeedEnd {
    match try_follow(address, shared, key, search).await {
        Ok(end) | Err(end) => end,
    }
}

async fn try_follow(
    address: SocketAddr,
    shared: &Arc<Shared>,
    key: &ClusterKey,
    search: &mut ControllerSearch,
) -> Result<FeedEnd, FeedEnd> {
    let identity = shared.wire_identity();
    let source = Some(shared.settings.address);
    let dial_timeout = search.dial_limit.present();
    let connected = connect_within(dial_timeout, source, address, key, &identity).await;
    let Connection {
        mut sender,
        mut receiver,
        version,
        ..
    } = connected?;
    search.dial_limit.succeeded();
    // A controller of the previous release sends nothing before the subscription.
    if version != PREVIOUS_RELEASE_VERSION {
        if let FeedMessage::Members(members) = receive(&mut receiver, address).await? {
            search.set_members(members);
        }
        if search.has_preferred(address) {
            return Ok(FeedEnd::Preferred);
        }
    }
    let number = shared.view.base_number();
    let known = shared.view.digests();
    let subscribe = ReportMessage::Subscribe { number, known };
    sender.send(&Message::ServiceReport(subscribe)).await?;
    tokio::select! {
        ended = receive_all(receiver, address, shared, search, version) => ended,
        ended = report_all(sender, shared) => Err(ended.err().map_or(FeedEnd::NoFeed(None), FeedEnd::Lost)),
    }
}

/// Receives the next message of a feed.
async fn receive(receiver: &mut Receiver, address: SocketAddr) -> Result<FeedMessage, WireError> {
    let received = tokio::time::timeout(FEED_RECEIVE_TIMEOUT, receiver.receive()).await;
    match received.unwrap_or(Err(timed_out("receive", address)))? {
        Some(Message::ServiceFeed(message)) => Ok(message),
        Some(_) | None => Err(closed(address)),
    }
}

fn closed(address: SocketAddr) -> WireError {
    WireError::Protocol {
        step: "receive",
        peer: address.to_string(),
        problem: "controller closed the feed".to_owned(),
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
    search: &mut ControllerSearch,
    version: u8,
) -> Result<FeedEnd, FeedEnd> {
    let mut check_at = next_preference_check(false);
    loop {
        let message = receive(&mut receiver, address).await?;
        // In the previous release only the leader sends a feed.
        if check_at <= Instant::now() && version != PREVIOUS_RELEASE_VERSION {
            if search.has_preferred(address) {
                return Ok(FeedEnd::Preferred);
            }
            check_at = next_preference_check(false);
        }
        if is_from_leader(&message) {
            shared.view.record_leader_message();
            if !std::mem::replace(&mut search.has_feed, true) {
                start_previous_release_feed(&message, shared);
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
                check_at = next_preference_check(true);
            }
            FeedMessage::Configuration {
                number,
                base,
                digest,
                difference,
            } => {
                let document = shared.view.apply_difference(base, digest, &difference);
                let document = document.map_err(|problem| WireError::Protocol {
                    step: "apply a configuration",
                    peer: address.to_string(),
                    problem,
                })?;
                apply_configuration(number, document, shared);
            }
            other => handle_message(other, shared),
        }
    }
}

/// Whether only a leader sends such a message.
fn is_from_leader(message: &FeedMessage) -> bool {
    !matches!(
        message,
        FeedMessage::NoFeed { .. } | FeedMessage::AwaitingLeader | FeedMessage::Members(_)
    )
}

/// Starts the feed of a leader of the previous release, which does not announce its leadership.
/// Such a leader keeps no accounts of limits: this router applies its local share.
fn start_previous_release_feed(first: &FeedMessage, shared: &Shared) {
    if !matches!(first, FeedMessage::Leadership { .. }) {
        shared.view.start_leader_feed();
        shared.quarantine.start_leader_feed();
    }
}

fn handle_message(message: FeedMessage, shared: &Shared) {
    match message {
        FeedMessage::Leadership { .. } => {
            shared.view.start_leader_feed();
            shared.quarantine.start_leader_feed();
            shared.limits.start_leader_feed();
            shared.origins.start_leader_feed();
            shared.quotas.start_leader_feed();
            shared.forwarders.start_leader_feed();
        }
        FeedMessage::AwaitingLeader => {
            shared.quotas.leader_lost();
            shared.limits.leader_lost();
            shared.origins.leader_lost();
            shared.view.lose_load_feed();
        }
        FeedMessage::Bucket {
            bucket,
            instances,
            complete,
        } => {
            let gone = shared.view.set_bucket(bucket, instances, complete);
            remove_instances(gone, shared);
        }
        FeedMessage::Instances { changed, gone } => {
            let gone = shared.view.set_instances(changed, gone);
            remove_instances(gone, shared);
        }
        FeedMessage::LiveInstances(live) => {
            let gone = shared.view.retain_instances(&live);
            remove_instances(gone, shared);
        }
        FeedMessage::Digests(digests) => {
            let local = shared.view.digests();
            let buckets = digests.differing_buckets(&local).count();
            if buckets > 0 {
                emit(&RouterRecord::InstancesDiffer { parts: buckets });
                shared.view.instances_differ.notify_one();
            }
        }
        FeedMessage::Usage {
            configuration,
            routers,
            instances,
        } => {
            shared.view.set_announced(configuration);
            let now = shared.clock.now();
            let sharing_routers = shared.view.set_usage(routers, &instances, now);
            shared.quotas.set_routers(sharing_routers);
            shared.pool.close_expired();
        }
        FeedMessage::Quotas {
            epoch,
            account_statuses,
        } => {
            let now = shared.clock.now();
            shared
                .quotas
                .set_account_statuses(epoch, account_statuses, now);
        }
        FeedMessage::QuotaAnswers(answers) => {
            shared.quotas.apply_answers(answers, shared.clock.now());
        }
        FeedMessage::Limits(limits) => apply_limits(&limits, shared),
        FeedMessage::LimitAnswers(answers) => shared.limits.apply_answers(answers),
        FeedMessage::Quarantine {
            suspected,
            quarantined,
        } => shared.quarantine.set(suspected, quarantined),
        FeedMessage::InstanceLoads(loads) => shared.view.apply_loads(&loads),
        FeedMessage::Forwarders(forwarders) => {
            let zone = Zone::from(shared.settings.zone.as_str());
            if shared.forwarders.set(&forwarders, &zone) {
                path::retry_with_new_forwarder(shared);
            }
        }
        FeedMessage::SoftwareVersions(list) => shared.view.set_software_versions(list),
        FeedMessage::OriginAnswers(answers) => shared.origins.apply_answers(answers),
        FeedMessage::Configuration { .. }
        | FeedMessage::NoFeed { .. }
        | FeedMessage::Members(_) => {}
    }
}

/// Applies the rate limits of instances that the leader sends.
fn apply_limits(limits: &[LimitReport], shared: &Shared) {
    for limit in shared.view.apply_leader_limits(limits) {
        emit(&RouterRecord::LimitTold {
            instance: limit.instance.as_str(),
            limit_per_1000_s: limit.rate.map(|rate| rate.0),
            age_ms: limit.age.0,
        });
    }
}

/// Removes the state of instances that no longer exist.
fn remove_instances(gone: Vec<RunnerId>, shared: &Shared) {
    if gone.is_empty() {
        return;
    }
    shared.pool.remove(&gone);
    shared.paths().remove(&gone);
    let ended = gone.iter().filter(|id| !shared.view.has_instance(id));
    shared.quarantine.instances_gone(ended);
    shared.unreadable_loads.remove(&gone);
    let instances: Vec<String> = gone.into_iter().map(|id| id.0).collect();
    emit(&RouterRecord::InstancesGone {
        instances: &instances,
    });
}

fn apply_configuration(number: u64, document: Vec<u8>, shared: &Shared) {
    let read = shared.interface.read_configuration(&document);
    let validated = read.and_then(|read| validate(&read).map(|()| read));
    match validated {
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
    let mut loads_due = due;
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(due) => {}
            () = shared.view.report_due.notified() => tokio::time::sleep(URGENT_REPORT_DELAY).await,
            () = shared.quotas.queries_pending.notified() => {
                send_quota_queries(&mut sender, shared).await?;
                continue;
            }
            () = shared.limits.report_due.notified() => {
                report_limits(&mut sender, shared).await?;
                continue;
            }
            () = shared.origins.report_due.notified() => {
                report_origins(&mut sender, shared).await?;
                continue;
            }
            () = shared.view.instances_differ.notified() => {
                let report = ReportMessage::Compare(shared.view.digests());
                sender.send(&Message::ServiceReport(report)).await?;
                continue;
            }
            () = shared.quarantine.report_due.notified() => {
                report_ends(&mut sender, shared).await?;
                continue;
            }
            () = shared.forwarders.report_due.notified() => {
                report_forwarding(&mut sender, shared).await?;
                continue;
            }
        }
        due = Instant::now() + Duration::from(shared.view.report_interval());
        let now = shared.clock.now();
        let is_evidence = |service: &str| {
            let has_forwarder = shared.forwarders.choose(service, &[], now).is_some();
            shared.paths().is_evidence(service, has_forwarder)
        };
        if let Some(report) = shared.view.take_report(now, is_evidence) {
            sender.send(&Message::ServiceReport(report)).await?;
        }
        report_origins(&mut sender, shared).await?;
        // Answers that were not due yet.
        report_ends(&mut sender, shared).await?;
        if let Some(report) = shared.quotas.take_report(now) {
            let report = ReportMessage::TenantUse(report);
            sender.send(&Message::ServiceReport(report)).await?;
        }
        // Urgent usage reports are more frequent than the interval.
        if Instant::now() >= loads_due {
            loads_due = due;
            send_loads(&mut sender, shared).await?;
            report_forwarding(&mut sender, shared).await?;
        }
    }
}

/// Offers to forward requests of other routers and asks for forwarders, if this is due.
async fn report_forwarding(sender: &mut Sender, shared: &Shared) -> Result<(), WireError> {
    let Some(report) = forwarding::due_report(shared) else {
        return Ok(());
    };
    sender.send(&Message::ServiceReport(report)).await
}

/// Reports load and speed of instances, if there is anything new.
async fn send_loads(sender: &mut Sender, shared: &Shared) -> Result<(), WireError> {
    let Some(report) = shared.view.take_load_report() else {
        return Ok(());
    };
    sender.send(&Message::ServiceReport(report)).await
}

async fn send_quota_queries(sender: &mut Sender, shared: &Shared) -> Result<(), WireError> {
    let queries = shared.quotas.take_queries();
    if queries.is_empty() {
        return Ok(());
    }
    let report = ReportMessage::QuotaQueries(queries);
    sender.send(&Message::ServiceReport(report)).await
}

/// Reports the rate limits that instances named, and sends the queries of requests for
/// rate-limited instances.
async fn report_limits(sender: &mut Sender, shared: &Shared) -> Result<(), WireError> {
    let limits = shared.view.take_unreported_limits();
    let queries = shared.limits.take_queries();
    if limits.is_empty() && queries.is_empty() {
        return Ok(());
    }
    let report = ReportMessage::Limits {
        reports: limits,
        queries,
    };
    sender.send(&Message::ServiceReport(report)).await
}

/// Reports the streams that clients may resume, and sends the queries of requests that resume one.
/// The leader gets the queries last, so that it has all reports of this router.
async fn report_origins(sender: &mut Sender, shared: &Shared) -> Result<(), WireError> {
    let is_ambiguous = |service: &str| shared.view.is_origin_ambiguous(service);
    while let Some(report) = shared.origins.take_report(is_ambiguous, shared.clock.now()) {
        sender.send(&Message::ServiceReport(report)).await?;
    }
    Ok(())
}

/// Reports instances that ended while they had requests, and fingerprints that were answered
/// successfully.
async fn report_ends(sender: &mut Sender, shared: &Shared) -> Result<(), WireError> {
    let (ends, answered) = shared.quarantine.take_unsent();
    if ends.is_empty() && answered.is_empty() {
        return Ok(());
    }
    let report = ReportMessage::Ends { ends, answered };
    sender.send(&Message::ServiceReport(report)).await
}
