//! The leader's side: instances that terminated while running each content, over all routers.
//!
//! Invariant: a content with [`MAX_ENDS`] different terminated instances, not all at the same time
//! and without an answer since, is in quarantine. After the time of its quarantine it is sent
//! again; one more termination puts it back in quarantine, for a longer time.
//!
//! Memory: the numbers of contents are bounded; the oldest are evicted first.

use super::{InstanceEnd, MAX_ENDS, QuarantinedContent, RETENTION, SUSPECTED_ENDS, count_ends};
use courseshunt_types::{Digest, Millis, RunnerId, Timestamp};
use std::collections::BTreeMap;

/// Largest number of suspected contents: the requests in flight at a third of a large fleet that
/// terminates at once.
const MAX_SUSPECTS: usize = 16_384;
/// Largest number of contents in quarantine; each router is sent all of them.
const MAX_QUARANTINED: usize = 256;
/// Largest number of suspected contents that routers are notified of.
const MAX_NOTIFIED: usize = 256;
/// Length of the first quarantine. Each further one of the same content is longer by
/// [`QUARANTINE_FACTOR`], so that at most three attempts fall into one day.
const FIRST_QUARANTINE: Millis = Millis(3_600_000);
const QUARANTINE_FACTOR: u64 = 4;
/// Factor by which a content that was in quarantine before is retained longer.
const REPEATED_RETENTION_FACTOR: u64 = 24;
/// Largest exponent of [`QUARANTINE_FACTOR`], after which the time grows no more.
const MAX_FACTOR_EXPONENT: u32 = 6;

/// A content with terminated instances.
#[derive(Debug, Default)]
struct Suspect {
    /// When each instance terminated.
    ended: BTreeMap<RunnerId, Timestamp>,
    last_at: Timestamp,
    /// Terminations that are credited after an earlier quarantine, so that fewer are needed for
    /// the next one.
    credited_ends: usize,
    times: u32,
}

impl Suspect {
    fn ends(&self) -> usize {
        count_ends(self.ended.values().copied()) + self.credited_ends
    }

    /// Time for which it is retained after the last termination.
    fn retention(&self) -> Millis {
        match self.times {
            0 => RETENTION,
            _ => Millis(RETENTION.0 * REPEATED_RETENTION_FACTOR),
        }
    }
}

#[derive(Debug)]
struct Quarantined {
    since: Timestamp,
    times: u32,
}

impl Quarantined {
    fn length(&self) -> Millis {
        let exponent = self.times.saturating_sub(1).min(MAX_FACTOR_EXPONENT);
        Millis(FIRST_QUARANTINE.0 * QUARANTINE_FACTOR.pow(exponent))
    }
}

/// Change of a content's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineChange {
    /// The content is in quarantine from now on.
    Started {
        /// The content.
        content: Digest,
        /// Number of terminations that were counted.
        ends: usize,
    },
    /// The content was answered, and all its terminations were cleared.
    Cleared {
        /// The content.
        content: Digest,
    },
    /// The quarantine is over, and the content may be sent again.
    Retrying {
        /// The content.
        content: Digest,
    },
}

/// Suspected and quarantined contents. See the module documentation.
#[derive(Debug, Default)]
pub struct QuarantineLedger {
    suspects: BTreeMap<Digest, Suspect>,
    quarantined: BTreeMap<Digest, Quarantined>,
    changes: Vec<QuarantineChange>,
    /// Whether the contents for routers have changed.
    contents_changed: bool,
}

impl QuarantineLedger {
    /// Restores the durably stored contents; the time of their quarantines starts again.
    pub fn restore(&mut self, recorded: &[QuarantinedContent], now: Timestamp) {
        for one in recorded {
            let times = one.times;
            let entry = Quarantined { since: now, times };
            self.quarantined.entry(one.content).or_insert(entry);
        }
        self.contents_changed = true;
    }

