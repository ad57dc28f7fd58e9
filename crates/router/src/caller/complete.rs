//! Serves a repeatable completion: waits for a grant, sends the request to the
//! runner and relays the answer.

use super::access::AccessRecord;
use super::once_only;
use super::request::{CallerRequest, RepeatRule};
use crate::RouterContext;
use crate::attempt::{AttemptEnd, EventStream, Execution, RequestProgress, read_answer};
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

/// Serves a parsed request: repeatable, or at most once under its key.
pub async fn run(
    context: &RouterContext,
    request: CallerRequest,
    progress: &RequestProgress,
) -> Result<Response<Body>, Refusal> {
    match request.repeat.clone() {
        RepeatRule::Any => run_repeatable(context, &request, progress).await,
        RepeatRule::Never(key) => once_only::run(context, request, key, progress).await,
    }
}

/// An answer of which at least the first event has been received.
enum Answer {
    Complete(StoredAnswer),
    Stream {
        first: Option<Bytes>,
        events: Box<EventStream>,
    },
}

async fn run_repeatable(
    context: &RouterContext,
    request: &CallerRequest,
    progress: &RequestProgress,
) -> Result<Response<Body>, Refusal> {
    let work = request.work(context.clock.now());
    let mut access = AccessRecord::new(context, &work, progress.clone());
    let mut execution = Execution::new(context, &work).with_progress(progress.clone());
    let answered = answer(&mut execution).await;
    access.record_attempts(&execution);
    match answered {
        Ok(Answer::Complete(answer)) => {
            access.record_first_byte();
            access.done();
            Ok(complete_response(&work.request, answer))
        }
        Ok(Answer::Stream { first, events }) => {
            access.record_first_byte();
            let (sender, body) = channel_body();
            let relay = relay(access, first, *events, sender, progress.clone());
            context.tasks.spawn(relay);
            Ok(stream_response(&work.request, body))
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
                execution.record_service_time();
                return Ok(answer);
            }
            Err(end) => execution.handle_end(end)?,
        }
    }
}

/// Makes one attempt, up to its complete answer or the first event of its stream.
async fn attempt(execution: &Execution<'_>, granted: GrantedRequest) -> Result<Answer, AttemptEnd> {
    let (open, response) = execution.attempt(granted).await?;
    let content_type = response.headers().get(CONTENT_TYPE);
    let is_stream =
        content_type.is_some_and(|value| value.as_bytes().starts_with(EVENT_STREAM.as_bytes()));
    if !is_stream {
        return Ok(Answer::Complete(read_answer(open, response).await?));
    }
    let mut events = Box::new(EventStream::new(open, response));
    let first = events.next().await?;
    Ok(Answer::Stream { first, events })
}

/// Relays a stream to the caller. A stream that fails, or has not ended when the last answers of a
/// planned stop are due, ends with an error event.
async fn relay(
    access: AccessRecord,
    first: Option<Bytes>,
    mut events: EventStream,
    mut sender: BodySender,
    progress: RequestProgress,
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
                return end_with_error(access, sender, &refusal).await;
            }
        }
        next = tokio::select! {
            biased;
            event = events.next() => event,
            () = progress.last_answer_due() => {
                let message = "the answer is not whole: the router is stopping";
                let refusal = Refusal::unknown(RefusalReason::ShuttingDown, message);
                return end_with_error(access, sender, &refusal).await;
            }
        };
    }
}

/// Ends a stream with an error event.
async fn end_with_error(access: AccessRecord, mut sender: BodySender, refusal: &Refusal) {
    let _ = sender.send_data(error_event(refusal)).await;
    access.refused(refusal);
}

fn error_event(refusal: &Refusal) -> Bytes {
    let content = openai_error(refusal.reason.code(), refusal.outcome, &refusal.message);
    Bytes::from(format!("data: {content}\n\n"))
}

/// Builds the response for a complete answer.
pub fn complete_response(request: &RequestId, answer: StoredAnswer) -> Response<Body> {
    let mut response = Response::new(full_body(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    if let Ok(value) = HeaderValue::from_str(&answer.content_type) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    let done = HeaderValue::from_static(Outcome::Done.as_str());
    response.headers_mut().insert(OUTCOME_HEADER, done);
    set_request_id(request, &mut response);
    response
}

fn stream_response(request: &RequestId, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    let events = HeaderValue::from_static(EVENT_STREAM);
    response.headers_mut().insert(CONTENT_TYPE, events);
    set_request_id(request, &mut response);
    response
}

fn set_request_id(request: &RequestId, response: &mut Response<Body>) {
    if let Ok(value) = HeaderValue::from_str(request.as_str()) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
}
