//! One attempt: a request at one instance.

use crate::Shared;
use crate::answer_words::{Answering, hear};
use crate::flight::{Flight, Unsent};
use crate::forwarded_headers::{filter_request_headers, strip_hop_headers};
use crate::handle::{Admitted, Chosen};
use crate::limit_desk;
use crate::pool::{self, Upstream};
use crate::records::RouterRecord;
use crate::relay::RelayBody;
use bytes::Bytes;
use courseshunt_http::{Body, full_body};
use courseshunt_records::emit;
use courseshunt_services::{InstanceView, RequestKind};
use courseshunt_types::{Millis, RunnerId};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::{Request, Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Answers up to this length are read whole before any of it is passed on.
const WHOLE_ANSWER_BYTES: usize = 512 * 1024;
/// Added to the deadline for the instance's own last answer to arrive.
const DEADLINE_MARGIN: Duration = Duration::from_millis(30);
/// What became of an attempt.
pub(crate) enum AttemptOutcome {
    /// The answer to pass on.
    Answered(Response<Body>),
    /// It surely did not run there.
    NotRun,
    /// It was not sent: meanwhile the instance asked to be left alone, or its limit is used up.
    NotSent,
    /// It may have run, and there is no answer to pass on.
    MayHaveRun,
    /// The request's time is over; it may have run.
    TimedOut,
}

/// Sends a request to the chosen instance, as the attempt of this number.
pub(crate) async fn attempt(
    shared: &Arc<Shared>,
    admitted: &Admitted,
    chosen: Chosen,
    number: u32,
) -> AttemptOutcome {
    let Chosen {
        candidate,
        view,
        patience,
    } = chosen;
    let view = &view;
    let unsent = Unsent::new(shared, admitted, candidate);
    if !limit_desk::admit(shared, admitted, unsent.instance(), patience).await {
        return AttemptOutcome::NotSent;
    }
    let candidate = unsent.sent();
    let mut flight = Flight::begin(shared, admitted, candidate, number);
    let Some(mut upstream) = connection(shared, view).await else {
        flight.not_run(None, None);
        return AttemptOutcome::NotRun;
    };
    let limit = admitted.deadline + DEADLINE_MARGIN;
    loop {
        // Its word may have come since the choice, while a connection was made.
        if flight.is_forbidden() {
            flight.not_run(None, None);
            shared.pool.keep(flight.instance(), upstream);
            return AttemptOutcome::NotSent;
        }
        let Some(request) = build(shared, admitted, flight.instance()) else {
            flight.not_run(None, None);
            return AttemptOutcome::NotRun;
        };
        let fresh = upstream.fresh;
        let sending = upstream.sender.try_send_request(request);
        let mut error = match tokio::time::timeout_at(limit, sending).await {
            Err(_) => {
                flight.timed_out();
                return AttemptOutcome::TimedOut;
            }
            Ok(Ok(response)) => {
                return take_answer(shared, admitted, response, flight, upstream, limit).await;
            }
            Ok(Err(error)) => error,
        };
        let unsent = error.take_message().is_some();
        if !unsent {
            flight.cut_off(&error.error().to_string());
            return AttemptOutcome::MayHaveRun;
        }
        let next = match fresh {
            true => None,
            false => connect(shared, view).await,
        };
        let Some(next) = next else {
            flight.not_run(None, None);
            flight.suspect();
            return AttemptOutcome::NotRun;
        };
        upstream = next;
    }
}

async fn connection(shared: &Shared, view: &InstanceView) -> Option<Upstream> {
    match shared.pool.take(&view.id) {
        Some(upstream) => Some(upstream),
        None => connect(shared, view).await,
    }
}

/// Makes a new connection; an instance that can't be reached is left out for a
/// while.
async fn connect(shared: &Shared, view: &InstanceView) -> Option<Upstream> {
    shared.metrics.connection();
    match pool::connect_to(&view.address).await {
        Ok(upstream) => Some(upstream),
        Err(error) => {
            let now = shared.clock.now();
            shared.view.unreachable(&view.id, now);
            emit(&RouterRecord::Unreachable {
                instance: view.id.as_str(),
                problem: &error.to_string(),
            });
            None
        }
    }
}

fn build(
    shared: &Shared,
    admitted: &Admitted,
    instance: &RunnerId,
) -> Option<Request<Full<Bytes>>> {
    let left = admitted.expires_at.since(shared.clock.now());
    if left == Millis(0) {
        return None;
    }
    let mut headers = filter_request_headers(&admitted.head.headers, &*shared.interface);
    let sending = crate::ForwardContext {
        deadline: left,
        instance,
        priority: admitted.priority,
        tenant: admitted.tenant(),
    };
    shared.interface.add_forward_headers(&mut headers, &sending);
    let mut request = Request::new(Full::new(admitted.body.clone()));
    *request.method_mut() = admitted.head.method.clone();
    *request.uri_mut() = admitted.target.clone();
    *request.headers_mut() = headers;
    Some(request)
}

async fn take_answer(
    shared: &Arc<Shared>,
    admitted: &Admitted,
    response: Response<Incoming>,
    mut flight: Flight,
    mut upstream: Upstream,
    limit: Instant,
) -> AttemptOutcome {
    let (mut head, body) = response.into_parts();
    let facts = shared
        .interface
        .read_response(&admitted.facts.id, head.status, &head.headers);
    upstream.follow(&head.headers);
    flight.status(head.status.as_u16());
    let answering = Answering {
        instance: flight.instance(),
        id: flight.id(),
        asked_at: flight.began_at(),
    };
    let rest = hear(shared, answering, &head, &facts);
    if facts.misdirected {
        let now = shared.clock.now();
        let shape = &admitted.facts.shape;
        shared.view.lacks(flight.instance(), shape, now);
    }
    if facts.not_run || facts.misdirected {
        flight.not_run(Some(head.status.as_u16()), rest);
        let emptied = Limited::new(body, WHOLE_ANSWER_BYTES).collect();
        if let Ok(Ok(_)) = tokio::time::timeout_at(limit, emptied).await {
            shared.pool.keep(flight.instance(), upstream);
        }
        return AttemptOutcome::NotRun;
    }
    if !facts.genuine || facts.promises_not_run {
        flight.failed("the answer is not this request's, or promises what is not known");
        return AttemptOutcome::MayHaveRun;
    }
    if head.status.is_server_error() {
        flight.suspect();
    }
    strip_hop_headers(&mut head.headers);
    let streams = admitted.route.kind == RequestKind::Streaming && head.status.is_success();
    if streams {
        head.headers.remove(CONTENT_LENGTH);
        let relay = RelayBody::new(body, limit, flight, upstream, shared.clone());
        let body = relay.boxed_unsync();
        return AttemptOutcome::Answered(Response::from_parts(head, body));
    }
    let whole = Limited::new(body, WHOLE_ANSWER_BYTES).collect();
    match tokio::time::timeout_at(limit, whole).await {
        Err(_) => {
            flight.timed_out();
            AttemptOutcome::TimedOut
        }
        Ok(Err(error)) => {
            flight.broken(&error.to_string());
            AttemptOutcome::MayHaveRun
        }
        Ok(Ok(collected)) => {
            flight.part();
            flight.whole();
            shared.pool.keep(flight.instance(), upstream);
            let body = collected.to_bytes();
            head.headers.remove(CONTENT_LENGTH);
            AttemptOutcome::Answered(Response::from_parts(head, full_body(body)))
        }
    }
}

/// Whether an answer reports a failure that another instance may not have.
pub(crate) fn is_failure(response: &Response<Body>) -> bool {
    response.status() >= StatusCode::INTERNAL_SERVER_ERROR
}
