//! A request under way at an instance: counted in the selection, recorded at
//! its end, whatever way it ends.

use crate::Shared;
use crate::handle::Admitted;
use crate::quarantine_desk::{broke_off, ran_out};
use crate::records::RequestRecord;
use courseshunt_records::emit;
use courseshunt_services::{Candidate, PromptShape, Pushback};
use courseshunt_types::{Digest, Millis, RunnerId, Timestamp};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// See the module. A flight that is dropped without an end was given up by its
/// client.
pub(crate) struct Flight {
    shared: Arc<Shared>,
    candidate: Candidate,
    sent_at: Instant,
    /// The same moment on the clock by which words of instances are kept.
    began_at: Timestamp,
    arrived: Instant,
    waited: Duration,
    first: Option<Duration>,
    last_part_at: Option<Instant>,
    longest_pause: Duration,
    status: u16,
    ended: bool,
    id: String,
    content: Digest,
    model: String,
    /// The model that it asks for; none of a plain service.
    asked: Option<AskedModel>,
}

/// What demand is counted for, and when an answer is late.
struct AskedModel {
    objective: Duration,
    service: String,
    shape: PromptShape,
}

/// A request that is counted at an instance and not sent yet; counted no more when it is
/// dropped before that.
pub(crate) struct Unsent<'a> {
    shared: &'a Shared,
    candidate: Candidate,
    asked: Option<AskedModel>,
    is_sent: bool,
}

impl<'a> Unsent<'a> {
    pub(crate) fn new(shared: &'a Shared, admitted: &Admitted, candidate: Candidate) -> Self {
        Self {
            shared,
            candidate,
            asked: AskedModel::of(admitted),
            is_sent: false,
        }
    }

    pub(crate) fn instance(&self) -> &RunnerId {
        &self.candidate.instance
    }

    /// It is sent now; from here on its flight counts it.
    pub(crate) fn sent(mut self) -> Candidate {
        self.is_sent = true;
        self.candidate.clone()
    }
}

impl Drop for Unsent<'_> {
    fn drop(&mut self) {
        if self.is_sent {
            return;
        }
        let view = &self.shared.view;
        if let Some(asked) = &self.asked {
            view.turned_away(&self.candidate, &asked.service, &asked.shape);
        }
        view.end(&self.candidate, false);
    }
}

impl AskedModel {
    fn of(admitted: &Admitted) -> Option<Self> {
        let shape = &admitted.facts.shape;
        (!shape.model.is_empty()).then(|| Self {
            objective: Duration::from(admitted.route.objective),
            service: admitted.service.name.clone(),
            shape: PromptShape {
                parts: Vec::new(),
                ..shape.clone()
            },
        })
    }
}

pub(crate) fn millis(length: Duration) -> u64 {
    u64::try_from(length.as_millis()).unwrap_or(u64::MAX)
}

impl Flight {
    /// Begins the attempt of this number.
    pub(crate) fn begin(
        shared: &Arc<Shared>,
        admitted: &Admitted,
        candidate: Candidate,
        attempt: u32,
    ) -> Self {
        let waited = admitted.arrived.elapsed();
        let shape = &admitted.facts.shape;
        let metrics = &shared.metrics;
        metrics.sent(waited, shape.prompt_tokens, candidate.uncached_tokens);
        let pushback = shared
            .view
            .asked_for(&candidate.instance, shared.clock.now());
        let rest_left_ms = match pushback {
            Some(Pushback::Backoff(left)) => Some(left.0),
            Some(Pushback::Recovering | Pushback::Limited(_) | Pushback::Leaving) | None => None,
        };
        let limit = shared.view.limit_of(&candidate.instance);
        if let Some(pushback) = pushback {
            metrics.sent_against(pushback.label());
        }
        emit(&RequestRecord::Sent {
            id: &admitted.facts.id,
            route: &admitted.route.name,
            service: &admitted.service.name,
            tenant: admitted.tenant(),
            priority: admitted.priority,
            units: admitted.units(),
            model: &shape.model,
            adapter: shape.adapter.as_deref(),
            instance: candidate.instance.as_str(),
            attempt,
            after_ms: millis(waited),
            deadline_ms: millis(admitted.deadline - admitted.arrived),
            predicted_ms: candidate.predicted_ms as u64,
            uncached_tokens: candidate.uncached_tokens,
            rest_left_ms,
            leaving: pushback == Some(Pushback::Leaving),
            limit_per_1000_s: limit.map(|limit| limit.0),
            configuration: shared.view.number(),
            feed_age_ms: millis(shared.view.feed_age()),
        });
        Self {
            shared: shared.clone(),
            candidate,
            sent_at: Instant::now(),
            began_at: shared.clock.now(),
            arrived: admitted.arrived,
            waited,
            first: None,
            last_part_at: None,
            longest_pause: Duration::ZERO,
            status: 0,
            ended: false,
            id: admitted.facts.id.clone(),
            content: admitted.content,
            model: shape.model.clone(),
            asked: AskedModel::of(admitted),
        }
    }

