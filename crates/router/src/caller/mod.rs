//! The HTTP API for callers: OpenAI-style completions, models, deferred jobs,
//! health and metrics pages.

mod access;
mod complete;
mod metrics;
mod once_only;
mod request;

pub use metrics::RequestCounts;
pub use request::{CLASS_HEADER, CallerRequest, RepeatRule, may_use};

use crate::RouterContext;
use crate::attempt::RequestProgress;
use crate::jobs;
use crate::limits::BodyReservation;
use bytes::Bytes;
use courseshunt_http::{
    Body, HttpError, MAX_HEADER_BYTES, bearer_token, header_bytes, json_response, read_in_time,
    refusal_response, text_response,
};
use courseshunt_types::{Millis, Outcome, Refusal, RefusalReason, TenantName};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderMap};
use hyper::{Method, Request, Response, StatusCode};
use serde_json::json;
use std::net::SocketAddr;
use std::pin::Pin;

/// Retry delay sent to a caller by a stopping router; another router would accept
/// the request at once.
const STOPPING_RETRY_AFTER: Millis = Millis::from_secs(1);
/// Message of a refusal by a stopping router.
const STOPPING: &str = "this router is stopping";

type ResponseFuture = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// Creates the request handler for [`courseshunt_http::serve`].
pub fn handler(
    context: RouterContext,
) -> impl Fn(Request<Incoming>, SocketAddr) -> ResponseFuture + Clone + Send + Sync + 'static {
    move |request, _| {
        let context = context.clone();
        Box::pin(async move { answer(request, &context).await })
    }
}

async fn answer(request: Request<Incoming>, context: &RouterContext) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let result = match allowed_method(&path) {
        Some(method) if request.method() != method => Err(method_not_allowed(&request, &method)),
        Some(_) if header_bytes(&request) > MAX_HEADER_BYTES => Err(headers_too_large()),
        _ => route_until_stopped(request, context, &path).await,
    };
    context.requests.record(&result);
    result.unwrap_or_else(|refusal| refusal_response(&refusal))
}

/// Processes a request, at the longest until the last answers of a planned stop are due.
async fn route_until_stopped(
    request: Request<Incoming>,
    context: &RouterContext,
    path: &str,
) -> Result<Response<Body>, Refusal> {
    let progress = RequestProgress::new(&context.last_answers_due);
    tokio::select! {
        biased;
        result = route(request, context, path, &progress) => result,
        () = progress.last_answer_due() => Err(last_answer(&progress)),
    }
}

/// The refusal of a request whose processing ends with the router.
fn last_answer(progress: &RequestProgress) -> Refusal {
    let refusal = match progress.outcome() {
        Outcome::NotRun => Refusal::not_run(RefusalReason::ShuttingDown, STOPPING),
        Outcome::Unknown | Outcome::Done => {
            let message = "the router stopped before the outcome of the request was known";
            Refusal::unknown(RefusalReason::RunnerFailed, message)
        }
    };
    refusal.with_retry_after(STOPPING_RETRY_AFTER)
}

/// The method that a path allows; `None` for unknown paths and for the jobs API,
/// which checks its methods itself.
fn allowed_method(path: &str) -> Option<Method> {
    match path {
        "/healthz" | "/readyz" | "/metrics" | "/v1/models" => Some(Method::GET),
        "/v1/chat/completions" | "/v1/completions" => Some(Method::POST),
        _ => None,
    }
}

fn method_not_allowed(request: &Request<Incoming>, allowed: &Method) -> Refusal {
    let (method, path) = (request.method(), request.uri().path());
    let message = format!("{path} takes {allowed}, not {method}");
    Refusal::not_run(RefusalReason::MethodNotAllowed, message)
}

fn headers_too_large() -> Refusal {
    let message = format!("the headers are longer than {MAX_HEADER_BYTES} bytes");
    Refusal::not_run(RefusalReason::HeadersTooLarge, message)
}

async fn route(
    request: Request<Incoming>,
    context: &RouterContext,
    path: &str,
    progress: &RequestProgress,
) -> Result<Response<Body>, Refusal> {
    match path {
        "/healthz" => Ok(text_response(StatusCode::OK, "ok\n")),
        "/readyz" => Ok(ready(context)),
        "/metrics" => Ok(text_response(StatusCode::OK, metrics::page(context))),
        "/v1/models" => models(&request, context),
        _ if is_jobs_path(path) => jobs_page(request, context, path, progress).await,
        "/v1/chat/completions" => {
            completion(request, context, "/v1/chat/completions", progress).await
        }
        "/v1/completions" => completion(request, context, "/v1/completions", progress).await,
        _ => {
            let message = format!("there is no {path} here");
            Err(Refusal::not_run(RefusalReason::NotFound, message))
        }
    }
}

