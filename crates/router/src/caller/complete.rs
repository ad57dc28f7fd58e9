//! Serves one completion that may be repeated: wait for a grant, send, relay.

use super::access::AccessRecord;
use super::once_only;
use super::request::{CallerRequest, RepeatRule};
use crate::RouterContext;
use crate::attempt::{AttemptEnd, EventStream, Execution, read_answer};
use crate::dispatch::GrantedRequest;
use bytes::Bytes;
use courseshunt_http::{Body, BodySender, channel_body, full_body, openai_error};
use courseshunt_state::StoredAnswer;
use courseshunt_types::outcome::OUTCOME_HEADER;
use courseshunt_types::runner_api::REQUEST_ID_HEADER;
use courseshunt_types::{Outcome, Refusal, RefusalReason, RequestId};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};

/// Start of the content type of a stream.
const EVENT_STREAM: &str = "text/event-stream";

/// Serves a request.
pub async fn run(
    context: &RouterContext,
    request: CallerRequest,
) -> Result<Response<Body>, Refusal> {
    match request.repeat.clone() {
        RepeatRule::Any => repeatable(context, &request).await,
        RepeatRule::Never(key) => once_only::run(context, request, key).await,
    }
}

/// An answer that has begun.
enum Answer {
    Whole(StoredAnswer),
    Stream {
        first: Option<Bytes>,
        events: Box<EventStream>,
    },
}

async fn repeatable(
    context: &RouterContext,
    request: &CallerRequest,
) -> Result<Response<Body>, Refusal> {
    let work = request.work(context.clock.now());
    let mut access = AccessRecord::new(context, &work);
    let mut execution = Execution::new(context, &work);
    let answered = answer(&mut execution).await;
    access.note(&execution);
    match answered {
        Ok(Answer::Whole(answer)) => {
            access.first_byte();
            access.done();
            Ok(whole(&work.request, answer))
        }
        Ok(Answer::Stream { first, events }) => {
            access.first_byte();
            let (sender, body) = channel_body();
            let relay = relay(access, first, *events, sender);
            context.tasks.spawn(relay);
            Ok(stream(&work.request, body))
        }
        Err(refusal) => {
            access.refused(&refusal);
            Err(refusal)
        }
    }
}

async fn answer(execution: &mut Execution<'_>) -> Result<Answer, Refusal> {
    loop {
        let granted = execution.grant().await?;
        match attempt(execution, granted).await {
            Ok(answer) => {
                execution.answered();
                return Ok(answer);
            }
            Err(end) => execution.after(end)?,
        }
    }
}

/// One attempt, up to its whole answer or the first event of its stream.
async fn attempt(execution: &Execution<'_>, granted: GrantedRequest) -> Result<Answer, AttemptEnd> {
    let (open, response) = execution.attempt(granted).await?;
    let content_type = response.headers().get(CONTENT_TYPE);
    let streams =
        content_type.is_some_and(|one| one.as_bytes().starts_with(EVENT_STREAM.as_bytes()));
    if !streams {
        return Ok(Answer::Whole(read_answer(open, response).await?));
    }
    let mut events = Box::new(EventStream::new(open, response));
    let first = events.next().await?;
    Ok(Answer::Stream { first, events })
}

/// Relays a stream; a broken one ends with an error event, never silently.
async fn relay(
    access: AccessRecord,
    first: Option<Bytes>,
    mut events: EventStream,
    mut sender: BodySender,
) {
    let mut next: Result<Option<Bytes>, AttemptEnd> = Ok(first);
    loop {
        match next {
            Ok(Some(event)) => {
                if sender.send_data(event).await.is_err() {
                    return;
                }
            }
            Ok(None) => return access.done(),
            Err(end) => {
                let message = format!("the answer is not whole: {}", end.as_str());
                let refusal = Refusal::unknown(RefusalReason::RunnerFailed, message);
                let _ = sender.send_data(error_event(&refusal)).await;
                return access.refused(&refusal);
            }
        }
        next = events.next().await;
    }
}

fn error_event(refusal: &Refusal) -> Bytes {
    let content = openai_error(refusal.reason.code(), refusal.outcome, &refusal.message);
    Bytes::from(format!("data: {content}\n\n"))
}

/// A whole answer as a response.
pub fn whole(request: &RequestId, answer: StoredAnswer) -> Response<Body> {
    let mut response = Response::new(full_body(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    if let Ok(value) = HeaderValue::from_str(&answer.content_type) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    let done = HeaderValue::from_static(Outcome::Done.as_str());
    response.headers_mut().insert(OUTCOME_HEADER, done);
    identify(request, &mut response);
    response
}

fn stream(request: &RequestId, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    let events = HeaderValue::from_static(EVENT_STREAM);
    response.headers_mut().insert(CONTENT_TYPE, events);
    identify(request, &mut response);
    response
}

fn identify(request: &RequestId, response: &mut Response<Body>) {
    if let Ok(value) = HeaderValue::from_str(request.as_str()) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
}
