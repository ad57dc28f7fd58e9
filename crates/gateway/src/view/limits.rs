//! The rate limits that instances name, in the router's view.

use super::View;
use courseshunt_services::{LimitChange, LimitReport, LimitStep, LimitVerdict, RequestRate};
use courseshunt_types::{Millis, RunnerId, Timestamp};

impl View {
    /// Records the rate limit in the response to a request that was sent at `sent_at`; `None`
    /// if the response names no limit.
    pub(crate) fn observe_limit(
        &self,
        instance: &RunnerId,
        rate: Option<RequestRate>,
        sent_at: Timestamp,
    ) -> LimitChange {
        let now = self.clock.now();
        let mut state = self.lock();
        let change = state.selector.observe_limit(instance, rate, sent_at, now);
        drop(state);
        if change == LimitChange::Removed {
            self.notify_change();
        }
        change
    }

    /// Applies the rate limits sent by the leader; returns those that changed.
    pub(crate) fn apply_leader_limits(&self, limits: &[LimitReport]) -> Vec<LimitReport> {
        let now = self.clock.now();
        let changes = self.lock().selector.apply_leader_limits(limits, now);
        if changes.iter().any(|limit| limit.rate.is_none()) {
            self.notify_change();
        }
        changes
    }

    /// Rate limits that have not been reported to the leader yet.
    pub(crate) fn take_unreported_limits(&self) -> Vec<LimitReport> {
        let now = self.clock.now();
        self.lock().selector.take_unreported_limits(now)
    }

    /// How to handle a request for an instance with a rate limit: see [`Selector::limit_step`].
    pub(crate) fn limit_step(
        &self,
        instance: &RunnerId,
        max_wait: Millis,
        has_leader: bool,
    ) -> LimitStep {
        let now = self.clock.now();
        let mut state = self.lock();
        state
            .selector
            .limit_step(instance, max_wait, has_leader, now)
    }

    /// Records the end of a limit query to the leader, with the verdict if one arrived.
    pub(crate) fn finish_limit_query(&self, instance: &RunnerId, verdict: Option<LimitVerdict>) {
        let now = self.clock.now();
        self.lock()
            .selector
            .finish_limit_query(instance, verdict, now);
        self.notify_change();
    }

    /// The rate limit that an instance names.
    pub(crate) fn limit_of(&self, instance: &RunnerId) -> Option<RequestRate> {
        self.lock().selector.limit_of(instance)
    }
}
