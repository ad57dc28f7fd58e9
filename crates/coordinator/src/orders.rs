//! Executes the steps of the placement engine: orders to instances and requests for their
//! reports.
//!
//! Invariant: an order is sent only while this member leads and was in contact with a quorum
//! within [`ORDER_CONTACT_LIMIT`]; it carries the term as its fence.

use crate::interface::InstanceCall;
use crate::records::ControllerRecord;
use crate::reports::handle_leaving;
use crate::{Shared, limits};
use bytes::Bytes;
use courseshunt_http::{
    Body, HttpError, RetryAfter, empty_body, full_body, read_asked_rest, read_limited,
};
use courseshunt_records::emit;
use courseshunt_services::{
    InstanceReport, Order, OrderAction, OrderOutcome, PlacementStep, ReportedLimit,
};
use courseshunt_types::{Millis, RunnerId};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{HeaderMap, Request, StatusCode};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

/// Time limit of a call to an instance, with its reply.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum calls in flight; further calls wait for a permit. Each call takes a connection and a
/// task, and an instance answers within a few milliseconds.
pub(crate) const MAX_CONCURRENT_CALLS: usize = 32;
/// Longest reply of an instance, in bytes.
const MAX_REPLY_BYTES: usize = 256 * 1024;
/// A leader gives orders only if its last contact with a quorum is younger than this, so that no
/// later leader can have waited out the lease.
const ORDER_CONTACT_LIMIT: Millis = Millis(330);

/// Executes one step and reports its outcome to the engine.
pub(crate) async fn execute(step: PlacementStep, shared: Arc<Shared>) {
    // The semaphore is never closed.
    let _permit = shared.call_permits.acquire().await;
    match step {
        PlacementStep::QueryInstance { instance, address } => {
            let reply = request_report(&instance, &address, &shared).await;
            let report = reply.as_ref().and_then(|reply| read_report(reply, &shared));
            let now = shared.clock.now();
            shared.engine().on_report(&instance, report, now);
            note_reply(&instance, reply.as_ref(), &shared);
        }
        PlacementStep::SendOrder(order) => {
            let began = Instant::now();
            let (outcome, reply) = send_order(&order, &shared).await;
            record_order(&order, outcome, began.elapsed(), &shared);
            let now = shared.clock.now();
            shared.engine().on_outcome(&order, outcome, now);
            note_reply(&order.instance, reply.as_ref(), &shared);
        }
    }
    shared.wake.notify_one();
}

/// Reply of an instance to a call.
struct CallReply {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Evaluates the headers that any reply can carry, whatever the call was: a notice that the
/// instance leaves, a rate limit, a backoff.
fn note_reply(instance: &RunnerId, reply: Option<&CallReply>, shared: &Shared) {
    let Some(reply) = reply else {
        return;
    };
    if shared.interface.reports_leaving(&reply.headers) {
        let leaving = std::slice::from_ref(instance);
        handle_leaving(&shared.settings.name, leaving, shared);
    }
    // A misdirected request was answered by another instance at this address, whose limit does
    // not apply to this one.
    if reply.status != StatusCode::MISDIRECTED_REQUEST
        && let ReportedLimit::Rate(rate) = shared.interface.read_limit(&reply.headers)
    {
        limits::note_own(instance, rate, shared);
    }
    let backoff = read_asked_rest(reply.status, &reply.headers, SystemTime::now());
    if let RetryAfter::After(duration) = backoff {
        let now = shared.clock.now();
        shared.engine().start_backoff(instance, duration, now);
        emit(&ControllerRecord::InstanceRests {
            instance: instance.as_str(),
            status: reply.status.as_u16(),
            rest_ms: duration.0,
        });
    }
}

fn record_order(order: &Order, outcome: OrderOutcome, elapsed: Duration, shared: &Shared) {
    let action = match &order.action {
        OrderAction::LoadModel(_) => "load_model",
        OrderAction::UnloadModel(_) => "unload_model",
        OrderAction::LoadAdapter(..) => "load_adapter",
        OrderAction::UnloadAdapter(..) => "unload_adapter",
    };
    let outcome = match outcome {
        OrderOutcome::Accepted => "accepted",
        OrderOutcome::AlreadyDone => "already_done",
        OrderOutcome::Conflict => "conflict",
        OrderOutcome::OtherInstance => "other_instance",
        OrderOutcome::NotSent => "not_sent",
        OrderOutcome::Unreachable => "unreachable",
        OrderOutcome::Unknown => "unknown",
        OrderOutcome::Refused => "refused",
    };
    shared.metrics.order(action, outcome, order.from_store);
    let rationale = &order.rationale;
    emit(&ControllerRecord::Order {
        action,
        model: order.action.model().as_str(),
        adapter: order.action.adapter(),
        instance: order.instance.as_str(),
        expected: order.expected_sequence,
        term: shared.replica.status().borrow().term.0,
        outcome,
        copies: rationale.replicas,
        desired: rationale.desired,
        rate_per_1000_s: rationale.rate_per_1000_s,
        waited_for: rationale.has_waiting_requests,
        from_store: order.from_store,
        store_loads: rationale.store_loads,
        after_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
    });
}

async fn request_report(instance: &RunnerId, address: &str, shared: &Shared) -> Option<CallReply> {
    let call = shared.interface.report_call(instance);
    exchange(call, address, shared).await.ok()
}

fn read_report(reply: &CallReply, shared: &Shared) -> Option<InstanceReport> {
    match reply.status {
        StatusCode::OK => shared.interface.read_report(&reply.body),
        _ => None,
    }
}

async fn send_order(order: &Order, shared: &Shared) -> (OrderOutcome, Option<CallReply>) {
    let fence = shared.replica.status().borrow().term.0;
    let leads = shared.replica.leads();
    let contact = shared.replica.confirmation_age();
    if !leads || contact.is_none_or(|age| age >= ORDER_CONTACT_LIMIT) {
        return (OrderOutcome::NotSent, None);
    }
    let call = shared
        .interface
        .order_call(order, &shared.settings.name, fence);
    match exchange(call, &order.address, shared).await {
        Ok(reply) => (shared.interface.order_outcome(reply.status), Some(reply)),
        Err(HttpError::Connect { .. }) => (OrderOutcome::Unreachable, None),
        Err(_) => (OrderOutcome::Unknown, None),
    }
}

async fn exchange(
    call: InstanceCall,
    address: &str,
    shared: &Shared,
) -> Result<CallReply, HttpError> {
    let request = build_request(call, address).map_err(|error| HttpError::Connect {
        peer: address.to_owned(),
        problem: error.to_string(),
    })?;
    let work = async {
        let (head, body) = shared.client.send(request).await?.into_parts();
        let body = read_limited(body, MAX_REPLY_BYTES, address).await?;
        Ok(CallReply {
            status: head.status,
            headers: head.headers,
            body,
        })
    };
    let finished = tokio::time::timeout(CALL_TIMEOUT, work).await;
    finished.unwrap_or(Err(HttpError::TimedOut {
        step: "call",
        peer: address.to_owned(),
    }))
}

fn build_request(call: InstanceCall, address: &str) -> Result<Request<Body>, hyper::http::Error> {
    let mut request = Request::builder()
        .method(call.method)
        .uri(format!("http://{address}{}", call.path))
        .header(HOST, address);
    if let Some(headers) = request.headers_mut() {
        headers.extend(call.headers);
    }
    if call.body.is_empty() {
        return request.body(empty_body());
    }
    request
        .header(CONTENT_TYPE, "application/json")
        .body(full_body(call.body))
}
