//! Decides whether a request may be sent to a rate-limited instance, and queries the leader for
//! this.
//!
//! Invariant: a request that is sent to such an instance was granted by the leader or is within
//! this router's local share; a request waits for the leader's answer for a bounded time.

use crate::Shared;
use crate::handle::AdmittedRequest;
use crate::leader_queries::LeaderQueries;
use crate::quota_tracker::LEADER_ANSWER_TIMEOUT;
use crate::records::RequestRecord;
use crate::select::must_not_send;
use courseshunt_records::emit;
use courseshunt_services::{LimitAnswer, LimitQuery, LimitReport, LimitStep, LimitVerdict};
use courseshunt_types::{Millis, RunnerId};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

#[derive(Default)]
struct State {
    /// Whether a leader is connected.
    connected: bool,
    queries: LeaderQueries<LimitQuery, LimitVerdict>,
}

/// Queries to the leader on send permits for rate-limited instances.
#[derive(Default)]
pub(crate) struct LimitTracker {
    state: Mutex<State>,
    /// Notified when there is a limit to report or a query to send.
    pub(crate) report_due: Notify,
}

impl LimitTracker {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the feed of a leader starts.
    pub(crate) fn start_leader_feed(&self) {
        self.lock().connected = true;
        self.report_due.notify_one();
    }

    /// Records that the leader is lost: requests that wait for its answer are decided locally.
    pub(crate) fn leader_lost(&self) {
        let mut state = self.lock();
        state.connected = false;
        state.queries.clear();
    }

    /// Takes the queries to send.
    pub(crate) fn take_queries(&self) -> Vec<LimitQuery> {
        self.lock().queries.take_unsent()
    }

    /// Applies the leader's answers.
    pub(crate) fn apply_answers(&self, answers: Vec<LimitAnswer>) {
        let mut state = self.lock();
        for LimitAnswer { number, verdict } in answers {
            // A grant that arrives after the query timed out is unused: it delays other
            // requests by one send permit.
            let _ = state.queries.complete(number, verdict);
        }
    }

    fn is_connected(&self) -> bool {
        self.lock().connected
    }

    fn submit(&self, report: LimitReport, max_wait: Millis) -> oneshot::Receiver<LimitVerdict> {
        let (_, answer) = self.lock().queries.submit(|number| LimitQuery {
            number,
            report,
            max_wait,
        });
        self.report_due.notify_one();
        answer
    }
}

/// A query in flight; its end is recorded when this is dropped.
struct InFlightQuery<'a> {
    shared: &'a Shared,
    instance: &'a RunnerId,
    verdict: Option<LimitVerdict>,
}

impl Drop for InFlightQuery<'_> {
    fn drop(&mut self) {
        self.shared
            .view
            .finish_limit_query(self.instance, self.verdict);
    }
}

/// Decision on one request.
struct Decision {
    /// Value in records and metrics.
    outcome: &'static str,
    is_granted: bool,
    /// Time until the send permit, or until a refused request would fit.
    after: Millis,
}

impl Decision {
    /// `None` if the instance names no limit.
    fn of(step: &LimitStep) -> Option<Self> {
        let (outcome, is_granted, after) = match step {
            LimitStep::Unlimited | LimitStep::Query(_) => return None,
            LimitStep::Granted { after } => ("granted", true, *after),
            LimitStep::LocalShare { after } => ("own_part", true, *after),
            LimitStep::Refuse { fits_after } => ("refused", false, *fits_after),
        };
        Some(Self {
            outcome,
            is_granted,
            after,
        })
    }
}

/// Waits up to `max_wait` until a request may be sent to an instance; returns whether it may be
/// sent.
pub(crate) async fn admit(
    shared: &Shared,
    admitted: &AdmittedRequest,
    instance: &RunnerId,
    max_wait: Millis,
) -> bool {
    let has_leader = shared.limits.is_connected() && shared.has_recent_leader();
    let step = match shared.view.limit_step(instance, max_wait, has_leader) {
        LimitStep::Query(report) => query_leader(shared, instance, report, max_wait).await,
        step => step,
    };
    let Some(decision) = Decision::of(&step) else {
        return true;
    };
    record_decision(shared, admitted, instance, &decision);
    if !decision.is_granted || decision.after == Millis(0) {
        return decision.is_granted;
    }
    let due = Instant::now() + Duration::from(decision.after);
    let permit = wait_for_permit(shared, instance, due);
    tokio::select! {
        // The key may have been revoked or the content quarantined during the wait.
        () = permit => !must_not_send(admitted, shared),
        // The process will exit before the request could be answered.
        () = shared.refusing_queued.cancelled() => false,
        () = refused_before(shared, due) => false,
    }
}

/// Queries the leader; without an answer in time, this router's local share decides.
async fn query_leader(
    shared: &Shared,
    instance: &RunnerId,
    report: LimitReport,
    max_wait: Millis,
) -> LimitStep {
    let mut query = InFlightQuery {
        shared,
        instance,
        verdict: None,
    };
    let answer = shared.limits.submit(report, max_wait);
    let answer = tokio::time::timeout(LEADER_ANSWER_TIMEOUT, answer).await;
    match answer {
        Ok(Ok(verdict @ LimitVerdict::Granted { after })) => {
            query.verdict = Some(verdict);
            LimitStep::Granted { after }
        }
        Ok(Ok(verdict @ LimitVerdict::Refused { fits_after })) => {
            query.verdict = Some(verdict);
            LimitStep::Refuse { fits_after }
        }
        Ok(Ok(LimitVerdict::Unknown) | Err(_)) | Err(_) => {
            shared.view.limit_step(instance, max_wait, false)
        }
    }
}

/// Resolves when the router begins to stop, if it will refuse waiting requests at or before `due`;
/// else never.
async fn refused_before(shared: &Shared, due: Instant) {
    shared.stopping.cancelled().await;
    let refused_at = shared.queued_refused_at.get();
    if refused_at.is_none_or(|at| due < *at) {
        std::future::pending::<()>().await;
    }
}

/// Waits for the time of a send permit; returns early if the instance names no limit any more
/// or is gone.
async fn wait_for_permit(shared: &Shared, instance: &RunnerId, due: Instant) {
    let mut changes = shared.view.changes();
    while shared.view.limit_of(instance).is_some() && shared.view.has_instance(instance) {
        changes.borrow_and_update();
        let changed = tokio::time::timeout_at(due, changes.changed()).await;
        if changed.is_err() {
            return;
        }
    }
}

fn record_decision(
    shared: &Shared,
    admitted: &AdmittedRequest,
    instance: &RunnerId,
    decision: &Decision,
) {
    shared.metrics.limited(decision.outcome);
    emit(&RequestRecord::Limited {
        id: &admitted.metadata.id,
        instance: instance.as_str(),
        limit_per_1000_s: shared.view.limit_of(instance).map(|limit| limit.0),
        outcome: decision.outcome,
        after_ms: decision.after.0,
        feed_age_ms: crate::flight::millis(shared.view.feed_age()),
    });
}
