//! Terms of the stored entries, held as runs of equal terms.

use courseshunt_consensus::{Entry, SnapshotMetadata};
use courseshunt_types::{LogIndex, Term};

/// Terms by index, from the last entry of the snapshot on.
#[derive(Debug, Clone, Default)]
pub(crate) struct StoredTerms {
    runs: Vec<Run>,
    last_index: LogIndex,
}

#[derive(Debug, Clone, Copy)]
struct Run {
    first_index: LogIndex,
    term: Term,
}

impl StoredTerms {
    pub(crate) fn new(snapshot: &SnapshotMetadata, entries: &[Entry]) -> Self {
        let mut terms = Self::default();
        terms.restart(snapshot.last_index, snapshot.last_term);
        for entry in entries {
            terms.push(entry.index, entry.term);
        }
        terms
    }

    /// Records the term of the entry at `index`, and removes later entries.
    pub(crate) fn push(&mut self, index: LogIndex, term: Term) {
        self.runs.retain(|run| run.first_index < index);
        if self.runs.last().is_none_or(|run| run.term != term) {
            let first_index = index;
            self.runs.push(Run { first_index, term });
        }
        self.last_index = index;
    }

    /// Removes all entries; the log continues after the entry (`index`, `term`).
    pub(crate) fn restart(&mut self, index: LogIndex, term: Term) {
        self.runs.clear();
        self.push(index, term);
    }

    /// Term of the entry at `index`; `None` when it is not stored.
    pub(crate) fn at(&self, index: LogIndex) -> Option<Term> {
        if index > self.last_index {
            return None;
        }
        let mut runs = self.runs.iter().rev();
        runs.find(|run| run.first_index <= index)
            .map(|run| run.term)
    }
}
