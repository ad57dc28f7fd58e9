//! Reads one whole answer, fetched again from the same runner after a break.

use super::counts::Count;
use super::events::{EventParser, EventVerdict, judge_event};
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

/// Longest whole answer, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Times that a broken answer is fetched again.
const MAX_FETCHES: u32 = 3;
/// Pause before the first fetch; each further one takes twice as long.
const FETCH_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for the end of an execution that a lost router started.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3600);
const EVENT_STREAM: &str = "text/event-stream";

/// Reads the whole answer of an attempt, a stream with all its events.
///
/// # Errors
/// How the attempt ended, when the answer can't be had whole.
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
        if let Some(whole) = response.take() {
            let body = whole.into_body();
            let limit = open.time_left();
            match read_in_time(body, MAX_ANSWER_BYTES, limit, "runner").await {
                Ok(body) => match judge_body(&body, &open.query().request) {
                    BodyVerdict::Own => {
                        open.end(AttemptEvent::Finished);
                        return Ok(body);
                    }
                    BodyVerdict::Crossed => open.context().counts.add(Count::Mismatched),
                    BodyVerdict::CutShort => open.context().counts.add(Count::Truncated),
                },
                Err(HttpError::TooLarge { .. }) => {
                    return Err(open.end(AttemptEvent::Failed(UnknownCause::TooLarge)));
                }
                Err(HttpError::TimedOut { .. }) => {
                    let event = open.give_up().await;
                    return Err(open.end(event));
                }
                Err(error) => {
                    log::info!("attempt: {}: {error}", open.query().request);
                    open.context().counts.add(Count::Truncated);
                }
            }
        }
        if fetches == MAX_FETCHES {
            return Err(open.end(AttemptEvent::Failed(UnknownCause::CutShort)));
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
        Ok(None) => Err(open.end(AttemptEvent::Failed(UnknownCause::CutShort))),
        Err(error) => {
            log::info!("attempt: {}: {error}", open.query().request);
            Ok(None)
        }
    }
}

/// Reads an answer that was fetched from a runner for a lost router. A stream is
/// taken whole only with all its events.
///
/// # Errors
/// What is wrong with it.
pub async fn read_fetched(
    context: &RouterContext,
    query: &RunnerQuery,
    response: Response<Incoming>,
) -> Result<StoredAnswer, String> {
    if !head_matches(context, query, &response) {
        return Err("the answer belongs to another request".to_owned());
    }
    let status = response.status().as_u16();
    let content_type = content_type(&response);
    let body = response.into_body();
    let body = read_in_time(body, MAX_ANSWER_BYTES, FETCH_TIMEOUT, &query.address).await;
    let body = body.map_err(|error| error.to_string())?;
    let whole = match content_type.starts_with(EVENT_STREAM) {
        true => is_whole_stream(&body, &query.request),
        false => judge_body(&body, &query.request) == BodyVerdict::Own,
    };
    if !whole {
        return Err("the answer is not whole".to_owned());
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
        match judge_event(&event, request, next) {
            EventVerdict::Next => next += 1,
            EventVerdict::Done => return parser.next_event().is_none(),
            _ => return false,
        }
    }
    false
}

#[derive(serde::Deserialize)]
struct AnswerHead {
    id: Option<String>,
}

/// Whose a whole answer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyVerdict {
    /// The request's own, or it names none.
    Own,
    /// Another request's.
    Crossed,
    /// It is no whole answer.
    CutShort,
}

fn judge_body(body: &[u8], request: &RequestId) -> BodyVerdict {
    let head: Result<AnswerHead, _> = serde_json::from_slice(body);
    match head {
        Ok(head) if head.id.as_deref().is_none_or(|id| id == request.as_str()) => BodyVerdict::Own,
        Ok(_) => BodyVerdict::Crossed,
        Err(_) => BodyVerdict::CutShort,
    }
}
