//! The state machine itself.
//!
//! This first version serves a group of one voter, which leads from the start.

use crate::entry::{Entry, HardState, Payload, SnapshotMetadata};
use crate::input::Input;
use crate::membership::Membership;
use crate::output::{Output, RejectionReason};
use courseshunt_types::{ControllerId, LogIndex, Millis, Term, Timestamp};

/// Role of a member in its term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Receives the log but does not vote.
    Learner,
    /// Follows a leader.
    Follower,
    /// Tries out whether it would win an election.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
}

/// Settings of the core.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoreSettings {
    /// Identity of this member.
    pub id: ControllerId,
    /// Time between heartbeats.
    pub heartbeat_interval: Millis,
    /// Shortest election timeout; the longest is twice as long.
    pub election_timeout: Millis,
    /// Largest difference of clock speeds, in parts per thousand, that leases allow for.
    pub clock_drift_per_mille: u32,
    /// Entries in one append message at the most.
    pub max_entries_per_append: usize,
    /// Seed of the election jitter.
    pub seed: u64,
}

impl CoreSettings {
    /// Usual settings for one member.
    #[must_use]
    pub fn for_member(id: ControllerId) -> Self {
        Self {
            id,
            heartbeat_interval: Millis(100),
            election_timeout: Millis(1000),
            clock_drift_per_mille: 50,
            max_entries_per_append: 512,
            seed: id.0,
        }
    }
}

/// What storage holds at the start.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Recovered {
    /// Hard state.
    pub hard_state: HardState,
    /// Latest snapshot, already restored by the state machine.
    pub snapshot: SnapshotMetadata,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// The consensus core of one member.
#[derive(Debug)]
pub struct Core {
    settings: CoreSettings,
    membership: Membership,
    term: Term,
    role: Role,
    entries: Vec<Entry>,
    first_index: LogIndex,
    applied: LogIndex,
}

impl Core {
    /// Starts a member from what storage recovered. `bootstrap` is the
    /// membership of a new group; it counts only when storage is empty.
    #[must_use]
    pub fn new(
        settings: CoreSettings,
        recovered: Recovered,
        bootstrap: Membership,
        _now: Timestamp,
    ) -> Self {
        let snapshot = recovered.snapshot;
        let membership = if snapshot.membership.voters.is_empty() {
            bootstrap
        } else {
            snapshot.membership
        };
        Self {
            settings,
            membership,
            term: recovered.hard_state.term,
            role: Role::Follower,
            entries: recovered.entries,
            first_index: snapshot.last_index.next(),
            applied: snapshot.last_index,
        }
    }

    /// Role of this member.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// Present term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// Members, as of the last appended membership entry.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Takes one input and returns what to do, in order.
    pub fn step(&mut self, input: Input, _now: Timestamp) -> Vec<Output> {
        match input {
            Input::Tick => self.on_tick(),
            Input::Propose { proposal, command } => {
                if self.role != Role::Leader {
                    let reason = RejectionReason::NotLeader { leader: None };
                    return vec![Output::ProposalRejected { proposal, reason }];
                }
                let (index, persist) = self.append(Payload::Command(command));
                let term = self.term;
                let proposed = Output::Proposed {
                    proposal,
                    index,
                    term,
                };
                vec![proposed, persist]
            }
            Input::Read { read } => vec![Output::ReadReady {
                read,
                index: self.applied,
            }],
            Input::Persisted { through, .. } => self.on_persisted(through),
            _ => Vec::new(),
        }
    }

    fn on_tick(&mut self) -> Vec<Output> {
        let alone = self.membership.voters.len() == 1;
        if self.role == Role::Leader || !alone {
            return Vec::new();
        }
        self.role = Role::Leader;
        self.term = self.term.next();
        let (_, persist) = self.append(Payload::Noop);
        let leader = Some(self.settings.id);
        let changed = Output::RoleChanged {
            role: self.role,
            term: self.term,
            leader,
        };
        vec![persist, changed]
    }

    fn append(&mut self, payload: Payload) -> (LogIndex, Output) {
        let index = LogIndex(self.first_index.0 + self.entries.len() as u64);
        let term = self.term;
        let entry = Entry {
            index,
            term,
            payload,
        };
        self.entries.push(entry.clone());
        let hard_state = HardState {
            term,
            voted_for: Some(self.settings.id),
        };
        let persist = Output::Persist {
            hard_state: Some(hard_state),
            entries: vec![entry],
        };
        (index, persist)
    }

    fn on_persisted(&mut self, through: LogIndex) -> Vec<Output> {
        let first = self.first_index;
        let wanted = |entry: &&Entry| entry.index > self.applied && entry.index <= through;
        let entries: Vec<Entry> = self.entries.iter().filter(wanted).cloned().collect();
        debug_assert!(entries.first().is_none_or(|entry| entry.index >= first));
        if entries.is_empty() {
            return Vec::new();
        }
        self.applied = through;
        vec![Output::Apply { entries }]
    }
}
