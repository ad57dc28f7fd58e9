//! Executions of a runner: their progress, which any number of readers follow.
//!
//! Invariant: an execution that was fenced never starts.

use super::completion::CompletionRequest;
use crate::model::SequenceKey;
use courseshunt_types::runner_api::ExecutionPhase;
use courseshunt_types::{Attempt, RequestId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tokio::sync::watch;

/// Ended executions that are kept for readers.
const KEPT: usize = 8192;

/// How an execution ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionEnd {
    /// It runs.
    Running,
    /// All tokens were generated.
    Finished,
    /// The caller left.
    Cancelled,
}

/// One execution, for checks from outside the product.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Execution {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: Attempt,
    /// The prompt, as sent.
    pub prompt: String,
    /// How it ended.
    pub end: ExecutionEnd,
}

/// How far an execution has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Progress {
    /// Tokens generated.
    pub(super) tokens: u32,
    /// Whether it runs.
    pub(super) end: ExecutionEnd,
}

/// What readers of an execution need.
#[derive(Debug, Clone)]
pub(super) struct Followed {
    pub(super) key: SequenceKey,
    pub(super) request: CompletionRequest,
    pub(super) progress: watch::Receiver<Progress>,
}

#[derive(Debug)]
struct Kept {
    request: CompletionRequest,
    progress: watch::Sender<Progress>,
    /// Position in the list of all executions.
    number: usize,
}

/// All executions of a runner's process.
#[derive(Debug, Default)]
pub(super) struct Executions {
    kept: BTreeMap<SequenceKey, Kept>,
    ended: VecDeque<SequenceKey>,
    fenced: BTreeSet<SequenceKey>,
    all: Vec<Execution>,
}

impl Executions {
    /// All executions so far, of earlier processes too.
    pub(super) fn all(&self) -> Vec<Execution> {
        self.all.clone()
    }

    /// Whether an execution must never start.
    pub(super) fn is_fenced(&self, key: &SequenceKey) -> bool {
        self.fenced.contains(key)
    }

    /// Notes an execution that the engine has admitted.
    pub(super) fn start(&mut self, key: &SequenceKey, request: &CompletionRequest) -> Followed {
        let running = Progress {
            tokens: 0,
            end: ExecutionEnd::Running,
        };
        let (progress, receiver) = watch::channel(running);
        self.all.push(Execution {
            request: key.request.clone(),
            attempt: key.attempt,
            prompt: request.prompt.clone(),
            end: ExecutionEnd::Running,
        });
        let kept = Kept {
            request: request.clone(),
            progress,
            number: self.all.len() - 1,
        };
        self.kept.insert(key.clone(), kept);
        Followed {
            key: key.clone(),
            request: request.clone(),
            progress: receiver,
        }
    }

    /// Follows an execution.
    pub(super) fn follow(&self, key: &SequenceKey) -> Option<Followed> {
        let kept = self.kept.get(key)?;
        Some(Followed {
            key: key.clone(),
            request: kept.request.clone(),
            progress: kept.progress.subscribe(),
        })
    }

    /// Whether anybody follows a running execution.
    pub(super) fn is_followed(&self, key: &SequenceKey) -> bool {
        let kept = self.kept.get(key);
        kept.is_some_and(|kept| kept.progress.receiver_count() > 0)
    }

    /// Notes a token.
    pub(super) fn token(&mut self, key: &SequenceKey, position: u32, last: bool) {
        let Some(kept) = self.kept.get(key) else {
            return;
        };
        kept.progress
            .send_modify(|progress| progress.tokens = position + 1);
        if last {
            self.end(key, ExecutionEnd::Finished);
        }
    }

    /// Ends a running execution.
    pub(super) fn end(&mut self, key: &SequenceKey, end: ExecutionEnd) {
        let Some(kept) = self.kept.get(key) else {
            return;
        };
        if kept.progress.borrow().end != ExecutionEnd::Running {
            return;
        }
        kept.progress.send_modify(|progress| progress.end = end);
        self.all[kept.number].end = end;
        self.ended.push_back(key.clone());
        while self.ended.len() > KEPT {
            if let Some(oldest) = self.ended.pop_front() {
                self.kept.remove(&oldest);
            }
        }
    }

    /// Forgets an execution, as a new process does.
    pub(super) fn forget(&mut self, key: &SequenceKey) {
        self.end(key, ExecutionEnd::Cancelled);
        self.kept.remove(key);
    }

    /// Forgets all of them, as a new process does.
    pub(super) fn forget_all(&mut self) {
        let keys: Vec<SequenceKey> = self.kept.keys().cloned().collect();
        for key in keys {
            self.forget(&key);
        }
        self.ended.clear();
        self.fenced.clear();
    }

    /// The phase of an execution.
    pub(super) fn phase(&self, key: &SequenceKey) -> ExecutionPhase {
        let Some(kept) = self.kept.get(key) else {
            return ExecutionPhase::NotStarted;
        };
        match kept.progress.borrow().end {
            ExecutionEnd::Running => ExecutionPhase::Running,
            ExecutionEnd::Finished => ExecutionPhase::Finished,
            ExecutionEnd::Cancelled => ExecutionPhase::Cancelled,
        }
    }

    /// Keeps an execution that is not here from ever starting.
    pub(super) fn fence(&mut self, key: &SequenceKey) {
        self.fenced.insert(key.clone());
    }
}
