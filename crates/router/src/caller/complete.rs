//! Serves one completion: wait for a grant, claim if once-only, send, relay.

use super::request::{CallerRequest, RepeatRule};
use crate::RouterContext;
use crate::control::LedgerError;
use crate::dispatch::{Attempted, GrantedRequest, RunnerRequest, send_to_runner};
use courseshunt_http::{Body, channel_body, full_body, read_limited};
use courseshunt_queue::{AdmissionFailure, AttemptOutcome, Ticket};
use courseshunt_state::{ClaimReply, Command, CommandReply, StoredAnswer};
use courseshunt_types::outcome::OUTCOME_HEADER;
use courseshunt_types::runner_api::REQUEST_ID_HEADER;
use courseshunt_types::{
    Attempt, IdempotencyKey, Millis, Outcome, Refusal, RefusalReason, RunnerId, Timestamp,
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};

/// Attempts at the most.
const MAX_ATTEMPTS: u64 = 3;
/// Longest whole answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// How long a claim is kept.
const CLAIM_KEEP: Millis = Millis::from_secs(24 * 3600);

/// Serves a request.
pub async fn run(
    context: &RouterContext,
    request: CallerRequest,
) -> Result<Response<Body>, Refusal> {
    let arrived = context.clock.now();
    let mut avoid = Vec::new();
    for attempt in 1..=MAX_ATTEMPTS {
        let ticket = ticket(context, &request, arrived, &avoid);
        let mut granted = context.dispatcher.acquire(ticket).await?;
        let runner = granted.grant.runner.clone();
        if let RepeatRule::Never(key) = &request.repeat
            && let Some(answer) = claim(context, &request, key, &runner).await?
        {
            return Ok(recorded(&request, answer));
        }
        granted.started();
        let sent = RunnerRequest {
            request: request.request.clone(),
            attempt: Attempt(attempt),
            class: request.class,
            path: request.path,
            body: request.body.clone(),
        };
        match send_to_runner(context, &runner, &sent).await {
            Attempted::Answered(response) => {
                return relay(context, &request, granted, response).await;
            }
            Attempted::NotStarted { reason, draining } => {
                log::info!(
                    "router: {} on {runner} did not start: {reason}",
                    request.request
                );
                granted.report(AttemptOutcome::NotAdmitted(match draining {
                    true => AdmissionFailure::Draining,
                    false => AdmissionFailure::Unreachable,
                }));
                release_claim(context, &request).await;
                avoid.push(runner);
            }
            Attempted::Unknown { reason } => {
                granted.report(AttemptOutcome::Failed);
                if let RepeatRule::Never(key) = &request.repeat {
                    finish_claim(context, &request, key, None).await;
                    return Err(Refusal::unknown(RefusalReason::RunnerFailed, reason));
                }
                log::info!("router: {} on {runner} failed: {reason}", request.request);
                avoid.push(runner);
            }
        }
    }
    let message = format!("{MAX_ATTEMPTS} attempts failed");
    Err(Refusal::unknown(RefusalReason::RunnerFailed, message))
}

fn ticket(
    context: &RouterContext,
    request: &CallerRequest,
    arrived: Timestamp,
    avoid: &[RunnerId],
) -> Ticket {
    let waited = context.clock.now().since(arrived);
    Ticket {
        request: request.request.clone(),
        holder: context.settings.id.clone(),
        deployment: request.document.name.clone(),
        adapter: request.adapter.clone(),
        tenant: request.tenant.clone(),
        class: request.class,
        deadline_in: Millis(request.deadline_in.0.saturating_sub(waited.0)),
        waited,
        prefix_hashes: Vec::new(),
        prompt_tokens: request.prompt_tokens,
        max_tokens: request.max_tokens,
        avoid: avoid.to_vec(),
    }
}

/// Opens the claim; `Some` when the answer is recorded already.
async fn claim(
    context: &RouterContext,
    request: &CallerRequest,
    key: &IdempotencyKey,
    runner: &RunnerId,
) -> Result<Option<StoredAnswer>, Refusal> {
    let command = Command::OpenClaim {
        tenant: request.tenant.clone(),
        key: key.clone(),
        digest: request.digest,
        router: context.settings.id.clone(),
        incarnation: context.incarnation,
        runner: runner.clone(),
        keep: CLAIM_KEEP,
    };
    let unavailable = |message: &str| {
        let refusal = Refusal::not_run(RefusalReason::LedgerUnavailable, message);
        refusal.with_retry_after(Millis::from_secs(2))
    };
    match context.ledger.commit(command).await {
        Ok(CommandReply::Claim(reply)) => judge_claim(reply),
        Ok(_) => Err(unavailable("the ledger gave an unexpected reply")),
        // The claim may be open, but this request was not sent, and the claim
        // keeps every other from being sent: it did not run.
        Err(LedgerError::NotCommitted | LedgerError::Undecided) => {
            Err(unavailable("the claim could not be recorded"))
        }
    }
}

