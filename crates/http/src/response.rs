//! Usual responses.

use crate::body::{Body, full_body};
use courseshunt_types::outcome::OUTCOME_HEADER;
use courseshunt_types::{Outcome, Refusal};
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;

/// A JSON response.
#[must_use]
pub fn json_response(status: StatusCode, content: &impl Serialize) -> Response<Body> {
    let content = serde_json::to_vec(content).unwrap_or_default();
    let mut response = Response::new(full_body(content));
    *response.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// A plain-text response.
#[must_use]
pub fn text_response(status: StatusCode, content: impl Into<String>) -> Response<Body> {
    let mut response = Response::new(full_body(content.into()));
    *response.status_mut() = status;
    let text = hyper::header::HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, text);
    response
}

/// The error object that OpenAI-style callers expect.
#[must_use]
pub fn openai_error(code: &str, outcome: Outcome, message: &str) -> serde_json::Value {
    serde_json::json!({
        "error": {
            "message": message,
            "type": code,
            "code": code,
            "outcome": outcome.as_str(),
        }
    })
}

/// A refusal as a response for callers.
#[must_use]
pub fn refusal_response(refusal: &Refusal) -> Response<Body> {
    let status = StatusCode::from_u16(refusal.reason.http_status());
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let code = refusal.reason.code();
    let content = openai_error(code, refusal.outcome, &refusal.message);
    let mut response = json_response(status, &content);
    let outcome = hyper::header::HeaderValue::from_static(refusal.outcome.as_str());
    response.headers_mut().insert(OUTCOME_HEADER, outcome);
    if let Some(length) = refusal.retry_after {
        let seconds = length.0.div_ceil(1000).max(1);
        response.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    response
}

/// The bearer token of a request.
#[must_use]
pub fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let token = value.strip_prefix("Bearer ")?.trim();
    (!token.is_empty()).then_some(token)
}
