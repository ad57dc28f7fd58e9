//! The leader's side: instances that terminated with requests in flight, over all routers, and the
//! fingerprints in quarantine.
//!
//! Invariant: a fingerprint that explains the terminations (`quarantine::attribution`) is
//! in quarantine. After the time of its quarantine it is sent again; one more termination puts it
//! back in quarantine, for a longer time.
//!
//! Memory: the numbers of requests and of fingerprints are bounded; the oldest are evicted first.

use super::attribution::{Blamed, Standing, attribute};
use super::evidence::Evidence;
use super::{
    AnsweredFingerprint, InstanceEnd, MAX_ENDS, QuarantinedContent, REPORTED_ANSWER_RETENTION,
    count_ends,
};
use courseshunt_types::{Digest, Millis, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Largest number of fingerprints in quarantine; each router is sent all of them.
const MAX_QUARANTINED: usize = 256;
/// Largest number of suspected fingerprints that routers are notified of.
const MAX_NOTIFIED: usize = 256;
/// Length of the first quarantine of a content. Each further one of the same fingerprint is longer
/// by [`QUARANTINE_FACTOR`], so that at most three attempts fall into one day.
const FIRST_QUARANTINE: Millis = Millis(3_600_000);
/// Length of the first quarantine of an adapter or of a part of prompts. Many requests share it, and
/// a new version of the instances or of the model may mend it.
const FIRST_SHARED_QUARANTINE: Millis = Millis(300_000);
const QUARANTINE_FACTOR: u64 = 4;
/// Time for which a fingerprint is sent again before its earlier quarantines are forgotten.
const RETRY_RETENTION: Millis = Millis(24 * 3_600_000);
/// Largest exponent of [`QUARANTINE_FACTOR`], after which the time grows no more.
const MAX_FACTOR_EXPONENT: u32 = 6;
/// A quarantine that has lasted this long, at one leader, holds whatever the evidence. A younger one
/// ends if the terminations are explained otherwise.
const SETTLING_TIME: Millis = Millis(60_000);
/// Evidence is searched for old terminations no more often than this.
const CLEANING_INTERVAL: Millis = Millis(10_000);

/// A fingerprint in quarantine.
#[derive(Debug)]
struct Quarantined {
    since: Timestamp,
    times: u32,
    first_length: Millis,
    /// The newest termination that counted.
    last_end: Timestamp,
    /// Whether it holds whatever the evidence.
    is_settled: bool,
    /// Whether an earlier leader recorded it, so that the evidence for it may be gone.
    is_restored: bool,
}

impl Quarantined {
    fn length(&self) -> Millis {
        let exponent = self.times.saturating_sub(1).min(MAX_FACTOR_EXPONENT);
        Millis(self.first_length.0 * QUARANTINE_FACTOR.pow(exponent))
    }
}

/// A fingerprint that is sent again after a quarantine.
#[derive(Debug)]
struct Retried {
    since: Timestamp,
    times: u32,
}

/// Change of a fingerprint's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineChange {
    /// The fingerprint is in quarantine from now on.
    Started {
        /// The fingerprint.
        fingerprint: Digest,
        /// Number of terminations that were counted.
        ends: usize,
    },
    /// The fingerprint is no longer in quarantine: a request with it was answered, or the
    /// terminations are explained by another one.
    Cleared {
        /// The fingerprint.
        fingerprint: Digest,
    },
    /// The quarantine is over, and the fingerprint may be sent again.
    Retrying {
        /// The fingerprint.
        fingerprint: Digest,
    },
}

/// Suspected and quarantined fingerprints. See the module documentation.
#[derive(Debug, Default)]
pub struct QuarantineLedger {
    evidence: Evidence,
    quarantined: BTreeMap<Digest, Quarantined>,
    retried: BTreeMap<Digest, Retried>,
    /// Suspected ones, as of the last attribution.
    suspected: Vec<Digest>,
    /// Whether there is something that has not been attributed.
    is_attribution_due: bool,
    changes: Vec<QuarantineChange>,
    /// What routers were sent last.
    published: (Vec<Digest>, Vec<Digest>),
    cleaned_at: Timestamp,
}

impl QuarantineLedger {
    /// Restores the durably stored fingerprints; the time of their quarantines starts again.
    pub fn restore(&mut self, recorded: &[QuarantinedContent], now: Timestamp) {
        for one in recorded {
            let entry = Quarantined {
                since: now,
                times: one.times,
                first_length: FIRST_QUARANTINE,
                last_end: now,
                is_settled: false,
                is_restored: true,
            };
            self.quarantined.entry(one.content).or_insert(entry);
        }
    }

