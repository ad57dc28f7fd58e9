//! The stages of one attempt, as a pure state machine.
//!
//! Invariant: once the first byte may have left, no event but the client's
//! proof that no connection existed, or the runner's own word, leads back to
//! not-run; the first outcome counts.

use super::outcome::{AttemptEnd, NotRunCause, UnknownCause};

/// How far an attempt has come; it only moves forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptStage {
    /// Nothing was sent.
    Granted,
    /// The first byte may have left.
    Sent,
    /// A matching answer has begun.
    Answering,
    /// The outcome is settled.
    Ended,
}

/// What happens to an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEvent {
    /// The request is handed to the HTTP client.
    Sending,
    /// No connection existed, so that no byte left.
    ConnectFailed,
    /// The runner is not known.
    RunnerUnknown,
    /// The runner refused and says that the request did not start.
    Refused(NotRunCause),
    /// The runner says that it never started it, and never will.
    Fenced,
    /// The head of a matching answer came.
    HeadMatched,
    /// Something ended the attempt without the runner's word.
    Failed(UnknownCause),
    /// The whole answer came.
    Finished,
    /// The caller left.
    CallerLeft,
}

/// One attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptMachine {
    stage: AttemptStage,
    outcome: Option<AttemptEnd>,
}

impl Default for AttemptMachine {
    fn default() -> Self {
        Self {
            stage: AttemptStage::Granted,
            outcome: None,
        }
    }
}

impl AttemptMachine {
    /// The present stage.
    #[must_use]
    pub fn stage(&self) -> AttemptStage {
        self.stage
    }

    /// The outcome; an attempt that has not ended may have run as soon as its
    /// first byte may have left.
    #[must_use]
    pub fn outcome(&self) -> AttemptEnd {
        let open = match self.stage {
            AttemptStage::Granted => AttemptEnd::NotRun(NotRunCause::Refused),
            _ => AttemptEnd::Unknown(UnknownCause::Broken),
        };
        self.outcome.unwrap_or(open)
    }

    /// Takes an event in; returns the outcome when this event settled it.
    pub fn step(&mut self, event: AttemptEvent) -> Option<AttemptEnd> {
        if self.stage == AttemptStage::Ended {
            return None;
        }
        let sent = self.stage >= AttemptStage::Sent;
        let answering = self.stage == AttemptStage::Answering;
        let outcome = match event {
            AttemptEvent::Sending => return self.advance(AttemptStage::Sent),
            AttemptEvent::HeadMatched => return self.advance(AttemptStage::Answering),
            AttemptEvent::ConnectFailed if !answering => {
                AttemptEnd::NotRun(NotRunCause::ConnectFailed)
            }
            AttemptEvent::RunnerUnknown if !sent => AttemptEnd::NotRun(NotRunCause::RunnerUnknown),
            AttemptEvent::Refused(cause) if !answering => AttemptEnd::NotRun(cause),
            AttemptEvent::Fenced if !answering => AttemptEnd::NotRun(NotRunCause::Fenced),
            AttemptEvent::Failed(cause) if sent => AttemptEnd::Unknown(cause),
            AttemptEvent::Failed(_) => AttemptEnd::NotRun(NotRunCause::Refused),
            AttemptEvent::Finished if answering => AttemptEnd::Done,
            AttemptEvent::CallerLeft if sent => AttemptEnd::Cancelled,
            AttemptEvent::CallerLeft => AttemptEnd::NotRun(NotRunCause::Refused),
            AttemptEvent::ConnectFailed
            | AttemptEvent::RunnerUnknown
            | AttemptEvent::Refused(_)
            | AttemptEvent::Fenced
            | AttemptEvent::Finished => AttemptEnd::Unknown(UnknownCause::Broken),
        };
        self.stage = AttemptStage::Ended;
        self.outcome = Some(outcome);
        self.outcome
    }

    fn advance(&mut self, stage: AttemptStage) -> Option<AttemptEnd> {
        self.stage = self.stage.max(stage);
        None
    }
}
