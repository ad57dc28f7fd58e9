//! The access log: one line for each request.

use crate::RouterContext;
use crate::attempt::{AttemptCounts, Execution, Work};
use courseshunt_types::time::MonotonicClock;
use courseshunt_types::{Outcome, PriorityClass, Refusal, RunnerId, Timestamp};
use std::sync::Arc;

/// What the line of one request tells. A record that is dropped before its end
/// tells that the caller left.
#[derive(Debug)]
pub struct AccessRecord {
    counts: Arc<AttemptCounts>,
    clock: MonotonicClock,
    class: PriorityClass,
    /// Identity, class, tenant and deployment, ready for the line.
    names: String,
    arrived: Timestamp,
    granted_at: Option<Timestamp>,
    first_at: Option<Timestamp>,
    attempts: u32,
    runner: Option<RunnerId>,
    ended: bool,
}

impl AccessRecord {
    /// The record of a request that has arrived.
    pub fn new(context: &RouterContext, work: &Work) -> Self {
        let names = format!(
            "id={} class={} tenant={} deployment={}",
            work.request, work.class, work.tenant, work.deployment
        );
        Self {
            counts: context.counts.clone(),
            clock: context.clock,
            class: work.class,
            names,
            arrived: work.arrived,
            granted_at: None,
            first_at: None,
            attempts: 0,
            runner: None,
            ended: false,
        }
    }

    /// Notes the attempts so far.
    pub fn note(&mut self, execution: &Execution<'_>) {
        self.attempts = execution.attempts();
        self.runner = execution.last_runner().cloned();
        self.granted_at = execution.granted_at();
    }

    /// Notes the first byte of the answer.
    pub fn first_byte(&mut self) {
        self.first_at = Some(self.clock.now());
        self.attempts += 1;
    }

    /// Writes the line of a request that got its whole answer.
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
        let since = |at: Option<Timestamp>| {
            at.map_or("-".to_owned(), |at| at.since(self.arrived).0.to_string())
        };
        let total = self.clock.now().since(self.arrived).0;
        log::info!(
            "access: {} runner={} attempts={} outcome={} result={result} \
             wait_ms={} first_ms={} total_ms={total}",
            self.names,
            self.runner.as_ref().map_or("-", RunnerId::as_str),
            self.attempts,
            outcome.as_str(),
            since(self.granted_at),
            since(self.first_at),
        );
    }
}

impl Drop for AccessRecord {
    fn drop(&mut self) {
        if !self.ended {
            self.write(Outcome::Unknown, "caller_left");
        }
    }
}
