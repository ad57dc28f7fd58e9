//! The retry budgets, in the router's view.

use super::View;
use super::state::State;
use courseshunt_services::RetryDecision;
use courseshunt_types::Timestamp;

impl View {
    /// Decides on a retry of a request for a service, by the retry budget. One that is allowed is
    /// reserved until [`Self::record_retry`] or [`Self::release_retry`].
    pub(crate) fn decide_retry(&self, service: &str, now: Timestamp) -> RetryDecision {
        let mut state = self.lock();
        let State {
            retry_budgets,
            fleet,
            ..
        } = &mut *state;
        retry_budgets.decide(service, fleet, now)
    }

    /// Counts a retry that was allowed and is sent now.
    pub(crate) fn record_retry(&self, service: &str, now: Timestamp) {
        self.lock().retry_budgets.record_retry(service, now);
    }

    /// Returns a retry that was allowed and is not sent.
    pub(crate) fn release_retry(&self, service: &str) {
        self.lock().retry_budgets.release(service);
    }

    /// Number of routers that divide the slack of the retry budget; `None` if this router has no
    /// share of it.
    pub(crate) fn slack_divisor(&self, now: Timestamp) -> Option<u32> {
        let state = self.lock();
        let settings = state.retry_budgets.settings();
        settings.slack_divisor(&state.fleet, now)
    }
}
