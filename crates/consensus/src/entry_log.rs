//! The part of the log that a member keeps in memory.
//!
//! Invariant: indexes are consecutive from [`EntryLog::first_index`], and the
//! term of the entry just before it is known.

use crate::entry::Entry;
use courseshunt_types::{LogIndex, Term};
use std::collections::VecDeque;

/// Consecutive entries after a compacted prefix.
#[derive(Debug, Clone, Default)]
pub(crate) struct EntryLog {
    previous_index: LogIndex,
    previous_term: Term,
    entries: VecDeque<Entry>,
}

impl EntryLog {
    /// A log of `entries` after the entry (`previous_index`, `previous_term`).
    pub(crate) fn new(previous_index: LogIndex, previous_term: Term, entries: Vec<Entry>) -> Self {
        Self {
            previous_index,
            previous_term,
            entries: entries.into(),
        }
    }

    /// Index of the entry just before the first in memory.
    pub(crate) fn previous_index(&self) -> LogIndex {
        self.previous_index
    }

    /// Index of the first entry in memory; of the next entry while there is none.
    pub(crate) fn first_index(&self) -> LogIndex {
        self.previous_index.next()
    }

    /// Index of the last entry.
    pub(crate) fn last_index(&self) -> LogIndex {
        LogIndex(self.previous_index.0 + self.entries.len() as u64)
    }

    /// Term of the last entry.
    pub(crate) fn last_term(&self) -> Term {
        self.entries
            .back()
            .map_or(self.previous_term, |entry| entry.term)
    }

    /// Term of the entry at `index`; `None` when it is not in memory.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.previous_index {
            return Some(self.previous_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    fn get(&self, index: LogIndex) -> Option<&Entry> {
        let position = index.0.checked_sub(self.first_index().0)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// Appends `entry`, whose index must be the next one.
    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index().next());
        self.entries.push_back(entry);
    }

    /// Removes the entry at `index` and all after it.
    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        let keep = index.0.saturating_sub(self.first_index().0);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Removes the entries up to and including `index`.
    pub(crate) fn compact_to(&mut self, index: LogIndex) {
        while self.previous_index < index {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            self.previous_index = entry.index;
            self.previous_term = entry.term;
        }
    }

    /// Removes all entries; the log continues after the entry (`index`, `term`).
    pub(crate) fn reset(&mut self, index: LogIndex, term: Term) {
        *self = Self::new(index, term, Vec::new());
    }

    /// Entries from `from` on: at most `max_entries` entries and `max_bytes`
    /// bytes, but at least one entry if there is any.
    pub(crate) fn batch(&self, from: LogIndex, max_entries: usize, max_bytes: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let mut batch = Vec::new();
        let skip = from.0.saturating_sub(self.first_index().0);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        for entry in self.entries.iter().skip(skip).take(max_entries) {
            bytes += entry.payload.size_bytes();
            if bytes > max_bytes && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    /// Entries after `after`, up to and including `through`.
    pub(crate) fn range(&self, after: LogIndex, through: LogIndex) -> Vec<Entry> {
        let skip = after.0.saturating_sub(self.previous_index.0);
        let count = through.0.saturating_sub(after.0);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let count = usize::try_from(count).unwrap_or(usize::MAX);
        self.entries
            .iter()
            .skip(skip)
            .take(count)
            .cloned()
            .collect()
    }

    /// Index just before the run of entries that have the term of the entry at `index`.
    pub(crate) fn before_term_of(&self, index: LogIndex) -> LogIndex {
        let Some(term) = self.term_at(index) else {
            return self.previous_index;
        };
        let mut first = index;
        while first > self.previous_index && self.term_at(first) == Some(term) {
            first = LogIndex(first.0 - 1);
        }
        first
    }
}
