//! One attempt to run a request at one instance.
//!
//! Invariant: the outcome is [`AttemptOutcome::NotRun`], [`AttemptOutcome::Unreached`] or
//! [`AttemptOutcome::NotSent`] only if the instance reported that the request did not run, or if it
//! was certainly not sent.

use crate::Shared;
use crate::flight::{Flight, PendingSend};
use crate::forwarded_headers::{filter_request_headers, strip_hop_headers};
use crate::forwarding::headers::{ForwardInstruction, ForwardOutcome, take_framing};
use crate::handle::AdmittedRequest;
use crate::instance_reports::{ResponseOrigin, observe_response};
use crate::limit_tracker;
use crate::path::{self, TriedForwarders};
use crate::pool::{Endpoint, Upstream};
use crate::received_body::ReceivedBody;
use crate::relay::RelayBody;
use crate::retry::RetryPermit;
use crate::select::SelectedInstance;
use bytes::Bytes;
use courseshunt_http::{Body, BodyFraming, full_body};
use courseshunt_instance_load::ReportedLoad;
use courseshunt_services::{InstanceView, RequestKind};
use courseshunt_types::Millis;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::{Request, Response, StatusCode, Version};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Responses that are not streamed are buffered up to this length before any byte is relayed.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 512 * 1024;
/// Added to the deadline so that a response that the instance sends at the deadline still
/// arrives.
const DEADLINE_MARGIN: Duration = Duration::from_millis(30);
/// Outcome of an attempt.
pub(crate) enum AttemptOutcome {
    /// The response to relay.
    Answered(Response<Body>),
    /// The request certainly did not run at the instance.
    NotRun,
    /// The request reached no instance, since there was no path to this one.
    Unreached,
    /// The request was not sent: in the meantime the instance pushed back, or its rate limit is
    /// used up.
    NotSent,
    /// The request may have run, and there is no response to relay.
    MayHaveRun,
    /// The deadline passed; the request may have run.
    TimedOut,
}

/// Sends a request to the selected instance, as attempt `number`. A retry has a permit, which is
/// taken when the request is sent.
pub(crate) async fn attempt(
    shared: &Arc<Shared>,
    admitted: &AdmittedRequest,
    selected: SelectedInstance,
    number: u32,
    permit: &mut Option<RetryPermit>,
) -> AttemptOutcome {
    let SelectedInstance {
        candidate,
        view,
        max_permit_wait,
    } = selected;
    let view = &view;
    let pending = PendingSend::new(shared, admitted, candidate);
    if !limit_tracker::admit(shared, admitted, pending.instance(), max_permit_wait).await {
        return AttemptOutcome::NotSent;
    }
    let candidate = pending.into_sent();
    let mut flight = Flight::begin(shared, admitted, candidate, number);
    let mut tried = TriedForwarders::default();
    let Some(mut upstream) = path::acquire(shared, view, &mut tried).await else {
        flight.not_run(None, None);
        return AttemptOutcome::Unreached;
    };
    let response_deadline = admitted.deadline + DEADLINE_MARGIN;
    loop {
        // The instance may have pushed back since it was selected, while the connection was
        // made.
        if flight.has_pushback() {
            flight.not_run(None, None);
            shared.pool.put_back(upstream);
            return AttemptOutcome::NotSent;
        }
        let Some(request) = build_request(shared, admitted, view, &upstream) else {
            flight.not_run(None, None);
            return AttemptOutcome::NotRun;
        };
        if let Some(permit) = permit.take() {
            permit.use_now();
        }
        let response = match send(&mut upstream, request, response_deadline).await {
            Sent::Response(response) => response,
            Sent::TimedOut => {
                flight.timed_out();
                return AttemptOutcome::TimedOut;
            }
            Sent::Broken(problem) => {
                path::record_broken(shared, &upstream);
                flight.connection_closed(&problem);
                return AttemptOutcome::MayHaveRun;
            }
            Sent::Unsent => {
                let Some(next) = path::replace(shared, view, &upstream, &mut tried).await else {
                    flight.not_run(None, None);
                    flight.suspect_instance();
                    return AttemptOutcome::Unreached;
                };
                upstream = next;
                continue;
            }
        };
        if let Endpoint::Forwarder(forwarder) = upstream.endpoint {
            match ForwardOutcome::read(response.headers()) {
                None => {
                    path::record_forwarded(shared, view);
                    flight.set_forwarder(tried.take_guard());
                }
                Some(ForwardOutcome::MayHaveRun) => {
                    flight.connection_closed("the forwarder received no response");
                    return AttemptOutcome::MayHaveRun;
                }
                Some(not_sent) => {
                    let body = response.into_body();
                    reuse_connection(shared, upstream, body, response_deadline).await;
                    let next = path::after_not_sent(shared, view, forwarder, not_sent, &mut tried);
                    let Some(next) = next.await else {
                        flight.not_run(None, None);
                        return AttemptOutcome::Unreached;
                    };
                    upstream = next;
                    continue;
                }
            }
        }
        return handle_response(
            shared,
            admitted,
            response,
            flight,
            upstream,
            response_deadline,
        )
        .await;
    }
}

/// What became of a request on one connection.
enum Sent {
    /// The peer answered.
    Response(Response<Incoming>),
    /// The connection had been closed, and the request was certainly not sent.
    Unsent,
    /// The connection broke, with this problem; the request may have been sent.
    Broken(String),
    /// There was no response by the deadline.
    TimedOut,
}

