//! The leader's side: instances that ended under each content, over all routers.
//!
//! Invariant: a content under which [`MAX_ENDS`] different instances have ended, not all
//! in one moment and with no answer since, is in quarantine. After its time it is tried again: one more end puts it
//! back, for longer.
//!
//! Cost: bounded numbers of contents; the oldest are forgotten first.

use super::{InstanceEnd, MAX_ENDS, QuarantinedContent, REMEMBERED, SUSPECTED_ENDS, weigh};
use courseshunt_types::{Digest, Millis, RunnerId, Timestamp};
use std::collections::BTreeMap;

/// Contents under suspicion at the most: what a third of a large fleet breaks off at once.
const MAX_SUSPECTS: usize = 16_384;
/// Contents in quarantine at the most; each router is sent all of them.
const MAX_QUARANTINED: usize = 256;
/// Contents that routers are told to vouch for, at the most.
const MAX_TOLD: usize = 256;
/// First quarantine; each further one of the same content is [`LONGER`] times as long, so
/// that no more than three tries fall into a day.
const FIRST_QUARANTINE: Millis = Millis(3_600_000);
const LONGER: u64 = 4;
/// A content that was in quarantine before is remembered so many times longer.
const REMEMBERED_LONGER: u64 = 24;
/// Quarantines after which the time grows no more.
const LONGEST_AFTER: u32 = 6;

/// A content under which instances have ended.
#[derive(Debug, Default)]
struct Suspect {
    /// When each ended.
    ended: BTreeMap<RunnerId, Timestamp>,
    last_at: Timestamp,
    /// Ends still missing to a quarantine are fewer by this, after an earlier one.
    known_ends: usize,
    times: u32,
}

impl Suspect {
    fn ends(&self) -> usize {
        weigh(self.ended.values().copied()) + self.known_ends
    }

    /// How long it is remembered after its last end.
    fn remembered(&self) -> Millis {
        match self.times {
            0 => REMEMBERED,
            _ => Millis(REMEMBERED.0 * REMEMBERED_LONGER),
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
        let longer = self.times.saturating_sub(1).min(LONGEST_AFTER);
        Millis(FIRST_QUARANTINE.0 * LONGER.pow(longer))
    }
}

/// What became of a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineChange {
    /// It is in quarantine now, after so many ends.
    Started {
        /// The content.
        content: Digest,
        /// Instances that ended under it.
        ends: usize,
    },
    /// It was answered: nothing is left against it.
    Cleared {
        /// The content.
        content: Digest,
    },
    /// It may be tried once more.
    Retrying {
        /// The content.
        content: Digest,
    },
}

/// See the module.
#[derive(Debug, Default)]
pub struct QuarantineLedger {
    suspects: BTreeMap<Digest, Suspect>,
    quarantined: BTreeMap<Digest, Quarantined>,
    changes: Vec<QuarantineChange>,
    /// Whether what routers are told has changed.
    news: bool,
}

impl QuarantineLedger {
    /// Takes over what was recorded durably; time in quarantine begins anew.
    pub fn restore(&mut self, recorded: &[QuarantinedContent], now: Timestamp) {
        for one in recorded {
            let times = one.times;
            let entry = Quarantined { since: now, times };
            self.quarantined.entry(one.content).or_insert(entry);
        }
        self.news = true;
    }

    /// Counts the end of an instance that had a request of this content; one that several
    /// routers tell counts once.
    pub fn ended(&mut self, end: &InstanceEnd, now: Timestamp) {
        if self.quarantined.contains_key(&end.content) {
            return;
        }
        self.make_room(&end.content);
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
            self.news = true;
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
        let begun = QuarantineChange::Started { content, ends };
        self.changes.push(begun);
        self.news = true;
    }

    fn make_room(&mut self, content: &Digest) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(content) {
            return;
        }
        let fewest = self.suspects.iter();
        let oldest = fewest.min_by_key(|(_, one)| (one.ended.len() + one.known_ends, one.last_at));
        if let Some(oldest) = oldest.map(|(content, _)| *content) {
            self.suspects.remove(&oldest);
        }
    }

    /// A router has an answer to a content.
    pub fn answered(&mut self, content: Digest) {
        let suspected = self.suspects.remove(&content).is_some();
        let quarantined = self.quarantined.remove(&content).is_some();
        if suspected || quarantined {
            self.changes.push(QuarantineChange::Cleared { content });
            self.news = true;
        }
    }

    /// Ends quarantines whose time is over, and forgets old ends.
    pub fn expire(&mut self, now: Timestamp) {
        self.suspects
            .retain(|_, suspect| now.since(suspect.last_at) < suspect.remembered());
        let over: Vec<Digest> = self
            .quarantined
            .iter()
            .filter(|(_, one)| now.since(one.since) >= one.length())
            .map(|(content, _)| *content)
            .collect();
        for content in over {
            let times = self.quarantined.remove(&content).map_or(0, |one| one.times);
            let suspect = Suspect {
                known_ends: MAX_ENDS - 1,
                times,
                last_at: now,
                ..Suspect::default()
            };
            self.suspects.insert(content, suspect);
            self.changes.push(QuarantineChange::Retrying { content });
            self.news = true;
        }
    }

    /// What routers are to be told: contents to vouch for, contents in quarantine.
    #[must_use]
    pub fn contents_for_routers(&self) -> (Vec<Digest>, Vec<Digest>) {
        let suspects = self.suspects.iter();
        let near = suspects.filter(|(_, one)| one.ends() >= SUSPECTED_ENDS);
        let near = near.map(|(content, _)| *content).take(MAX_TOLD);
        (near.collect(), self.quarantined.keys().copied().collect())
    }

    /// Whether [`Self::contents_for_routers`] has changed since the last call.
    pub fn take_contents_changed(&mut self) -> bool {
        std::mem::take(&mut self.news)
    }

    /// What became of contents since the last call.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// What has to be kept durably, in order: contents in quarantine, and those that are
    /// tried again after one.
    #[must_use]
    pub fn to_record(&self) -> Vec<QuarantinedContent> {
        let suspects = self.suspects.iter().filter(|(_, one)| one.times > 0);
        let tried = suspects.map(|(content, one)| (*content, one.times));
        let held = self.quarantined.iter();
        let held = held.map(|(content, one)| (*content, one.times));
        let all: BTreeMap<Digest, u32> = tried.chain(held).collect();
        all.into_iter()
            .map(|(content, times)| QuarantinedContent { content, times })
            .collect()
    }
}
