//! Limits that instances name, as a choice among them needs these: see [`crate::limit`].

use super::Selector;
use crate::limit::local::{LimitNews, LimitStep};
use crate::limit::{LimitVerdict, LimitWord, RequestRate};
use courseshunt_types::{Millis, RunnerId, Timestamp};

impl Selector {
    /// Notes which limit an answer names to a request that was sent at `asked_at`; none: it
    /// names no limit.
    pub fn heard_limit(
        &mut self,
        instance: &RunnerId,
        rate: Option<RequestRate>,
        asked_at: Timestamp,
        now: Timestamp,
    ) -> LimitNews {
        self.limits.heard(instance, rate, asked_at, now)
    }

    /// Takes over what the leader tells of limits; returns what is news.
    pub fn told_limits(&mut self, words: &[LimitWord], now: Timestamp) -> Vec<LimitWord> {
        self.limits.told(words, now)
    }

    /// What the leader has to be told of limits.
    pub fn take_untold_limits(&mut self, now: Timestamp) -> Vec<LimitWord> {
        self.limits.take_untold(now)
    }

    /// Another leader has to be told all limits.
    pub fn tell_limits_anew(&mut self) {
        self.limits.tell_anew();
    }

    /// What to do with a request for an instance, which may wait so long for its turn there.
    /// `led` tells whether a leader can be asked.
    pub fn limit_step(
        &mut self,
        instance: &RunnerId,
        patience: Millis,
        led: bool,
        now: Timestamp,
    ) -> LimitStep {
        self.limits.step(instance, patience, led, now)
    }

    /// Notes the end of a question on an instance's limit, with the answer if it came.
    pub fn asked_limit(
        &mut self,
        instance: &RunnerId,
        verdict: Option<LimitVerdict>,
        now: Timestamp,
    ) {
        self.limits.asked(instance, verdict, now);
    }

    /// The limit that an instance names.
    #[must_use]
    pub fn limit_of(&self, instance: &RunnerId) -> Option<RequestRate> {
        self.limits.limit_of(instance)
    }
}
