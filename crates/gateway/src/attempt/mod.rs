//! One attempt to run a request at one instance.
//!
//! Invariant: the outcome is [`AttemptOutcome::NotRun`], [`AttemptOutcome::Unreached`] or
//! [`AttemptOutcome::NotSent`] only if the instance reported that the request did not run, or if it
//! was certainly not sent.

mod response;

use crate::Shared;
use crate::flight::{Flight, PendingSend};
use crate::forwarded_headers::filter_request_headers;
use crate::forwarding::headers::{ForwardInstruction, ForwardOutcome};
use crate::handle::AdmittedRequest;
use crate::limit_tracker;
use crate::path::{self, TriedForwarders};
use crate::pool::{Endpoint, SendError, Upstream};
use crate::progress::RequestStage;
use crate::retry::RetryPermit;
use crate::select::{SelectedInstance, must_not_send};
use bytes::Bytes;
use courseshunt_http::{Body, NoFinalStatus, discard_limited};
use courseshunt_services::InstanceView;
use courseshunt_types::Millis;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use response::Exchange;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Responses that are not streamed are buffered up to this length before any byte is relayed.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 512 * 1024;
/// The body of a response that is not relayed is read up to this length, to keep the connection.
const MAX_DRAINED_BYTES: usize = 64 * 1024;
/// Added to the deadline so that a response that the instance sends at the deadline still
/// arrives.
const DEADLINE_MARGIN: Duration = Duration::from_millis(30);
/// Timeout for the body of a response that is not relayed, such as a rejection.
const UNUSED_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// Outcome of an attempt.
pub(crate) enum AttemptOutcome {
    /// The response to relay.
    Answered(Response<Body>),
    /// The request certainly did not run at the instance.
    NotRun,
    /// The request reached no instance, since there was no path to this one.
    Unreached,
    /// The request was not sent: in the meantime the instance pushed back, its rate limit is used
    /// up, or it may no longer continue the stream.
    NotSent,
    /// The request may have run, and there is no response to relay.
    MayHaveRun,
    /// The same, and the instance may go on working on it: its connection is kept by a forwarder
    /// that did not judge the response.
    MayStillRun,
    /// The deadline passed; the request may have run.
    TimedOut,
}

/// Place of an attempt among those of its request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptPlace {
    /// The first one has number 1.
    pub(crate) number: u32,
    /// Whether an earlier attempt went to the same instance.
    pub(crate) is_return: bool,
}

/// Sends a request to the selected instance. A retry has a permit, which is taken when the request
/// is sent.
pub(crate) async fn attempt(
    shared: &Arc<Shared>,
    admitted: &AdmittedRequest,
    selected: SelectedInstance,
    place: AttemptPlace,
    permit: &mut Option<RetryPermit>,
) -> AttemptOutcome {
    let SelectedInstance {
        candidate,
        view,
        max_permit_wait,
    } = selected;
    let view = &view;
    let id = &admitted.metadata.id;
    let progress = &admitted.progress;
    let pending = PendingSend::new(shared, admitted, candidate);
    progress.enter(RequestStage::SendPermit);
    if !limit_tracker::admit(shared, admitted, pending.instance(), max_permit_wait).await {
        return AttemptOutcome::NotSent;
    }
    let candidate = pending.into_sent();
    let mut flight = Flight::begin(shared, admitted, candidate, place.number);
    let mut tried = TriedForwarders::default();
    progress.enter(RequestStage::Connection);
    let Some(mut upstream) = path::acquire(shared, view, id, &mut tried).await else {
        flight.not_run(None, None);
        return AttemptOutcome::Unreached;
    };
    let response_deadline = admitted.deadline + DEADLINE_MARGIN;
    loop {
        // Since the instance was selected, it may have pushed back or begun to drain, a list of
        // software versions may have excluded it, the request's key may have been revoked, its
        // content quarantined, or the router may be about to end.
        let is_excluded =
            flight.has_pushback() || !shared.view.may_serve(view, admitted.writer.as_ref());
        if is_excluded
            || !shared.view.is_ready_instance(&view.id)
            || shared.refusing_queued.is_cancelled()
            || must_not_send(admitted, shared)
        {
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
        progress.enter(RequestStage::Response);
        let sent = send(&mut upstream, id, request, response_deadline).await;
        flight.record_connection(upstream.record());
        let response = match sent {
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
            Sent::NotFinal(problem) => {
                flight.not_final(problem);
                return match upstream.endpoint {
                    Endpoint::Instance(_) => AttemptOutcome::MayHaveRun,
                    // A forwarder of an earlier build relayed it.
                    Endpoint::Forwarder(_) => AttemptOutcome::MayStillRun,
                };
            }
            Sent::Unsent => {
                progress.enter(RequestStage::Connection);
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
                Some(ForwardOutcome::NotFinal) => {
                    flight.failed("the forwarder received a response without a final status");
                    return AttemptOutcome::MayHaveRun;
                }
                Some(not_sent) => {
                    progress.enter(RequestStage::Connection);
                    let body = response.into_body();
                    reuse_connection(shared, upstream, body).await;
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
        let exchange = Exchange {
            shared,
            admitted,
            flight,
            upstream,
            is_return: place.is_return,
            deadline: response_deadline,
        };
        return exchange.handle(response).await;
    }
}

/// What became of a request on one connection.
enum Sent {
    /// The peer answered.
    Response(Response<Incoming>),
    /// The request was certainly not sent on this connection.
    Unsent,
    /// The connection broke, with this problem; the request may have been sent.
    Broken(String),
    /// The peer responded without a final status; the request may have run.
    NotFinal(NoFinalStatus),
    /// There was no response by the deadline.
    TimedOut,
}

async fn send(
    upstream: &mut Upstream,
    id: &str,
    request: Request<Full<Bytes>>,
    deadline: Instant,
) -> Sent {
    match tokio::time::timeout_at(deadline, upstream.send(id, request)).await {
        Err(_) => Sent::TimedOut,
        Ok(Ok(response)) => Sent::Response(response),
        Ok(Err(SendError::Unsent(_))) => Sent::Unsent,
        Ok(Err(SendError::Broken(problem))) => Sent::Broken(problem),
        Ok(Err(SendError::NotFinal(problem))) => Sent::NotFinal(problem),
    }
}

/// Returns a connection to the pool after the body of a response that is not relayed. Closes the
/// connection if the body ends with it or takes longer than another connection is worth.
async fn reuse_connection(shared: &Shared, upstream: Upstream, body: Incoming) {
    if !upstream.is_reusable() {
        return;
    }
    let drained = discard_limited(body, MAX_DRAINED_BYTES, "instance");
    if let Ok(Ok(())) = tokio::time::timeout(UNUSED_BODY_TIMEOUT, drained).await {
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

/// Whether a response reports a failure that another instance may not have.
pub(crate) fn is_retryable_failure(response: &Response<Body>) -> bool {
    response.status() >= StatusCode::INTERNAL_SERVER_ERROR
}
