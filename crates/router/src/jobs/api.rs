//! The HTTP API of deferred jobs: `/v1/jobs`.

use crate::RouterContext;
use crate::attempt::Count;
use crate::caller::{CLASS_HEADER, CallerRequest, RepeatRule};
use crate::control::LedgerError;
use bytes::Bytes;
use courseshunt_http::{Body, json_response};
use courseshunt_state::{Command, CommandReply, JobReply, JobView, StoredAnswer};
use courseshunt_types::{
    Digest, IdempotencyKey, JobId, Millis, Refusal, RefusalReason, TenantName,
};
use hyper::header::{HeaderMap, HeaderValue, LOCATION};
use hyper::{Method, Response, StatusCode};
use serde_json::{Value, json};

/// Path prefix of the API.
pub const JOBS_PATH: &str = "/v1/jobs";
/// Retention time of the answer of a finished job.
const ANSWER_RETENTION: Millis = Millis::from_secs(7 * 24 * 3600);
/// Maximum number of jobs in a list.
const MAX_LISTED: u32 = 1000;
/// Retry delay sent when the ledger has no quorum or the queue is full.
const RETRY_AFTER: Millis = Millis::from_secs(5);

/// Handles a request of an authenticated tenant.
///
/// # Errors
/// The refusal for the caller.
pub async fn handle(
    context: &RouterContext,
    tenant: TenantName,
    method: &Method,
    path: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<Response<Body>, Refusal> {
    let job = path.strip_prefix(JOBS_PATH).unwrap_or_default();
    let job = job.trim_start_matches('/');
    match (method, job) {
        (&Method::POST, "") => submit(context, tenant, headers, body).await,
        (&Method::GET, "") => list(context, tenant).await,
        (&Method::GET, job) => view(context, tenant, job).await,
        (&Method::DELETE, job) if !job.is_empty() => cancel(context, tenant, job).await,
        _ => {
            let message = format!("{path} does not take {method}");
            Err(Refusal::not_run(RefusalReason::MethodNotAllowed, message))
        }
    }
}

async fn commit(context: &RouterContext, command: Command) -> Result<JobReply, Refusal> {
    let reason = RefusalReason::LedgerUnavailable;
    match context.ledger.commit(command).await {
        Ok(CommandReply::Job(reply)) => Ok(reply),
        Ok(_) | Err(LedgerError::NotCommitted) => {
            let message = "the jobs' ledger is not available";
            Err(Refusal::not_run(reason, message).with_retry_after(RETRY_AFTER))
        }
        Err(LedgerError::Undecided) => {
            let message = "it is not known whether the job was accepted; send it again under \
                           the same idempotency-key";
            Err(Refusal::unknown(reason, message).with_retry_after(RETRY_AFTER))
        }
    }
}

async fn submit(
    context: &RouterContext,
    tenant: TenantName,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<Response<Body>, Refusal> {
    let mut headers = headers.clone();
    let batch = HeaderValue::from_static("batch");
    headers.entry(CLASS_HEADER).or_insert(batch);
    let path = runner_path(&body);
    let request = CallerRequest::parse(&headers, body, tenant, path, &context.view)?;
    let key = CallerRequest::key(&headers)?;
    let job = job_id(&request.tenant, key.as_ref());
    let command = Command::SubmitJob {
        job: job.clone(),
        tenant: request.tenant,
        deployment: request.document.name.clone(),
        path: path.to_owned(),
        body: request.body.to_vec(),
        queue_limit: request.document.limits.of(request.class).queue_length,
        class: request.class,
        once_only: request.repeat != RepeatRule::Any && !CallerRequest::may_repeat(&headers),
        deadline_in: request.deadline_in,
        keep: ANSWER_RETENTION,
    };
    match commit(context, command).await? {
        JobReply::Accepted => {
            context.counts.add(Count::JobSubmitted);
            Ok(accepted_response(&job))
        }
        JobReply::Conflict => {
            let message = "this key was used with another body";
            Err(Refusal::not_run(RefusalReason::KeyConflict, message))
        }
        JobReply::QueueFull => {
            let message = "as many jobs of this deployment wait as may";
            let refusal = Refusal::not_run(RefusalReason::QueueFull, message);
            Err(refusal.with_retry_after(RETRY_AFTER))
        }
        JobReply::DeadlinePassed => {
            let message = "the deadline has passed";
            Err(Refusal::not_run(RefusalReason::DeadlineExceeded, message))
        }
        other => Err(unexpected_reply(&other)),
    }
}

/// The path at the runner that fits a body: chat completions if it has
/// `messages`.
fn runner_path(body: &[u8]) -> &'static str {
    let content: Value = serde_json::from_slice(body).unwrap_or_default();
    match content.get("messages") {
        Some(_) => "/v1/chat/completions",
        None => "/v1/completions",
    }
}

/// The id of a job. With a key it is derived from tenant and key, so that a resent
/// request finds the same job.
fn job_id(tenant: &TenantName, key: Option<&IdempotencyKey>) -> JobId {
    match key {
        Some(key) => {
            let digest = Digest::of(format!("{tenant}\0{key}").as_bytes()).to_string();
            JobId(format!("job-{}", &digest[..32]))
        }
        None => JobId(format!("job-{:032x}", rand::random::<u128>())),
    }
}

fn accepted_response(job: &JobId) -> Response<Body> {
    let content = json!({"id": job, "object": "job", "state": "queued"});
    let mut response = json_response(StatusCode::ACCEPTED, &content);
    if let Ok(location) = HeaderValue::from_str(&format!("{JOBS_PATH}/{job}")) {
        response.headers_mut().insert(LOCATION, location);
    }
    response
}

async fn view(
    context: &RouterContext,
    tenant: TenantName,
    job: &str,
) -> Result<Response<Body>, Refusal> {
    let command = Command::ViewJob {
        job: job.into(),
        tenant,
    };
    match commit(context, command).await? {
        JobReply::Found(view) => Ok(json_response(StatusCode::OK, &job_json(&view))),
        other => Err(job_refusal(job, &other)),
    }
}

async fn cancel(
    context: &RouterContext,
    tenant: TenantName,
    job: &str,
) -> Result<Response<Body>, Refusal> {
    let command = Command::CancelJob {
        job: job.into(),
        tenant,
    };
    match commit(context, command).await? {
        JobReply::Found(view) => Ok(json_response(StatusCode::OK, &job_json(&view))),
        other => Err(job_refusal(job, &other)),
    }
}

async fn list(context: &RouterContext, tenant: TenantName) -> Result<Response<Body>, Refusal> {
    let command = Command::ListJobs {
        tenant,
        limit: MAX_LISTED,
    };
    match commit(context, command).await? {
        JobReply::List(views) => {
            let data: Vec<Value> = views.iter().map(job_json).collect();
            let content = json!({"object": "list", "data": data});
            Ok(json_response(StatusCode::OK, &content))
        }
        other => Err(unexpected_reply(&other)),
    }
}

fn job_refusal(job: &str, reply: &JobReply) -> Refusal {
    match reply {
        JobReply::NotFound => {
            let message = format!("there is no job {job}");
            Refusal::not_run(RefusalReason::NotFound, message)
        }
        JobReply::WrongState { state } => {
            let message = format!("job {job} has ended already: {state}");
            Refusal::not_run(RefusalReason::JobEnded, message)
        }
        other => unexpected_reply(other),
    }
}

fn unexpected_reply(reply: &JobReply) -> Refusal {
    log::warn!("jobs: the ledger gave an unexpected reply: {reply:?}");
    let message = "the ledger gave an unexpected reply";
    Refusal::unknown(RefusalReason::LedgerUnavailable, message)
}

fn job_json(view: &JobView) -> Value {
    json!({
        "id": view.job,
        "object": "job",
        "model": view.deployment,
        "state": view.state,
        "outcome": view.outcome.as_str(),
        "submitted_unix_ms": view.submitted_at,
        "deadline_unix_ms": view.deadline,
        "ended_unix_ms": view.ended_at,
        "message": view.message,
        "answer": view.answer.as_ref().map(answer_json),
    })
}

fn answer_json(answer: &StoredAnswer) -> Value {
    let text = || Value::from(String::from_utf8_lossy(&answer.body).into_owned());
    let body: Value = serde_json::from_slice(&answer.body).unwrap_or_else(|_| text());
    json!({"status": answer.status, "content_type": answer.content_type, "body": body})
}
