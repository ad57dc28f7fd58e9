//! Instances that a router avoids: those that failed, could not be reached, lack a model or pushed
//! back.

use super::prompt::PromptShape;
use super::{Eligibility, Pushback, Selector};
use crate::instance::InstanceView;
use courseshunt_types::{Millis, RunnerId, Timestamp};

/// Shortest time for which an instance is avoided after a failure.
const MIN_SUSPECT_TIME: Millis = Millis(1_000);
/// Longest time for which a repeatedly failing instance is avoided.
const MAX_SUSPECT_TIME: Millis = Millis(8_000);
/// An instance that fails all its requests is avoided longer by this multiple of
/// [`MIN_SUSPECT_TIME`].
const SUSPECT_TIME_FACTOR: f64 = 7.0;

impl Selector {
    /// Records that an instance answered that it is not the intended one, or does not have the
    /// requested model or adapter.
    pub fn note_missing(&mut self, instance: &RunnerId, shape: &PromptShape, now: Timestamp) {
        let local = self.locals.entry(instance.clone()).or_default();
        local.absences.insert(shape, now);
    }

    /// Time for which an instance is not sent requests for the same model and adapter because it
    /// reported them missing; `None` if it may be sent one.
    #[must_use]
    pub fn missing_for(
        &self,
        instance: &RunnerId,
        shape: &PromptShape,
        now: Timestamp,
    ) -> Option<Millis> {
        let local = self.locals.get(instance)?;
        local.absences.remaining(shape, now)
    }

    /// Clears the missing models and adapters of an instance, after an update of the models that
    /// it holds.
    pub fn models_updated(&mut self, instance: &RunnerId) {
        if let Some(local) = self.locals.get_mut(instance) {
            local.absences.clear();
        }
    }

    /// Records that an instance requested a backoff of length `backoff`.
    pub fn start_backoff(&mut self, instance: &RunnerId, backoff: Millis, now: Timestamp) {
        self.pushbacks.start_backoff(instance, backoff, now);
    }

    /// Records that an instance reported that it is leaving; returns whether this is new.
    pub fn note_leaving(&mut self, instance: &RunnerId, now: Timestamp) -> bool {
        self.pushbacks.note_leaving(instance, now)
    }

    /// Instances that reported that they are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = &RunnerId> {
        self.pushbacks.leaving()
    }

    /// The pushback of an instance that is in force now: a backoff, or that it is leaving.
    #[must_use]
    pub fn active_pushback(&self, instance: &RunnerId, now: Timestamp) -> Option<Pushback> {
        self.pushbacks.active_pushback(instance, now)
    }

    /// Reason, reported by the instance itself, for which it must not be sent a request now;
    /// `None` if it may be sent one.
    #[must_use]
    pub fn pushback(&self, view: &InstanceView, now: Timestamp) -> Option<Pushback> {
        let share = view.slots / self.routers.max(1);
        let share = usize::try_from(share).unwrap_or(usize::MAX);
        let pushback = self.pushbacks.blocked_by(&view.id, share, now);
        pushback.or_else(|| {
            let wait = self.limits.blocked_for(&view.id, now);
            wait.map(Pushback::Limited)
        })
    }

    pub(super) fn is_eligible(
        &self,
        view: &InstanceView,
        eligibility: Eligibility,
        now: Timestamp,
    ) -> bool {
        match self.pushback(view, now) {
            None => true,
            Some(Pushback::Limited(_)) => {
                eligibility == Eligibility::IncludingRateLimited && self.limits.may_query(&view.id)
            }
            Some(_) => false,
        }
    }

    /// Excludes an instance after a failed connection. The time doubles with each consecutive
    /// failure, up to `MAX_SUSPECT_TIME`.
    pub fn unreachable(&mut self, instance: &RunnerId, now: Timestamp) {
        let local = self.locals.entry(instance.clone()).or_default();
        local.failures = (local.failures + 1).min(8);
        let length = MIN_SUSPECT_TIME.0 << (local.failures - 1).min(3);
        let until = now + Millis(length.min(MAX_SUSPECT_TIME.0));
        local.suspect_until = until;
        local.unreachable_until = until;
    }

    /// Ends the exclusion of all unreachable instances.
    pub fn forget_unreachable(&mut self) {
        for local in self.locals.values_mut().filter(|local| local.failures > 0) {
            local.failures = 0;
            local.unreachable_until = Timestamp::default();
        }
    }

    /// Whether an instance is excluded as unreachable.
    #[must_use]
    pub fn is_unreachable(&self, instance: &RunnerId, now: Timestamp) -> bool {
        let local = self.locals.get(instance);
        local.is_some_and(|local| local.is_unreachable(now))
    }

    /// Instances that are excluded as unreachable, in the order of identities.
    #[must_use]
    pub fn all_unreachable(&self, now: Timestamp) -> Vec<RunnerId> {
        let locals = self.locals.iter();
        let excluded = locals.filter(|(_, local)| local.is_unreachable(now));
        let mut excluded: Vec<RunnerId> = excluded.map(|(id, _)| id.clone()).collect();
        excluded.sort();
        excluded
    }

    /// Avoids an instance for some time after a failure; the time grows with its recent failure
    /// rate.
    pub fn suspect(&mut self, instance: &RunnerId, now: Timestamp) {
        let local = self.locals.entry(instance.clone()).or_default();
        local.health.failed(now);
        let factor = 1.0 + local.health.failure_rate(now) * SUSPECT_TIME_FACTOR;
        let length = (MIN_SUSPECT_TIME.0 as f64 * factor) as u64;
        local.suspect_until = now + Millis(length.min(MAX_SUSPECT_TIME.0));
    }
}
