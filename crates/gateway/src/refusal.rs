//! Responses that the router itself gives.
//!
//! Invariant: a response with the status 408, 429 or 503 states that the request has not run.

use courseshunt_http::{Body, full_body};
use courseshunt_types::Millis;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// Why a request was not answered by an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The router has no configuration yet.
    NoConfiguration,
    /// A newer configuration than this router's is in force, or may be.
    Stale,
    /// No route matches.
    NoRoute,
    /// The request carries no key of a tenant.
    UnknownKey,
    /// The request exceeds its tenant's quota.
    OverQuota,
    /// The body is longer than allowed.
    TooLarge,
    /// The body was incomplete or did not arrive in time.
    BrokenBody,
    /// The process has no memory left for the body; the request has not run.
    NoMemory,
    /// The body had stopped arriving, and its memory was needed for another one. The request was
    /// never complete, so it has not run and never will.
    BodyGivenUp,
    /// Nothing of the body arrived for the idle timeout. The request was never complete, so it has
    /// not run and never will.
    BodyStopped,
    /// No instance could accept the request in time; it has not run.
    NoInstance,
    /// This router has lost its paths to all instances that could serve the request, and knows no
    /// other router that forwards it; it has not run.
    PathLost,
    /// Every instance that was tried refused the request; it has not run.
    TurnedAway,
    /// The request resumes a stream, and it is not known which instances may continue it; it has not
    /// run.
    UnknownOrigin,
    /// The request resumes a stream, and no instance serves that may continue it; it has not run.
    WriterGone,
    /// Instances ended while they ran requests with the same content; the request has not run.
    Quarantined,
    /// The router is stopping; the request has not run.
    Stopping,
    /// The deadline passed; the request may have run.
    TimedOut,
    /// The response of the instance was truncated; the request may have run.
    Broken,
}

impl Refusal {
    /// HTTP status of the response.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BrokenBody => StatusCode::BAD_REQUEST,
            Self::BodyGivenUp | Self::BodyStopped => StatusCode::REQUEST_TIMEOUT,
            Self::NoConfiguration
            | Self::Stale
            | Self::NoMemory
            | Self::NoInstance
            | Self::PathLost
            | Self::TurnedAway
            | Self::UnknownOrigin
            | Self::WriterGone
            | Self::Quarantined
            | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::Broken => StatusCode::BAD_GATEWAY,
        }
    }

    /// Whether the request may have run.
    pub(crate) fn may_have_run(self) -> bool {
        matches!(self, Self::TimedOut | Self::Broken)
    }

    /// Whether the connection must be closed after the response.
    fn closes_connection(self) -> bool {
        matches!(
            self,
            Self::TooLarge
                | Self::BrokenBody
                | Self::NoMemory
                | Self::BodyGivenUp
                | Self::BodyStopped
                | Self::Stopping
        )
    }

    /// Value for the body, records and metrics.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::Stale => "behind",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::OverQuota => "over_quota",
            Self::TooLarge => "too_large",
            Self::BrokenBody => "broken_body",
            Self::NoMemory => "no_memory",
            Self::BodyGivenUp => "body_given_up",
            Self::BodyStopped => "body_stopped",
            Self::NoInstance => "no_instance",
            Self::PathLost => "path_lost",
            Self::TurnedAway => "turned_away",
            Self::UnknownOrigin => "unknown_origin",
            Self::WriterGone => "writer_gone",
            Self::Quarantined => "quarantined",
            Self::Stopping => "stopping",
            Self::TimedOut => "timed_out",
            Self::Broken => "broken",
        }
    }

    /// Builds the response. `retry_after` is sent only if the status states that the request
    /// has not run.
    pub(crate) fn response(self, retry_after: Option<Millis>) -> Response<Body> {
        let mut response = Response::new(full_body(self.reason()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        let states_retry_after = matches!(
            self.status(),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
        );
        if let Some(wait) = retry_after.filter(|_| states_retry_after) {
            let seconds = format!("{:.3}", wait.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        if self.closes_connection() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
