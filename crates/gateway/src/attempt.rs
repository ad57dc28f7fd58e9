//! One attempt: a request at one instance.

use crate::Shared;
use crate::handle::Admitted;
use crate::pool::{self, Upstream};
use crate::relay::RelayBody;
use bytes::Bytes;
use courseshunt_http::{Body, full_body};
use courseshunt_services::{Candidate, InstanceView, RequestKind};
use courseshunt_types::{Millis, RunnerId};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Answers up to this length are read whole before any of it is passed on.
const WHOLE_ANSWER_BYTES: usize = 512 * 1024;
/// Added to the deadline for the instance's own last answer to arrive.
const DEADLINE_MARGIN: Duration = Duration::from_millis(30);
/// Headers that belong to one connection.
const HOP_HEADERS: [HeaderName; 5] = [
    CONNECTION,
    TRANSFER_ENCODING,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    hyper::header::UPGRADE,
];

/// What became of an attempt.
pub(crate) enum AttemptOutcome {
    /// The answer to pass on.
    Answered(Response<Body>),
    /// It surely did not run there.
    NotRun,
    /// It may have run, and there is no answer to pass on.
    MayHaveRun,
    /// The request's time is over; it may have run.
    TimedOut,
}

/// A request under way at an instance; counted until dropped.
pub(crate) struct Flight {
    shared: Arc<Shared>,
    candidate: Candidate,
    sent_at: Instant,
    answered: bool,
    /// Time from the request's arrival to its sending, then to its first answer.
    waited: Duration,
    first: Option<Duration>,
    arrived: Instant,
    id: String,
    model: String,
}

impl Flight {
    pub(crate) fn instance(&self) -> &RunnerId {
        &self.candidate.instance
    }

    pub(crate) fn first_answer(&mut self) {
        if !self.answered {
            self.answered = true;
            self.first = Some(self.arrived.elapsed());
            let waited = Millis(self.sent_at.elapsed().as_millis() as u64);
            self.shared.view.first_answer(&self.candidate, waited);
        }
    }

    /// The answer was relayed whole.
    pub(crate) fn whole(&self) {
        log::info!(
            "request: {} model {} whole from {}: sent after {} ms, predicted {} ms for {} tokens, first answer after {} ms, end after {} ms",
            self.id,
            self.model,
            self.instance(),
            self.waited.as_millis(),
            self.candidate.predicted_ms.round(),
            self.candidate.uncached_tokens,
            self.first.unwrap_or_default().as_millis(),
            self.arrived.elapsed().as_millis()
        );
    }

    /// The answer broke off.
    pub(crate) fn broken(&self, problem: &str) {
        log::info!(
            "request: {} broken off by {}: {problem}",
            self.id,
            self.instance()
        );
        self.suspect();
    }

    fn suspect(&self) {
        let now = self.shared.clock.now();
        self.shared.view.suspect(&self.candidate.instance, now);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.shared.view.end(&self.candidate, self.answered);
    }
}

/// Sends a request to the chosen instance.
pub(crate) async fn attempt(
    shared: &Arc<Shared>,
    admitted: &Admitted,
    candidate: Candidate,
    view: &InstanceView,
) -> AttemptOutcome {
    let flight = Flight {
        shared: shared.clone(),
        candidate,
        sent_at: Instant::now(),
        answered: false,
        waited: admitted.arrived.elapsed(),
        first: None,
        arrived: admitted.arrived,
        model: admitted.facts.shape.model.clone(),
        id: admitted.facts.id.clone(),
    };
    let limit = admitted.deadline + DEADLINE_MARGIN;
    let Some(mut upstream) = connection(shared, view).await else {
        let now = shared.clock.now();
        shared.view.unreachable(flight.instance(), now);
        return AttemptOutcome::NotRun;
    };
    loop {
        let Some(request) = build(shared, admitted, &flight.candidate.instance) else {
            return AttemptOutcome::NotRun;
        };
        let fresh = upstream.fresh;
        let sending = upstream.sender.try_send_request(request);
        let response = match tokio::time::timeout_at(limit, sending).await {
            Err(_) => {
                flight.suspect();
                return AttemptOutcome::TimedOut;
            }
            Ok(Ok(response)) => response,
            Ok(Err(mut error)) => {
                let unsent = error.take_message().is_some();
                if unsent && !fresh {
                    match pool::connect_to(view).await {
                        Some(next) => {
                            upstream = next;
                            continue;
                        }
                        None => return AttemptOutcome::NotRun,
                    }
                }
                flight.suspect();
                log::info!(
                    "request: {} failed at {} (unsent: {unsent}): {}",
                    flight.id,
                    flight.instance(),
                    error.error()
                );
                return match unsent {
                    true => AttemptOutcome::NotRun,
                    false => AttemptOutcome::MayHaveRun,
                };
            }
        };
        return take_answer(
            shared,
            admitted,
            response,
            &mut Some(flight),
            upstream,
            limit,
        )
        .await;
    }
}

