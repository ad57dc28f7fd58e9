//! Sends a granted request to its runner and waits for the head of the answer.

use super::counts::Count;
use super::machine::{AttemptEvent, AttemptMachine};
use super::outcome::{AttemptEnd, AttemptTimes, NotRunCause, UnknownCause};
use super::query::{
    RunnerQuery, cancel_execution, cancel_unless_started, execution_status, fetch_execution,
};
use crate::RouterContext;
use crate::dispatch::GrantedRequest;
use bytes::Bytes;
use courseshunt_http::{HttpError, RetryAfter, full_body, read_asked_rest, read_in_time};
use courseshunt_types::runner_api::{
    ATTEMPT_HEADER, ExecutionPhase, NOT_STARTED_HEADER, PRIORITY_HEADER, REQUEST_ID_HEADER,
};
use courseshunt_types::{Attempt, PriorityClass, RequestId, Timestamp};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Request, Response, StatusCode};
use std::time::{Duration, SystemTime};

/// Time without an answer after which the runner is queried for the status.
const SILENCE_LIMIT: Duration = Duration::from_secs(5);
/// Maximum length of a refusal's body, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;
/// Timeout for the body of a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// A request as sent to a runner.
#[derive(Debug, Clone)]
pub struct RunnerRequest {
    /// Id of the request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Priority class, for the queue of the engine.
    pub class: PriorityClass,
    /// Path of the request at the runner.
    pub path: String,
    /// The body, as the caller sent it.
    pub body: Bytes,
    /// The attempt is cancelled at this time; `None` if it must not be cancelled.
    pub deadline: Option<Timestamp>,
}

/// An attempt that has been sent. When it is dropped before its end, which means
/// that the caller disconnected, the execution is cancelled at the runner.
#[derive(Debug)]
pub struct OpenAttempt {
    context: RouterContext,
    granted: GrantedRequest,
    query: RunnerQuery,
    machine: AttemptMachine,
    deadline: Option<Timestamp>,
    sent_at: Timestamp,
    times: AttemptTimes,
}

impl OpenAttempt {
    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    /// How the attempt ended if it got no answer.
    pub async fn send(
        context: &RouterContext,
        mut granted: GrantedRequest,
        request: RunnerRequest,
    ) -> Result<(Self, Response<Incoming>), AttemptEnd> {
        let mut machine = AttemptMachine::default();
        if granted.address.is_empty() {
            machine.step(AttemptEvent::RunnerUnknown);
            return Err(machine.outcome());
        }
        let endpoint = context.view.runner(&granted.grant.runner);
        granted.started();
        machine.step(AttemptEvent::Sending);
        let query = RunnerQuery {
            address: granted.address.clone(),
            incarnation: endpoint.map(|endpoint| endpoint.incarnation),
            request: request.request.clone(),
            attempt: request.attempt,
        };
        let mut open = Self {
            context: context.clone(),
            granted,
            query,
            machine,
            deadline: request.deadline,
            sent_at: context.clock.now(),
            times: AttemptTimes::default(),
        };
        match open.receive_head(request).await {
            Ok(response) => Ok((open, response)),
            Err(event) => Err(open.end(event)),
        }
    }

    /// Shared state of the router.
    #[must_use]
    pub fn context(&self) -> &RouterContext {
        &self.context
    }

    /// Identifies the execution at the runner.
    #[must_use]
    pub fn query(&self) -> &RunnerQuery {
        &self.query
    }

