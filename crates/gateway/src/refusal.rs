//! The router's own answers.

use courseshunt_http::{Body, full_body};
use courseshunt_types::Millis;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// Why a request is not answered by an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// No configuration is known yet.
    NoConfiguration,
    /// A newer configuration is in force than the one known here, or may be.
    Behind,
    /// There is no such route.
    NoRoute,
    /// The request carries no key that a tenant holds.
    UnknownKey,
    /// The request is beyond its tenant's limit.
    OverQuota,
    /// The body is longer than allowed.
    TooLarge,
    /// The body did not come in time, or not whole.
    BrokenBody,
    /// No instance could take it in time; it has not run.
    NoInstance,
    /// Every instance that was asked turned it away; it has not run.
    TurnedAway,
    /// Instances ended under requests that asked the same; it has not run.
    Quarantined,
    /// This router stops; it has not run.
    Stopping,
    /// Its time is over; it may have run.
    TimedOut,
    /// The instance's answer broke off; it may have run.
    Broken,
}

impl Refusal {
    /// The status that clients see.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BrokenBody => StatusCode::BAD_REQUEST,
            Self::NoConfiguration
            | Self::Behind
            | Self::NoInstance
            | Self::TurnedAway
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

    /// Whether the connection can't be used further.
    fn closes(self) -> bool {
        matches!(self, Self::TooLarge | Self::BrokenBody | Self::Stopping)
    }

    /// A word for logs and metrics.
    pub(crate) fn word(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::Behind => "behind",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::OverQuota => "over_quota",
            Self::TooLarge => "too_large",
            Self::BrokenBody => "broken_body",
            Self::NoInstance => "no_instance",
            Self::TurnedAway => "turned_away",
            Self::Quarantined => "quarantined",
            Self::Stopping => "stopping",
            Self::TimedOut => "timed_out",
            Self::Broken => "broken",
        }
    }

    /// The whole answer; `retry_after` is told where the request has not run.
    pub(crate) fn response(self, retry_after: Option<Millis>) -> Response<Body> {
        let mut response = Response::new(full_body(self.word()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        let promises = matches!(
            self.status(),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
        );
        if let Some(wait) = retry_after.filter(|_| promises) {
            let seconds = format!("{:.3}", wait.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        if self.closes() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
