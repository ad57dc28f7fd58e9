//! Decides whether a request may be sent to an instance that names a limit, asking the leader.
//!
//! Invariant: what is sent to such an instance was granted by the leader or is within this
//! router's own part; a request waits for the leader's answer for a bounded time.

use crate::Shared;
use crate::handle::{Admitted, is_withdrawn};
use crate::questions::Questions;
use crate::quota_desk::ANSWER_LIMIT;
use crate::records::RequestRecord;
use courseshunt_records::emit;
use courseshunt_services::{LimitAnswer, LimitQuery, LimitReport, LimitStep, LimitVerdict};
use courseshunt_types::{Millis, RunnerId};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};

#[derive(Default)]
struct State {
    /// Whether a leader is connected.
    connected: bool,
    questions: Questions<LimitQuery, LimitVerdict>,
}

/// See the module.
#[derive(Default)]
pub(crate) struct LimitDesk {
    state: Mutex<State>,
    /// Woken when there is something to tell or to ask.
    pub(crate) has_news: Notify,
}

impl LimitDesk {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a leader's feed begins.
    pub(crate) fn begin_leader(&self) {
        self.lock().connected = true;
        self.has_news.notify_one();
    }

    /// Notes that the leader is lost: whoever waits for its answer decides alone.
    pub(crate) fn disconnected(&self) {
        let mut state = self.lock();
        state.connected = false;
        state.questions.clear();
    }

    /// Questions to send now.
    pub(crate) fn take_questions(&self) -> Vec<LimitQuery> {
        self.lock().questions.take_unsent()
    }

    /// Takes the leader's answers.
    pub(crate) fn answered(&self, answers: Vec<LimitAnswer>) {
        let mut state = self.lock();
        for LimitAnswer { number, verdict } in answers {
            // A grant that nobody waits for any more is lost: it delays others by one turn.
            let _ = state.questions.answered(number, verdict);
        }
    }

    fn is_connected(&self) -> bool {
        self.lock().connected
    }

    fn ask(&self, word: LimitReport, patience: Millis) -> oneshot::Receiver<LimitVerdict> {
        let (_, answer) = self.lock().questions.ask(|number| LimitQuery {
            number,
            report: word,
            max_wait: patience,
        });
        self.has_news.notify_one();
        answer
    }
}

/// A question under way; its end is noted when this is dropped.
struct Asking<'a> {
    shared: &'a Shared,
    instance: &'a RunnerId,
    verdict: Option<LimitVerdict>,
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        self.shared.view.asked_limit(self.instance, self.verdict);
    }
}

/// A decision on one request.
struct Decision {
    /// For records.
    outcome: &'static str,
    is_granted: bool,
    /// Time until its turn, or after which it would fit.
    after: Millis,
}

impl Decision {
    /// None where the instance names no limit.
    fn of(step: &LimitStep) -> Option<Self> {
        let (outcome, is_granted, after) = match step {
            LimitStep::Unlimited | LimitStep::Query(_) => return None,
            LimitStep::Granted { after } => ("granted", true, *after),
            LimitStep::LocalShare { after } => ("own_part", true, *after),
            LimitStep::Refuse { fits_after } => ("refused", false, *fits_after),
        };
        Some(Self {
            outcome,
            is_granted,
            after,
        })
    }
}

/// Waits until a request may be sent to an instance, for `patience` at most; returns whether
/// it may.
pub(crate) async fn admit(
    shared: &Shared,
    admitted: &Admitted,
    instance: &RunnerId,
    patience: Millis,
) -> bool {
    let led = shared.limits.is_connected() && shared.is_led();
    let step = match shared.view.limit_step(instance, patience, led) {
        LimitStep::Query(word) => ask(shared, instance, word, patience).await,
        step => step,
    };
    let Some(decision) = Decision::of(&step) else {
        return true;
    };
    record(shared, admitted, instance, &decision);
    if !decision.is_granted || decision.after == Millis(0) {
        return decision.is_granted;
    }
    let turn = wait_for_turn(shared, instance, decision.after);
    tokio::select! {
        // What was decided before the wait may hold no more.
        () = turn => !is_withdrawn(admitted, shared),
        // The process ends before it may be answered.
        () = shared.giving_up.cancelled() => false,
    }
}

/// Asks the leader; without an answer in time this router's own part decides.
async fn ask(
    shared: &Shared,
    instance: &RunnerId,
    word: LimitReport,
    patience: Millis,
) -> LimitStep {
    let mut asking = Asking {
        shared,
        instance,
        verdict: None,
    };
    let answer = shared.limits.ask(word, patience);
    let answer = tokio::time::timeout(ANSWER_LIMIT, answer).await;
    match answer {
        Ok(Ok(verdict @ LimitVerdict::Granted { after })) => {
            asking.verdict = Some(verdict);
            LimitStep::Granted { after }
        }
        Ok(Ok(verdict @ LimitVerdict::Refused { fits_after })) => {
            asking.verdict = Some(verdict);
            LimitStep::Refuse { fits_after }
        }
        Ok(Ok(LimitVerdict::Unknown) | Err(_)) | Err(_) => {
            shared.view.limit_step(instance, patience, false)
        }
    }
}

/// Waits for the turn of a request; not on where the instance names no limit any more, or is
/// gone.
async fn wait_for_turn(shared: &Shared, instance: &RunnerId, after: Millis) {
    let due = tokio::time::Instant::now() + Duration::from(after);
    let mut changes = shared.view.changes();
    while shared.view.limit_of(instance).is_some() && shared.view.knows(instance) {
        changes.borrow_and_update();
        let changed = tokio::time::timeout_at(due, changes.changed()).await;
        if changed.is_err() {
            return;
        }
    }
}

fn record(shared: &Shared, admitted: &Admitted, instance: &RunnerId, decision: &Decision) {
    shared.metrics.limited(decision.outcome);
    emit(&RequestRecord::Limited {
        id: &admitted.facts.id,
        instance: instance.as_str(),
        limit_per_1000_s: shared.view.limit_of(instance).map(|limit| limit.0),
        outcome: decision.outcome,
        after_ms: decision.after.0,
        feed_age_ms: crate::flight::millis(shared.view.feed_age()),
    });
}