    /// Time left until the deadline; 24 hours if there is none.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        let now = self.context.clock.now();
        let remaining = self.deadline.map(|deadline| deadline.since(now));
        remaining.map_or(Duration::from_secs(24 * 3600), Into::into)
    }

    /// Ends the attempt and reports its outcome with the slot's return.
    pub fn end(&mut self, event: AttemptEvent) -> AttemptEnd {
        let ended = self.machine.step(event).is_some();
        let end = self.machine.outcome();
        if ended {
            self.times.total = self.context.clock.now().since(self.sent_at);
            self.granted.report(end.report(self.times));
            log::debug!(
                "attempt: {} {} on {} ended: {}",
                self.query.request,
                self.query.attempt,
                self.granted.grant.runner,
                end.as_str()
            );
        }
        end
    }

    /// Cancels the execution at the runner after the deadline. Returns the event
    /// that ends the attempt.
    pub async fn cancel_after_deadline(&mut self) -> AttemptEvent {
        match cancel_execution(&self.context.client, &self.query).await {
            Some(ExecutionPhase::NotStarted) => AttemptEvent::Fenced,
            _ => AttemptEvent::Failed(UnknownCause::DeadlinePassed),
        }
    }

    async fn receive_head(
        &mut self,
        request: RunnerRequest,
    ) -> Result<Response<Incoming>, AttemptEvent> {
        let result = match self.exchange(request).await {
            Ok(response) => self.validate_head(response).await,
            Err(event) => Err(event),
        };
        let response = match result {
            Ok(response) => response,
            Err(AttemptEvent::Failed(cause)) if cause != UnknownCause::DeadlinePassed => {
                self.resolve_unknown(cause).await?
            }
            Err(event) => return Err(event),
        };
        self.times.first_byte = self.context.clock.now().since(self.sent_at);
        self.machine.step(AttemptEvent::HeadMatched);
        Ok(response)
    }

    /// Queries the runner about an attempt without a usable answer. The answer is
    /// fetched if the execution is running or finished; an execution that has not
    /// started is cancelled, so that it never starts.
    async fn resolve_unknown(
        &mut self,
        cause: UnknownCause,
    ) -> Result<Response<Incoming>, AttemptEvent> {
        let failed = AttemptEvent::Failed(cause);
        let client = self.context.client.clone();
        match cancel_unless_started(&client, &self.query).await {
            Some(ExecutionPhase::NotStarted) => Err(AttemptEvent::Fenced),
            Some(ExecutionPhase::Running | ExecutionPhase::Finished) => {
                let fetched = fetch_execution(&client, &self.query, 0).await;
                match fetched {
                    Ok(Some(response)) if self.matches(&response) => {
                        self.context.counts.add(Count::Resumed);
                        Ok(response)
                    }
                    _ => Err(failed),
                }
            }
            _ => Err(failed),
        }
    }

    async fn exchange(
        &mut self,
        request: RunnerRequest,
    ) -> Result<Response<Incoming>, AttemptEvent> {
        let uri = format!("http://{}{}", self.query.address, request.path);
        let built = Request::post(uri)
            .header(CONTENT_TYPE, "application/json")
            .header(REQUEST_ID_HEADER, request.request.as_str())
            .header(ATTEMPT_HEADER, request.attempt.0)
            .header(PRIORITY_HEADER, request.class.as_str())
            .body(full_body(request.body));
        let built = built.map_err(|_| AttemptEvent::ConnectFailed)?;
        let client = self.context.client.clone();
        let mut exchange = std::pin::pin!(client.send(built));
        let mut unanswered = false;
        loop {
            let wait_limit = SILENCE_LIMIT.min(self.time_left());
            let sent = tokio::time::timeout(wait_limit, exchange.as_mut()).await;
            match sent {
                Ok(Ok(response)) => return Ok(response),
                Ok(Err(error)) => return Err(self.transport_failure(&error)),
                Err(_) if self.time_left().is_zero() => {
                    return Err(self.cancel_after_deadline().await);
                }
                Err(_) => unanswered = self.query_status(unanswered).await?,
            }
        }
    }

    fn transport_failure(&self, error: &HttpError) -> AttemptEvent {
        log::info!("attempt: {}: send failed: {error}", self.query.request);
        match error {
            HttpError::Connect { .. } => AttemptEvent::ConnectFailed,
            _ => AttemptEvent::Failed(UnknownCause::Broken),
        }
    }

    /// Queries an unresponsive runner for the status of the execution. Returns
    /// whether this query was left unanswered; two in a row end the attempt.
    async fn query_status(&mut self, unanswered: bool) -> Result<bool, AttemptEvent> {
        let client = &self.context.client;
        match execution_status(client, &self.query).await {
            Some(ExecutionPhase::Running | ExecutionPhase::Finished) => Ok(false),
            Some(ExecutionPhase::Cancelled) => Err(AttemptEvent::Failed(UnknownCause::Broken)),
            Some(ExecutionPhase::NotStarted) => {
                Err(AttemptEvent::Failed(UnknownCause::Unresponsive))
            }
            None if unanswered => Err(AttemptEvent::Failed(UnknownCause::Unresponsive)),
            None => Ok(true),
        }
    }

    async fn validate_head(
        &mut self,
        response: Response<Incoming>,
    ) -> Result<Response<Incoming>, AttemptEvent> {
        if response.headers().contains_key(NOT_STARTED_HEADER) {
            return Err(AttemptEvent::Refused(refusal_cause(response).await));
        }
        if !self.matches(&response) {
            return Err(AttemptEvent::Failed(UnknownCause::Mismatched));
        }
        if !response.status().is_success() {
            log::info!(
                "attempt: {}: the runner returned status {}",
                self.query.request,
                response.status()
            );
            return Err(AttemptEvent::Failed(UnknownCause::RunnerError));
        }
        Ok(response)
    }

    /// Whether an answer carries this request id and attempt; counts a mismatch.
    #[must_use]
    pub fn matches(&self, response: &Response<Incoming>) -> bool {
        head_matches(&self.context, &self.query, response)
    }
}

/// Whether an answer carries the request id and attempt of `query`; counts a
/// mismatch.
pub fn head_matches(
    context: &RouterContext,
    query: &RunnerQuery,
    response: &Response<Incoming>,
) -> bool {
    let header = |name| response.headers().get(name)?.to_str().ok();
    let request = header(REQUEST_ID_HEADER);
    let attempt = header(ATTEMPT_HEADER).and_then(|text| text.parse().ok());
    if request != Some(query.request.as_str()) {
        context.counts.add(Count::Mismatched);
        return false;
    }
    if attempt != Some(query.attempt.0) {
        context.counts.add(Count::Late);
        return false;
    }
    true
}

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        if self.machine.step(AttemptEvent::CallerLeft).is_none() {
            return;
        }
        self.context.counts.add(Count::Cancelled);
        let (client, query) = (self.context.client.clone(), self.query.clone());
        self.context.tasks.spawn(async move {
            let phase = cancel_execution(&client, &query).await;
            log::debug!(
                "attempt: {} cancelled at the runner, phase {phase:?}",
                query.request
            );
        });
    }
}

async fn refusal_cause(response: Response<Incoming>) -> NotRunCause {
    let retry_after = read_asked_rest(response.status(), response.headers(), SystemTime::now());
    if let RetryAfter::After(backoff) = retry_after {
        return NotRunCause::InBackoff(backoff);
    }
    if response.status() == StatusCode::BAD_REQUEST {
        return NotRunCause::Invalid;
    }
    let body = response.into_body();
    let body = read_in_time(body, MAX_REFUSAL_BYTES, REFUSAL_TIMEOUT, "runner").await;
    let content: serde_json::Value = body
        .ok()
        .and_then(|body| serde_json::from_slice(&body).ok())
        .unwrap_or_default();
    let code = content
        .pointer("/error/code")
        .and_then(|code| code.as_str());
    NotRunCause::of_refusal(code.unwrap_or_default())
}
