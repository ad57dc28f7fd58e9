//! Memberships along the log, so that a dropped entry brings the earlier
//! membership back.

use crate::entry::{Entry, Payload};
use crate::membership::Membership;
use courseshunt_types::LogIndex;

/// See the module. The first record is the membership at the log's start.
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
    /// Starts with the membership in force at `index`.
    pub(crate) fn new(index: LogIndex, membership: Membership) -> Self {
        Self {
            records: vec![Record { index, membership }],
        }
    }

    /// The membership in force.
    pub(crate) fn latest(&self) -> &Membership {
        &self.records[self.records.len() - 1].membership
    }

    /// Where the membership in force was written.
    pub(crate) fn latest_index(&self) -> LogIndex {
        self.records[self.records.len() - 1].index
    }

    /// The membership in force at `index`.
    pub(crate) fn at(&self, index: LogIndex) -> &Membership {
        let mut known = self.records.iter().rev();
        let found = known.find(|record| record.index <= index);
        found.map_or(&self.records[0].membership, |record| &record.membership)
    }

    /// Takes an appended entry in; returns whether it changed the membership.
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

    /// Forgets the memberships written at `index` and after it.
    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        while self.records.len() > 1 && self.latest_index() >= index {
            self.records.pop();
        }
    }

    /// Forgets the memberships that were replaced at or before `index`.
    pub(crate) fn compact_to(&mut self, index: LogIndex) {
        let replaced = self.records.iter().filter(|record| record.index <= index);
        let replaced = replaced.count().saturating_sub(1);
        self.records.drain(..replaced);
    }
}
