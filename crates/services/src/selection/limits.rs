//! Rate limits that instances report, as far as a router's selection needs them. See
//! [`crate::limit`].

use super::Selector;
use crate::limit::local::{LimitChange, LimitStep};
use crate::limit::{LimitReport, LimitVerdict, RequestRate};
use courseshunt_types::{Millis, RunnerId, Timestamp};

impl Selector {
    /// Records the rate limit in an answer to a request that was sent at `sent_at`; `None` if the
    /// answer reports no limit.
    pub fn observe_limit(
        &mut self,
        instance: &RunnerId,
        rate: Option<RequestRate>,
        sent_at: Timestamp,
        now: Timestamp,
    ) -> LimitChange {
        self.limits.observe(instance, rate, sent_at, now)
    }

    /// Applies the limits that the leader published; returns those that changed.
    pub fn apply_leader_limits(
        &mut self,
        reports: &[LimitReport],
        now: Timestamp,
    ) -> Vec<LimitReport> {
        self.limits.apply_leader_reports(reports, now)
    }

    /// Takes the limits that have not been reported to the leader yet.
    pub fn take_unreported_limits(&mut self, now: Timestamp) -> Vec<LimitReport> {
        self.limits.take_unreported(now)
    }

    /// Marks all limits as unreported, after a change of leader.
    pub fn mark_limits_unreported(&mut self) {
        self.limits.mark_all_unreported();
    }

    /// Next step for a request to an instance, which may wait up to `max_wait` for its time slot.
    /// `has_leader` states whether a leader can be queried.
    pub fn limit_step(
        &mut self,
        instance: &RunnerId,
        max_wait: Millis,
        has_leader: bool,
        now: Timestamp,
    ) -> LimitStep {
        self.limits.step(instance, max_wait, has_leader, now)
    }

    /// Records the end of a query about an instance's limit, with the verdict if one came.
    pub fn finish_limit_query(
        &mut self,
        instance: &RunnerId,
        verdict: Option<LimitVerdict>,
        now: Timestamp,
    ) {
        self.limits.finish_query(instance, verdict, now);
    }

    /// The rate limit that an instance reports.
    #[must_use]
    pub fn limit_of(&self, instance: &RunnerId) -> Option<RequestRate> {
        self.limits.limit_of(instance)
    }
}
