//! Handles reports of routers: the leader applies them, any other controller relays them to the
//! leader.
//!
//! Invariant: a report takes effect only if it came by the router's newest connection.

use crate::Shared;
use crate::leader_loop::QUORUM_CONTACT_LIMIT;
use crate::limits;
use crate::loads;
use crate::quarantine;
use crate::records::ControllerRecord;
use crate::router_registry::FeedPath;
use crate::stream_origins;
use courseshunt_records::emit;
use courseshunt_services::{
    FeedMessage, ForwardingReport, InstanceUsage, ModelDemand, QuotaAnswer, QuotaQuery,
    QuotaVerdict, RelayedReport, ReportMessage, ReservationChange, ReservationEvent, RouterUpdate,
};
use courseshunt_types::RunnerId;
use std::sync::Arc;

/// Handles a report of a router that subscribes here: applies it if this member leads, otherwise
/// queues it for the leader.
pub(crate) fn handle_local(report: RelayedReport, shared: &Arc<Shared>) {
    if !*shared.leading.borrow() {
        shared.upstream.enqueue(report);
        return;
    }
    let (router, session) = (report.router.clone(), report.session);
    if let Some(answer) = handle(report, FeedPath::Direct, shared) {
        shared.sessions.send_to_router(&router, session, answer);
    }
}

/// Applies a router's report at the leader; returns the answer to it, if there is one.
pub(crate) fn handle(
    report: RelayedReport,
    path: FeedPath,
    shared: &Arc<Shared>,
) -> Option<FeedMessage> {
    let RelayedReport {
        router,
        session,
        update,
    } = report;
    match update {
        RouterUpdate::Connected { configuration } => {
            shared
                .routers()
                .subscribe(&router, session, path, configuration);
            // A router sends everything again after it subscribes; it may have restarted.
            shared.loads().remove_router(&router);
            shared.forwarders().remove(&router);
            None
        }
        RouterUpdate::Disconnected => {
            if shared.routers().disconnect(&router, session) {
                remove_router(&router, shared);
            }
            None
        }
        // The router has subscribed by another connection since.
        RouterUpdate::Report(_) if !shared.routers().is_current(&router, session) => None,
        RouterUpdate::Report(report) => handle_report(&router, report, shared),
    }
}

/// Removes the use of a router that no longer subscribes.
pub(crate) fn remove_router(router: &str, shared: &Shared) {
    shared.engine().remove_router(router);
    shared.forwarders().remove(router);
    shared.loads().remove_router(router);
    shared.quotas().router_lost(router, shared.clock.now());
}

fn handle_report(router: &str, report: ReportMessage, shared: &Arc<Shared>) -> Option<FeedMessage> {
    match report {
        ReportMessage::Usage {
            configuration,
            instances,
            demand,
            unreachable,
            leaving,
        } => {
            confirm_configuration(router, configuration, shared);
            handle_usage(router, instances, &demand, &unreachable, shared);
            handle_leaving(router, &leaving, shared);
        }
        ReportMessage::TenantUse(report) => {
            let now = shared.clock.now();
            if shared.quotas().report(router, &report, now) {
                shared.wake.notify_one();
            }
        }
        ReportMessage::QuotaQueries(queries) => {
            return Some(answer_quotas(router, &queries, shared));
        }
        ReportMessage::Limits { reports, queries } => {
            return limits::handle_report(router, &reports, &queries, shared);
        }
        ReportMessage::Ends { ends, answered } => {
            quarantine::handle_report(&ends, &answered, shared)
        }
        ReportMessage::InstanceLoads { samples, pauses } => {
            loads::handle_report(router, &samples, &pauses, shared);
        }
        ReportMessage::Forwarding(report) => {
            return Some(name_forwarders(router, report, shared));
        }
        ReportMessage::StreamOrigins { began, queries } => {
            return stream_origins::handle_report(began, &queries, shared);
        }
        ReportMessage::Subscribe { .. } | ReportMessage::Compare(_) => {}
    }
    None
}

/// Records whether a router forwards requests of others, and names routers that forward its own.
fn name_forwarders(router: &str, report: ForwardingReport, shared: &Shared) -> FeedMessage {
    let zone = report.zone.clone();
    let mut forwarders = shared.forwarders();
    forwarders.record(router, report);
    let candidates = forwarders.candidates(router, &zone, rand::random());
    FeedMessage::Forwarders(candidates)
}

/// Notes the configuration that is in force at a router, and records the end of a rollout.
fn confirm_configuration(router: &str, configuration: u64, shared: &Shared) {
    let now = shared.clock.now();
    let rollout = shared.routers().confirm(router, configuration, now);
    if let Some(rollout) = rollout {
        shared.metrics.rollout(rollout.after);
        emit(&ControllerRecord::ConfigurationEverywhere {
            number: rollout.number,
            routers: rollout.routers,
            after_ms: rollout.after.0,
        });
    }
}

fn handle_usage(
    router: &str,
    instances: Vec<InstanceUsage>,
    demand: &[ModelDemand],
    unreachable: &[RunnerId],
    shared: &Shared,
) {
    let now = shared.clock.now();
    let mut engine = shared.engine();
    engine.report_usage(router, instances, demand, now);
    engine.report_unreachable(router, unreachable, now);
    drop(engine);
    if demand.iter().any(|one| one.waiting > 0) {
        shared.wake.notify_one();
    }
}

/// Notes instances that reported in a reply to a router, or to this controller, that they leave.
pub(crate) fn handle_leaving(reporter: &str, leaving: &[RunnerId], shared: &Shared) {
    for instance in leaving {
        if shared.engine().mark_leaving_if_ready(instance) {
            emit(&ControllerRecord::LeavesByItsWord {
                instance: instance.as_str(),
                told_by: reporter,
            });
            shared.wake.notify_one();
        }
    }
}

/// Whether this leader was recently in contact with a quorum, so that no other one grants
/// permits.
pub(crate) fn has_quorum_contact(shared: &Shared) -> bool {
    let age = shared.replica.confirmation_age();
    age.is_some_and(|age| age < QUORUM_CONTACT_LIMIT)
}

/// Answers a router's queries about tenants' quotas.
fn answer_quotas(router: &str, queries: &[QuotaQuery], shared: &Shared) -> FeedMessage {
    let now = shared.clock.now();
    let has_quorum_contact = has_quorum_contact(shared);
    let mut quotas = shared.quotas();
    let answers = queries.iter().map(|one| QuotaAnswer {
        number: one.number,
        verdict: match has_quorum_contact {
            true => quotas.decide(router, one, now),
            false => QuotaVerdict::Unknown,
        },
    });
    let answers = answers.collect();
    let events = quotas.take_reservation_events();
    let is_status_changed = quotas.is_status_changed();
    drop(quotas);
    record_reservations(&events, shared);
    if is_status_changed {
        shared.wake.notify_one();
    }
    FeedMessage::QuotaAnswers(answers)
}

/// Records and counts changes of reservations.
pub(crate) fn record_reservations(events: &[ReservationEvent], shared: &Shared) {
    for event in events {
        shared.metrics.quota_reservation(&event.change);
        let starts_after_ms = match event.change {
            ReservationChange::Made { starts_after } => Some(starts_after.0),
            _ => None,
        };
        emit(&ControllerRecord::QuotaReservation {
            tenant: &event.tenant,
            units: event.units,
            rank: event.rank,
            outcome: event.change.outcome(),
            reason: event.change.reason(),
            starts_after_ms,
        });
    }
}