    pub(crate) fn id(&self) -> &str {
        &self.id
    }

    pub(crate) fn instance(&self) -> &RunnerId {
        &self.candidate.instance
    }

    /// When it began; what it is answered is newer than that.
    pub(crate) fn began_at(&self) -> Timestamp {
        self.began_at
    }

    /// Whether the instance asked to be left alone.
    pub(crate) fn is_forbidden(&self) -> bool {
        let now = self.shared.clock.now();
        self.shared.view.asked_for(self.instance(), now).is_some()
    }

    /// Notes the status of the instance's answer.
    pub(crate) fn status(&mut self, status: u16) {
        self.status = status;
        self.shared.metrics.answer(status);
    }

    /// Notes a part of the answer.
    pub(crate) fn part(&mut self) {
        let now = Instant::now();
        if let Some(before) = self.last_part_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now - before);
        }
        self.first_answer();
    }

    /// Notes the first part of the answer.
    fn first_answer(&mut self) {
        if self.first.is_some() {
            return;
        }
        let sending = self.sent_at.elapsed();
        let after = self.arrived.elapsed();
        self.first = Some(after);
        let predicted = self.candidate.predicted_ms;
        self.shared.metrics.first_answer(after, sending, predicted);
        let asked = self.asked.as_ref();
        if let Some(asked) = asked.filter(|asked| sending > asked.objective) {
            self.shared.view.late(&asked.service, &asked.shape);
        }
        let waited = Millis(millis(sending));
        let good = self.status < 500;
        self.shared.view.first_answer(&self.candidate, waited, good);
    }

    /// The answer was whole.
    pub(crate) fn whole(&mut self) {
        self.end("answered", true, None);
        if (200..300).contains(&self.status) {
            self.shared.quarantine.answered(self.content);
        }
    }

    /// The answer broke off: the instance closed its connection.
    pub(crate) fn broken(&mut self, problem: &str) {
        self.end("broken", false, Some(problem));
        self.suspect();
        broke_off(&self.shared, self.content, &self.candidate.instance);
    }

    /// The answer was not whole in time.
    pub(crate) fn overdue(&mut self, problem: &str) {
        self.end("broken", false, Some(problem));
        self.suspect();
        ran_out(&self.shared, self.content, &self.candidate.instance);
    }

    fn end(&mut self, outcome: &str, whole: bool, problem: Option<&str>) {
        self.ended = true;
        self.shared.metrics.attempt(outcome);
        emit(&RequestRecord::Ended {
            id: &self.id,
            content: (!whole).then(|| self.content.short()),
            model: &self.model,
            instance: self.candidate.instance.as_str(),
            status: self.status,
            whole,
            problem,
            waited_ms: millis(self.waited),
            predicted_ms: self.candidate.predicted_ms as u64,
            uncached_tokens: self.candidate.uncached_tokens,
            first_ms: self.first.map(millis),
            longest_pause_ms: millis(self.longest_pause),
            after_ms: millis(self.arrived.elapsed()),
        });
    }

    /// The instance did not run it, or it was not sent.
    pub(crate) fn not_run(&mut self, status: Option<u16>, rest: Option<Millis>) {
        self.ended = true;
        if let Some(asked) = &self.asked {
            let view = &self.shared.view;
            view.turned_away(&self.candidate, &asked.service, &asked.shape);
        }
        self.shared.metrics.attempt("not_run");
        emit(&RequestRecord::NotRun {
            id: &self.id,
            instance: self.candidate.instance.as_str(),
            status,
            rest_ms: rest.map(|rest| rest.0),
            after_ms: millis(self.arrived.elapsed()),
        });
    }

    /// The instance closed its connection without an answer; it may have run.
    pub(crate) fn cut_off(&mut self, problem: &str) {
        self.failed(problem);
        broke_off(&self.shared, self.content, &self.candidate.instance);
    }

    /// Its time is over; it may have run.
    pub(crate) fn timed_out(&mut self) {
        self.failed("its time is over");
        ran_out(&self.shared, self.content, &self.candidate.instance);
    }

    /// It failed and may have run.
    pub(crate) fn failed(&mut self, problem: &str) {
        self.ended = true;
        self.shared.metrics.attempt("failed");
        emit(&RequestRecord::Failed {
            id: &self.id,
            content: self.content.short(),
            instance: self.candidate.instance.as_str(),
            problem,
            after_ms: millis(self.arrived.elapsed()),
        });
        self.suspect();
    }

    /// Avoids the instance for a while.
    pub(crate) fn suspect(&self) {
        let now = self.shared.clock.now();
        self.shared.view.suspect(&self.candidate.instance, now);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        if !self.ended {
            self.shared.metrics.cancelled();
            emit(&RequestRecord::Cancelled {
                id: &self.id,
                instance: self.candidate.instance.as_str(),
                after_ms: millis(self.arrived.elapsed()),
            });
        }
        let answered = self.first.is_some();
        self.shared.view.end(&self.candidate, answered);
    }
}
