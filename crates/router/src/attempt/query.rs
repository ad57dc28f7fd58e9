//! Questions to a runner about one execution: its status, its answer again,
//! its end.

use courseshunt_http::{HttpClient, HttpError, empty_body};
use courseshunt_types::runner_api::{ExecutionPhase, ExecutionStatus, execution_path};
use courseshunt_types::{Attempt, Incarnation, RequestId};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use std::time::Duration;

/// Longest wait for the answer to a question.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// One execution at one runner.
#[derive(Debug, Clone)]
pub struct RunnerQuery {
    /// `ip:port` of the runner.
    pub address: String,
    /// Its incarnation before the request was sent, if known.
    pub incarnation: Option<Incarnation>,
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: Attempt,
}

/// The phase of an execution; `None` when the runner gives no answer, or when
/// another process than the one that got the request says "not started".
pub async fn execution_status(client: &HttpClient, query: &RunnerQuery) -> Option<ExecutionPhase> {
    ask(client, query, Method::GET, "/status").await
}

/// Ends an execution; `None` when the runner gives no answer. An execution of
/// which it says "not started" will never start.
pub async fn cancel_execution(client: &HttpClient, query: &RunnerQuery) -> Option<ExecutionPhase> {
    ask(client, query, Method::DELETE, "").await
}

/// The phase of an execution, which is fenced if it has not started.
pub async fn cancel_unless_started(
    client: &HttpClient,
    query: &RunnerQuery,
) -> Option<ExecutionPhase> {
    match execution_status(client, query).await {
        Some(ExecutionPhase::NotStarted) => cancel_execution(client, query).await,
        phase => phase,
    }
}

async fn ask(
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
    let same = query.incarnation == Some(status.incarnation);
    (same || status.phase != ExecutionPhase::NotStarted).then_some(status.phase)
}

/// Asks for the answer again, a stream from token `from` on. `Ok(None)` when
/// the runner knows nothing of the execution.
///
/// # Errors
/// When the runner can't be reached or answers something else.
pub async fn fetch_execution(
    client: &HttpClient,
    query: &RunnerQuery,
    from: u32,
) -> Result<Option<Response<Incoming>>, HttpError> {
    let path = execution_path(&query.request, query.attempt);
    let uri = format!("http://{}{path}?from={from}", query.address);
    let broken = |problem: String| HttpError::Broken {
        step: "fetch an execution",
        peer: query.address.clone(),
        problem,
    };
    let request = Request::get(uri).body(empty_body());
    let request = request.map_err(|error| broken(error.to_string()))?;
    let response = client.send(request).await?;
    match response.status() {
        StatusCode::OK => Ok(Some(response)),
        StatusCode::NOT_FOUND => Ok(None),
        status => Err(broken(format!("answered {status}"))),
    }
}
