//! What must hold in every run.

use courseshunt_consensus::{Entry, Payload};
use courseshunt_state::ReplicatedState;
use courseshunt_types::{ChangeId, ControllerId, LogIndex, Revision, TenantName, Term, Version};
use std::collections::BTreeMap;

/// A promise that did not hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// What was seen.
    pub seen: String,
}

/// What is checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Promise {
    /// At most one leader in a term.
    OneLeaderPerTerm,
    /// A committed entry stays as it is, on every member.
    CommittedEntriesStay,
    /// Equal index, equal state.
    IdenticalState,
    /// Reads and changes appear in one order that agrees with real time.
    Linearizable,
    /// An acknowledged change is in the history under its revision.
    AcknowledgedChangesStay,
    /// Versions and revisions never go down.
    ConfigurationNeverReverts,
    /// A learner is promoted only once it has caught up.
    CaughtUpBeforePromotion,
    /// After the faults, the group works and agrees again.
    Recovers,
    /// A member opens what it has stored.
    StoreOpens,
    /// A process that reaches a process of the group becomes a member in time.
    TakenIn,
    /// After a loss the group has as many live voters as before, in time.
    WholeAgain,
}

#[derive(Debug, PartialEq, Eq)]
struct KnownEntry {
    term: Term,
    checksum: u32,
}

/// Collects what members and clients see; keeps the first violation.
#[derive(Debug, Default)]
pub struct Checker {
    leaders: BTreeMap<Term, ControllerId>,
    entries: BTreeMap<LogIndex, KnownEntry>,
    states: BTreeMap<LogIndex, u32>,
    versions: BTreeMap<Revision, BTreeMap<TenantName, Version>>,
    acknowledged: BTreeMap<ChangeId, Revision>,
    /// Highest revision that any client has seen.
    seen_revision: Revision,
    violation: Option<Violation>,
}

impl Checker {
    /// The first violation.
    #[must_use]
    pub fn violation(&self) -> Option<&Violation> {
        self.violation.as_ref()
    }

    /// Notes that a promise did not hold.
    pub fn fail(&mut self, promise: Promise, seen: String) {
        self.violation.get_or_insert(Violation { promise, seen });
    }

    /// A member says that it leads.
    pub fn leads(&mut self, member: ControllerId, term: Term) {
        let first = *self.leaders.entry(term).or_insert(member);
        if first != member {
            let seen = format!("members {first} and {member} lead in term {term}");
            self.fail(Promise::OneLeaderPerTerm, seen);
        }
    }

    /// A member applied an entry.
    pub fn applied(&mut self, member: ControllerId, entry: &Entry) {
        let payload = match &entry.payload {
            Payload::Noop => Vec::new(),
            Payload::Command(bytes) => bytes.clone(),
            Payload::Membership(membership) => format!("{membership:?}").into_bytes(),
        };
        let known = KnownEntry {
            term: entry.term,
            checksum: crc32fast::hash(&payload),
        };
        let index = entry.index;
        let before = self.entries.get(&index);
        if before.is_some_and(|before| *before != known) {
            let seen = format!("member {member} applied another entry {index}");
            self.fail(Promise::CommittedEntriesStay, seen);
        }
        self.entries.insert(index, known);
    }

    /// The state of a member after an entry. Comparing whole states is costly,
    /// so some entries stand for all.
    pub fn state(&mut self, member: ControllerId, state: &ReplicatedState, whole: bool) {
        self.versions_of(state);
        if !whole {
            return;
        }
        let checksum = crc32fast::hash(&state.to_snapshot());
        let first = *self.states.entry(state.applied).or_insert(checksum);
        if first != checksum {
            let seen = format!("member {member} has another state at {}", state.applied);
            self.fail(Promise::IdenticalState, seen);
        }
    }

    fn versions_of(&mut self, state: &ReplicatedState) {
        let revision = state.configuration.revision;
        if self.versions.contains_key(&revision) {
            return;
        }
        let tenants = state.configuration.tenants.values();
        let versions: BTreeMap<TenantName, Version> = tenants
            .map(|one| (one.document.name.clone(), one.document.version))
            .collect();
        let before = self.versions.range(..revision).next_back();
        let lower = before.is_some_and(|(_, before)| {
            let mut known = before.iter();
            known.any(|(name, version)| versions.get(name).is_none_or(|now| now < version))
        });
        if lower {
            let seen = format!("a version went down at revision {revision}");
            self.fail(Promise::ConfigurationNeverReverts, seen);
        }
        self.versions.insert(revision, versions);
    }

    /// Highest revision that a client has seen so far: what begins now must
    /// not see less.
    #[must_use]
    pub fn seen_revision(&self) -> Revision {
        self.seen_revision
    }

    /// A client got the answer to a change that it began at `floor`.
    pub fn acknowledged(&mut self, change: &ChangeId, revision: Revision, floor: Revision) {
        let first = *self.acknowledged.entry(change.clone()).or_insert(revision);
        if first != revision {
            let seen = format!("change {change} was answered with {first} and {revision}");
            self.fail(Promise::Linearizable, seen);
        }
        if revision <= floor {
            let seen = format!("change {change} got {revision}, begun after {floor} was seen");
            self.fail(Promise::Linearizable, seen);
        }
        self.seen_revision = self.seen_revision.max(revision);
    }

    /// A client got the answer to a read that it began at `floor`.
    pub fn read(&mut self, member: ControllerId, revision: Revision, floor: Revision) {
        if revision < floor {
            let seen = format!("member {member} answered {revision} after {floor} was seen");
            self.fail(Promise::Linearizable, seen);
        }
        self.seen_revision = self.seen_revision.max(revision);
    }

    /// The state at the end holds every acknowledged change.
    pub fn finish(&mut self, state: &ReplicatedState) {
        let history = &state.configuration.history;
        let lost = self.acknowledged.iter().find(|(change, revision)| {
            let mut known = history.iter();
            !known.any(|one| one.change_id == **change && one.revision == **revision)
        });
        if let Some((change, revision)) = lost {
            let seen = format!("change {change}, acknowledged as {revision}, is gone");
            self.fail(Promise::AcknowledgedChangesStay, seen);
        }
    }

    /// Changes that were acknowledged.
    #[must_use]
    pub fn acknowledged_changes(&self) -> usize {
        self.acknowledged.len()
    }
}
