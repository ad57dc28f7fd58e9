//! The engine's API: completions, executions read again, cancellation.

use super::completion::{CompletionRequest, answer_word};
use super::connections::{Answer, PlannedBreak};
use super::executions::{ExecutionEnd, Followed};
use super::fault::{FaultPoint, RunnerFault};
use super::not_found;
use super::runner::{MAX_BODY_BYTES, Shared};
use crate::model::{EngineRejection, EngineRequest, SequenceKey};
use bytes::Bytes;
use courseshunt_http::{Body, BodySender, channel_body, full_body, json_response, read_limited};
use courseshunt_types::runner_api::{
    ATTEMPT_HEADER, ExecutionPhase, ExecutionStatus, NOT_STARTED_HEADER, PRIORITY_HEADER,
    REQUEST_ID_HEADER,
};
use courseshunt_types::{Attempt, PriorityClass};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;

/// How long an execution goes on after its last reader has left.
const DETACHED: Duration = Duration::from_secs(3);
/// Identity in a crossed answer.
const OTHER_REQUEST: &str = "req-of-another-caller";

impl Shared {
    pub(super) async fn complete(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let headers = request.headers().clone();
        let body = read_limited(request.into_body(), MAX_BODY_BYTES, "router").await;
        let completion = body.ok().and_then(|body| CompletionRequest::parse(&body));
        let Some(completion) = completion else {
            return Ok(rejected(StatusCode::BAD_REQUEST, "the body can't be read"));
        };
        let fault = self.lock().faults.next();
        self.strike(fault, FaultPoint::BeforeAdmission)?;
        match fault {
            RunnerFault::Hang => std::future::pending().await,
            RunnerFault::Refuse(code) => {
                return Ok(rejected(StatusCode::SERVICE_UNAVAILABLE, code));
            }
            RunnerFault::AskRest(rest) => {
                let mut response = rejected(StatusCode::SERVICE_UNAVAILABLE, "full");
                let seconds = HeaderValue::from_str(&rest.as_secs_f64().to_string());
                if let Ok(seconds) = seconds {
                    response.headers_mut().insert(RETRY_AFTER, seconds);
                }
                return Ok(response);
            }
            _ => {}
        }
        let followed = match self.submit(engine_request(&headers, &completion), &completion) {
            Ok(followed) => followed,
            Err(rejection) => return Ok(refusal(rejection)),
        };
        self.strike(fault, FaultPoint::AfterAdmission)?;
        if let RunnerFault::Late(length) = fault {
            tokio::time::sleep(length.into()).await;
        }
        if fault == RunnerFault::Error {
            let content = serde_json::json!({"error": {"message": "internal"}});
            let mut response = json_response(StatusCode::INTERNAL_SERVER_ERROR, &content);
            identify(&followed.key, &mut response);
            return Ok(response);
        }
        if let RunnerFault::Status(code) = fault {
            let status = StatusCode::from_u16(code).unwrap_or_default();
            let mut response = rejected(status, "full");
            identify(&followed.key, &mut response);
            return Ok(response);
        }
        let reader = Reader::new(self, followed, fault);
        let mut response = reader.respond(0).await?;
        misname(fault, &mut response);
        Ok(response)
    }

    /// Breaks the connection when the fault is due at this point.
    fn strike(&self, fault: RunnerFault, point: FaultPoint) -> Result<(), PlannedBreak> {
        match fault {
            RunnerFault::Die(due) if due == point => {
                self.die();
                Err(PlannedBreak)
            }
            RunnerFault::Reset(due) if due == point => Err(PlannedBreak),
            _ => Ok(()),
        }
    }

    fn submit(
        &self,
        request: EngineRequest,
        completion: &CompletionRequest,
    ) -> Result<Followed, EngineRejection> {
        let key = request.key.clone();
        let now = self.clock.now();
        let mut state = self.lock();
        if state.executions.is_fenced(&key) {
            return Err(EngineRejection::Draining);
        }
        state.model.submit(request, now)?;
        let followed = state.executions.start(&key, completion);
        drop(state);
        self.changed.notify_one();
        Ok(followed)
    }

