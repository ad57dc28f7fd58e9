//! Carries out the placement engine's steps: orders and questions to instances.

use crate::interface::InstanceCall;
use crate::records::ControllerRecord;
use crate::reports::take_leaving;
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

/// Longest wait for an instance's answer.
const CALL_LIMIT: Duration = Duration::from_millis(250);
/// Calls that are under way at once; others wait for their turn. Each takes a connection and
/// a task, and an instance answers within a few milliseconds.
pub(crate) const CALLS_AT_ONCE: usize = 32;
/// Longest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 256 * 1024;
/// Orders are given only by a leader that was in contact with a quorum so
/// recently that no other leader's lease can have passed.
const CONTACT_LIMIT: Millis = Millis(330);

/// Carries out one step and tells the engine what became of it.
pub(crate) async fn carry_out(step: PlacementStep, shared: Arc<Shared>) {
    // Never closed.
    let _turn = shared.calls.acquire().await;
    match step {
        PlacementStep::Ask { instance, address } => {
            let reply = ask(&instance, &address, &shared).await;
            let report = reply.as_ref().and_then(|reply| read_report(reply, &shared));
            let now = shared.clock.now();
            shared.engine().on_report(&instance, report, now);
            hear(&instance, reply.as_ref(), &shared);
        }
        PlacementStep::Give(order) => {
            let began = Instant::now();
            let (outcome, reply) = give(&order, &shared).await;
            record(&order, outcome, began.elapsed(), &shared);
            let now = shared.clock.now();
            shared.engine().on_outcome(&order, outcome, now);
            hear(&order.instance, reply.as_ref(), &shared);
        }
    }
    shared.wake.notify_one();
}

/// An instance's answer to a call.
struct CallReply {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Takes note of what an answer says of its instance, whatever was asked: rest, leaving,
/// a limit.
fn hear(instance: &RunnerId, reply: Option<&CallReply>, shared: &Shared) {
    let Some(reply) = reply else {
        return;
    };
    if shared.interface.says_leaving(&reply.headers) {
        let leaving = std::slice::from_ref(instance);
        take_leaving(&shared.settings.name, leaving, shared);
    }
    // Another instance that answers at the address speaks for itself.
    if reply.status != StatusCode::MISDIRECTED_REQUEST
        && let ReportedLimit::Rate(rate) = shared.interface.named_limit(&reply.headers)
    {
        limits::heard(instance, rate, shared);
    }
    let asked = read_asked_rest(reply.status, &reply.headers, SystemTime::now());
    if let RetryAfter::After(rest) = asked {
        let now = shared.clock.now();
        shared.engine().asked_rest(instance, rest, now);
        emit(&ControllerRecord::InstanceRests {
            instance: instance.as_str(),
            status: reply.status.as_u16(),
            rest_ms: rest.0,
        });
    }
}

fn record(order: &Order, outcome: OrderOutcome, took: Duration, shared: &Shared) {
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
    let evidence = &order.evidence;
    emit(&ControllerRecord::Order {
        action,
        model: order.action.model().as_str(),
        adapter: order.action.adapter(),
        instance: order.instance.as_str(),
        expected: order.expected,
        term: shared.replica.status().borrow().term.0,
        outcome,
        copies: evidence.copies,
        desired: evidence.desired,
        rate_per_1000_s: evidence.rate_per_1000_s,
        waited_for: evidence.waited_for,
        from_store: order.from_store,
        store_loads: evidence.store_loads,
        after_ms: u64::try_from(took.as_millis()).unwrap_or(u64::MAX),
    });
}

async fn ask(instance: &RunnerId, address: &str, shared: &Shared) -> Option<CallReply> {
    let call = shared.interface.report_call(instance);
    exchange(call, address, shared).await.ok()
}

fn read_report(reply: &CallReply, shared: &Shared) -> Option<InstanceReport> {
    match reply.status {
        StatusCode::OK => shared.interface.read_report(&reply.body),
        _ => None,
    }
}

async fn give(order: &Order, shared: &Shared) -> (OrderOutcome, Option<CallReply>) {
    let fence = shared.replica.status().borrow().term.0;
    let leads = shared.replica.leads();
    let contact = shared.replica.confirmation_age();
    if !leads || contact.is_none_or(|age| age >= CONTACT_LIMIT) {
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
    let request = build(call, address).map_err(|error| HttpError::Connect {
        peer: address.to_owned(),
        problem: error.to_string(),
    })?;
    let work = async {
        let (head, body) = shared.client.send(request).await?.into_parts();
        let body = read_limited(body, MAX_ANSWER_BYTES, address).await?;
        Ok(CallReply {
            status: head.status,
            headers: head.headers,
            body,
        })
    };
    let finished = tokio::time::timeout(CALL_LIMIT, work).await;
    finished.unwrap_or(Err(HttpError::TimedOut {
        step: "call",
        peer: address.to_owned(),
    }))
}

fn build(call: InstanceCall, address: &str) -> Result<Request<Body>, hyper::http::Error> {
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
