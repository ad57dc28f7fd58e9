//! Limits that instances name, at the leader: what routers heard of them, who may send when.

use crate::Shared;
use crate::records::ControllerRecord;
use crate::reports::in_contact;
use courseshunt_records::emit;
use courseshunt_services::{
    FeedMessage, LimitAnswer, LimitQuery, LimitReport, LimitVerdict, RequestRate,
};
use courseshunt_types::{Millis, RunnerId, Timestamp};

/// Takes what a router tells; returns the answers to its questions, if it has any.
pub(crate) fn take(
    router: &str,
    words: &[LimitReport],
    asks: &[LimitQuery],
    shared: &Shared,
) -> Option<FeedMessage> {
    let now = shared.clock.now();
    for word in words {
        note(router, word, now, shared);
    }
    let answers = match in_contact(shared) {
        true => grant(router, asks, now, shared),
        false => asks
            .iter()
            .map(|ask| answer(ask, LimitVerdict::Unknown))
            .collect(),
    };
    if shared.limits().has_changes() {
        shared.wake.notify_one();
    }
    (!answers.is_empty()).then_some(FeedMessage::LimitAnswers(answers))
}

/// Takes note of a limit that an answer to this leader itself names.
pub(crate) fn heard(instance: &RunnerId, rate: RequestRate, shared: &Shared) {
    let word = LimitReport {
        instance: instance.clone(),
        rate: Some(rate),
        age: Millis(0),
    };
    note(&shared.settings.name, &word, shared.clock.now(), shared);
    if shared.limits().has_changes() {
        shared.wake.notify_one();
    }
}

fn note(router: &str, word: &LimitReport, now: Timestamp, shared: &Shared) {
    if shared.limits().note(word, now) {
        emit(&ControllerRecord::InstanceLimits {
            instance: word.instance.as_str(),
            limit_per_1000_s: word.rate.map(|rate| rate.0),
            told_by: router,
            age_ms: word.age.0,
        });
    }
}

fn grant(router: &str, asks: &[LimitQuery], now: Timestamp, shared: &Shared) -> Vec<LimitAnswer> {
    let granted = asks.iter().map(|ask| {
        note(router, &ask.report, now, shared);
        let verdict = shared.limits().decide(ask, now);
        shared.metrics.limit_verdict(verdict);
        answer(ask, verdict)
    });
    granted.collect()
}

fn answer(ask: &LimitQuery, verdict: LimitVerdict) -> LimitAnswer {
    LimitAnswer {
        number: ask.number,
        verdict,
    }
}

/// What all routers are to be told; none where no instance names a limit. Instances that are
/// gone are forgotten, and placement follows.
pub(crate) fn told(shared: &Shared, now: Timestamp) -> Option<FeedMessage> {
    let mut engine = shared.engine();
    let mut limits = shared.limits();
    limits.retain(|instance| engine.knows(instance), now);
    engine.set_limits(limits.rates());
    let words = limits.reports(now);
    (!words.is_empty()).then_some(FeedMessage::Limits(words))
}
