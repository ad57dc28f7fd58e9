//! A router's side: fingerprints whose requests it sends to no instance, terminations of instances
//! that it has observed, and fingerprints that it has answers to.
//!
//! Invariant: while the router has contact with a leader, only the leader's fingerprints are in
//! quarantine; without one, also those that explain the terminations observed by this router.
//!
//! Memory: the numbers of requests and fingerprints are bounded.

use super::attribution::{Standing, attribute};
use super::evidence::Evidence;
use super::{
    ANSWER_RETENTION, AnsweredFingerprint, InstanceEnd, REPORTED_ANSWER_RETENTION, RETENTION,
};
use courseshunt_types::{Digest, Millis, RunnerId, Timestamp};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// Largest number of requests at terminated instances that a router retains, to report them to
/// the next leader.
const MAX_OBSERVED_ENDS: usize = 256;
/// Largest number of fingerprints whose answers are retained: those of ten seconds at 400 requests
/// a second, some of which are shared.
const MAX_ANSWERED: usize = 16_384;
/// Largest number of reported answers that a router retains for the next leader: as many as a leader
/// notifies it of.
const MAX_REPORTED_ANSWERS: usize = 512;
/// Answers are reported no more often than this; terminations are reported at once.
const ANSWER_REPORT_INTERVAL: Millis = Millis(100);

/// A request at an instance that terminated, as observed by this router.
#[derive(Debug)]
struct ObservedEnd {
    fingerprints: Vec<Digest>,
    instance: RunnerId,
    at: Timestamp,
    is_reported: bool,
}

/// The latest answer to a request with a fingerprint that was reported to a leader.
#[derive(Debug)]
struct ReportedAnswer {
    sent_at: Timestamp,
    /// Whether the present leader has it.
    is_reported: bool,
}

/// Quarantine at one router. See the module documentation.
#[derive(Debug, Default)]
pub struct RouterQuarantine {
    quarantined: HashSet<Digest>,
    /// Fingerprints for which the leader needs to be notified of answers.
    suspected: HashSet<Digest>,
    observed_ends: VecDeque<ObservedEnd>,
    /// When the latest request with each fingerprint was sent of those that were answered.
    answered: HashMap<Digest, Timestamp>,
    answers_cleaned_at: Timestamp,
    unreported_answers: BTreeMap<Digest, Timestamp>,
    answers_reported_at: Option<Timestamp>,
    reported_answers: HashMap<Digest, ReportedAnswer>,
    /// The observed terminations as evidence, and the fingerprints that explain them.
    evidence: Evidence,
    blamed: HashSet<Digest>,
}

impl RouterQuarantine {
    /// The fingerprint because of which a request must not be sent, if any. `has_leader` states
    /// whether the router had contact with a leader recently.
    #[must_use]
    pub fn quarantined_of(&self, fingerprints: &[Digest], has_leader: bool) -> Option<Digest> {
        let is_quarantined = |one: &&Digest| {
            self.quarantined.contains(*one) || (!has_leader && self.blamed.contains(*one))
        };
        fingerprints.iter().rev().find(is_quarantined).copied()
    }

    /// Sets the suspected and quarantined fingerprints that the leader published.
    pub fn set(&mut self, suspected: Vec<Digest>, quarantined: Vec<Digest>, now: Timestamp) {
        self.suspected = suspected.iter().chain(&quarantined).copied().collect();
        self.quarantined = quarantined.into_iter().collect();
        for fingerprint in &self.suspected {
            if let Some(sent_at) = self.answer_to_report(fingerprint, now) {
                self.unreported_answers.insert(*fingerprint, sent_at);
            }
        }
    }

    /// When the latest request with a suspected fingerprint was sent whose answer the leader may not
    /// have: a recent one, or one that was reported to an earlier leader.
    fn answer_to_report(&self, fingerprint: &Digest, now: Timestamp) -> Option<Timestamp> {
        let recent = self.answered.get(fingerprint).copied();
        let recent = recent.filter(|sent_at| now.since(*sent_at) <= ANSWER_RETENTION);
        let reported = self.reported_answers.get(fingerprint);
        let reported = reported.filter(|one| !one.is_reported);
        let reported = reported.map(|one| one.sent_at);
        let reported = reported.filter(|sent_at| now.since(*sent_at) <= REPORTED_ANSWER_RETENTION);
        recent.max(reported)
    }

