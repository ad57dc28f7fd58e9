//! Reads a complete answer; after a failure it is fetched again from the same
//! runner.

use super::counts::Count;
use super::events::{EventClass, EventParser, classify_event};
use super::machine::AttemptEvent;
use super::outcome::{AttemptEnd, UnknownCause};
use super::query::{RunnerQuery, fetch_execution};
use super::send::{OpenAttempt, head_matches};
use super::stream::EventStream;
use crate::RouterContext;
use bytes::Bytes;
use courseshunt_http::{HttpError, read_in_time};
use courseshunt_state::StoredAnswer;
use courseshunt_types::RequestId;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use std::time::Duration;

/// Maximum length of a complete answer, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Number of times that an incomplete answer is fetched again.
const MAX_FETCHES: u32 = 3;
/// Pause before the first fetch; doubles with each further one.
const FETCH_PAUSE: Duration = Duration::from_millis(50);
/// Timeout for the answer of an execution that a lost router started.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3600);
/// Start of the content type of a stream.
const EVENT_STREAM: &str = "text/event-stream";

/// Reads the complete answer of an attempt; for a stream, all its events.
///
/// # Errors
/// How the attempt ended if the complete answer could not be received.
pub async fn read_answer(
    open: OpenAttempt,
    response: Response<Incoming>,
) -> Result<StoredAnswer, AttemptEnd> {
    let status = response.status().as_u16();
    let content_type = content_type(&response);
    let body = match content_type.starts_with(EVENT_STREAM) {
        true => read_stream(EventStream::new(open, response)).await?,
        false => read_body(open, response).await?.to_vec(),
    };
    Ok(StoredAnswer {
        status,
        content_type,
        body,
    })
}

fn content_type(response: &Response<Incoming>) -> String {
    let value = response.headers().get(CONTENT_TYPE);
    let value = value.and_then(|value| value.to_str().ok());
    value.unwrap_or("application/json").to_owned()
}

async fn read_stream(mut stream: EventStream) -> Result<Vec<u8>, AttemptEnd> {
    let mut body = Vec::new();
    while let Some(event) = stream.next().await? {
        body.extend_from_slice(&event);
        if body.len() > MAX_ANSWER_BYTES {
            return Err(AttemptEnd::Unknown(UnknownCause::TooLarge));
        }
    }
    Ok(body)
}

async fn read_body(
    mut open: OpenAttempt,
    response: Response<Incoming>,
) -> Result<Bytes, AttemptEnd> {
    let mut response = Some(response);
    let mut fetches = 0;
    loop {
        if let Some(answer) = response.take() {
            let body = answer.into_body();
            let timeout = open.time_left();
            match read_in_time(body, MAX_ANSWER_BYTES, timeout, "runner").await {
                Ok(body) => match classify_body(&body, &open.query().request) {
                    BodyClass::Matching => {
                        open.end(AttemptEvent::Finished);
                        return Ok(body);
                    }
                    BodyClass::Mismatched => open.context().counts.add(Count::Mismatched),
                    BodyClass::Truncated => open.context().counts.add(Count::Truncated),
                },
                Err(HttpError::TooLarge { .. }) => {
                    return Err(open.end(AttemptEvent::Failed(UnknownCause::TooLarge)));
                }
                Err(HttpError::TimedOut { .. }) => {
                    let event = open.cancel_after_deadline().await;
                    return Err(open.end(event));
                }
                Err(error) => {
                    log::info!(
                        "attempt: {}: reading the answer failed: {error}",
                        open.query().request
                    );
                    open.context().counts.add(Count::Truncated);
                }
            }
        }
        if fetches == MAX_FETCHES {
            return Err(open.end(AttemptEvent::Failed(UnknownCause::Truncated)));
        }
        response = fetch_again(&mut open, fetches).await?;
        fetches += 1;
    }
}

async fn fetch_again(
    open: &mut OpenAttempt,
    fetches: u32,
) -> Result<Option<Response<Incoming>>, AttemptEnd> {
    tokio::time::sleep(FETCH_PAUSE * 2_u32.pow(fetches)).await;
    let fetched = fetch_execution(&open.context().client, open.query(), 0).await;
    match fetched {
        Ok(Some(response)) if open.matches(&response) => {
            open.context().counts.add(Count::Resumed);
            Ok(Some(response))
        }
        Ok(Some(_)) => Ok(None),
        Ok(None) => Err(open.end(AttemptEvent::Failed(UnknownCause::Truncated))),
        Err(error) => {
            log::info!(
                "attempt: {}: reading the answer failed: {error}",
                open.query().request
            );
            Ok(None)
        }
    }
}

/// Reads an answer that was fetched from a runner for a lost router. A stream
/// must have all its events.
///
/// # Errors
/// Why the answer is not usable.
pub async fn read_fetched(
    context: &RouterContext,
    query: &RunnerQuery,
    response: Response<Incoming>,
) -> Result<StoredAnswer, String> {
    if !head_matches(context, query, &response) {
        return Err("the answer does not match the request id and attempt".to_owned());
    }
    let status = response.status().as_u16();
    let content_type = content_type(&response);
    let body = response.into_body();
    let body = read_in_time(body, MAX_ANSWER_BYTES, FETCH_TIMEOUT, &query.address).await;
    let body = body.map_err(|error| error.to_string())?;
    let complete = match content_type.starts_with(EVENT_STREAM) {
        true => is_whole_stream(&body, &query.request),
        false => classify_body(&body, &query.request) == BodyClass::Matching,
    };
    if !complete {
        return Err("the answer is incomplete".to_owned());
    }
    Ok(StoredAnswer {
        status,
        content_type,
        body: body.to_vec(),
    })
}

fn is_whole_stream(body: &[u8], request: &RequestId) -> bool {
    let mut parser = EventParser::default();
    parser.push(body);
    let mut next = 0;
    while let Some(event) = parser.next_event() {
        match classify_event(&event, request, next) {
            EventClass::Next => next += 1,
            EventClass::Done => return parser.next_event().is_none(),
            _ => return false,
        }
    }
    false
}

#[derive(serde::Deserialize)]
struct AnswerHead {
    id: Option<String>,
}

/// How a received body relates to the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyClass {
    /// It carries the id of the request, or none.
    Matching,
    /// It carries the id of another request.
    Mismatched,
    /// It is not a complete JSON document.
    Truncated,
}

fn classify_body(body: &[u8], request: &RequestId) -> BodyClass {
    let head: Result<AnswerHead, _> = serde_json::from_slice(body);
    match head {
        Ok(head) if head.id.as_deref().is_none_or(|id| id == request.as_str()) => {
            BodyClass::Matching
        }
        Ok(_) => BodyClass::Mismatched,
        Err(_) => BodyClass::Truncated,
    }
}