    /// `GET` and `DELETE /v1/executions/REQUEST/ATTEMPT`.
    pub(super) async fn execution(self: &Arc<Self>, request: &Request<Incoming>) -> Answer {
        let path = request.uri().path();
        let mut parts = path.trim_start_matches("/v1/executions/").split('/');
        let name = parts.next().unwrap_or_default();
        let attempt = parts.next().and_then(|text| text.parse().ok());
        let Some(attempt) = attempt else {
            return Ok(not_found());
        };
        let key = SequenceKey {
            request: name.into(),
            attempt: Attempt(attempt),
        };
        match (request.method(), parts.next()) {
            (&Method::GET, Some("status")) => Ok(self.status_of(&key)),
            (&Method::DELETE, None) => Ok(self.end_execution(&key)),
            (&Method::GET, None) => {
                let from = request
                    .uri()
                    .query()
                    .and_then(|query| query.strip_prefix("from="));
                let from = from.and_then(|text| text.parse().ok()).unwrap_or(0);
                let Some(followed) = self.lock().executions.follow(&key) else {
                    return Ok(not_found());
                };
                let reader = Reader::new(self.clone(), followed, RunnerFault::None);
                reader.respond(from).await
            }
            _ => Ok(not_found()),
        }
    }

    fn status_of(&self, key: &SequenceKey) -> Response<Body> {
        let state = self.lock();
        let status = ExecutionStatus {
            incarnation: state.model.settings().incarnation,
            phase: state.executions.phase(key),
        };
        json_response(StatusCode::OK, &status)
    }

    fn end_execution(&self, key: &SequenceKey) -> Response<Body> {
        let phase = self.lock().executions.phase(key);
        match phase {
            ExecutionPhase::NotStarted => self.lock().executions.fence(key),
            ExecutionPhase::Running => self.cancel(key),
            ExecutionPhase::Finished | ExecutionPhase::Cancelled => {}
        }
        self.status_of(key)
    }
}

/// One reader of an execution. When the last one leaves a running execution, it
/// is cancelled after a while.
struct Reader {
    shared: Arc<Shared>,
    /// `None` only while it is being dropped.
    followed: Option<Followed>,
    fault: RunnerFault,
}

impl Drop for Reader {
    fn drop(&mut self) {
        let Some(Followed { key, progress, .. }) = self.followed.take() else {
            return;
        };
        if progress.borrow().end != ExecutionEnd::Running {
            return;
        }
        drop(progress);
        let shared = self.shared.clone();
        tokio::spawn(async move {
            tokio::time::sleep(DETACHED).await;
            let followed = shared.lock().executions.is_followed(&key);
            if !followed {
                shared.cancel(&key);
            }
        });
    }
}

impl Reader {
    fn new(shared: Arc<Shared>, followed: Followed, fault: RunnerFault) -> Self {
        Self {
            shared,
            followed: Some(followed),
            fault,
        }
    }

    /// The answer, a stream from token `from` on.
    async fn respond(mut self, from: u32) -> Answer {
        let Some(followed) = self.followed.clone() else {
            return Err(PlannedBreak);
        };
        let mut response = if followed.request.stream {
            let (sender, body) = channel_body();
            tokio::spawn(self.stream(from, sender));
            let mut response = Response::new(body);
            let events = HeaderValue::from_static("text/event-stream");
            response.headers_mut().insert(CONTENT_TYPE, events);
            response
        } else {
            self.whole().await?
        };
        identify(&followed.key, &mut response);
        Ok(response)
    }

    /// Waits for the token at `position`; `None` when there is none.
    async fn token(&mut self, position: u32) -> Option<bool> {
        let followed = self.followed.as_mut()?;
        let there = followed
            .progress
            .wait_for(|one| one.tokens > position || one.end != ExecutionEnd::Running)
            .await;
        let progress = *there.ok()?;
        let last = position + 1 == followed.request.max_tokens.max(1);
        (progress.tokens > position).then_some(last)
    }

    async fn stream(mut self, from: u32, mut body: BodySender) {
        let Some(followed) = self.followed.clone() else {
            return;
        };
        let Followed { key, request, .. } = followed;
        let mut position = from;
        loop {
            if self.fault.break_after() == Some(position) {
                return self.break_off(&key, body);
            }
            let Some(last) = self.token(position).await else {
                if position >= request.max_tokens.max(1) {
                    break;
                }
                return body.abort(std::io::Error::other("cancelled"));
            };
            for event in self.events(&key, &request, position, last) {
                if body.send_data(event).await.is_err() {
                    return;
                }
            }
            if last {
                break;
            }
            position += 1;
        }
        let done = Bytes::from_static(b"data: [DONE]\n\n");
        let _ = body.send_data(done).await;
    }

    fn events(
        &self,
        key: &SequenceKey,
        request: &CompletionRequest,
        position: u32,
        last: bool,
    ) -> Vec<Bytes> {
        let word = answer_word(&request.prompt, position);
        let event = Bytes::from(request.chunk(key.request.as_str(), position, &word, last));
        match self.fault {
            RunnerFault::Doubled => vec![event.clone(), event],
            RunnerFault::Crossed => {
                let word = answer_word(OTHER_REQUEST, position);
                let other = request.chunk(OTHER_REQUEST, position, &word, last);
                vec![Bytes::from(other), event]
            }
            _ => vec![event],
        }
    }

