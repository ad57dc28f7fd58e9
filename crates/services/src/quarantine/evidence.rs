//! Evidence on requests that terminate instances: which requests were in flight at each instance
//! that terminated, and until when a fingerprint is known to be harmless.
//!
//! Invariant: a termination does not count against a fingerprint if a request with it was sent
//! later than that and answered completely. An answer to a request that was sent before proves
//! nothing, since a part of a prompt may turn harmful at any time.
//!
//! Memory: bounded by [`MAX_REQUESTS`]. What one instance adds is bounded too, so that a client
//! with many requests at it does not displace the evidence on others.

use super::RETENTION;
use courseshunt_types::{Digest, Millis, RunnerId, Timestamp};
use std::collections::{HashMap, VecDeque};

/// Maximum number of requests over all instances: those in flight at a third of a large fleet that
/// terminates at once. The oldest instances are dropped first.
const MAX_REQUESTS: usize = 16_384;
/// Maximum number of requests of one instance.
const MAX_REQUESTS_OF_INSTANCE: usize = 256;

/// An instance that terminated.
#[derive(Debug)]
pub(super) struct TerminatedInstance {
    pub(super) instance: RunnerId,
    pub(super) at: Timestamp,
    /// Fingerprints of each request in flight, from the broadest to the narrowest.
    pub(super) requests: Vec<Vec<Digest>>,
}

impl TerminatedInstance {
    /// Whether a request with this fingerprint was in flight.
    fn had(&self, fingerprint: &Digest) -> bool {
        let mut requests = self.requests.iter();
        requests.any(|request| request.contains(fingerprint))
    }
}

/// See the module.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    /// In the order of their first reports.
    terminated: VecDeque<TerminatedInstance>,
    request_count: usize,
    /// When the latest request with this fingerprint was sent that was answered completely.
    answered: HashMap<Digest, Timestamp>,
}

impl Evidence {
    /// Adds a request that was in flight at an instance that terminated; returns whether it is
    /// new. The earliest reported time counts.
    pub(super) fn add(
        &mut self,
        fingerprints: &[Digest],
        instance: &RunnerId,
        at: Timestamp,
    ) -> bool {
        let known = self.terminated.iter_mut();
        let known = known.rev().find(|one| one.instance == *instance);
        match known {
            Some(known) => {
                let is_full = known.requests.len() >= MAX_REQUESTS_OF_INSTANCE;
                if is_full || known.requests.iter().any(|one| one == fingerprints) {
                    return false;
                }
                known.at = known.at.min(at);
                known.requests.push(fingerprints.to_vec());
            }
            None => self.terminated.push_back(TerminatedInstance {
                instance: instance.clone(),
                at,
                requests: vec![fingerprints.to_vec()],
            }),
        }
        self.request_count += 1;
        self.limit(MAX_REQUESTS);
        true
    }

    /// Drops the oldest instances until no more than this number of requests is left.
    pub(super) fn limit(&mut self, max_requests: usize) {
        while self.request_count > max_requests
            && let Some(oldest) = self.terminated.pop_front()
        {
            self.request_count -= oldest.requests.len();
        }
    }

    /// Records a complete answer to a request that was sent at this time; returns whether it is
    /// the latest.
    pub(super) fn answered(&mut self, fingerprint: Digest, sent_at: Timestamp) -> bool {
        let latest = self
            .answered
            .entry(fingerprint)
            .or_insert(Timestamp(i64::MIN));
        let is_latest = *latest < sent_at;
        *latest = sent_at.max(*latest);
        is_latest
    }

    /// Lets the terminations before this time no longer count against a fingerprint.
    pub(super) fn forgive(&mut self, fingerprint: Digest, now: Timestamp) {
        self.answered(fingerprint, now - Millis(1));
    }

    /// Whether a request with this fingerprint was in flight at a terminated instance.
    pub(super) fn concerns(&self, fingerprint: &Digest) -> bool {
        self.terminated.iter().any(|one| one.had(fingerprint))
    }

    /// Times of the terminations after `since` that count against `present`, of instances that had a
    /// request with it in flight and none with `absent`.
    pub(super) fn ends_without(
        &self,
        present: &Digest,
        absent: &Digest,
        since: Timestamp,
    ) -> impl Iterator<Item = Timestamp> {
        let later = self.terminated.iter().filter(move |one| one.at > since);
        let ends = later.filter(move |one| {
            self.counts(present, one.at) && one.had(present) && !one.had(absent)
        });
        ends.map(|one| one.at)
    }

    /// Whether a termination under a request with this fingerprint counts against it.
    pub(super) fn has_counting_end(&self, fingerprint: &Digest) -> bool {
        let mut terminated = self.terminated.iter();
        terminated.any(|one| one.had(fingerprint) && self.counts(fingerprint, one.at))
    }

    /// Times of the terminations after `since` under requests with this fingerprint that do not
    /// count against it, because of a later answer.
    pub(super) fn cleared_ends(
        &self,
        fingerprint: &Digest,
        since: Timestamp,
    ) -> impl Iterator<Item = Timestamp> {
        let later = self.terminated.iter().filter(move |one| one.at > since);
        let ends =
            later.filter(move |one| one.had(fingerprint) && !self.counts(fingerprint, one.at));
        ends.map(|one| one.at)
    }

    /// Whether a termination at this time counts against a fingerprint.
    pub(super) fn counts(&self, fingerprint: &Digest, at: Timestamp) -> bool {
        let answered = self.answered.get(fingerprint);
        answered.is_none_or(|sent_at| at > *sent_at)
    }

    /// Drops each instance none of whose fingerprints has a recent termination.
    pub(super) fn drop_old(&mut self, now: Timestamp) {
        let mut newest: HashMap<Digest, Timestamp> = HashMap::new();
        for terminated in &self.terminated {
            for fingerprint in terminated.requests.iter().flatten() {
                let newest = newest.entry(*fingerprint).or_insert(terminated.at);
                *newest = (*newest).max(terminated.at);
            }
        }
        newest.retain(|_, at| now.since(*at) < RETENTION);
        self.terminated.retain(|terminated| {
            let mut fingerprints = terminated.requests.iter().flatten();
            fingerprints.any(|fingerprint| newest.contains_key(fingerprint))
        });
        self.answered
            .retain(|fingerprint, _| newest.contains_key(fingerprint));
        self.request_count = self.terminated.iter().map(|one| one.requests.len()).sum();
    }

    /// The terminated instances, in the order of their first reports.
    pub(super) fn terminated(&self) -> impl Iterator<Item = &TerminatedInstance> {
        self.terminated.iter()
    }

    /// Number of requests.
    pub(super) fn request_count(&self) -> usize {
        self.request_count
    }
}
