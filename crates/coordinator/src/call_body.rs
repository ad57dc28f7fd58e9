//! Reads the bodies of calls to the control address, within one memory budget for the process.
//!
//! Invariant: a call whose body was not read whole has changed nothing, and its connection is closed.

use crate::Shared;
use crate::records::ControllerRecord;
use bytes::Bytes;
use courseshunt_http::{Body, BodyLimits, BodyProblem, BodyReader, BodySource, text_response};
use courseshunt_records::emit;
use courseshunt_wire::MAX_COMMAND_BYTES;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Response, StatusCode};
use std::time::Duration;
use tokio::time::Instant;

/// Longest configuration document, in bytes.
const MAX_DOCUMENT_BYTES: usize = MAX_COMMAND_BYTES - ENVELOPE_BYTES;
/// Room for the other fields of the command that carries a document, in bytes.
const ENVELOPE_BYTES: usize = 1024;
/// Longest registration, in bytes.
const MAX_REGISTRATION_BYTES: usize = 256 * 1024;
/// Longest time for a document, and for a registration, to arrive after the head of its call.
const DOCUMENT_TIMEOUT: Duration = Duration::from_secs(15);
const REGISTRATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time without a byte.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// What a body holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallBody {
    /// An operator's configuration.
    Document,
    /// A message of an instance: a registration or a departure.
    Registration,
}

impl CallBody {
    /// Value in records and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Document => "document",
            Self::Registration => "registration",
        }
    }

    fn limits(self) -> BodyLimits {
        let (max_bytes, timeout) = match self {
            Self::Document => (MAX_DOCUMENT_BYTES, DOCUMENT_TIMEOUT),
            Self::Registration => (MAX_REGISTRATION_BYTES, REGISTRATION_TIMEOUT),
        };
        BodyLimits {
            source: BodySource::Client,
            max_bytes,
            deadline: Instant::now() + timeout,
            idle_timeout: IDLE_TIMEOUT,
        }
    }
}

/// Reads the body of a call.
///
/// # Errors
/// The response, if the body is not read whole.
pub(crate) async fn read(
    kind: CallBody,
    body: Incoming,
    shared: &Shared,
) -> Result<Bytes, Box<Response<Body>>> {
    let read = BodyReader::new(body, kind.limits(), &shared.memory)
        .read()
        .await;
    read.map_err(|problem| Box::new(refuse(kind, &problem, shared)))
}

/// Refuses a call and records why.
fn refuse(kind: CallBody, problem: &BodyProblem, shared: &Shared) -> Response<Body> {
    let (status, reason) = match problem {
        BodyProblem::TooLong { .. } => (StatusCode::PAYLOAD_TOO_LARGE, "too_large"),
        BodyProblem::NoMemory => (StatusCode::SERVICE_UNAVAILABLE, "no_memory"),
        BodyProblem::GivenUp => (StatusCode::REQUEST_TIMEOUT, "body_given_up"),
        BodyProblem::Stopped => (StatusCode::REQUEST_TIMEOUT, "body_stopped"),
        BodyProblem::Late => (StatusCode::REQUEST_TIMEOUT, "body_late"),
        BodyProblem::Broken { .. } => (StatusCode::BAD_REQUEST, "broken_body"),
    };
    let problem = problem.to_string();
    shared.metrics.body_refused(kind.name(), reason);
    emit(&ControllerRecord::BodyRefused {
        body: kind.name(),
        reason,
        status: status.as_u16(),
        problem: &problem,
    });
    let mut response = text_response(status, problem);
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}
