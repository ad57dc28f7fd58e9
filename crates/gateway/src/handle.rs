//! Processing of an admitted request: attempts and the response.
//!
//! Invariant: an attempt that may have run is followed by another one only if the route allows
//! it and the retry budget has a retry left.

use crate::Shared;
use crate::admission::{Caller, ReceivedRequest, admit};
use crate::attempt::{AttemptOutcome, AttemptPlace, attempt, is_retryable_failure};
use crate::flight::millis;
use crate::interface::RequestMetadata;
use crate::progress::{RequestProgress, RequestStage};
use crate::quota_tracker::Charge;
use crate::records::RequestRecord;
use crate::refusal::Refusal;
use crate::retry::RetryPermit;
use crate::select::{quarantined_of, select, wait_context};
use crate::software_versions::RequiredWriter;
use crate::waiting;
use bytes::Bytes;
use courseshunt_http::{Body, RequestGuard};
use courseshunt_records::emit;
use courseshunt_services::{Fingerprints, RequestKind, Route, Service};
use courseshunt_types::{Digest, Millis, RunnerId, Timestamp};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode, Uri};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum pause before an instance that refused a request is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// The only instance with a model is retried after the objective divided by this, and then
/// after doubled intervals: this gives four attempts within the objective.
const FIRST_BACKOFF_DIVISOR: u32 = 16;
/// Maximum number of attempts for one client request, including those that instances refused.
const MAX_SENDS: u32 = 6;
/// Retry-After is the objective divided by this, unless a better estimate is known.
const RETRY_AFTER_DIVISOR: u64 = 10;

/// A request whose route, caller and complete body are known.
pub(crate) struct AdmittedRequest {
    pub(crate) head: Parts,
    pub(crate) target: Uri,
    pub(crate) body: Bytes,
    /// What the request may share with others that end instances.
    pub(crate) fingerprints: Fingerprints,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<Service>,
    pub(crate) metadata: RequestMetadata,
    /// Which instances may serve the request, if it resumes a stream; `None` for a new request.
    pub(crate) writer: Option<RequiredWriter>,
    /// Caller; `None` if no key is needed and none matched.
    pub(crate) caller: Option<Caller>,
    /// Units charged to the tenant's quota.
    pub(crate) charge: Option<Charge>,
    /// Priority of the tenant, or else of the route; 0 is the highest.
    pub(crate) priority: u8,
    pub(crate) progress: Arc<RequestProgress>,
    pub(crate) arrived: Instant,
    /// Deadline on the runtime's clock, for timers, which may fire late.
    pub(crate) deadline: Instant,
    /// The same deadline on the clock that counts suspended time; nothing is sent after it.
    pub(crate) expires_at: Timestamp,
}

impl AdmittedRequest {
    /// Name of the caller's tenant.
    pub(crate) fn tenant(&self) -> Option<&str> {
        let caller = self.caller.as_ref();
        caller.map(|caller| caller.tenant.name.as_str())
    }

    /// Units charged to the tenant's quota.
    pub(crate) fn units(&self) -> Option<u32> {
        self.charge.as_ref().map(Charge::units)
    }

    /// Records whether the request may have run by now.
    fn set_may_have_run(&self, may_have_run: bool) {
        if let Some(charge) = &self.charge {
            charge.set_may_have_run(may_have_run);
        }
    }
}

