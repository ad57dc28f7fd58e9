//! Limits that instances name, as a choice among them needs these: see [`crate::limit`].

use super::Selector;
use crate::limit::local::{LimitChange, LimitStep};
use crate::limit::{LimitReport, LimitVerdict, RequestRate};
use courseshunt_types::{Millis, RunnerId, Timestamp};

impl Selector {
    /// Notes which limit an answer names to a request that was sent at `asked_at`; none: it
    /// names no limit.
    pub fn observe_limit(
        &mut self,
        instance: &RunnerId,
        rate: Option<RequestRate>,
        asked_at: Timestamp,
        now: Timestamp,
    ) -> LimitChange {
        self.limits.observe(instance, rate, asked_at, now)
    }

    /// Takes over what the leader tells of limits; returns what is news.
    pub fn apply_leader_limits(
        &mut self,
        words: &[LimitReport],
        now: Timestamp,
    ) -> Vec<LimitReport> {
        self.limits.apply_leader_reports(words, now)
    }

    /// What the leader has to be told of limits.
    pub fn take_unreported_limits(&mut self, now: Timestamp) -> Vec<LimitReport> {
        self.limits.take_unreported(now)
    }

    /// Another leader has to be told all limits.
    pub fn mark_limits_unreported(&mut self) {
        self.limits.mark_all_unreported();
    }

    /// What to do with a request for an instance, which may wait so long for its turn there.
    /// `led` tells whether a leader can be asked.
    pub fn limit_step(
        &mut self,
        instance: &RunnerId,
        patience: Millis,
        led: bool,
        now: Timestamp,
    ) -> LimitStep {
        self.limits.step(instance, patience, led, now)
    }

    /// Notes the end of a question on an instance's limit, with the answer if it came.
    pub fn finish_limit_query(
        &mut self,
        instance: &RunnerId,
        verdict: Option<LimitVerdict>,
        now: Timestamp,
    ) {
        self.limits.finish_query(instance, verdict, now);
    }

    /// The limit that an instance names.
    #[must_use]
    pub fn limit_of(&self, instance: &RunnerId) -> Option<RequestRate> {
        self.limits.limit_of(instance)
    }
}
