//! A deferred plan: handed in at one router, fetched at another.

use super::TENANT_TOKEN;
use super::caller::{CallerAnswer, Times};
use crate::error::LabError;
use courseshunt_http::HttpClient;
use hyper::Method;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Longest call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for the plan.
const PLAN_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
const PROMPT: &str = "climate plan for tonight";

/// Hands a plan in at one router and fetches its answer at another.
pub async fn deferred(
    model: &str,
    submit_at: SocketAddr,
    fetch_at: SocketAddr,
) -> Result<CallerAnswer, LabError> {
    let client = HttpClient::default();
    let sent = Instant::now();
    let body = super::caller::body(model, PROMPT, false);
    let accepted = call(&client, Method::POST, submit_at, "/v1/jobs", Some(&body)).await?;
    let first_byte = sent.elapsed();
    let path = match accepted["id"].as_str() {
        Some(job) => format!("/v1/jobs/{job}"),
        None => return Err(LabError::violation("the plan got no identity")),
    };
    while sent.elapsed() < PLAN_TIMEOUT {
        let job = call(&client, Method::GET, fetch_at, &path, None).await?;
        let text = job.pointer("/answer/body/choices/0/message/content");
        if let Some(text) = text.and_then(Value::as_str) {
            let total = sent.elapsed();
            return Times { first_byte, total }.check(PROMPT, text);
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    Err(LabError::violation("the plan was not done in time"))
}

async fn call(
    client: &HttpClient,
    method: Method,
    router: SocketAddr,
    path: &str,
    content: Option<&Value>,
) -> Result<Value, LabError> {
    let router = router.to_string();
    let token = Some(TENANT_TOKEN);
    let call = client.call(method, &router, path, token, content, CALL_TIMEOUT);
    let reply = call.await?;
    let body: Value = serde_json::from_slice(&reply.body).unwrap_or(json!({}));
    if !reply.status.is_success() {
        let message = format!("{router}{path} answered {}: {body}", reply.status);
        return Err(LabError::violation(message));
    }
    Ok(body)
}