/// Answers one client request. `body_in_flight` is held until its body has been read or given up.
pub(crate) async fn handle(
    request: Request<Incoming>,
    body_in_flight: RequestGuard,
    shared: Arc<Shared>,
) -> Response<Body> {
    let received = ReceivedRequest::new(request, body_in_flight, &shared);
    let mut pending = PendingResponse::new(&received, shared.clone());
    let mut response = tokio::select! {
        biased;
        response = respond(received, &shared) => {
            pending.is_complete = true;
            response
        }
        () = shared.last_answers_due.cancelled() => pending.last_answer(),
    };
    drop(pending);
    if shared.stopping.is_cancelled() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

async fn respond(received: ReceivedRequest, shared: &Arc<Shared>) -> Response<Body> {
    match admit(received, shared).await {
        Ok(admitted) => execute(&admitted, shared).await,
        Err(denial) => denial.refusal.response(Some(denial.retry_after)),
    }
}

/// A request that has no response yet. Dropping it before it is complete records that the request
/// ends early.
struct PendingResponse {
    id: String,
    progress: Arc<RequestProgress>,
    shared: Arc<Shared>,
    arrived: Instant,
    is_complete: bool,
    /// Status of the router's own response to a request that ends early.
    status: Option<StatusCode>,
}

impl PendingResponse {
    fn new(received: &ReceivedRequest, shared: Arc<Shared>) -> Self {
        Self {
            id: received.metadata.id.clone(),
            progress: received.progress.clone(),
            shared,
            arrived: received.arrived,
            is_complete: false,
            status: None,
        }
    }

    /// The response to a request whose processing ends with the router.
    fn last_answer(&mut self) -> Response<Body> {
        let refusal = match self.progress.may_have_run() {
            true => Refusal::Broken,
            false => Refusal::Stopping,
        };
        self.shared.metrics.refusal(refusal.reason());
        self.status = Some(refusal.status());
        refusal.response(Some(Millis(0)))
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        if self.is_complete {
            return;
        }
        let is_stopping = self.shared.stopping.is_cancelled();
        emit(&RequestRecord::EndedEarly {
            id: &self.id,
            stage: self.progress.stage().name(),
            may_have_run: self.progress.may_have_run(),
            stopping: is_stopping,
            status: self.status.map(|status| status.as_u16()),
            after_ms: millis(self.arrived.elapsed()),
        });
    }
}

/// Previous attempts of a request.
#[derive(Default)]
pub(crate) struct SendHistory {
    pub(crate) count: u32,
    pub(crate) may_have_run: u32,
    /// Attempts that reached an instance.
    arrivals: u32,
    pub(crate) avoided: Vec<RunnerId>,
    /// When the last attempt ended.
    ended_at: Option<Instant>,
    /// When a send permit was last refused by a rate-limited instance.
    permit_refused_at: Option<Instant>,
    /// Permit of the next attempt, if it is a retry, until it is sent.
    retry_permit: Option<RetryPermit>,
}

impl SendHistory {
    /// Reserves a retry in the retry budget; returns whether the request may be sent again. A
    /// permit of an attempt that was not sent stays valid.
    fn reserve_retry(&mut self, admitted: &AdmittedRequest, shared: &Arc<Shared>) -> bool {
        if self.count < MAX_SENDS && self.retry_permit.is_none() {
            self.retry_permit = RetryPermit::take(admitted, shared, self.count);
        }
        let allowed = self.count < MAX_SENDS && self.retry_permit.is_some();
        match allowed {
            true => shared.metrics.retry_allowed(),
            false => shared.metrics.retry_denied(),
        }
        allowed
    }

    /// Whether the request may be sent again after it reached no instance: a retry that follows no
    /// arrival is none to the instances, and needs no place in the budget.
    fn may_resend(&mut self, admitted: &AdmittedRequest, shared: &Arc<Shared>) -> bool {
        match self.arrivals {
            0 => self.count < MAX_SENDS,
            _ => self.reserve_retry(admitted, shared),
        }
    }

    /// The refusal of the request: `not_run`, which states that it has not run, unless an earlier
    /// attempt may have run.
    pub(crate) fn refusal(&self, not_run: Refusal) -> Refusal {
        match self.may_have_run {
            0 => not_run,
            _ => Refusal::Broken,
        }
    }

    /// Whether a send permit may be requested. Not immediately after a refusal, since nothing
    /// may have changed.
    pub(crate) fn may_request_permit(&self) -> bool {
        self.permit_refused_at
            .is_none_or(|at| at.elapsed() >= RETRY_PAUSE)
    }

    /// Whether an instance that failed the request may be retried. The first interval is a
    /// fraction of the objective and it doubles each time, so that a full instance gets time
    /// and the retries spread over the objective.
    pub(crate) fn backoff_elapsed(&self, objective: Millis) -> bool {
        let first = Duration::from(objective) / FIRST_BACKOFF_DIVISOR;
        let doublings = self.count.saturating_sub(1).min(MAX_SENDS);
        let backoff = RETRY_PAUSE.max(first * 2_u32.pow(doublings));
        self.ended_at.is_some_and(|at| at.elapsed() >= backoff)
    }
}

async fn execute(admitted: &AdmittedRequest, shared: &Arc<Shared>) -> Response<Body> {
    let mut history = SendHistory::default();
    loop {
        admitted.progress.enter(RequestStage::Selection);
        let selected = select(admitted, shared, &history).await;
        let selected = match selected {
            Ok(selected) => selected,
            Err(failure) => {
                let retry_after = failure.retry_after;
                return refuse(admitted, shared, &history, failure.refusal, retry_after);
            }
        };
        history.count += 1;
        let instance = selected.view.id.clone();
        let has_permit_wait = selected.max_permit_wait > Millis(0);
        if let Some(charge) = &admitted.charge {
            charge.begin_attempt(history.may_have_run > 0);
        }
        let place = AttemptPlace {
            number: history.count,
            is_return: history.avoided.contains(&instance),
        };
        let permit = &mut history.retry_permit;
        let outcome = attempt(shared, admitted, selected, place, permit).await;
        history.ended_at = Some(Instant::now());
        if has_permit_wait && matches!(outcome, AttemptOutcome::NotSent) {
            history.permit_refused_at = history.ended_at;
        }
        let is_unsent = matches!(outcome, AttemptOutcome::Unreached | AttemptOutcome::NotSent);
        history.arrivals += u32::from(!is_unsent);
        let did_not_run = is_unsent || matches!(outcome, AttemptOutcome::NotRun);
        admitted.set_may_have_run(!did_not_run || history.may_have_run > 0);
        if !did_not_run {
            admitted.progress.record_ended_attempt();
        }
        match next_step(admitted, shared, &mut history, instance, outcome) {
            NextStep::Respond(response) => return response,
            NextStep::Refuse(refusal) => {
                let retry_after = backoff_retry_after(admitted, shared);
                return refuse(admitted, shared, &history, refusal, retry_after);
            }
            NextStep::Retry => {}
        }
        if history.avoided.len() > 1 {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

enum NextStep {
    Respond(Response<Body>),
    Refuse(Refusal),
    Retry,
}

fn next_step(
    admitted: &AdmittedRequest,
    shared: &Arc<Shared>,
    history: &mut SendHistory,
    instance: RunnerId,
    outcome: AttemptOutcome,
) -> NextStep {
    let route = &admitted.route;
    let resumable = route.kind == RequestKind::Streaming && route.resumable;
    let repeatable = route.kind == RequestKind::Safe || resumable;
    let may_retry = |history: &mut SendHistory| history.reserve_retry(admitted, shared);
    match outcome {
        AttemptOutcome::Answered(response) => {
            history.may_have_run += 1;
            let is_retryable = repeatable && is_retryable_failure(&response);
            if is_retryable
                && history.may_have_run < admitted.route.max_attempts
                && may_retry(history)
            {
                history.avoided.push(instance);
                return NextStep::Retry;
            }
            NextStep::Respond(response)
        }
        AttemptOutcome::NotRun => {
            history.avoided.push(instance);
            match may_retry(history) {
                true => NextStep::Retry,
                false => NextStep::Refuse(history.refusal(Refusal::TurnedAway)),
            }
        }
        AttemptOutcome::Unreached => {
            history.avoided.push(instance);
            match history.may_resend(admitted, shared) {
                true => NextStep::Retry,
                false => NextStep::Refuse(history.refusal(Refusal::TurnedAway)),
            }
        }
        AttemptOutcome::NotSent => {
            history.count -= 1;
            NextStep::Retry
        }
        AttemptOutcome::MayHaveRun | AttemptOutcome::MayStillRun => {
            history.may_have_run += 1;
            history.avoided.push(instance);
            // A stream must not run at two instances at once; a safe request may.
            let is_repeatable = match outcome {
                AttemptOutcome::MayStillRun => route.kind == RequestKind::Safe,
                _ => repeatable,
            };
            let is_retryable = is_repeatable && history.may_have_run < admitted.route.max_attempts;
            match is_retryable && may_retry(history) {
                true => NextStep::Retry,
                false => NextStep::Refuse(Refusal::Broken),
            }
        }
        AttemptOutcome::TimedOut => NextStep::Refuse(Refusal::TimedOut),
    }
}

/// Retry-After of a refusal if all instances that could serve the request are in backoff;
/// `None` if the default applies.
fn backoff_retry_after(admitted: &AdmittedRequest, shared: &Shared) -> Option<Millis> {
    let context = wait_context(admitted, shared);
    context
        .in_backoff
        .then(|| waiting::retry_after(&context, Instant::now()))
}

/// Final response to a request that no instance answered.
fn refuse(
    admitted: &AdmittedRequest,
    shared: &Shared,
    history: &SendHistory,
    refusal: Refusal,
    retry_after: Option<Millis>,
) -> Response<Body> {
    let wait = Millis(admitted.route.objective.0 / RETRY_AFTER_DIVISOR);
    let wait = retry_after.unwrap_or(wait);
    shared.metrics.refusal(refusal.reason());
    let shape = &admitted.metadata.shape;
    let now = shared.clock.now();
    let writer = admitted.writer.as_ref();
    let counts = shared
        .view
        .count_holders(&admitted.service, shape, writer, now);
    emit(&RequestRecord::Refused {
        reserved: false,
        id: &admitted.metadata.id,
        route: Some(&admitted.route.name),
        tenant: admitted.tenant(),
        units: admitted.units(),
        model: Some(&admitted.metadata.shape.model),
        reason: refusal.reason(),
        may_have_run: refusal.may_have_run(),
        status: refusal.status().as_u16(),
        content: quarantined_of(admitted, shared)
            .filter(|_| refusal == Refusal::Quarantined)
            .as_ref()
            .map(Digest::short),
        after_ms: millis(admitted.arrived.elapsed()),
        retry_after_ms: (!refusal.may_have_run()).then_some(wait.0),
        attempts: history.count,
        holders: Some(counts.holders),
        unreachable: Some(counts.unreachable),
        configuration: shared.view.configuration_number(),
        feed_age_ms: millis(shared.view.feed_age()),
    });
    refusal.response(Some(wait))
}