async fn send(upstream: &mut Upstream, request: Request<Full<Bytes>>, deadline: Instant) -> Sent {
    let sending = upstream.sender.try_send_request(request);
    match tokio::time::timeout_at(deadline, sending).await {
        Err(_) => Sent::TimedOut,
        Ok(Ok(response)) => Sent::Response(response),
        Ok(Err(mut error)) => match error.take_message() {
            Some(_) => Sent::Unsent,
            None => Sent::Broken(error.error().to_string()),
        },
    }
}

/// Returns a connection to the pool after the short body of a response that is not relayed.
async fn reuse_connection(shared: &Shared, upstream: Upstream, body: Incoming, deadline: Instant) {
    let drained = Limited::new(body, MAX_BUFFERED_RESPONSE_BYTES).collect();
    if let Ok(Ok(_)) = tokio::time::timeout_at(deadline, drained).await {
        shared.pool.put_back(upstream);
    }
}

/// The request as it is sent over this connection; `None` if its time is over.
fn build_request(
    shared: &Shared,
    admitted: &AdmittedRequest,
    view: &InstanceView,
    upstream: &Upstream,
) -> Option<Request<Full<Bytes>>> {
    let left = admitted.expires_at.since(shared.clock.now());
    if left == Millis(0) {
        return None;
    }
    let mut headers = filter_request_headers(&admitted.head.headers, &*shared.interface);
    match &upstream.endpoint {
        Endpoint::Instance(instance) => {
            let context = crate::ForwardContext {
                deadline: left,
                instance,
                priority: admitted.priority,
                tenant: admitted.tenant(),
            };
            shared.interface.add_forward_headers(&mut headers, &context);
        }
        Endpoint::Forwarder(_) => {
            let instruction = ForwardInstruction {
                instance: view.id.clone(),
                time_left: left,
                priority: admitted.priority,
                tenant: admitted.tenant().map(str::to_owned),
            };
            instruction.write(&mut headers);
        }
    }
    let mut request = Request::new(Full::new(admitted.body.clone()));
    *request.method_mut() = admitted.head.method.clone();
    *request.uri_mut() = admitted.target.clone();
    *request.headers_mut() = headers;
    Some(request)
}

async fn handle_response(
    shared: &Arc<Shared>,
    admitted: &AdmittedRequest,
    response: Response<Incoming>,
    mut flight: Flight,
    mut upstream: Upstream,
    response_deadline: Instant,
) -> AttemptOutcome {
    let (mut head, body) = response.into_parts();
    let metadata =
        shared
            .interface
            .read_response(&admitted.metadata.id, head.status, &head.headers);
    let framing = match upstream.endpoint {
        Endpoint::Instance(_) => {
            let framing =
                BodyFraming::of_response(&admitted.head.method, head.status, &head.headers);
            upstream.apply_keep_alive(&head.headers);
            upstream.apply_framing(framing);
            framing
        }
        Endpoint::Forwarder(_) => take_framing(&mut head.headers),
    };
    flight.record_status(head.status.as_u16());
    flight.begin_body(ReceivedBody::new(framing, &head.headers));
    let origin = ResponseOrigin {
        instance: flight.instance(),
        id: flight.id(),
        sent_at: flight.started_at(),
    };
    let backoff = observe_response(shared, origin, &head, &metadata);
    if metadata.misdirected {
        let now = shared.clock.now();
        let shape = &admitted.metadata.shape;
        shared.view.mark_lacking(flight.instance(), shape, now);
    }
    if metadata.not_run || metadata.misdirected {
        flight.not_run(Some(head.status.as_u16()), backoff);
        reuse_connection(shared, upstream, body, response_deadline).await;
        return AttemptOutcome::NotRun;
    }
    if !metadata.genuine || metadata.promises_not_run {
        flight.failed("the answer is not this request's, or promises what is not known");
        return AttemptOutcome::MayHaveRun;
    }
    if head.status.is_server_error() {
        flight.suspect_instance();
    }
    strip_hop_headers(&mut head.headers);
    // The client is told no more of the end of the body than the instance has stated.
    head.version = Version::HTTP_11;
    head.extensions.insert(framing);
    let streams = admitted.route.kind == RequestKind::Streaming && head.status.is_success();
    if streams {
        head.headers.remove(CONTENT_LENGTH);
        let pause_objective = admitted.route.event_gap_objective;
        if let (Some(objective), ReportedLoad::Load(_)) = (pause_objective, metadata.load) {
            flight.watch_pauses(objective);
        }
        let relay = RelayBody::new(body, response_deadline, flight, upstream, shared.clone());
        let body = relay.boxed_unsync();
        return AttemptOutcome::Answered(Response::from_parts(head, body));
    }
    let collecting = Limited::new(body, MAX_BUFFERED_RESPONSE_BYTES).collect();
    match tokio::time::timeout_at(response_deadline, collecting).await {
        Err(_) => {
            flight.timed_out();
            AttemptOutcome::TimedOut
        }
        Ok(Err(error)) => {
            flight.truncated(&error.to_string());
            AttemptOutcome::MayHaveRun
        }
        Ok(Ok(collected)) => {
            let body = collected.to_bytes();
            flight.record_part(&body);
            if flight.finish().is_err() {
                return AttemptOutcome::MayHaveRun;
            }
            shared.pool.put_back(upstream);
            head.headers.remove(CONTENT_LENGTH);
            AttemptOutcome::Answered(Response::from_parts(head, full_body(body)))
        }
    }
}

/// Whether a response reports a failure that another instance may not have.
pub(crate) fn is_retryable_failure(response: &Response<Body>) -> bool {
    response.status() >= StatusCode::INTERNAL_SERVER_ERROR
}
