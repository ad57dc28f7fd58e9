//! State machine of one attempt; does no I/O.
//!
//! Invariant: once the first byte may have been sent, an attempt counts as not
//! run only if the HTTP client reports that no connection existed or the runner
//! reports that it did not start the request. The first outcome is final.

use super::outcome::{AttemptEnd, NotRunCause, UnknownCause};

/// Progress of an attempt; the stage never goes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptStage {
    /// A slot is granted and nothing has been sent.
    Granted,
    /// The first byte may have been sent.
    Sent,
    /// The head of a matching answer has been received.
    Answering,
    /// The outcome is final.
    Ended,
}

/// Input of the state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEvent {
    /// The request is passed to the HTTP client.
    Sending,
    /// No connection existed, so no byte was sent.
    ConnectFailed,
    /// The runner's address is unknown.
    RunnerUnknown,
    /// The runner refused the request and reports that it did not start.
    Refused(NotRunCause),
    /// The runner reports that it has not started the request and never will.
    Fenced,
    /// The head of a matching answer was received.
    HeadMatched,
    /// The attempt failed without a report of the runner on whether it ran.
    Failed(UnknownCause),
    /// The complete answer was received.
    Finished,
    /// The caller disconnected.
    CallerLeft,
}

/// State of one attempt.
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
    /// The current stage.
    #[must_use]
    pub fn stage(&self) -> AttemptStage {
        self.stage
    }

    /// The outcome so far. An attempt that has not ended may have run as soon as
    /// its first byte may have been sent.
    #[must_use]
    pub fn outcome(&self) -> AttemptEnd {
        let open = match self.stage {
            AttemptStage::Granted => AttemptEnd::NotRun(NotRunCause::Refused),
            _ => AttemptEnd::Unknown(UnknownCause::Broken),
        };
        self.outcome.unwrap_or(open)
    }

    /// Applies an event. Returns the outcome if this event ended the attempt.
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