fn ready(context: &RouterContext) -> Response<Body> {
    if context.stop.is_cancelled() {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "stopping\n");
    }
    match context.view.is_synced() {
        true => text_response(StatusCode::OK, "ready\n"),
        false => text_response(StatusCode::SERVICE_UNAVAILABLE, "not synced\n"),
    }
}

/// Refuses a request that has not been passed on when a planned stop begins.
fn refuse_if_stopping(context: &RouterContext) -> Result<(), Refusal> {
    if !context.stop.is_cancelled() {
        return Ok(());
    }
    let refusal = Refusal::not_run(RefusalReason::ShuttingDown, STOPPING);
    Err(refusal.with_retry_after(STOPPING_RETRY_AFTER))
}

fn authenticate(headers: &HeaderMap, context: &RouterContext) -> Result<TenantName, Refusal> {
    refuse_if_stopping(context)?;
    if !context.view.is_synced() {
        let message = "this router has no confirmed configuration yet";
        return Err(Refusal::not_run(RefusalReason::ShuttingDown, message));
    }
    let tenant = bearer_token(headers).and_then(|token| context.view.tenant_of(token));
    tenant.ok_or_else(|| {
        let message = "the bearer token is missing or unknown";
        Refusal::not_run(RefusalReason::Unauthorized, message)
    })
}

fn models(request: &Request<Incoming>, context: &RouterContext) -> Result<Response<Body>, Refusal> {
    let tenant = authenticate(request.headers(), context)?;
    let documents = context.view.deployments();
    let visible = documents
        .iter()
        .filter(|document| request::may_use(document, &tenant));
    let data = visible.map(
        |document| json!({"id": document.name, "object": "model", "owned_by": document.tenant}),
    );
    let content = json!({"object": "list", "data": data.collect::<Vec<_>>()});
    Ok(json_response(StatusCode::OK, &content))
}

async fn completion(
    request: Request<Incoming>,
    context: &RouterContext,
    path: &'static str,
    progress: &RequestProgress,
) -> Result<Response<Body>, Refusal> {
    let tenant = authenticate(request.headers(), context)?;
    let (head, body) = request.into_parts();
    let (body, _reserved) = read_body(context, &head.headers, body).await?;
    let parsed = CallerRequest::parse(&head.headers, body, tenant, path, &context.view)?;
    complete::run(context, parsed, progress).await
}

/// Whether a path belongs to the API of deferred jobs.
fn is_jobs_path(path: &str) -> bool {
    let suffix = path.strip_prefix(jobs::JOBS_PATH);
    suffix.is_some_and(|suffix| suffix.is_empty() || suffix.starts_with('/'))
}

async fn jobs_page(
    request: Request<Incoming>,
    context: &RouterContext,
    path: &str,
    progress: &RequestProgress,
) -> Result<Response<Body>, Refusal> {
    let tenant = authenticate(request.headers(), context)?;
    let (head, body) = request.into_parts();
    let (body, _reserved) = read_body(context, &head.headers, body).await?;
    // A change of the ledger may be committed although its reply has not arrived.
    progress.set_may_have_run(head.method != Method::GET);
    jobs::handle(context, tenant, &head.method, path, &head.headers, body).await
}

/// Reads a caller's body. The returned reservation counts its memory and must be
/// kept as long as the body.
async fn read_body(
    context: &RouterContext,
    headers: &HeaderMap,
    body: Incoming,
) -> Result<(Bytes, BodyReservation), Refusal> {
    let limit = context.settings.max_body_bytes;
    let mut reserved = context.bodies.reserve(expected_bytes(headers, limit))?;
    let body_timeout = context.settings.body_timeout.into();
    let body = read_in_time(body, limit, body_timeout, "caller").await;
    let body = body.map_err(|error| body_refusal(&error))?;
    // The body may have arrived long after the head.
    refuse_if_stopping(context)?;
    reserved.shrink(body.len());
    Ok((body, reserved))
}

/// Bytes to reserve for a body: its declared length, or the limit if there is none.
fn expected_bytes(headers: &HeaderMap, limit: usize) -> usize {
    let length = headers.get(CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    length.unwrap_or(limit).min(limit)
}

fn body_refusal(error: &HttpError) -> Refusal {
    let reason = match error {
        HttpError::TooLarge { .. } => RefusalReason::TooLarge,
        HttpError::TimedOut { .. } => RefusalReason::RequestTimeout,
        _ => RefusalReason::InvalidRequest,
    };
    Refusal::not_run(reason, error.to_string())
}
