//! What is known about an attempt after its end.

use courseshunt_types::Outcome;
use courseshunt_wire::message::GrantEnding;

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
    /// The runner refused before admission for another reason.
    Refused,
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
pub enum AttemptOutcome {
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
            Self::Refused => "refused",
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

impl AttemptOutcome {
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
    pub fn grant_ending(self) -> GrantEnding {
        match self {
            Self::NotRun(NotRunCause::Draining) => GrantEnding::RunnerDraining,
            Self::NotRun(NotRunCause::RunnerUnknown) => GrantEnding::Unused,
            Self::NotRun(_) => GrantEnding::RunnerFailed,
            Self::Unknown(UnknownCause::DeadlinePassed | UnknownCause::TooLarge) => {
                GrantEnding::Finished
            }
            Self::Unknown(_) => GrantEnding::RunnerFailed,
            Self::Done | Self::Cancelled => GrantEnding::Finished,
        }
    }
}