    /// Records that an instance terminated at a time while it had a request with these
    /// fingerprints.
    pub fn ended(&mut self, fingerprints: &[Digest], instance: RunnerId, at: Timestamp) {
        let is_old = |end: &ObservedEnd| at.since(end.at) >= RETENTION;
        while self.observed_ends.len() >= MAX_OBSERVED_ENDS
            || self.observed_ends.front().is_some_and(is_old)
        {
            self.observed_ends.pop_front();
        }
        self.evidence.drop_old(at);
        if !self.evidence.add(fingerprints, &instance, at) {
            return;
        }
        self.evidence.limit(MAX_OBSERVED_ENDS);
        self.observed_ends.push_back(ObservedEnd {
            fingerprints: fingerprints.to_vec(),
            instance,
            at,
            is_reported: false,
        });
        self.attribute();
    }

    fn attribute(&mut self) {
        let attribution = attribute(&self.evidence, |_| Standing::New);
        let blamed = attribution.blamed.into_iter();
        self.blamed = blamed.map(|one| one.fingerprint).collect();
    }

    /// Records a complete answer of an instance to a request that was sent at a time; returns
    /// whether it has to be reported to the leader at once.
    pub fn answered(
        &mut self,
        fingerprints: &[Digest],
        sent_at: Timestamp,
        now: Timestamp,
    ) -> bool {
        let mut changes_evidence = false;
        let mut concerns_leader = false;
        self.drop_old_answers(now);
        for fingerprint in fingerprints {
            self.retain_answer(*fingerprint, sent_at);
            if self.evidence.concerns(fingerprint) {
                changes_evidence |= self.evidence.answered(*fingerprint, sent_at);
            }
            if self.suspected.contains(fingerprint) {
                let latest = self.unreported_answers.entry(*fingerprint);
                let latest = latest.or_insert(sent_at);
                *latest = sent_at.max(*latest);
                concerns_leader = true;
            }
        }
        if changes_evidence {
            self.attribute();
        }
        let is_due = |at: Timestamp| now.since(at) >= ANSWER_REPORT_INTERVAL;
        concerns_leader && self.answers_reported_at.is_none_or(is_due)
    }

    /// Drops answers to requests that were sent too long ago.
    fn drop_old_answers(&mut self, now: Timestamp) {
        if now.since(self.answers_cleaned_at) < ANSWER_RETENTION {
            return;
        }
        self.answers_cleaned_at = now;
        self.answered
            .retain(|_, sent_at| now.since(*sent_at) <= ANSWER_RETENTION);
    }

    fn retain_answer(&mut self, fingerprint: Digest, sent_at: Timestamp) {
        if self.answered.len() >= MAX_ANSWERED {
            self.answered.clear();
        }
        let latest = self.answered.entry(fingerprint).or_insert(sent_at);
        *latest = sent_at.max(*latest);
    }

    /// Marks all retained terminations and answers as unreported, after a change of leader. The
    /// earlier leader may have ended a quarantine by an answer without recording it.
    pub fn mark_all_unreported(&mut self) {
        for end in &mut self.observed_ends {
            end.is_reported = false;
        }
        for answer in self.reported_answers.values_mut() {
            answer.is_reported = false;
        }
    }

    fn retain_reported_answer(&mut self, fingerprint: Digest, sent_at: Timestamp) {
        let earlier = self.reported_answers.get(&fingerprint);
        let sent_at = earlier.map_or(sent_at, |one| one.sent_at.max(sent_at));
        let answer = ReportedAnswer {
            sent_at,
            is_reported: true,
        };
        self.reported_answers.insert(fingerprint, answer);
        if self.reported_answers.len() <= MAX_REPORTED_ANSWERS {
            return;
        }
        let oldest = self.reported_answers.iter();
        let oldest = oldest.min_by_key(|(_, one)| one.sent_at);
        if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.reported_answers.remove(&oldest);
        }
    }

    /// Takes what has not been reported to the leader: terminations, and answered fingerprints.
    pub fn take_unreported(
        &mut self,
        now: Timestamp,
    ) -> (Vec<InstanceEnd>, Vec<AnsweredFingerprint>) {
        let unreported = self.observed_ends.iter_mut().filter(|end| !end.is_reported);
        let ends = unreported.map(|end| {
            end.is_reported = true;
            InstanceEnd {
                fingerprints: end.fingerprints.clone(),
                instance: end.instance.clone(),
                age: now.since(end.at),
            }
        });
        let ends = ends.collect();
        let answered = std::mem::take(&mut self.unreported_answers);
        for (fingerprint, sent_at) in &answered {
            self.retain_reported_answer(*fingerprint, *sent_at);
        }
        if !answered.is_empty() {
            self.answers_reported_at = Some(now);
        }
        let answered = answered.into_iter();
        let answered = answered.map(|(fingerprint, sent_at)| AnsweredFingerprint {
            fingerprint,
            sent_age: now.since(sent_at),
        });
        (ends, answered.collect())
    }

    /// Number of fingerprints in quarantine.
    #[must_use]
    pub fn count(&self) -> usize {
        self.quarantined.len()
    }
}
