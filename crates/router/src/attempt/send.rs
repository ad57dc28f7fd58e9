//! Sends one granted request to its runner, up to the head of the answer.

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

/// Time without a sign of life after which the runner is asked for the status.
const SILENCE: Duration = Duration::from_secs(5);
/// Longest body of a refusal, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;
/// Longest wait for the body of a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// One request as sent to a runner.
#[derive(Debug, Clone)]
pub struct RunnerRequest {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: Attempt,
    /// Class, for the engine's own queue.
    pub class: PriorityClass,
    /// Path at the runner.
    pub path: String,
    /// The body, as the caller sent it.
    pub body: Bytes,
    /// Give up at this moment; `None` for a request that must not be ended.
    pub deadline: Option<Timestamp>,
}

/// An attempt that was sent. Dropped before its end, it ends the execution at
/// the runner: the caller has left.
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
    /// How the attempt ended without an answer.
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
        match open.head(request).await {
            Ok(response) => Ok((open, response)),
            Err(event) => Err(open.end(event)),
        }
    }

    /// The router's parts.
    #[must_use]
    pub fn context(&self) -> &RouterContext {
        &self.context
    }

    /// The execution at the runner.
    #[must_use]
    pub fn query(&self) -> &RunnerQuery {
        &self.query
    }

    /// Time left until the deadline; a long time when there is none.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        let now = self.context.clock.now();
        let left = self.deadline.map(|deadline| deadline.since(now));
        left.map_or(Duration::from_secs(24 * 3600), Into::into)
    }

    /// Settles the attempt and gives the slot back.
    pub fn end(&mut self, event: AttemptEvent) -> AttemptEnd {
        let settled = self.machine.step(event).is_some();
        let end = self.machine.outcome();
        if settled {
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

    /// Ends the execution at the runner after the deadline.
    pub async fn give_up(&mut self) -> AttemptEvent {
        match cancel_execution(&self.context.client, &self.query).await {
            Some(ExecutionPhase::NotStarted) => AttemptEvent::Fenced,
            _ => AttemptEvent::Failed(UnknownCause::DeadlinePassed),
        }
    }

    async fn head(&mut self, request: RunnerRequest) -> Result<Response<Incoming>, AttemptEvent> {
        let answered = match self.exchange(request).await {
            Ok(response) => self.judge(response).await,
            Err(event) => Err(event),
        };
        let response = match answered {
            Ok(response) => response,
            Err(AttemptEvent::Failed(cause)) if cause != UnknownCause::DeadlinePassed => {
                self.clarify(cause).await?
            }
            Err(event) => return Err(event),
        };
        self.times.first_byte = self.context.clock.now().since(self.sent_at);
        self.machine.step(AttemptEvent::HeadMatched);
        Ok(response)
    }

    /// Asks the runner what became of an attempt without a usable answer: the
    /// answer is fetched if it runs there; if it never started, it never will.
    async fn clarify(&mut self, cause: UnknownCause) -> Result<Response<Incoming>, AttemptEvent> {
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
            let patience = SILENCE.min(self.time_left());
            let sent = tokio::time::timeout(patience, exchange.as_mut()).await;
            match sent {
                Ok(Ok(response)) => return Ok(response),
                Ok(Err(error)) => return Err(self.broken(&error)),
                Err(_) if self.time_left().is_zero() => return Err(self.give_up().await),
                Err(_) => unanswered = self.probe(unanswered).await?,
            }
        }
    }

    fn broken(&self, error: &HttpError) -> AttemptEvent {
        log::info!("attempt: {}: {error}", self.query.request);
        match error {
            HttpError::Connect { .. } => AttemptEvent::ConnectFailed,
            _ => AttemptEvent::Failed(UnknownCause::Broken),
        }
    }

    /// Asks a silent runner for the execution; returns whether it left this
    /// question unanswered.
    async fn probe(&mut self, unanswered: bool) -> Result<bool, AttemptEvent> {
        let client = &self.context.client;
        match execution_status(client, &self.query).await {
            Some(ExecutionPhase::Running | ExecutionPhase::Finished) => Ok(false),
            Some(ExecutionPhase::Cancelled) => Err(AttemptEvent::Failed(UnknownCause::Broken)),
            Some(ExecutionPhase::NotStarted) => Err(AttemptEvent::Failed(UnknownCause::Silent)),
            None if unanswered => Err(AttemptEvent::Failed(UnknownCause::Silent)),
            None => Ok(true),
        }
    }

    async fn judge(
        &mut self,
        response: Response<Incoming>,
    ) -> Result<Response<Incoming>, AttemptEvent> {
        if response.headers().contains_key(NOT_STARTED_HEADER) {
            return Err(AttemptEvent::Refused(refusal_cause(response).await));
        }
        if !self.matches(&response) {
            return Err(AttemptEvent::Failed(UnknownCause::Crossed));
        }
        if !response.status().is_success() {
            log::info!(
                "attempt: {}: the runner answered {}",
                self.query.request,
                response.status()
            );
            return Err(AttemptEvent::Failed(UnknownCause::RunnerError));
        }
        Ok(response)
    }

    /// Whether an answer carries this request and attempt; counts it if not.
    #[must_use]
    pub fn matches(&self, response: &Response<Incoming>) -> bool {
        head_matches(&self.context, &self.query, response)
    }
}

/// Whether an answer carries a request and attempt; counts it if not.
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
            log::debug!("attempt: {} cancelled: {phase:?}", query.request);
        });
    }
}

async fn refusal_cause(response: Response<Incoming>) -> NotRunCause {
    let asked = read_asked_rest(response.status(), response.headers(), SystemTime::now());
    if let RetryAfter::After(rest) = asked {
        return NotRunCause::Resting(rest);
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
