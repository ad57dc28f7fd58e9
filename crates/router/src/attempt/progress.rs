//! Whether a request may have run, shared by its processing and the handler that answers it at the
//! end of a planned stop.
//!
//! Invariant: once the last answers of a stop are due, a request that is recorded as not run is not
//! sent any more.

use courseshunt_types::Outcome;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio_util::sync::CancellationToken;

/// Progress of one request; clones share it.
#[derive(Debug, Clone)]
pub struct RequestProgress {
    may_have_run: Arc<AtomicBool>,
    last_answers_due: CancellationToken,
}

impl RequestProgress {
    /// Progress of a request that has not been sent, at a router with this token for the last
    /// answers of its stop.
    #[must_use]
    pub fn new(last_answers_due: &CancellationToken) -> Self {
        Self {
            may_have_run: Arc::default(),
            last_answers_due: last_answers_due.clone(),
        }
    }

    /// The outcome of the request if it is answered now, without an answer of a runner.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match self.may_have_run.load(Ordering::SeqCst) {
            true => Outcome::Unknown,
            false => Outcome::NotRun,
        }
    }

    /// Whether the last answers of a planned stop are due.
    #[must_use]
    pub fn is_last_answer_due(&self) -> bool {
        self.last_answers_due.is_cancelled()
    }

    /// Resolves when the last answers of a planned stop are due.
    pub async fn last_answer_due(&self) {
        self.last_answers_due.cancelled().await;
    }

    /// Records that the request is being sent. Returns `false` if the last answers are due: then it
    /// must not be sent.
    #[must_use]
    pub fn begin_send(&self) -> bool {
        // Recorded before the check, so that either this check or the handler that answers the
        // request sees the other.
        let before = self.may_have_run.swap(true, Ordering::SeqCst);
        if !self.is_last_answer_due() {
            return true;
        }
        self.set_may_have_run(before);
        false
    }

    /// Records whether the request may have run by now.
    pub fn set_may_have_run(&self, may_have_run: bool) {
        self.may_have_run.store(may_have_run, Ordering::SeqCst);
    }
}
