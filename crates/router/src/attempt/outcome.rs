//! What is known about an attempt after its end.

use courseshunt_queue::{AdmissionFailure, AttemptOutcome};
use courseshunt_types::{Millis, Outcome};

/// Why an attempt is proved not to have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunCause {
    /// The runner is not known here any more.
    RunnerUnknown,
    /// No connection could be made, or it closed before the first byte.
    ConnectFailed,
    /// The runner refused before admission: it drains.
    Draining,
    /// The runner refused before admission: the deployment is not loaded.
    NotLoaded,
    /// The runner refused before admission: its own queue is full.
    Full,
    /// The runner refused before admission, and asks to be left alone for so long.
    Resting(Millis),
    /// The runner refused before admission for another reason.
    Refused,
    /// The runner refused before admission: it can't read the request.
    Invalid,
    /// The runner says that it never started it, and never will.
    Fenced,
}

/// Why it is not known whether an attempt ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownCause {
    /// The connection broke before the head of the answer.
    Broken,
    /// The runner answered with an error and did not say whether it started.
    RunnerError,
    /// The answer belongs to another request or attempt.
    Crossed,
    /// The answer ended early and could not be resumed.
    CutShort,
    /// The runner gave no sign of life.
    Silent,
    /// The deadline passed while it ran.
    DeadlinePassed,
    /// The answer is longer than the limit.
    TooLarge,
}

/// The end of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It is proved not to have run.
    NotRun(NotRunCause),
    /// It may have run.
    Unknown(UnknownCause),
    /// The whole answer came.
    Done,
    /// The caller left; the runner was told to stop.
    Cancelled,
}

impl NotRunCause {
    /// Name for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::RunnerUnknown => "runner_unknown",
            Self::ConnectFailed => "connect_failed",
            Self::Draining => "draining",
            Self::NotLoaded => "not_loaded",
            Self::Full => "full",
            Self::Resting(_) => "resting",
            Self::Refused => "refused",
            Self::Invalid => "invalid",
            Self::Fenced => "fenced",
        }
    }

    /// Reads the code of a runner's refusal.
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
            Self::RunnerUnknown | Self::Invalid => AttemptOutcome::Unused,
            Self::Draining => AttemptOutcome::NotAdmitted(AdmissionFailure::Draining),
            Self::NotLoaded => AttemptOutcome::NotAdmitted(AdmissionFailure::NotLoaded),
            Self::Resting(rest) => AttemptOutcome::NotAdmitted(AdmissionFailure::Resting(rest)),
            Self::Full | Self::Refused => AttemptOutcome::NotAdmitted(AdmissionFailure::Busy),
            Self::ConnectFailed | Self::Fenced => {
                AttemptOutcome::NotAdmitted(AdmissionFailure::Unreachable)
            }
        }
    }

    /// Whether the refusal is part of ordinary operation, so that another
    /// attempt takes nothing from the retry budget.
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
            Self::Crossed => "crossed",
            Self::CutShort => "cut_short",
            Self::Silent => "silent",
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

    /// What a caller is told.
    #[must_use]
    pub fn outcome(self) -> Outcome {
        match self {
            Self::NotRun(_) => Outcome::NotRun,
            Self::Unknown(_) | Self::Cancelled => Outcome::Unknown,
            Self::Done => Outcome::Done,
        }
    }

    /// What the queue's owner is told about the runner.
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

/// Times of an attempt, from the sending on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AttemptTimes {
    /// Until the first byte of the answer.
    pub first_byte: Millis,
    /// Until the end.
    pub total: Millis,
}