fn judge_claim(reply: ClaimReply) -> Result<Option<StoredAnswer>, Refusal> {
    match reply {
        ClaimReply::Granted => Ok(None),
        ClaimReply::Recorded(answer) => Ok(Some(answer)),
        ClaimReply::InProgress { .. } => {
            let message = "a request with this key is running";
            let refusal = Refusal::unknown(RefusalReason::InProgress, message);
            Err(refusal.with_retry_after(Millis::from_secs(1)))
        }
        ClaimReply::Unknown => {
            let message = "a request with this key may have run; its answer is lost";
            Err(Refusal::unknown(RefusalReason::RunnerFailed, message))
        }
        ClaimReply::Conflict => {
            let message = "this key was used with another body";
            Err(Refusal::not_run(RefusalReason::KeyConflict, message))
        }
    }
}

async fn release_claim(context: &RouterContext, request: &CallerRequest) {
    let RepeatRule::Never(key) = &request.repeat else {
        return;
    };
    let command = Command::ReleaseClaim {
        tenant: request.tenant.clone(),
        key: key.clone(),
        router: context.settings.id.clone(),
        incarnation: context.incarnation,
    };
    if let Err(error) = context.ledger.commit(command).await {
        log::warn!(
            "router: the claim of {} stays open: {error}",
            request.request
        );
    }
}

async fn finish_claim(
    context: &RouterContext,
    request: &CallerRequest,
    key: &IdempotencyKey,
    answer: Option<StoredAnswer>,
) {
    let command = Command::FinishClaim {
        tenant: request.tenant.clone(),
        key: key.clone(),
        answer,
    };
    if let Err(error) = context.ledger.commit(command).await {
        log::warn!(
            "router: the answer of {} is not recorded: {error}",
            request.request
        );
    }
}

async fn relay(
    context: &RouterContext,
    request: &CallerRequest,
    granted: GrantedRequest,
    response: Response<Incoming>,
) -> Result<Response<Body>, Refusal> {
    match &request.repeat {
        RepeatRule::Any if request.stream => Ok(stream(request, granted, response)),
        RepeatRule::Any => {
            let answer = read_answer(response).await?;
            Ok(recorded(request, answer))
        }
        RepeatRule::Never(key) => {
            let answer = read_answer(response).await;
            finish_claim(context, request, key, answer.as_ref().ok().cloned()).await;
            Ok(recorded(request, answer?))
        }
    }
}

async fn read_answer(response: Response<Incoming>) -> Result<StoredAnswer, Refusal> {
    let status = response.status().as_u16();
    let content_type = response.headers().get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let content_type = content_type.unwrap_or("application/json").to_owned();
    let body = read_limited(response.into_body(), MAX_ANSWER_BYTES, "runner").await;
    let body =
        body.map_err(|error| Refusal::unknown(RefusalReason::RunnerFailed, error.to_string()))?;
    Ok(StoredAnswer {
        status,
        content_type,
        body: body.to_vec(),
    })
}

fn recorded(request: &CallerRequest, answer: StoredAnswer) -> Response<Body> {
    let mut response = Response::new(full_body(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    if let Ok(value) = HeaderValue::from_str(&answer.content_type) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    mark_done(request, &mut response);
    response
}

fn mark_done(request: &CallerRequest, response: &mut Response<Body>) {
    let done = HeaderValue::from_static(Outcome::Done.as_str());
    response.headers_mut().insert(OUTCOME_HEADER, done);
    if let Ok(value) = HeaderValue::from_str(request.request.as_str()) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
}

/// Relays a stream; a broken one ends with an error event, never silently.
fn stream(
    request: &CallerRequest,
    granted: GrantedRequest,
    response: Response<Incoming>,
) -> Response<Body> {
    let (mut sender, body) = channel_body();
    tokio::spawn(async move {
        let _granted = granted;
        let mut incoming = response.into_body();
        while let Some(frame) = incoming.frame().await {
            let Ok(frame) = frame else {
                let event = "data: {\"error\":{\"code\":\"runner_failed\",\"message\":\"the runner failed; the answer is not whole\"}}\n\n";
                let _ = sender.send_data(event.into()).await;
                return;
            };
            if let Ok(data) = frame.into_data()
                && sender.send_data(data).await.is_err()
            {
                return;
            }
        }
    });
    let mut relayed = Response::new(body);
    let events = HeaderValue::from_static("text/event-stream");
    relayed.headers_mut().insert(CONTENT_TYPE, events);
    if let Ok(value) = HeaderValue::from_str(request.request.as_str()) {
        relayed.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    relayed
}
