//! The access log: one line for each completion request.

use crate::RouterContext;
use crate::attempt::{AttemptCounts, Execution, RequestProgress, Work};
use courseshunt_types::time::MonotonicClock;
use courseshunt_types::{Outcome, PriorityClass, Refusal, RefusalReason, RunnerId, Timestamp};
use std::sync::Arc;

/// Collects the fields of a request's log line. A record that is dropped before
/// the end of the request is logged with the result `caller_left`, or as refused if the
/// last answers of a planned stop are due.
#[derive(Debug)]
pub struct AccessRecord {
    counts: Arc<AttemptCounts>,
    clock: MonotonicClock,
    progress: RequestProgress,
    class: PriorityClass,
    /// Id, class, tenant and deployment, formatted for the line.
    identity: String,
    arrived: Timestamp,
    granted_at: Option<Timestamp>,
    first_byte_at: Option<Timestamp>,
    attempts: u32,
    runner: Option<RunnerId>,
    ended: bool,
}

impl AccessRecord {
    /// Creates the record of a request that has arrived.
    pub fn new(context: &RouterContext, work: &Work, progress: RequestProgress) -> Self {
        let identity = format!(
            "id={} class={} tenant={} deployment={}",
            work.request, work.class, work.tenant, work.deployment
        );
        Self {
            counts: context.counts.clone(),
            clock: context.clock,
            progress,
            class: work.class,
            identity,
            arrived: work.arrived,
            granted_at: None,
            first_byte_at: None,
            attempts: 0,
            runner: None,
            ended: false,
        }
    }

    /// Records the number of attempts, the last runner and the time of its grant.
    pub fn record_attempts(&mut self, execution: &Execution<'_>) {
        self.attempts = execution.attempts();
        self.runner = execution.last_runner().cloned();
        self.granted_at = execution.granted_at();
    }

    /// Records the time of the first byte of the answer.
    pub fn record_first_byte(&mut self) {
        self.first_byte_at = Some(self.clock.now());
        self.attempts += 1;
    }

    /// Writes the line of a request that got its complete answer.
    pub fn done(mut self) {
        self.write(Outcome::Done, "answered");
    }

    /// Writes the line of a request that was refused.
    pub fn refused(mut self, refusal: &Refusal) {
        self.write(refusal.outcome, refusal.reason.code());
    }

    fn write(&mut self, outcome: Outcome, result: &str) {
        self.ended = true;
        self.counts.add_outcome(self.class, outcome);
        let elapsed_ms = |at: Option<Timestamp>| {
            at.map_or("-".to_owned(), |at| at.since(self.arrived).0.to_string())
        };
        let total_ms = self.clock.now().since(self.arrived).0;
        log::info!(
            "access: {} runner={} attempts={} outcome={} result={result} \
             wait_ms={} first_ms={} total_ms={total_ms}",
            self.identity,
            self.runner.as_ref().map_or("-", RunnerId::as_str),
            self.attempts,
            outcome.as_str(),
            elapsed_ms(self.granted_at),
            elapsed_ms(self.first_byte_at),
        );
    }
}

impl Drop for AccessRecord {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        match self.progress.is_last_answer_due() {
            true => self.write(self.progress.outcome(), RefusalReason::ShuttingDown.code()),
            false => self.write(Outcome::Unknown, "caller_left"),
        }
    }
}