async fn connection(shared: &Shared, view: &InstanceView) -> Option<Upstream> {
    match shared.pool.take(&view.id) {
        Some(upstream) => Some(upstream),
        None => pool::connect_to(view).await,
    }
}

fn build(
    shared: &Shared,
    admitted: &Admitted,
    instance: &RunnerId,
) -> Option<Request<Full<Bytes>>> {
    let left = admitted.deadline.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return None;
    }
    let mut headers = admitted.head.headers.clone();
    strip(&mut headers);
    headers.remove(hyper::header::EXPECT);
    let sending = crate::Sending {
        deadline: Millis(left.as_millis().max(1) as u64),
        instance,
        priority: admitted.route.priority,
    };
    shared.interface.prepare(&mut headers, &sending);
    let mut request = Request::new(Full::new(admitted.body.clone()));
    *request.method_mut() = admitted.head.method.clone();
    *request.uri_mut() = admitted.target.clone();
    *request.headers_mut() = headers;
    Some(request)
}

/// Removes headers that belong to one connection.
fn strip(headers: &mut HeaderMap) {
    let named = headers.get_all(CONNECTION).iter();
    let named = named.filter_map(|value| value.to_str().ok());
    let named: Vec<String> = named
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in &HOP_HEADERS {
        headers.remove(name);
    }
}

async fn take_answer(
    shared: &Arc<Shared>,
    admitted: &Admitted,
    response: Response<Incoming>,
    flight: &mut Option<Flight>,
    mut upstream: Upstream,
    limit: Instant,
) -> AttemptOutcome {
    let Some(mut flight) = flight.take() else {
        return AttemptOutcome::MayHaveRun;
    };
    let (mut head, body) = response.into_parts();
    let facts = shared
        .interface
        .read_answer(&admitted.facts.id, head.status, &head.headers);
    upstream.follow(&head.headers);
    if facts.not_run || facts.misdirected {
        log::info!(
            "request: {} not run by {}: {}",
            flight.id,
            flight.instance(),
            head.status
        );
        let emptied = Limited::new(body, WHOLE_ANSWER_BYTES).collect();
        if let Ok(Ok(_)) = tokio::time::timeout_at(limit, emptied).await {
            shared.pool.keep(flight.instance(), upstream);
        }
        return AttemptOutcome::NotRun;
    }
    if !facts.genuine || facts.promises_not_run {
        log::warn!(
            "request: {} got a faulty answer from {}: {}",
            flight.id,
            flight.instance(),
            head.status
        );
        flight.suspect();
        return AttemptOutcome::MayHaveRun;
    }
    if head.status.is_server_error() {
        flight.suspect();
    }
    strip(&mut head.headers);
    let streams = admitted.route.kind == RequestKind::Streaming && head.status.is_success();
    if streams {
        head.headers.remove(CONTENT_LENGTH);
        let relay = RelayBody::new(body, limit, flight, upstream, shared.clone());
        let body = relay.boxed_unsync();
        return AttemptOutcome::Answered(Response::from_parts(head, body));
    }
    let whole = Limited::new(body, WHOLE_ANSWER_BYTES).collect();
    match tokio::time::timeout_at(limit, whole).await {
        Err(_) => AttemptOutcome::TimedOut,
        Ok(Err(error)) => {
            flight.broken(&error.to_string());
            AttemptOutcome::MayHaveRun
        }
        Ok(Ok(collected)) => {
            flight.first_answer();
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
