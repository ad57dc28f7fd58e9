//! What routers report: the leader takes it, any other controller passes it on to the
//! leader.

use crate::Shared;
use crate::lead::CONTACT_LIMIT;
use crate::limits;
use crate::quarantine;
use crate::records::ControllerRecord;
use crate::router_book::Way;
use courseshunt_records::emit;
use courseshunt_services::{
    FeedMessage, InstanceUsage, ModelDemand, QuotaAnswer, QuotaQuery, QuotaVerdict, RelayedReport,
    ReportMessage, RouterNews,
};
use courseshunt_types::RunnerId;

/// Takes what a router that follows this controller tells: here, or for the leader.
pub(crate) fn take_local(report: RelayedReport, shared: &Shared) {
    if !*shared.leading.borrow() {
        shared.upstream.offer(report);
        return;
    }
    let (router, session) = (report.router.clone(), report.session);
    if let Some(answer) = take(report, Way::Here, shared) {
        shared.sessions.send_to_router(&router, session, answer);
    }
}

/// Takes what a router tells, at the leader; returns what to answer it.
pub(crate) fn take(report: RelayedReport, way: Way, shared: &Shared) -> Option<FeedMessage> {
    let RelayedReport {
        router,
        session,
        news,
    } = report;
    match news {
        RouterNews::Follows { configuration } => {
            shared
                .routers()
                .follows(&router, session, way, configuration);
            shared.quotas().router_contacted(&router);
            None
        }
        RouterNews::Lost => {
            if shared.routers().lost(&router, session) {
                forget(&router, shared);
            }
            None
        }
        // The router follows by another connection since.
        RouterNews::Reports(_) if !shared.routers().is_present(&router, session) => None,
        RouterNews::Reports(report) => take_report(&router, report, shared),
    }
}

/// Forgets what a router used: it follows no more.
pub(crate) fn forget(router: &str, shared: &Shared) {
    shared.engine().forget_router(router);
    shared.quotas().router_lost(router, shared.clock.now());
}

fn take_report(router: &str, report: ReportMessage, shared: &Shared) -> Option<FeedMessage> {
    match report {
        ReportMessage::Usage {
            configuration,
            instances,
            demand,
            unreachable,
            leaving,
        } => {
            confirm(router, configuration, shared);
            take_usage(router, instances, &demand, &unreachable, shared);
            take_leaving(router, &leaving, shared);
        }
        ReportMessage::TenantUse { epoch, uses } => {
            let now = shared.clock.now();
            if shared.quotas().report(router, epoch, &uses, now) {
                shared.wake.notify_one();
            }
        }
        ReportMessage::AskQuotas(questions) => {
            return Some(answer_quotas(router, &questions, shared));
        }
        ReportMessage::Limits { words, asks } => {
            return limits::take(router, &words, &asks, shared);
        }
        ReportMessage::Ends { ends, answered } => quarantine::take(&ends, answered, shared),
        ReportMessage::Subscribe { .. } | ReportMessage::Compare(_) => {}
    }
    None
}

/// Notes which configuration is in force at a router.
fn confirm(router: &str, configuration: u64, shared: &Shared) {
    let now = shared.clock.now();
    let spread = shared.routers().confirm(router, configuration, now);
    if let Some(spread) = spread {
        shared.metrics.spread(spread.after);
        emit(&ControllerRecord::ConfigurationEverywhere {
            number: spread.number,
            routers: spread.routers,
            after_ms: spread.after.0,
        });
    }
}

fn take_usage(
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

/// Takes note of instances that said to a router, or to this controller, that they leave.
pub(crate) fn take_leaving(told_by: &str, leaving: &[RunnerId], shared: &Shared) {
    for instance in leaving {
        if shared.engine().leaves_by_its_word(instance) {
            emit(&ControllerRecord::LeavesByItsWord {
                instance: instance.as_str(),
                told_by,
            });
            shared.wake.notify_one();
        }
    }
}

/// Whether this leader was in contact with a quorum a moment ago: no other one grants anything.
pub(crate) fn in_contact(shared: &Shared) -> bool {
    let age = shared.replica.confirmation_age();
    age.is_some_and(|age| age < CONTACT_LIMIT)
}

/// Answers a router's questions on tenants' limits.
fn answer_quotas(router: &str, questions: &[QuotaQuery], shared: &Shared) -> FeedMessage {
    let now = shared.clock.now();
    let in_contact = in_contact(shared);
    let mut quotas = shared.quotas();
    let answers = questions.iter().map(|one| QuotaAnswer {
        number: one.number,
        verdict: match in_contact {
            true => quotas.decide(router, one, now),
            false => QuotaVerdict::Unknown,
        },
    });
    FeedMessage::QuotaAnswers(answers.collect())
}
