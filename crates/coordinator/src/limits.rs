//! The leader's accounts of the rate limits that instances report in their answers: takes the
//! observations of routers, and grants them permits to send.
//!
//! Invariant: permits are granted only while the leader is in contact with a quorum.

use crate::Shared;
use crate::records::ControllerRecord;
use crate::reports::has_quorum_contact;
use courseshunt_records::emit;
use courseshunt_services::{
    FeedMessage, LimitAnswer, LimitQuery, LimitReport, LimitVerdict, RequestRate,
};
use courseshunt_types::{Millis, RunnerId, Timestamp};

/// Handles a router's observed limits and its requests for permits; returns the answers, if it
/// sent requests.
pub(crate) fn handle_report(
    reporter: &str,
    reports: &[LimitReport],
    requests: &[LimitQuery],
    shared: &Shared,
) -> Option<FeedMessage> {
    let now = shared.clock.now();
    for report in reports {
        note_limit(reporter, report, now, shared);
    }
    let answers = match has_quorum_contact(shared) {
        true => answer_requests(reporter, requests, now, shared),
        false => requests
            .iter()
            .map(|request| answer(request, LimitVerdict::Unknown))
            .collect(),
    };
    if shared.limits().has_changes() {
        shared.wake.notify_one();
    }
    (!answers.is_empty()).then_some(FeedMessage::LimitAnswers(answers))
}

/// Notes a limit that an instance reported in a reply to this leader.
pub(crate) fn note_own(instance: &RunnerId, rate: RequestRate, shared: &Shared) {
    let report = LimitReport {
        instance: instance.clone(),
        rate: Some(rate),
        age: Millis(0),
    };
    note_limit(&shared.settings.name, &report, shared.clock.now(), shared);
    if shared.limits().has_changes() {
        shared.wake.notify_one();
    }
}

fn note_limit(reporter: &str, report: &LimitReport, now: Timestamp, shared: &Shared) {
    if shared.limits().note(report, now) {
        emit(&ControllerRecord::InstanceLimits {
            instance: report.instance.as_str(),
            limit_per_1000_s: report.rate.map(|rate| rate.0),
            told_by: reporter,
            age_ms: report.age.0,
        });
    }
}

fn answer_requests(
    reporter: &str,
    requests: &[LimitQuery],
    now: Timestamp,
    shared: &Shared,
) -> Vec<LimitAnswer> {
    let answers = requests.iter().map(|request| {
        note_limit(reporter, &request.report, now, shared);
        let verdict = shared.limits().decide(request, now);
        shared.metrics.limit_verdict(verdict);
        answer(request, verdict)
    });
    answers.collect()
}

fn answer(request: &LimitQuery, verdict: LimitVerdict) -> LimitAnswer {
    LimitAnswer {
        number: request.number,
        verdict,
    }
}

/// The feed message with all limits; `None` if no instance reports a limit. Removes instances
/// that are gone, and passes the current rates to the placement engine.
pub(crate) fn feed_message(shared: &Shared, now: Timestamp) -> Option<FeedMessage> {
    let mut engine = shared.engine();
    let mut limits = shared.limits();
    limits.retain(|instance| engine.contains(instance), now);
    engine.set_limits(limits.rates());
    let reports = limits.reports(now);
    (!reports.is_empty()).then_some(FeedMessage::Limits(reports))
}
