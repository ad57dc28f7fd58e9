//! Processing of an admitted request: waiting for an instance, attempts, and the response.
//!
//! Invariant: an attempt that may have run is followed by another one only if the route allows
//! it and the retry budget has a retry left.

use crate::Shared;
use crate::admission::{Caller, QUARANTINE_RETRY_AFTER, admit, is_key_valid};
use crate::attempt::{AttemptOutcome, attempt, is_retryable_failure};
use crate::flight::millis;
use crate::interface::RequestMetadata;
use crate::quota_tracker::Charge;
use crate::records::RequestRecord;
use crate::refusal::Refusal;
use crate::retry::RetryPermit;
use crate::waiting::{self, WaitContext, WaitDecision, decide};
use bytes::Bytes;
use courseshunt_http::Body;
use courseshunt_records::emit;
use courseshunt_services::{Candidate, InstanceView, RequestKind, Route, Service};
use courseshunt_types::{Digest, Millis, RunnerId, Timestamp};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, Uri};
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
/// Maximum time before the state of a waiting request is evaluated again.
const MAX_RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A request whose route, caller and complete body are known.
pub(crate) struct AdmittedRequest {
    pub(crate) head: Parts,
    pub(crate) target: Uri,
    pub(crate) body: Bytes,
    /// Digest of the content: see [`courseshunt_services::RequestContent`].
    pub(crate) content: Digest,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<Service>,
    pub(crate) metadata: RequestMetadata,
    /// Caller; `None` if no key is needed and none matched.
    pub(crate) caller: Option<Caller>,
    /// Units charged to the tenant's quota.
    pub(crate) charge: Option<Charge>,
    /// Priority of the tenant, or else of the route; 0 is the highest.
    pub(crate) priority: u8,
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

/// Answers one client request.
pub(crate) async fn handle(request: Request<Incoming>, shared: Arc<Shared>) -> Response<Body> {
    let arrived = Instant::now();
    let mut response = match admit(request, &shared, arrived).await {
        Ok(admitted) => execute(&admitted, &shared).await,
        Err(denial) => denial.refusal.response(Some(denial.retry_after)),
    };
    if shared.stopping.is_cancelled() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Previous attempts of a request.
#[derive(Default)]
struct SendHistory {
    count: u32,
    may_have_run: u32,
    avoided: Vec<RunnerId>,
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

    /// Whether a send permit may be requested. Not immediately after a refusal, since nothing
    /// may have changed.
    fn may_request_permit(&self) -> bool {
        self.permit_refused_at
            .is_none_or(|at| at.elapsed() >= RETRY_PAUSE)
    }

    /// Whether an instance that failed the request may be retried. The first interval is a
    /// fraction of the objective and it doubles each time, so that a full instance gets time
    /// and the retries spread over the objective.
    fn backoff_elapsed(&self, objective: Millis) -> bool {
        let first = Duration::from(objective) / FIRST_BACKOFF_DIVISOR;
        let doublings = self.count.saturating_sub(1).min(MAX_SENDS);
        let backoff = RETRY_PAUSE.max(first * 2_u32.pow(doublings));
        self.ended_at.is_some_and(|at| at.elapsed() >= backoff)
    }
}

async fn execute(admitted: &AdmittedRequest, shared: &Arc<Shared>) -> Response<Body> {
    let mut history = SendHistory::default();
    loop {
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
        admitted.set_may_have_run(true);
        let permit = &mut history.retry_permit;
        let outcome = attempt(shared, admitted, selected, history.count, permit).await;
        history.ended_at = Some(Instant::now());
        if has_permit_wait && matches!(outcome, AttemptOutcome::NotSent) {
            history.permit_refused_at = history.ended_at;
        }
        let did_not_run = matches!(outcome, AttemptOutcome::NotRun | AttemptOutcome::NotSent);
        admitted.set_may_have_run(!did_not_run || history.may_have_run > 0);
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
                false => NextStep::Refuse(Refusal::TurnedAway),
            }
        }
        AttemptOutcome::NotSent => {
            history.count -= 1;
            NextStep::Retry
        }
        AttemptOutcome::MayHaveRun => {
            history.may_have_run += 1;
            history.avoided.push(instance);
            let is_retryable = repeatable && history.may_have_run < admitted.route.max_attempts;
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
    emit(&RequestRecord::Refused {
        id: &admitted.metadata.id,
        route: Some(&admitted.route.name),
        tenant: admitted.tenant(),
        units: admitted.units(),
        model: Some(&admitted.metadata.shape.model),
        reason: refusal.reason(),
        may_have_run: refusal.may_have_run(),
        status: refusal.status().as_u16(),
        content: (refusal == Refusal::Quarantined).then(|| admitted.content.short()),
        after_ms: millis(admitted.arrived.elapsed()),
        retry_after_ms: (!refusal.may_have_run()).then_some(wait.0),
        attempts: history.count,
        configuration: shared.view.configuration_number(),
        feed_age_ms: millis(shared.view.feed_age()),
    });
    refusal.response(Some(wait))
}

/// An instance selected for a request.
pub(crate) struct SelectedInstance {
    pub(crate) candidate: Candidate,
    pub(crate) view: InstanceView,
    /// How long the request may wait for its send permit if the instance is rate-limited.
    pub(crate) max_permit_wait: Millis,
}

impl SelectedInstance {
    fn without_permit((candidate, view): (Candidate, InstanceView)) -> Self {
        Self {
            candidate,
            view,
            max_permit_wait: Millis(0),
        }
    }
}

/// Why no instance was selected, as a refusal.
struct SelectionFailure {
    refusal: Refusal,
    retry_after: Option<Millis>,
}

impl SelectionFailure {
    /// The router is stopping; the client may try another one immediately.
    fn stopping(history: &SendHistory) -> Self {
        Self {
            refusal: match history.may_have_run {
                0 => Refusal::Stopping,
                _ => Refusal::Broken,
            },
            retry_after: Some(Millis(0)),
        }
    }

    /// The request is quarantined and must not be sent, or not again.
    fn quarantined(history: &SendHistory) -> Self {
        Self {
            refusal: match history.may_have_run {
                0 => Refusal::Quarantined,
                _ => Refusal::Broken,
            },
            retry_after: Some(QUARANTINE_RETRY_AFTER),
        }
    }

    fn no_instance(history: &SendHistory, retry_after: Millis) -> Self {
        Self {
            refusal: match history.may_have_run {
                0 => Refusal::NoInstance,
                _ => Refusal::Broken,
            },
            retry_after: Some(retry_after),
        }
    }
}

/// Selects an instance; waits for one as long as the request can still be answered in time.
async fn select(
    admitted: &AdmittedRequest,
    shared: &Arc<Shared>,
    history: &SendHistory,
) -> Result<SelectedInstance, SelectionFailure> {
    let shape = &admitted.metadata.shape;
    let service = &admitted.service;
    let mut changes = shared.view.changes();
    let mut waiting_guard = None;
    let mut is_recorded = false;
    loop {
        changes.borrow_and_update();
        let now = shared.clock.now();
        if !is_caller_valid(admitted, shared) {
            return Err(SelectionFailure {
                refusal: Refusal::UnknownKey,
                retry_after: None,
            });
        }
        if shared.refusing_queued.is_cancelled() {
            return Err(SelectionFailure::stopping(history));
        }
        if is_quarantined(admitted, shared) {
            return Err(SelectionFailure::quarantined(history));
        }
        // After three attempts, all instances except for the last one that failed may be tried
        // again.
        let avoided: &[RunnerId] = match history.count {
            0..=2 => &history.avoided,
            _ => &history.avoided[history.avoided.len().saturating_sub(1)..],
        };
        if let Some(selected) = shared.view.choose(service, shape, avoided, now) {
            return Ok(SelectedInstance::without_permit(selected));
        }
        // Without this, a request whose model is held by one instance would wait for another
        // replica until its client gives up.
        if history.backoff_elapsed(admitted.route.objective)
            && let Some(selected) = shared.view.choose(service, shape, &[], now)
        {
            return Ok(SelectedInstance::without_permit(selected));
        }
        if waiting_guard.is_none() && service.engine.is_some() {
            waiting_guard = Some(shared.view.register_waiting(&service.name, shape));
        }
        let context = wait_context(admitted, shared);
        let is_worth_recording = service.engine.is_some() || context.expected_at.is_some();
        if is_worth_recording && !std::mem::replace(&mut is_recorded, true) {
            record_waiting(admitted, shared, &context);
        }
        let until = match decide(&context, Instant::now()) {
            WaitDecision::WaitUntil(until) => until,
            WaitDecision::Refuse { retry_after } => {
                return Err(SelectionFailure::no_instance(history, retry_after));
            }
        };
        if context.can_request_permit
            && history.may_request_permit()
            && let Some((candidate, view)) = shared.view.choose_with_permit(service, shape, now)
        {
            let max_permit_wait = waiting::max_permit_wait(&context, Instant::now());
            return Ok(SelectedInstance {
                candidate,
                view,
                max_permit_wait: Millis(millis(max_permit_wait)),
            });
        }
        let pause = next_recheck(&context).min(until);
        tokio::select! {
            _ = tokio::time::timeout_at(pause, changes.changed()) => {}
            () = shared.refusing_queued.cancelled() => {}
        }
    }
}

/// Whether the caller's key still belongs to a tenant, if the route needs one.
fn is_caller_valid(admitted: &AdmittedRequest, shared: &Shared) -> bool {
    let caller = admitted.caller.as_ref().filter(|_| !admitted.route.public);
    caller.is_none_or(|caller| is_key_valid(caller, shared))
}

fn is_quarantined(admitted: &AdmittedRequest, shared: &Shared) -> bool {
    let leader_silence = shared.view.feed_age();
    shared
        .quarantine
        .is_quarantined(&admitted.content, leader_silence)
}

/// Whether a request must not be sent after all, although an instance was selected for it.
pub(crate) fn must_not_send(admitted: &AdmittedRequest, shared: &Shared) -> bool {
    !is_caller_valid(admitted, shared) || is_quarantined(admitted, shared)
}

/// When a waiting request is evaluated again, unless the view changes before.
fn next_recheck(context: &WaitContext) -> Instant {
    let now = Instant::now();
    let expected = context.expected_at.filter(|at| *at > now);
    expected
        .into_iter()
        .fold(now + MAX_RECHECK_INTERVAL, Instant::min)
}

fn record_waiting(admitted: &AdmittedRequest, shared: &Shared, context: &WaitContext) {
    let shape = &admitted.metadata.shape;
    let now = Instant::now();
    let expected = context.expected_at;
    let expected = expected.map(|at| millis(at.saturating_duration_since(now)));
    emit(&RequestRecord::Waits {
        id: &admitted.metadata.id,
        route: &admitted.route.name,
        service: &admitted.service.name,
        model: &shape.model,
        adapter: shape.adapter.as_deref(),
        expected_ms: expected,
        configuration: shared.view.configuration_number(),
        feed_age_ms: millis(shared.view.feed_age()),
    });
}

/// Input to the decision whether the request waits.
fn wait_context(admitted: &AdmittedRequest, shared: &Shared) -> WaitContext {
    let service = &admitted.service;
    let now = shared.clock.now();
    let expected = shared
        .view
        .expected_availability(service, &admitted.metadata.shape, now);
    let requested = admitted.metadata.deadline.unwrap_or(admitted.route.timeout);
    WaitContext {
        arrived: admitted.arrived,
        deadline: admitted.deadline,
        objective: Duration::from(admitted.route.objective),
        first_byte_timeout: shared
            .interface
            .first_byte_timeout(&admitted.route)
            .map(Duration::from),
        is_client_retry: requested.0 * 10 < admitted.route.timeout.0 * 9,
        can_load_model: service.engine.is_some() && shared.view.has_instances(service),
        expected_at: expected.map(|expected| expected.at),
        in_backoff: expected.is_some_and(|expected| expected.in_backoff),
        can_request_permit: expected.is_some_and(|expected| expected.can_request_permit),
    }
}
