//! A router's side: which contents it sends nowhere, what it has seen of instances that
//! ended, and which contents it can vouch for.
//!
//! Invariant: while a leader is heard, its word alone decides; without one, what this
//! router has seen itself.
//!
//! Cost: bounded numbers of contents.

use super::{InstanceEnd, MAX_ENDS, REMEMBERED, SOUND_BEFORE, weigh};
use courseshunt_types::{Digest, RunnerId, Timestamp};
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};

/// Ends that a router remembers, to tell them to the next leader.
const MAX_OWN_ENDS: usize = 256;
/// Answers that are remembered at the most: ten seconds of them at 400 requests a second.
const MAX_ANSWERED: usize = 4_096;

/// An instance that this router saw end.
#[derive(Debug)]
struct OwnEnd {
    content: Digest,
    instance: RunnerId,
    at: Timestamp,
    is_told: bool,
}

/// See the module.
#[derive(Debug, Default)]
pub struct RouterQuarantine {
    quarantined: HashSet<Digest>,
    /// Contents that the leader asks about.
    suspected: HashSet<Digest>,
    own_ends: VecDeque<OwnEnd>,
    /// Contents and their last answers of the last ten seconds.
    answered: HashMap<Digest, Timestamp>,
    answered_in_order: VecDeque<(Digest, Timestamp)>,
    unsent_answered: BTreeSet<Digest>,
}

impl RouterQuarantine {
    /// Whether requests of this content may not be sent. `led` tells whether a leader was
    /// heard lately.
    #[must_use]
    pub fn is_quarantined(&self, content: &Digest, led: bool) -> bool {
        if led || self.quarantined.contains(content) {
            return self.quarantined.contains(content);
        }
        let ends = self.own_ends.iter().filter(|end| end.content == *content);
        weigh(ends.map(|end| end.at)) >= MAX_ENDS
    }

    /// Takes the leader's word.
    pub fn set(&mut self, suspected: Vec<Digest>, quarantined: Vec<Digest>, now: Timestamp) {
        self.suspected = suspected.iter().chain(&quarantined).copied().collect();
        self.quarantined = quarantined.into_iter().collect();
        let recent = |at: &Timestamp| now.since(*at) <= SOUND_BEFORE;
        for content in &self.suspected {
            if self.answered.get(content).is_some_and(recent) {
                self.unsent_answered.insert(*content);
            }
        }
    }

    /// Notes an instance that ended at this time under a content.
    pub fn ended(&mut self, content: Digest, instance: RunnerId, at: Timestamp) {
        let is_old = |end: &OwnEnd| at.since(end.at) >= REMEMBERED;
        while self.own_ends.len() >= MAX_OWN_ENDS || self.own_ends.front().is_some_and(is_old) {
            self.own_ends.pop_front();
        }
        let mut known = self.own_ends.iter();
        if known.any(|end| end.content == content && end.instance == instance) {
            return;
        }
        self.own_ends.push_back(OwnEnd {
            content,
            instance,
            at,
            is_told: false,
        });
    }

    /// Notes a whole answer of an instance to a content; returns whether the leader is to
    /// be told at once.
    pub fn answered(&mut self, content: Digest, now: Timestamp) -> bool {
        self.own_ends.retain(|end| end.content != content);
        self.remember_answer(content, now);
        self.suspected.contains(&content) && self.unsent_answered.insert(content)
    }

    fn remember_answer(&mut self, content: Digest, now: Timestamp) {
        self.answered.insert(content, now);
        self.answered_in_order.push_back((content, now));
        let is_old = |(_, at): &(Digest, Timestamp)| now.since(*at) > SOUND_BEFORE;
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

    /// A new leader is heard: it is told all that is remembered.
    pub fn mark_all_unreported(&mut self) {
        for end in &mut self.own_ends {
            end.is_told = false;
        }
    }

    /// What the leader has not been told: ends, and contents that were answered.
    pub fn take_unreported(&mut self, now: Timestamp) -> (Vec<InstanceEnd>, Vec<Digest>) {
        let unsent = self.own_ends.iter_mut().filter(|end| !end.is_told);
        let ends = unsent.map(|end| {
            end.is_told = true;
            InstanceEnd {
                content: end.content,
                instance: end.instance.clone(),
                age: now.since(end.at),
            }
        });
        let ends = ends.collect();
        let answered = std::mem::take(&mut self.unsent_answered);
        (ends, answered.into_iter().collect())
    }

    /// Contents in quarantine.
    #[must_use]
    pub fn count(&self) -> usize {
        self.quarantined.len()
    }
}