    fn break_off(self, key: &SequenceKey, body: BodySender) {
        match self.fault {
            RunnerFault::CutShort { .. } => drop(body),
            RunnerFault::CutShortAndForget { .. } => {
                self.shared.cancel(key);
                self.shared.lock().executions.forget(key);
                drop(body);
            }
            RunnerFault::Die(_) => self.shared.die(),
            _ => body.abort(std::io::Error::other("reset as planned")),
        }
    }

    async fn whole(&mut self) -> Answer {
        let Some(Followed { key, request, .. }) = self.followed.clone() else {
            return Err(PlannedBreak);
        };
        let mut text = String::new();
        for position in 0..request.max_tokens.max(1) {
            if self.fault.break_after() == Some(position) {
                return self.break_whole(&key);
            }
            if self.token(position).await.is_none() {
                return Err(PlannedBreak);
            }
            text.push_str(&answer_word(&request.prompt, position));
        }
        let id = match self.fault {
            RunnerFault::Crossed => OTHER_REQUEST,
            _ => key.request.as_str(),
        };
        Ok(json_response(StatusCode::OK, &request.whole(id, &text)))
    }

    fn break_whole(&self, key: &SequenceKey) -> Answer {
        match self.fault {
            RunnerFault::Die(_) => {
                self.shared.die();
                Err(PlannedBreak)
            }
            RunnerFault::CutShortAndForget { .. } => {
                self.shared.cancel(key);
                self.shared.lock().executions.forget(key);
                Ok(half_answer())
            }
            RunnerFault::CutShort { .. } => Ok(half_answer()),
            _ => Err(PlannedBreak),
        }
    }
}

/// A whole answer that breaks off.
fn half_answer() -> Response<Body> {
    let mut response = Response::new(full_body("{\"id\":"));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn identify(key: &SequenceKey, response: &mut Response<Body>) {
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(key.request.as_str()) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
    headers.insert(ATTEMPT_HEADER, key.attempt.0.into());
}

/// Makes the head name another request or attempt.
fn misname(fault: RunnerFault, response: &mut Response<Body>) {
    let headers = response.headers_mut();
    match fault {
        RunnerFault::WrongRequest => {
            headers.insert(REQUEST_ID_HEADER, HeaderValue::from_static(OTHER_REQUEST));
        }
        RunnerFault::WrongAttempt => {
            headers.insert(ATTEMPT_HEADER, 0.into());
        }
        _ => {}
    }
}

fn refusal(rejection: EngineRejection) -> Response<Body> {
    let code = match rejection {
        EngineRejection::Draining => "draining",
        EngineRejection::NotLoaded => "not_loaded",
        EngineRejection::AdapterNotLoaded => "adapter_not_loaded",
        EngineRejection::Full => "full",
        EngineRejection::Duplicate => {
            let content = serde_json::json!({"error": {"message": "duplicate"}});
            return json_response(StatusCode::CONFLICT, &content);
        }
    };
    rejected(StatusCode::SERVICE_UNAVAILABLE, code)
}

fn engine_request(headers: &HeaderMap, completion: &CompletionRequest) -> EngineRequest {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let attempt = text(ATTEMPT_HEADER).and_then(|text| text.parse().ok());
    let class = text(PRIORITY_HEADER).and_then(PriorityClass::parse);
    let (deployment, adapter) = match completion.model.split_once(':') {
        Some((deployment, adapter)) => (deployment, Some(adapter.into())),
        None => (completion.model.as_str(), None),
    };
    EngineRequest {
        key: SequenceKey {
            request: text(REQUEST_ID_HEADER).unwrap_or("direct").into(),
            attempt: Attempt(attempt.unwrap_or(1)),
        },
        deployment: deployment.into(),
        adapter,
        class: class.unwrap_or_default(),
        prompt_tokens: completion.prompt_tokens(),
        prefix_hashes: Vec::new(),
        max_tokens: completion.max_tokens,
    }
}

/// A refusal that proves that the request did not start.
fn rejected(status: StatusCode, reason: &str) -> Response<Body> {
    let content = serde_json::json!({"error": {"message": reason, "code": reason}});
    let body = full_body(serde_json::to_vec(&content).unwrap_or_default());
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(NOT_STARTED_HEADER, HeaderValue::from_static("true"));
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
