//! What became of a request, and why it was refused.

use crate::time::Millis;

/// What is known about a request's execution. Sent as the header
/// [`OUTCOME_HEADER`].
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
    /// The request ran and its whole answer was given.
    Done,
    /// It is proved that the request did not run.
    NotRun,
    /// The request may have run.
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

/// Why a request was refused.
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
    /// The body or a header could not be read.
    InvalidRequest,
    /// The bearer token is missing or unknown.
    Unauthorized,
    /// The tenant may not use this deployment.
    Forbidden,
    /// No such deployment, adapter or job.
    UnknownModel,
    /// The same idempotency key came with another body.
    KeyConflict,
    /// A request with this idempotency key is still running.
    InProgress,
    /// The body, or the answer, is larger than the limit.
    TooLarge,
    /// The tenant's rate limit is reached.
    RateLimited,
    /// The waiting queue of the class or tenant is full.
    QueueFull,
    /// The deadline can't be met, or has passed.
    DeadlineExceeded,
    /// The router is stopping.
    ShuttingDown,
    /// No capacity can be had: no runner fits or loading failed.
    NoCapacity,
    /// The replicated ledger has no quorum, so a claim can't be recorded.
    LedgerUnavailable,
    /// A runner failed and no attempt is left.
    RunnerFailed,
    /// The caller cancelled.
    Cancelled,
    /// There is no such page.
    NotFound,
    /// The page does not take this method.
    MethodNotAllowed,
    /// The request did not arrive whole in time.
    RequestTimeout,
    /// The headers are larger than the limit.
    HeadersTooLarge,
    /// The job has ended already.
    JobEnded,
}

impl RefusalReason {
    /// The HTTP status for this reason.
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

    /// The machine-readable code in an error body and in metrics.
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

/// A refusal as told to a caller. It is given as soon as it is known; when the
/// caller should come back is told by `retry_after`.
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
    /// Why.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// When to come back, if that is worth while.
    pub retry_after: Option<Millis>,
    /// A sentence for a person.
    pub message: String,
}

impl Refusal {
    /// A refusal of a request that is proved not to have run.
    #[must_use]
    pub fn not_run(reason: RefusalReason, message: impl Into<String>) -> Self {
        Self {
            reason,
            outcome: Outcome::NotRun,
            retry_after: None,
            message: message.into(),
        }
    }

    /// A refusal of a request that may have run.
    #[must_use]
    pub fn unknown(reason: RefusalReason, message: impl Into<String>) -> Self {
        Self {
            reason,
            outcome: Outcome::Unknown,
            retry_after: None,
            message: message.into(),
        }
    }

    /// Adds the time after which a retry is worth while.
    #[must_use]
    pub fn with_retry_after(mut self, length: Millis) -> Self {
        self.retry_after = Some(length);
        self
    }
}
