//! Faults that a test plans for a runner's next completions.

use courseshunt_types::Millis;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

/// Faults for the next completions, one for each; runners may share a plan.
#[derive(Debug, Clone, Default)]
pub struct FaultPlan {
    faults: Arc<Mutex<VecDeque<RunnerFault>>>,
}

impl FaultPlan {
    /// Replaces the plan.
    pub fn set(&self, faults: impl IntoIterator<Item = RunnerFault>) {
        let mut planned = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        *planned = faults.into_iter().collect();
    }

    pub(super) fn next(&self) -> RunnerFault {
        let mut planned = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        planned.pop_front().unwrap_or(RunnerFault::None)
    }
}

/// What goes wrong with one completion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunnerFault {
    /// Nothing; the completion is served as usual.
    None,
    /// The whole process dies; see [`super::RunnerServer::restart`].
    Die(FaultPoint),
    /// The connection breaks; the process lives on.
    Reset(FaultPoint),
    /// The stream ends early as if it were whole, without its last event.
    CutShort {
        /// Tokens sent before the end.
        tokens: u32,
    },
    /// Like [`Self::CutShort`], and the runner forgets the execution.
    CutShortAndForget {
        /// Tokens sent before the end.
        tokens: u32,
    },
    /// Every event of the stream is sent twice.
    Doubled,
    /// Between the events come those of another request, and a whole answer
    /// carries another request's identity.
    Crossed,
    /// The head names another request.
    WrongRequest,
    /// The head names an earlier attempt.
    WrongAttempt,
    /// The answer comes later.
    Late(Millis),
    /// Nothing is admitted and nothing answered.
    Hang,
    /// Refused before admission, with this code, such as `draining`.
    Refuse(&'static str),
    /// Refused before admission, with the wish to be left alone for so long.
    AskRest(Millis),
    /// An error without a word on whether the request started.
    Error,
    /// An answer with this status, which says that the request has not started, though it has.
    Status(u16),
}

/// When a fault strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultPoint {
    /// Before the engine admitted the request.
    BeforeAdmission,
    /// After admission, before the head of the answer.
    AfterAdmission,
    /// After this many tokens of the answer.
    AfterTokens(u32),
}

impl RunnerFault {
    /// Tokens after which the answer breaks off.
    pub(super) fn break_after(self) -> Option<u32> {
        match self {
            Self::Die(FaultPoint::AfterTokens(tokens))
            | Self::Reset(FaultPoint::AfterTokens(tokens))
            | Self::CutShort { tokens }
            | Self::CutShortAndForget { tokens } => Some(tokens),
            _ => None,
        }
    }
}