    /// Adds a request that was in flight at an instance that terminated; returns whether this is
    /// new, so that [`Self::attribute`] has to follow.
    pub fn ended(&mut self, end: &InstanceEnd, now: Timestamp) -> bool {
        let at = now - end.age;
        let is_new = self.evidence.add(&end.fingerprints, &end.instance, at);
        self.is_attribution_due |= is_new;
        is_new
    }

    /// Records that a router has a complete answer to a request with a fingerprint that it was
    /// notified of; returns whether [`Self::attribute`] has to follow.
    pub fn answered(&mut self, answer: &AnsweredFingerprint, now: Timestamp) -> bool {
        let fingerprint = answer.fingerprint;
        let sent_at = now - answer.sent_age;
        if !self.is_notified(&fingerprint) {
            return false;
        }
        let is_latest = self.evidence.answered(fingerprint, sent_at);
        let proves_harmless = |one: &Quarantined| {
            let needs_no_evidence = one.is_settled || one.is_restored;
            needs_no_evidence && sent_at > one.last_end
        };
        if self
            .quarantined
            .get(&fingerprint)
            .is_some_and(proves_harmless)
        {
            self.quarantined.remove(&fingerprint);
            self.changes.push(QuarantineChange::Cleared { fingerprint });
        }
        self.retried.remove(&fingerprint);
        self.is_attribution_due |= is_latest;
        is_latest
    }

    /// Whether routers are notified of a fingerprint, or are about to be notified of its restored
    /// quarantine.
    fn is_notified(&self, fingerprint: &Digest) -> bool {
        let (suspected, quarantined) = &self.published;
        suspected.contains(fingerprint)
            || quarantined.contains(fingerprint)
            || self.quarantined.contains_key(fingerprint)
    }

    /// Attributes the terminations to fingerprints, and starts and ends quarantines accordingly.
    pub fn attribute(&mut self, now: Timestamp) {
        if !std::mem::take(&mut self.is_attribution_due) {
            return;
        }
        let standing = |fingerprint: &Digest| match self.quarantined.get(fingerprint) {
            Some(one) if one.is_settled => Standing::Quarantined,
            Some(one) if one.is_restored => Standing::Restored,
            Some(one) if one.times > 1 => Standing::Retried,
            Some(_) => Standing::New,
            None if self.retried.contains_key(fingerprint) => Standing::Retried,
            None => Standing::New,
        };
        let attribution = attribute(&self.evidence, standing);
        self.suspected = attribution.suspected;
        self.end_unexplained(&attribution.blamed, &attribution.confirmed, now);
        for blamed in &attribution.blamed {
            self.quarantine(blamed, now);
        }
    }

    /// Ends the quarantines that are not settled and that the evidence does not support any more. The
    /// terminations on which an earlier leader's record is based may be missing here, since routers
    /// that had reported them have ended: only later ones speak against the record, or an answer
    /// after all of them.
    fn end_unexplained(&mut self, blamed: &[Blamed], confirmed: &[Digest], now: Timestamp) {
        let changes = &mut self.changes;
        let evidence = &self.evidence;
        self.quarantined.retain(|fingerprint, one| {
            let is_blamed = blamed.iter().any(|one| one.fingerprint == *fingerprint);
            let is_confirmed = confirmed.contains(fingerprint);
            let is_disproved = evidence.concerns(fingerprint)
                && blamed.iter().any(|other| {
                    let ends = evidence.ends_without(&other.fingerprint, fingerprint, one.since);
                    count_ends(ends) >= MAX_ENDS
                });
            let is_cleared = one.times == 1 && is_cleared_by_answer(evidence, fingerprint, now);
            let is_recorded = one.is_restored && !is_disproved && !is_cleared;
            let holds = one.is_settled || is_blamed || is_confirmed || is_recorded;
            if !holds {
                let fingerprint = *fingerprint;
                changes.push(QuarantineChange::Cleared { fingerprint });
            }
            holds
        });
    }