    /// Counts the termination of an instance that had a request of this content in flight. A
    /// termination that several routers report counts once.
    pub fn ended(&mut self, end: &InstanceEnd, now: Timestamp) {
        if self.quarantined.contains_key(&end.content) {
            return;
        }
        self.evict(&end.content);
        let suspect = self.suspects.entry(end.content).or_default();
        if suspect.ended.contains_key(&end.instance) {
            return;
        }
        suspect.ended.insert(end.instance.clone(), now - end.age);
        suspect.last_at = now;
        let ends = suspect.ends();
        if ends >= MAX_ENDS {
            self.quarantine(end.content, ends, now);
        } else if ends >= SUSPECTED_ENDS {
            self.contents_changed = true;
        }
    }

    fn quarantine(&mut self, content: Digest, ends: usize, now: Timestamp) {
        let suspect = self.suspects.remove(&content).unwrap_or_default();
        if self.quarantined.len() >= MAX_QUARANTINED {
            let oldest = self.quarantined.iter().min_by_key(|(_, one)| one.since);
            let oldest = oldest.map(|(content, _)| *content);
            oldest.map(|content| self.quarantined.remove(&content));
        }
        let times = suspect.times + 1;
        let entry = Quarantined { since: now, times };
        self.quarantined.insert(content, entry);
        let started = QuarantineChange::Started { content, ends };
        self.changes.push(started);
        self.contents_changed = true;
    }

    fn evict(&mut self, content: &Digest) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(content) {
            return;
        }
        let suspects = self.suspects.iter();
        let oldest =
            suspects.min_by_key(|(_, one)| (one.ended.len() + one.credited_ends, one.last_at));
        if let Some(oldest) = oldest.map(|(content, _)| *content) {
            self.suspects.remove(&oldest);
        }
    }

    /// Records that a router has an answer to a content, and clears the content.
    pub fn answered(&mut self, content: Digest) {
        let suspected = self.suspects.remove(&content).is_some();
        let quarantined = self.quarantined.remove(&content).is_some();
        if suspected || quarantined {
            self.changes.push(QuarantineChange::Cleared { content });
            self.contents_changed = true;
        }
    }

    /// Ends quarantines whose time is over, and removes old terminations.
    pub fn expire(&mut self, now: Timestamp) {
        self.suspects
            .retain(|_, suspect| now.since(suspect.last_at) < suspect.retention());
        let expired: Vec<Digest> = self
            .quarantined
            .iter()
            .filter(|(_, one)| now.since(one.since) >= one.length())
            .map(|(content, _)| *content)
            .collect();
        for content in expired {
            let times = self.quarantined.remove(&content).map_or(0, |one| one.times);
            let suspect = Suspect {
                credited_ends: MAX_ENDS - 1,
                times,
                last_at: now,
                ..Suspect::default()
            };
            self.suspects.insert(content, suspect);
            self.changes.push(QuarantineChange::Retrying { content });
            self.contents_changed = true;
        }
    }

    /// Contents that routers are notified of: suspected ones, for which they report answers, and
    /// those in quarantine.
    #[must_use]
    pub fn contents_for_routers(&self) -> (Vec<Digest>, Vec<Digest>) {
        let suspects = self.suspects.iter();
        let suspected = suspects.filter(|(_, one)| one.ends() >= SUSPECTED_ENDS);
        let suspected = suspected.map(|(content, _)| *content).take(MAX_NOTIFIED);
        (
            suspected.collect(),
            self.quarantined.keys().copied().collect(),
        )
    }

    /// Whether [`Self::contents_for_routers`] has changed since the last call of this function.
    pub fn take_contents_changed(&mut self) -> bool {
        std::mem::take(&mut self.contents_changed)
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// Contents to store durably, in the order of their digests: those in quarantine, and those
    /// that may be sent again after one.
    #[must_use]
    pub fn to_record(&self) -> Vec<QuarantinedContent> {
        let suspects = self.suspects.iter().filter(|(_, one)| one.times > 0);
        let retrying = suspects.map(|(content, one)| (*content, one.times));
        let held = self.quarantined.iter();
        let held = held.map(|(content, one)| (*content, one.times));
        let all: BTreeMap<Digest, u32> = retrying.chain(held).collect();
        all.into_iter()
            .map(|(content, times)| QuarantinedContent { content, times })
            .collect()
    }
}
