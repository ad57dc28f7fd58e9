//! Selection of the instance that a request is sent to; waits for one as long as the request can
//! still be answered in time.
//!
//! Invariant: a request that must not be sent, because its key or its content is no longer
//! allowed or the router stops, gets no instance.

use crate::Shared;
use crate::admission::{QUARANTINE_RETRY_AFTER, ROUTER_RETRY_AFTER, is_key_valid};
use crate::flight::millis;
use crate::handle::{AdmittedRequest, SendHistory};
use crate::records::RequestRecord;
use crate::refusal::Refusal;
use crate::resumption;
use crate::waiting::{self, WaitContext, WaitDecision, decide};
use courseshunt_records::emit;
use courseshunt_services::{Candidate, InstanceView, SelectionRequest};
use courseshunt_types::{Digest, Millis, RunnerId, Timestamp};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum time before the state of a waiting request is evaluated again.
const MAX_RECHECK_INTERVAL: Duration = Duration::from_millis(100);

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
pub(crate) struct SelectionFailure {
    pub(crate) refusal: Refusal,
    pub(crate) retry_after: Option<Millis>,
}

impl SelectionFailure {
    /// The router is stopping; the client may try another one immediately.
    fn stopping(history: &SendHistory) -> Self {
        Self {
            refusal: history.refusal(Refusal::Stopping),
            retry_after: Some(Millis(0)),
        }
    }

    /// The request is quarantined and must not be sent, or not again.
    fn quarantined(history: &SendHistory) -> Self {
        Self {
            refusal: history.refusal(Refusal::Quarantined),
            retry_after: Some(QUARANTINE_RETRY_AFTER),
        }
    }

    /// The router has lost its paths; the client may reach another router.
    fn path_lost(history: &SendHistory) -> Self {
        Self {
            refusal: history.refusal(Refusal::PathLost),
            retry_after: Some(ROUTER_RETRY_AFTER),
        }
    }

    /// No instance may continue the stream that the request resumes.
    fn not_continued(history: &SendHistory, refusal: Refusal) -> Self {
        Self {
            refusal: history.refusal(refusal),
            retry_after: Some(ROUTER_RETRY_AFTER),
        }
    }

    fn no_instance(history: &SendHistory, retry_after: Millis) -> Self {
        Self {
            refusal: history.refusal(Refusal::NoInstance),
            retry_after: Some(retry_after),
        }
    }
}

/// Selects an instance; waits for one as long as the request can still be answered in time.
pub(crate) async fn select(
    admitted: &AdmittedRequest,
    shared: &Arc<Shared>,
    history: &SendHistory,
) -> Result<SelectedInstance, SelectionFailure> {
    let request = selection_request(admitted, shared);
    let service = &admitted.service;
    let writer = admitted.writer.as_ref();
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
        if quarantined_of(admitted, shared).is_some() {
            return Err(SelectionFailure::quarantined(history));
        }
        if let Some(writer) = writer
            && let Err(refusal) = shared.view.check_writer(service, request.shape, writer)
        {
            resumption::record_refusal(shared, admitted, refusal);
            return Err(SelectionFailure::not_continued(history, refusal));
        }
        // After three attempts, all instances except for the last one that failed may be tried
        // again.
        let avoided: &[RunnerId] = match history.count {
            0..=2 => &history.avoided,
            _ => &history.avoided[history.avoided.len().saturating_sub(1)..],
        };
        if let Some(selected) = shared.view.choose(service, &request, writer, avoided, now) {
            return Ok(SelectedInstance::without_permit(selected));
        }
        // Without this, a request whose model is held by one instance would wait for another
        // replica until its client gives up.
        if history.backoff_elapsed(admitted.route.objective)
            && let Some(selected) = shared.view.choose(service, &request, writer, &[], now)
        {
            return Ok(SelectedInstance::without_permit(selected));
        }
        if has_lost_paths(admitted, shared, now) {
            return Err(SelectionFailure::path_lost(history));
        }
        if is_unservable_before_stop(admitted, shared, history, avoided) {
            return Err(SelectionFailure::stopping(history));
        }
        if waiting_guard.is_none() && service.engine.is_some() {
            waiting_guard = Some(shared.view.register_waiting(&service.name, request.shape));
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
            && let Some((candidate, view)) = shared
                .view
                .choose_with_permit(service, &request, writer, now)
        {
            let max_permit_wait = waiting::max_permit_wait(&context, Instant::now());
            return Ok(SelectedInstance {
                candidate,
                view,
                max_permit_wait: Millis(millis(max_permit_wait)),
            });
        }
        if let Some(charge) = &admitted.charge {
            charge.renew();
        }
        let pause = next_recheck(&context).min(until);
        tokio::select! {
            _ = tokio::time::timeout_at(pause, changes.changed()) => {}
            () = shared.refusing_queued.cancelled() => {}
        }
    }
}