    fn quarantine(&mut self, blamed: &Blamed, now: Timestamp) {
        let fingerprint = blamed.fingerprint;
        if let Some(known) = self.quarantined.get_mut(&fingerprint) {
            known.last_end = blamed.last_end;
            return;
        }
        if self.quarantined.len() >= MAX_QUARANTINED {
            let oldest = self.quarantined.iter().min_by_key(|(_, one)| one.since);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.quarantined.remove(&oldest);
                // Otherwise it would be blamed again at once.
                self.evidence.forgive(oldest, now);
            }
        }
        let earlier = self.retried.remove(&fingerprint);
        let entry = Quarantined {
            since: now,
            times: earlier.map_or(0, |one| one.times) + 1,
            first_length: match blamed.is_content {
                true => FIRST_QUARANTINE,
                false => FIRST_SHARED_QUARANTINE,
            },
            last_end: blamed.last_end,
            is_settled: false,
            is_restored: false,
        };
        self.quarantined.insert(fingerprint, entry);
        self.changes.push(QuarantineChange::Started {
            fingerprint,
            ends: blamed.ends,
        });
    }

    /// Ends quarantines whose time is over, and removes old terminations.
    pub fn expire(&mut self, now: Timestamp) {
        for one in self.quarantined.values_mut() {
            one.is_settled |= now.since(one.since) >= SETTLING_TIME;
        }
        self.retried
            .retain(|_, one| now.since(one.since) < RETRY_RETENTION);
        let quarantined = self.quarantined.iter();
        let expired = quarantined.filter(|(_, one)| now.since(one.since) >= one.length());
        let expired: Vec<(Digest, u32)> = expired.map(|(one, held)| (*one, held.times)).collect();
        for (fingerprint, times) in expired {
            self.quarantined.remove(&fingerprint);
            self.evidence.forgive(fingerprint, now);
            let since = now;
            self.retried.insert(fingerprint, Retried { since, times });
            self.changes
                .push(QuarantineChange::Retrying { fingerprint });
        }
        if now.since(self.cleaned_at) >= CLEANING_INTERVAL {
            self.cleaned_at = now;
            self.evidence.drop_old(now);
            self.is_attribution_due = true;
            self.attribute(now);
        }
    }

    /// Fingerprints that routers are notified of: suspected ones, for which they report answers,
    /// and those in quarantine.
    #[must_use]
    pub fn fingerprints_for_routers(&self) -> (Vec<Digest>, Vec<Digest>) {
        let suspected = self.suspected.iter();
        let suspected = suspected.filter(|one| !self.quarantined.contains_key(*one));
        let retried = self
            .retried
            .keys()
            .filter(|one| !self.suspected.contains(one));
        let notified: BTreeSet<Digest> = suspected
            .chain(retried)
            .take(MAX_NOTIFIED)
            .copied()
            .collect();
        (
            notified.into_iter().collect(),
            self.quarantined.keys().copied().collect(),
        )
    }

    /// What routers have to be sent, if it has changed since the last call of this function.
    pub fn take_publication(&mut self) -> Option<(Vec<Digest>, Vec<Digest>)> {
        let current = self.fingerprints_for_routers();
        if current == self.published {
            return None;
        }
        self.published.clone_from(&current);
        Some(current)
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// Number of requests that were in flight at terminated instances: the work of an attribution
    /// grows with it.
    #[must_use]
    pub fn request_count(&self) -> usize {
        self.evidence.request_count()
    }

    /// Fingerprints to store durably, in their order: those in quarantine, and those that may be
    /// sent again after one.
    #[must_use]
    pub fn to_record(&self) -> Vec<QuarantinedContent> {
        let retried = self.retried.iter();
        let retried = retried.map(|(fingerprint, one)| (*fingerprint, one.times));
        let held = self.quarantined.iter();
        let held = held.map(|(fingerprint, one)| (*fingerprint, one.times));
        let all: BTreeMap<Digest, u32> = retried.chain(held).collect();
        all.into_iter()
            .map(|(content, times)| QuarantinedContent { content, times })
            .collect()
    }
}

/// Whether a request with a fingerprint was answered that was sent after enough recent terminations
/// for a first quarantine, and after all that are known. This is the proof by which the leader that
/// had recorded the quarantine ended it, or would have.
fn is_cleared_by_answer(evidence: &Evidence, fingerprint: &Digest, now: Timestamp) -> bool {
    let recent = evidence.cleared_ends(fingerprint, now - REPORTED_ANSWER_RETENTION);
    count_ends(recent) >= MAX_ENDS && !evidence.has_counting_end(fingerprint)
}
