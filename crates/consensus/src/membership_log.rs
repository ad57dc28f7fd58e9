//! History of memberships by log index. When entries are truncated, the
//! membership from before them takes effect again.

use crate::entry::{Entry, Payload};
use crate::membership::Membership;
use courseshunt_types::LogIndex;

/// Memberships by index; the first record is the membership at the start of the log.
#[derive(Debug, Clone)]
pub(crate) struct MembershipLog {
    records: Vec<Record>,
}

#[derive(Debug, Clone)]
struct Record {
    index: LogIndex,
    membership: Membership,
}

impl MembershipLog {
    /// Starts with the membership in effect at `index`.
    pub(crate) fn new(index: LogIndex, membership: Membership) -> Self {
        Self {
            records: vec![Record { index, membership }],
        }
    }

    /// The membership in effect, committed or not.
    pub(crate) fn latest(&self) -> &Membership {
        &self.records[self.records.len() - 1].membership
    }

    /// Index of the entry that set the membership in effect.
    pub(crate) fn latest_index(&self) -> LogIndex {
        self.records[self.records.len() - 1].index
    }

    /// The membership in effect at `index`.
    pub(crate) fn at(&self, index: LogIndex) -> &Membership {
        let mut newest_first = self.records.iter().rev();
        let found = newest_first.find(|record| record.index <= index);
        found.map_or(&self.records[0].membership, |record| &record.membership)
    }

    /// Records an appended entry. Returns whether it changed the membership.
    pub(crate) fn append(&mut self, entry: &Entry) -> bool {
        let Payload::Membership(membership) = &entry.payload else {
            return false;
        };
        self.records.push(Record {
            index: entry.index,
            membership: membership.clone(),
        });
        true
    }

    /// Removes the memberships set at `index` and after it.
    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        while self.records.len() > 1 && self.latest_index() >= index {
            self.records.pop();
        }
    }

    /// Removes the memberships that were replaced at or before `index`.
    pub(crate) fn compact_to(&mut self, index: LogIndex) {
        let replaced = self.records.iter().filter(|record| record.index <= index);
        let replaced = replaced.count().saturating_sub(1);
        self.records.drain(..replaced);
    }
}
