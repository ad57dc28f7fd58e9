//! Outcome of a request, and the reason for a refusal.

use crate::time::Millis;

/// Whether a request was executed, as far as is known. Sent in the header [`OUTCOME_HEADER`].
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request was executed and its whole response was delivered.
    Done,
    /// The request was proved not to have been executed.
    NotRun,
    /// The request may have been executed.
    Unknown,
}

/// Response header that carries an [`Outcome`].
pub const OUTCOME_HEADER: &str = "x-courseshunt-outcome";

impl Outcome {
    /// The value of [`OUTCOME_HEADER`].
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Reason for the refusal of a request.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The body or a header could not be parsed.
    InvalidRequest,
    /// The bearer token is missing or unknown.
    Unauthorized,
    /// The tenant may not use this deployment.
    Forbidden,
    /// The deployment, adapter or job does not exist.
    UnknownModel,
    /// The idempotency key was used before with another body.
    KeyConflict,
    /// A request with the same idempotency key is still in progress.
    InProgress,
    /// The body or the response is larger than the limit.
    TooLarge,
    /// The tenant's rate limit is reached.
    RateLimited,
    /// The queue of the class or tenant is full.
    QueueFull,
    /// The deadline can't be met, or has passed.
    DeadlineExceeded,
    /// The router is stopping.
    ShuttingDown,
    /// No capacity is available: no runner fits, or loading failed.
    NoCapacity,
    /// The replicated ledger has no quorum, so a claim can't be recorded.
    LedgerUnavailable,
    /// A runner failed and no attempts are left.
    RunnerFailed,
    /// The client cancelled the request.
    Cancelled,
    /// The path does not exist.
    NotFound,
    /// The path does not support the method.
    MethodNotAllowed,
    /// The request was not received completely within the time limit.
    RequestTimeout,
    /// The headers are larger than the limit.
    HeadersTooLarge,
    /// The job has ended already.
    JobEnded,
}

impl RefusalReason {
    /// HTTP status for this reason.
    #[must_use]
    pub fn http_status(self) -> u16 {
        match self {
            Self::InvalidRequest => 400,
            Self::Unauthorized => 401,
            Self::Forbidden => 403,
            Self::UnknownModel | Self::NotFound => 404,
            Self::MethodNotAllowed => 405,
            Self::RequestTimeout => 408,
            Self::InProgress | Self::JobEnded => 409,
            Self::TooLarge => 413,
            Self::KeyConflict => 422,
            Self::RateLimited | Self::QueueFull => 429,
            Self::HeadersTooLarge => 431,
            Self::Cancelled => 499,
            Self::RunnerFailed => 502,
            Self::DeadlineExceeded
            | Self::ShuttingDown
            | Self::NoCapacity
            | Self::LedgerUnavailable => 503,
        }
    }

    /// Machine-readable code in error bodies and metrics.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::InvalidRequest => "invalid_request",
            Self::Unauthorized => "unauthorized",
            Self::Forbidden => "forbidden",
            Self::UnknownModel => "unknown_model",
            Self::KeyConflict => "key_conflict",
            Self::InProgress => "in_progress",
            Self::TooLarge => "too_large",
            Self::RateLimited => "rate_limited",
            Self::QueueFull => "queue_full",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::ShuttingDown => "shutting_down",
            Self::NoCapacity => "no_capacity",
            Self::LedgerUnavailable => "ledger_unavailable",
            Self::RunnerFailed => "runner_failed",
            Self::Cancelled => "cancelled",
            Self::NotFound => "not_found",
            Self::MethodNotAllowed => "method_not_allowed",
            Self::RequestTimeout => "request_timeout",
            Self::HeadersTooLarge => "headers_too_large",
            Self::JobEnded => "job_ended",
        }
    }
}

/// A refusal as sent to a client. It is sent as soon as it is certain that the request can't be
/// served; `retry_after` gives the time after which a retry may succeed.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Whether the request may have been executed.
    pub outcome: Outcome,
    /// Time after which a retry may succeed, if any.
    pub retry_after: Option<Millis>,
    /// Human-readable explanation.
    pub message: String,
}

impl Refusal {
    /// Creates a refusal of a request that was proved not to have been executed.
    #[must_use]
    pub fn not_run(reason: RefusalReason, message: impl Into<String>) -> Self {
        Self {
            reason,
            outcome: Outcome::NotRun,
            retry_after: None,
            message: message.into(),
        }
    }

    /// Creates a refusal of a request that may have been executed.
    #[must_use]
    pub fn unknown(reason: RefusalReason, message: impl Into<String>) -> Self {
        Self {
            reason,
            outcome: Outcome::Unknown,
            retry_after: None,
            message: message.into(),
        }
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Millis) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
