//! A router's side: contents that it sends to no instance, terminations of instances that it has
//! observed, and contents that it has answers to.
//!
//! Invariant: while the router has contact with a leader, only the leader's contents are in
//! quarantine; without one, also those with enough terminations observed by this router.
//!
//! Memory: the numbers of contents are bounded.

use super::{ANSWER_VALID_BEFORE, InstanceEnd, MAX_ENDS, RETENTION, count_ends};
use courseshunt_types::{Digest, RunnerId, Timestamp};
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};

/// Largest number of terminations that a router retains, to report them to the next leader.
const MAX_OBSERVED_ENDS: usize = 256;
/// Largest number of retained answers: those of ten seconds at 400 requests per second.
const MAX_ANSWERED: usize = 4_096;

/// A termination of an instance that this router observed.
#[derive(Debug)]
struct ObservedEnd {
    content: Digest,
    instance: RunnerId,
    at: Timestamp,
    is_reported: bool,
}

/// Quarantine at one router. See the module documentation.
#[derive(Debug, Default)]
pub struct RouterQuarantine {
    quarantined: HashSet<Digest>,
    /// Contents for which the leader needs to be notified of answers.
    suspected: HashSet<Digest>,
    observed_ends: VecDeque<ObservedEnd>,
    /// Last answer of each content that was answered in the last ten seconds.
    answered: HashMap<Digest, Timestamp>,
    answered_in_order: VecDeque<(Digest, Timestamp)>,
    unreported_answers: BTreeSet<Digest>,
}

impl RouterQuarantine {
    /// Whether requests of this content must not be sent. `has_leader` states whether the router
    /// had contact with a leader recently.
    #[must_use]
    pub fn is_quarantined(&self, content: &Digest, has_leader: bool) -> bool {
        if has_leader || self.quarantined.contains(content) {
            return self.quarantined.contains(content);
        }
        let ends = self
            .observed_ends
            .iter()
            .filter(|end| end.content == *content);
        count_ends(ends.map(|end| end.at)) >= MAX_ENDS
    }

    /// Sets the suspected and quarantined contents that the leader published.
    pub fn set(&mut self, suspected: Vec<Digest>, quarantined: Vec<Digest>, now: Timestamp) {
        self.suspected = suspected.iter().chain(&quarantined).copied().collect();
        self.quarantined = quarantined.into_iter().collect();
        let recent = |at: &Timestamp| now.since(*at) <= ANSWER_VALID_BEFORE;
        for content in &self.suspected {
            if self.answered.get(content).is_some_and(recent) {
                self.unreported_answers.insert(*content);
            }
        }
    }

    /// Records that an instance terminated at a time while running a content.
    pub fn ended(&mut self, content: Digest, instance: RunnerId, at: Timestamp) {
        let is_old = |end: &ObservedEnd| at.since(end.at) >= RETENTION;
        while self.observed_ends.len() >= MAX_OBSERVED_ENDS
            || self.observed_ends.front().is_some_and(is_old)
        {
            self.observed_ends.pop_front();
        }
        let mut recorded = self.observed_ends.iter();
        if recorded.any(|end| end.content == content && end.instance == instance) {
            return;
        }
        self.observed_ends.push_back(ObservedEnd {
            content,
            instance,
            at,
            is_reported: false,
        });
    }

    /// Records a complete answer of an instance to a content; returns whether it has to be
    /// reported to the leader at once.
    pub fn answered(&mut self, content: Digest, now: Timestamp) -> bool {
        self.observed_ends.retain(|end| end.content != content);
        self.retain_answer(content, now);
        self.suspected.contains(&content) && self.unreported_answers.insert(content)
    }

    fn retain_answer(&mut self, content: Digest, now: Timestamp) {
        self.answered.insert(content, now);
        self.answered_in_order.push_back((content, now));
        let is_old = |(_, at): &(Digest, Timestamp)| now.since(*at) > ANSWER_VALID_BEFORE;
        while self.answered_in_order.len() > MAX_ANSWERED
            || self.answered_in_order.front().is_some_and(is_old)
        {
            let Some((oldest, at)) = self.answered_in_order.pop_front() else {
                return;
            };
            if self.answered.get(&oldest) == Some(&at) {
                self.answered.remove(&oldest);
            }
        }
    }

    /// Marks all retained terminations as unreported, after a change of leader.
    pub fn mark_all_unreported(&mut self) {
        for end in &mut self.observed_ends {
            end.is_reported = false;
        }
    }

    /// Takes what has not been reported to the leader: terminations, and answered contents.
    pub fn take_unreported(&mut self, now: Timestamp) -> (Vec<InstanceEnd>, Vec<Digest>) {
        let unreported = self.observed_ends.iter_mut().filter(|end| !end.is_reported);
        let ends = unreported.map(|end| {
            end.is_reported = true;
            InstanceEnd {
                content: end.content,
                instance: end.instance.clone(),
                age: now.since(end.at),
            }
        });
        let ends = ends.collect();
        let answered = std::mem::take(&mut self.unreported_answers);
        (ends, answered.into_iter().collect())
    }

    /// Number of contents in quarantine.
    #[must_use]
    pub fn count(&self) -> usize {
        self.quarantined.len()
    }
}