fn selection_request<'a>(admitted: &'a AdmittedRequest, shared: &Shared) -> SelectionRequest<'a> {
    let service = &admitted.service;
    let engine = service.engine.as_ref();
    let table = shared.view.table();
    SelectionRequest {
        shape: &admitted.metadata.shape,
        objective: admitted.route.objective,
        longest_pause: admitted.route.event_gap_objective,
        streams_longest_pause: table.and_then(|table| table.allowed_pause(&service.name)),
        rank: admitted.priority,
        kv_capacity_tokens: engine.and_then(|engine| engine.kv_capacity_tokens),
    }
}

/// Whether the caller's key still belongs to a tenant, if the route needs one.
fn is_caller_valid(admitted: &AdmittedRequest, shared: &Shared) -> bool {
    let caller = admitted.caller.as_ref().filter(|_| !admitted.route.public);
    caller.is_none_or(|caller| is_key_valid(caller, shared))
}

/// The fingerprint because of which a request must not be sent, if any.
pub(crate) fn quarantined_of(admitted: &AdmittedRequest, shared: &Shared) -> Option<Digest> {
    let leader_silence = shared.view.feed_age();
    let fingerprints = &admitted.fingerprints;
    shared
        .quarantine
        .quarantined_of(fingerprints, leader_silence)
}

/// Whether this router has lost its paths to all instances that hold the model, and no other
/// router is known that could forward the request.
fn has_lost_paths(admitted: &AdmittedRequest, shared: &Shared, now: Timestamp) -> bool {
    let service = &admitted.service.name;
    let is_partitioned = shared.paths().is_partitioned_from(service);
    if !is_partitioned || shared.forwarders.choose(service, &[], now).is_some() {
        return false;
    }
    let shape = &admitted.metadata.shape;
    let writer = admitted.writer.as_ref();
    let counts = shared
        .view
        .count_holders(&admitted.service, shape, writer, now);
    counts.holders > 0 && counts.unreachable == counts.holders
}

/// Whether the router stops, and nothing it can tell of lets it serve the request while that may
/// wait: the instances that turned the request away may be tried again only later, and
/// no other one is expected.
fn is_unservable_before_stop(
    admitted: &AdmittedRequest,
    shared: &Shared,
    history: &SendHistory,
    avoided: &[RunnerId],
) -> bool {
    let service = &admitted.service;
    if shared.queued_refused_at.get().is_none() {
        return false;
    }
    // There is no estimate when an instance that holds all models has room.
    if service.engine.is_none() {
        return false;
    }
    let shape = &admitted.metadata.shape;
    let writer = admitted.writer.as_ref();
    let now = shared.clock.now();
    let waits_until = wait_context(admitted, shared).client_waits_until();
    let expected = shared
        .view
        .expected_availability(service, shape, writer, avoided, now);
    match (expected, history.resend_at(admitted.route.objective)) {
        (Some(expected), _) if expected.at < waits_until => false,
        (_, Some(resend_at)) => resend_at >= waits_until,
        // Nobody orders a load.
        (None, None) => !shared.has_recent_leader(),
        (Some(_), None) => false,
    }
}

/// Whether a request must not be sent after all, although an instance was selected for it.
pub(crate) fn must_not_send(admitted: &AdmittedRequest, shared: &Shared) -> bool {
    !is_caller_valid(admitted, shared) || quarantined_of(admitted, shared).is_some()
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
    let writer = admitted.writer.as_ref();
    let counts = shared
        .view
        .count_holders(&admitted.service, shape, writer, shared.clock.now());
    emit(&RequestRecord::Waits {
        id: &admitted.metadata.id,
        route: &admitted.route.name,
        service: &admitted.service.name,
        model: &shape.model,
        adapter: shape.adapter.as_deref(),
        expected_ms: expected,
        holders: counts.holders,
        unreachable: counts.unreachable,
        configuration: shared.view.configuration_number(),
        feed_age_ms: millis(shared.view.feed_age()),
    });
}

/// Input to the decision whether the request waits.
pub(crate) fn wait_context(admitted: &AdmittedRequest, shared: &Shared) -> WaitContext {
    let service = &admitted.service;
    let now = shared.clock.now();
    let writer = admitted.writer.as_ref();
    let expected =
        shared
            .view
            .expected_availability(service, &admitted.metadata.shape, writer, &[], now);
    let requested = admitted.metadata.deadline.unwrap_or(admitted.route.timeout);
    let refused_at = shared.queued_refused_at.get().copied();
    WaitContext {
        arrived: admitted.arrived,
        deadline: refused_at.map_or(admitted.deadline, |at| at.min(admitted.deadline)),
        objective: Duration::from(admitted.route.objective),
        first_byte_timeout: shared
            .interface
            .first_byte_timeout(&admitted.route)
            .map(Duration::from),
        is_client_retry: requested.0 * 10 < admitted.route.timeout.0 * 9,
        can_load_model: service.engine.is_some() && shared.view.has_instances(service, writer),
        expected_at: expected.map(|expected| expected.at),
        in_backoff: expected.is_some_and(|expected| expected.in_backoff),
        can_request_permit: expected.is_some_and(|expected| expected.can_request_permit),
    }
}
