//! Sends one granted request to its runner.

use crate::RouterContext;
use bytes::Bytes;
use courseshunt_http::{HttpError, full_body};
use courseshunt_types::runner_api::{
    ATTEMPT_HEADER, NOT_STARTED_HEADER, PRIORITY_HEADER, REQUEST_ID_HEADER,
};
use courseshunt_types::{Attempt, PriorityClass, RequestId, RunnerId};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Request, Response};

/// What came of an attempt.
#[derive(Debug)]
pub enum Attempted {
    /// The runner answers.
    Answered(Response<Incoming>),
    /// The request is proved not to have started.
    NotStarted {
        /// Why.
        reason: String,
        /// Whether the runner is draining.
        draining: bool,
    },
    /// The request may have run.
    Unknown {
        /// Why.
        reason: String,
    },
}

/// One request as sent to a runner.
#[derive(Debug, Clone)]
pub struct RunnerRequest {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: Attempt,
    /// Class, for the engine's own queue.
    pub class: PriorityClass,
    /// Path at the runner.
    pub path: &'static str,
    /// The body, as the caller sent it.
    pub body: Bytes,
}

/// Sends a request and waits for the head of the answer.
pub async fn send_to_runner(
    context: &RouterContext,
    runner: &RunnerId,
    request: &RunnerRequest,
) -> Attempted {
    let Some(endpoint) = context.view.runner(runner) else {
        return not_started(format!("runner {runner} is not known any more"));
    };
    let built = Request::post(format!("http://{}{}", endpoint.address, request.path))
        .header(CONTENT_TYPE, "application/json")
        .header(REQUEST_ID_HEADER, request.request.as_str())
        .header(ATTEMPT_HEADER, request.attempt.0)
        .header(PRIORITY_HEADER, request.class.as_str())
        .body(full_body(request.body.clone()));
    let built = match built {
        Ok(built) => built,
        Err(error) => return not_started(error.to_string()),
    };
    match context.client.send(built).await {
        Ok(response) => judge(response, request),
        Err(error @ HttpError::Connect { .. }) => not_started(error.to_string()),
        Err(error) => Attempted::Unknown {
            reason: error.to_string(),
        },
    }
}

fn not_started(reason: String) -> Attempted {
    Attempted::NotStarted {
        reason,
        draining: false,
    }
}

fn judge(response: Response<Incoming>, request: &RunnerRequest) -> Attempted {
    let headers = response.headers();
    if headers.contains_key(NOT_STARTED_HEADER) {
        let reason = format!("the runner refused with {}", response.status());
        return not_started(reason);
    }
    let answered = headers
        .get(REQUEST_ID_HEADER)
        .and_then(|value| value.to_str().ok());
    let attempt = headers
        .get(ATTEMPT_HEADER)
        .and_then(|value| value.to_str().ok());
    let attempt = attempt.and_then(|text| text.parse().ok());
    let matches = answered == Some(request.request.as_str()) && attempt == Some(request.attempt.0);
    if !matches {
        return Attempted::Unknown {
            reason: "the answer belongs to another request".to_owned(),
        };
    }
    if !response.status().is_success() {
        return Attempted::Unknown {
            reason: format!("the runner answered {}", response.status()),
        };
    }
    Attempted::Answered(response)
}
