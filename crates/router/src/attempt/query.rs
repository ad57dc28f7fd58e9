//! Requests to a runner about one execution: query its status, fetch its answer
//! again, cancel it.

use courseshunt_http::{HttpClient, HttpError, empty_body};
use courseshunt_types::runner_api::{ExecutionPhase, ExecutionStatus, execution_path};
use courseshunt_types::{Attempt, Incarnation, RequestId};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use std::time::Duration;

/// Timeout of a status query or a cancellation.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// One execution at one runner.
#[derive(Debug, Clone)]
pub struct RunnerQuery {
    /// `ip:port` of the runner.
    pub address: String,
    /// Incarnation of the runner before the request was sent; `None` if it is
    /// unknown.
    pub incarnation: Option<Incarnation>,
    /// Id of the request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: Attempt,
}

/// The phase of an execution. `None` if the runner does not answer, or if it
/// reports "not started" under another incarnation than the one that got the
/// request.
pub async fn execution_status(client: &HttpClient, query: &RunnerQuery) -> Option<ExecutionPhase> {
    query_runner(client, query, Method::GET, "/status").await
}

/// Cancels an execution; `None` if the runner does not answer. An execution that
/// the runner reports as "not started" will never start.
pub async fn cancel_execution(client: &HttpClient, query: &RunnerQuery) -> Option<ExecutionPhase> {
    query_runner(client, query, Method::DELETE, "").await
}

/// The phase of an execution; one that has not started is cancelled, so that it
/// never starts.
pub async fn cancel_unless_started(
    client: &HttpClient,
    query: &RunnerQuery,
) -> Option<ExecutionPhase> {
    match execution_status(client, query).await {
        Some(ExecutionPhase::NotStarted) => cancel_execution(client, query).await,
        phase => phase,
    }
}

async fn query_runner(
    client: &HttpClient,
    query: &RunnerQuery,
    method: Method,
    suffix: &str,
) -> Option<ExecutionPhase> {
    let path = execution_path(&query.request, query.attempt) + suffix;
    let call = client.call::<()>(method, &query.address, &path, None, None, QUERY_TIMEOUT);
    let reply = call.await.ok()?;
    if !reply.status.is_success() {
        return None;
    }
    let status: ExecutionStatus = serde_json::from_slice(&reply.body).ok()?;
    let same_incarnation = query.incarnation == Some(status.incarnation);
    (same_incarnation || status.phase != ExecutionPhase::NotStarted).then_some(status.phase)
}

/// Fetches the answer of an execution again, a stream from position `from` on.
/// `Ok(None)` if the runner has no record of the execution.
///
/// # Errors
/// When the runner can't be reached or returns another status.
pub async fn fetch_execution(
    client: &HttpClient,
    query: &RunnerQuery,
    from: u32,
) -> Result<Option<Response<Incoming>>, HttpError> {
    let path = execution_path(&query.request, query.attempt);
    let uri = format!("http://{}{path}?from={from}", query.address);
    let fetch_error = |problem: String| HttpError::Broken {
        step: "fetch an execution",
        peer: query.address.clone(),
        problem,
    };
    let request = Request::get(uri).body(empty_body());
    let request = request.map_err(|error| fetch_error(error.to_string()))?;
    let response = client.send(request).await?;
    match response.status() {
        StatusCode::OK => Ok(Some(response)),
        StatusCode::NOT_FOUND => Ok(None),
        status => Err(fetch_error(format!("answered {status}"))),
    }
}
