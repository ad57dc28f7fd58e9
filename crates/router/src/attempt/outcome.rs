//! Outcomes of attempts, with their causes.

use courseshunt_queue::{AdmissionFailure, AttemptOutcome};
use courseshunt_types::{Millis, Outcome};

/// Proof that an attempt has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunCause {
    /// The runner has been removed from the placement.
    RunnerUnknown,
    /// The last answers of this router's planned stop were due before the request was sent.
    RouterStopping,
    /// No connection was established, or it closed before the first byte was sent.
    ConnectFailed,
    /// The runner refused before admission: it is draining.
    Draining,
    /// The runner refused before admission: the deployment is not loaded.
    NotLoaded,
    /// The runner refused before admission: its own queue is full.
    Full,
    /// The runner refused before admission and requested a backoff of this length.
    InBackoff(Millis),
    /// The runner refused before admission for another reason.
    Refused,
    /// The runner refused before admission: the request is invalid.
    Invalid,
    /// The runner reports that it has not started the request and never will.
    Fenced,
}

/// Why it is unknown whether an attempt has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownCause {
    /// The connection failed before the head of the answer was received.
    Broken,
    /// The runner returned an error that does not state whether the request started.
    RunnerError,
    /// The answer belongs to another request or attempt.
    Mismatched,
    /// The answer ended before it was complete and could not be resumed.
    Truncated,
    /// The runner did not respond.
    Unresponsive,
    /// The deadline passed during the attempt.
    DeadlinePassed,
    /// The answer exceeds the size limit.
    TooLarge,
}

/// The end of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It is proved not to have run.
    NotRun(NotRunCause),
    /// It may have run.
    Unknown(UnknownCause),
    /// The complete answer was received.
    Done,
    /// The caller disconnected; the execution is cancelled at the runner.
    Cancelled,
}

impl NotRunCause {
    /// Name for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::RunnerUnknown => "runner_unknown",
            Self::RouterStopping => "router_stopping",
            Self::ConnectFailed => "connect_failed",
            Self::Draining => "draining",
            Self::NotLoaded => "not_loaded",
            Self::Full => "full",
            Self::InBackoff(_) => "resting",
            Self::Refused => "refused",
            Self::Invalid => "invalid",
            Self::Fenced => "fenced",
        }
    }

    /// The cause for the error code in a runner's refusal.
    #[must_use]
    pub fn of_refusal(code: &str) -> Self {
        match code {
            "draining" => Self::Draining,
            "not_loaded" => Self::NotLoaded,
            "full" => Self::Full,
            _ => Self::Refused,
        }
    }

    fn report(self) -> AttemptOutcome {
        match self {
            Self::RunnerUnknown | Self::RouterStopping | Self::Invalid => AttemptOutcome::Unused,
            Self::Draining => AttemptOutcome::NotAdmitted(AdmissionFailure::Draining),
            Self::NotLoaded => AttemptOutcome::NotAdmitted(AdmissionFailure::NotLoaded),
            Self::InBackoff(backoff) => {
                AttemptOutcome::NotAdmitted(AdmissionFailure::Resting(backoff))
            }
            Self::Full | Self::Refused => AttemptOutcome::NotAdmitted(AdmissionFailure::Busy),
            Self::ConnectFailed | Self::Fenced => {
                AttemptOutcome::NotAdmitted(AdmissionFailure::Unreachable)
            }
        }
    }

    /// Whether the refusal is part of normal operation, so that the next attempt
    /// takes no token from the retry budget.
    #[must_use]
    pub fn is_ordinary(self) -> bool {
        matches!(self, Self::RunnerUnknown | Self::Draining | Self::NotLoaded)
    }
}

impl UnknownCause {
    /// Name for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Broken => "broken",
            Self::RunnerError => "runner_error",
            Self::Mismatched => "crossed",
            Self::Truncated => "cut_short",
            Self::Unresponsive => "silent",
            Self::DeadlinePassed => "deadline_passed",
            Self::TooLarge => "too_large",
        }
    }
}

impl AttemptEnd {
    /// Name for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun(cause) => cause.as_str(),
            Self::Unknown(cause) => cause.as_str(),
            Self::Done => "done",
            Self::Cancelled => "cancelled",
        }
    }

    /// The outcome that is reported to the caller.
    #[must_use]
    pub fn outcome(self) -> Outcome {
        match self {
            Self::NotRun(_) => Outcome::NotRun,
            Self::Unknown(_) | Self::Cancelled => Outcome::Unknown,
            Self::Done => Outcome::Done,
        }
    }

    /// The report about the runner to the owner of the queue.
    #[must_use]
    pub fn report(self, times: AttemptTimes) -> AttemptOutcome {
        match self {
            Self::NotRun(cause) => cause.report(),
            Self::Unknown(UnknownCause::DeadlinePassed | UnknownCause::TooLarge) => {
                AttemptOutcome::Cancelled
            }
            Self::Unknown(_) => AttemptOutcome::Failed,
            Self::Done => AttemptOutcome::Done {
                first_byte: times.first_byte,
                total: times.total,
            },
            Self::Cancelled => AttemptOutcome::Cancelled,
        }
    }
}

/// Durations of an attempt, measured from the start of the send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AttemptTimes {
    /// Time until the head of the answer.
    pub first_byte: Millis,
    /// Time until the end of the attempt.
    pub total: Millis,
}
