//! One member: the real core over the real store on a simulated disk, with the
//! duties of the process around it.

use crate::checker::{Checker, Promise};
use crate::disk::SimulatedDisk;
use crate::random::Random;
use courseshunt_consensus::{
    ConsensusMessage, Core, CoreSettings, Entry, HardState, Input, Membership, Output, Payload,
    PersistNumber, ProposalId, ReadId, Role, SnapshotMetadata,
};
use courseshunt_state::{CommandEnvelope, CommandReply, ReplicatedState};
use courseshunt_storage::{LogStore, SegmentLog, StorageError};
use courseshunt_types::{ControllerId, LogIndex, Revision, Term, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// Applied entries after which a snapshot is taken.
const SNAPSHOT_ENTRIES: u64 = 25;
/// Length of a snapshot chunk, in bytes.
const CHUNK_BYTES: usize = 1500;
/// Length of a log segment, in bytes.
const SEGMENT_BYTES: u64 = 3000;

/// A client's request under way at a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Origin {
    pub(crate) client: usize,
    pub(crate) operation: u64,
}

/// What a member tells a client.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Answer {
    Written(CommandReply),
    Read(Revision),
    NotLeader(Option<ControllerId>),
    Undecided,
}

/// What a member wants from the world.
#[derive(Debug)]
pub(crate) enum Effect {
    Send(ControllerId, ConsensusMessage),
    Answer(Origin, Answer),
    /// The writer has something to do.
    StartWriter,
    RoleChanged(Role, Term),
    /// This leader appended a membership.
    MembershipAppended(Membership),
}

#[derive(Debug)]
enum Write {
    Persist(PersistNumber, Option<HardState>, Vec<Entry>),
    Snapshot(SnapshotMetadata, Vec<u8>, bool),
}

/// Result of one turn of the writer.
pub(crate) enum WriterTurn {
    Done,
    DiskFull,
}

/// See the module.
pub(crate) struct Node {
    pub(crate) id: ControllerId,
    pub(crate) disk: SimulatedDisk,
    pub(crate) running: Option<Process>,
    /// Grows with each start, so that events of an earlier life are dropped.
    pub(crate) life: u64,
    /// Never to return.
    pub(crate) lost: bool,
    /// Speed of its clock in parts per thousand of true time.
    pub(crate) clock_per_mille: u64,
    /// Times in which the machine is suspended, from and until.
    pub(crate) sleeps: Vec<(u64, u64)>,
    /// Its clock leaves them out.
    pub(crate) stands_still_asleep: bool,
    /// Longest sync, in milliseconds.
    pub(crate) sync_millis: u64,
    pub(crate) settings: CoreSettings,
    pub(crate) bootstrap: Membership,
}

/// A running process.
pub(crate) struct Process {
    pub(crate) core: Core,
    store: SegmentLog<SimulatedDisk>,
    pub(crate) state: ReplicatedState,
    snapshot: SnapshotMetadata,
    snapshot_bytes: Vec<u8>,
    incoming: Vec<u8>,
    writes: VecDeque<Write>,
    pub(crate) writing: bool,
    pub(crate) disk_full: bool,
    proposals: BTreeMap<ProposalId, Origin>,
    waiting: BTreeMap<LogIndex, (Term, Origin)>,
    reads: BTreeMap<ReadId, Origin>,
    ready_reads: Vec<(LogIndex, Origin)>,
    last_number: u64,
    effects: Vec<Effect>,
}

impl Node {
    pub(crate) fn clock(&self, now: u64) -> Timestamp {
        let asleep = self.sleeps.iter();
        let asleep: u64 = asleep.map(|(from, until)| now.min(*until) - from).sum();
        let counted = match self.stands_still_asleep {
            true => now - asleep,
            false => now,
        };
        Timestamp::at(counted * self.clock_per_mille / 1000)
    }

    /// Starts the process on what the disk holds.
    pub(crate) fn start(&mut self, now: u64, seed: u64, checker: &mut Checker) {
        self.life += 1;
        let started = self.open(now, seed);
        match started {
            Ok(process) => {
                checker.state(self.id, &process.state, true);
                self.running = Some(process);
            }
            Err(error) => {
                let seen = format!("member {}: {error}", self.id);
                checker.fail(Promise::StoreOpens, seen);
            }
        }
    }

    fn open(&mut self, now: u64, seed: u64) -> Result<Process, StorageError> {
        let mut store = SegmentLog::open_in(self.disk.clone())?;
        store.set_segment_bytes(SEGMENT_BYTES);
        let recovered = store.recover()?;
        let state = match recovered.snapshot.is_empty() {
            true => ReplicatedState::default(),
            false => ReplicatedState::from_snapshot(&recovered.snapshot).unwrap_or_default(),
        };
        let settings = CoreSettings {
            seed,
            ..self.settings
        };
        let snapshot = recovered.core.snapshot.clone();
        let bootstrap = self.bootstrap.clone();
        let core = Core::new(settings, recovered.core, bootstrap, self.clock(now));
        Ok(Process {
            core,
            store,
            state,
            snapshot,
            snapshot_bytes: recovered.snapshot,
            incoming: Vec::new(),
            writes: VecDeque::new(),
            writing: false,
            disk_full: false,
            proposals: BTreeMap::new(),
            waiting: BTreeMap::new(),
            reads: BTreeMap::new(),
            ready_reads: Vec::new(),
            last_number: 0,
            effects: Vec::new(),
        })
    }

    /// Ends the process without notice, by a loss of power or, as often, by a kill. A write
    /// under way is not synced.
    pub(crate) fn crash(&mut self, random: &mut Random) {
        self.end();
        match random.chance(500) {
            true => self.disk.crash(random),
            false => self.disk.kill(),
        }
    }

    /// The power goes.
    pub(crate) fn lose_power(&mut self, random: &mut Random) {
        self.end();
        self.disk.crash(random);
    }

    fn end(&mut self) {
        self.life += 1;
        if let Some(mut process) = self.running.take() {
            process.tear_write(&self.disk);
        }
    }
}

impl Process {
    fn tear_write(&mut self, disk: &SimulatedDisk) {
        if !self.writing {
            return;
        }
        disk.cut_power_at_sync();
        match self.writes.pop_front() {
            Some(Write::Persist(_, hard_state, entries)) => {
                let _ = self.store.append(hard_state.as_ref(), &entries);
                let _ = self.store.sync();
            }
            Some(Write::Snapshot(metadata, bytes, _)) => {
                let _ = self.store.save_snapshot(&metadata, &bytes);
            }
            None => {}
        }
    }

    pub(crate) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Has the core take one input and carries out what it asks.
    pub(crate) fn step(&mut self, input: Input, now: Timestamp, checker: &mut Checker) {
        for output in self.core.step(input, now) {
            self.carry_out(output, checker);
        }
    }

    pub(crate) fn write_request(
        &mut self,
        origin: Origin,
        envelope: &CommandEnvelope,
        now: Timestamp,
        checker: &mut Checker,
    ) {
        if self.disk_full {
            self.effects
                .push(Effect::Answer(origin, Answer::NotLeader(None)));
            return;
        }
        let proposal = ProposalId(self.next_number());
        self.proposals.insert(proposal, origin);
        let command = envelope.to_payload();
        self.step(Input::Propose { proposal, command }, now, checker);
    }

    pub(crate) fn read_request(&mut self, origin: Origin, now: Timestamp, checker: &mut Checker) {
        let read = ReadId(self.next_number());
        self.reads.insert(read, origin);
        self.step(Input::Read { read }, now, checker);
    }

    fn carry_out(&mut self, output: Output, checker: &mut Checker) {
        match output {
            Output::Persist {
                number,
                hard_state,
                entries,
            } => {
                self.note_memberships(&entries);
                self.queue(Write::Persist(number, hard_state, entries));
            }
            Output::Send { to, message } => self.effects.push(Effect::Send(to, message)),
            Output::Apply { entries } => self.apply(&entries, checker),
            Output::Proposed {
                proposal,
                index,
                term,
            } => {
                if let Some(origin) = self.proposals.remove(&proposal) {
                    self.waiting.insert(index, (term, origin));
                }
            }
            Output::ProposalRejected { proposal, .. } => {
                let leader = self.core.leader();
                if let Some(origin) = self.proposals.remove(&proposal) {
                    self.answer(origin, Answer::NotLeader(leader));
                }
            }
            Output::ReadReady { read, index } => {
                if let Some(origin) = self.reads.remove(&read) {
                    self.ready_reads.push((index, origin));
                    self.answer_reads();
                }
            }
            Output::ReadRejected { read, .. } => {
                let leader = self.core.leader();
                if let Some(origin) = self.reads.remove(&read) {
                    self.answer(origin, Answer::NotLeader(leader));
                }
            }
            Output::RoleChanged { role, term, .. } => self.change_role(role, term),
            Output::SendSnapshotChunk { to, term, offset } => self.send_chunk(to, term, offset),
            Output::StoreSnapshotChunk {
                metadata,
                offset,
                bytes,
                done,
            } => {
                self.incoming.truncate(offset as usize);
                self.incoming.extend_from_slice(&bytes);
                if done {
                    let bytes = std::mem::take(&mut self.incoming);
                    self.queue(Write::Snapshot(metadata, bytes, true));
                }
            }
        }
    }

    fn note_memberships(&mut self, entries: &[Entry]) {
        if self.core.role() != Role::Leader {
            return;
        }
        for entry in entries {
            if let (Payload::Membership(membership), true) =
                (&entry.payload, entry.term == self.core.term())
            {
                let membership = membership.clone();
                self.effects.push(Effect::MembershipAppended(membership));
            }
        }
    }

    fn answer(&mut self, origin: Origin, answer: Answer) {
        self.effects.push(Effect::Answer(origin, answer));
    }

    fn queue(&mut self, write: Write) {
        self.writes.push_back(write);
        if !self.writing {
            self.writing = true;
            self.effects.push(Effect::StartWriter);
        }
    }

    /// Writes everything that is queued with one sync.
    pub(crate) fn write_queued(&mut self, now: Timestamp, checker: &mut Checker) -> WriterTurn {
        self.disk_full = false;
        let mut persisted = None;
        while let Some(write) = self.writes.front() {
            let written = match write {
                Write::Persist(number, hard_state, entries) => {
                    persisted = Some(*number);
                    self.store.append(hard_state.as_ref(), entries)
                }
                Write::Snapshot(..) if persisted.is_some() => break,
                Write::Snapshot(metadata, bytes, _) => self.store.save_snapshot(metadata, bytes),
            };
            if written.is_err() {
                return self.full();
            }
            let Some(Write::Snapshot(metadata, bytes, from_leader)) = self.writes.pop_front()
            else {
                continue;
            };
            self.snapshot_durable(metadata, bytes, from_leader, now, checker);
        }
        // What is taken in already is written by this or a later sync.
        if self.store.sync().is_err() {
            self.unsynced(persisted);
            return self.full();
        }
        if let Some(number) = persisted {
            self.step(Input::Persisted { number }, now, checker);
        }
        self.writing = !self.writes.is_empty();
        if self.writing {
            self.effects.push(Effect::StartWriter);
        }
        WriterTurn::Done
    }

    /// The store holds the records; only the sync is to be repeated.
    fn unsynced(&mut self, persisted: Option<PersistNumber>) {
        if let Some(number) = persisted {
            self.writes
                .push_front(Write::Persist(number, None, Vec::new()));
        }
    }

    fn full(&mut self) -> WriterTurn {
        self.disk_full = true;
        WriterTurn::DiskFull
    }

    fn snapshot_durable(
        &mut self,
        metadata: SnapshotMetadata,
        bytes: Vec<u8>,
        from_leader: bool,
        now: Timestamp,
        checker: &mut Checker,
    ) {
        let restored = metadata.last_index > self.core.applied();
        if restored {
            self.state = ReplicatedState::from_snapshot(&bytes).unwrap_or_default();
            checker.state(self.core.settings().id, &self.state, true);
        }
        if metadata.last_index > self.snapshot.last_index {
            self.snapshot = metadata.clone();
            self.snapshot_bytes = bytes;
        }
        let input = match restored || from_leader {
            true => Input::SnapshotRestored { metadata },
            false => Input::SnapshotSaved { metadata },
        };
        self.step(input, now, checker);
        self.answer_reads();
    }

    fn send_chunk(&mut self, to: ControllerId, term: Term, offset: u64) {
        if self.snapshot_bytes.is_empty() {
            return;
        }
        let length = self.snapshot_bytes.len();
        let start = if (offset as usize) < length {
            offset as usize
        } else {
            0
        };
        let end = (start + CHUNK_BYTES).min(length);
        let message = ConsensusMessage::SnapshotChunk {
            term,
            metadata: self.snapshot.clone(),
            offset: start as u64,
            bytes: self.snapshot_bytes[start..end].to_vec(),
            done: end == length,
        };
        self.effects.push(Effect::Send(to, message));
    }

    fn apply(&mut self, entries: &[Entry], checker: &mut Checker) {
        for entry in entries {
            self.apply_one(entry, checker);
        }
        self.answer_reads();
        let metadata = self.core.snapshot_metadata();
        if metadata.last_index.0 >= self.snapshot.last_index.0 + SNAPSHOT_ENTRIES {
            let bytes = self.state.to_snapshot();
            self.queue(Write::Snapshot(metadata, bytes, false));
        }
    }

    fn apply_one(&mut self, entry: &Entry, checker: &mut Checker) {
        let id = self.core.settings().id;
        checker.applied(id, entry);
        let reply = match &entry.payload {
            Payload::Command(bytes) => {
                let envelope = CommandEnvelope::from_payload(bytes).ok();
                envelope.map(|one| self.state.apply(entry.index, entry.term, &one))
            }
            _ => {
                self.state.skip(entry.index);
                None
            }
        };
        checker.state(id, &self.state, entry.index.0.is_multiple_of(8));
        if let Some((term, origin)) = self.waiting.remove(&entry.index) {
            let answer = match reply {
                Some(reply) if term == entry.term => Answer::Written(reply),
                _ => Answer::Undecided,
            };
            self.answer(origin, answer);
        }
    }

    fn answer_reads(&mut self) {
        let applied = self.core.applied();
        let revision = self.state.configuration.revision;
        let (ready, waiting) = std::mem::take(&mut self.ready_reads)
            .into_iter()
            .partition(|(index, _)| *index <= applied);
        self.ready_reads = waiting;
        let ready: Vec<(LogIndex, Origin)> = ready;
        for (_, origin) in ready {
            self.answer(origin, Answer::Read(revision));
        }
    }

    fn change_role(&mut self, role: Role, term: Term) {
        if role != Role::Leader {
            for (_, (_, origin)) in std::mem::take(&mut self.waiting) {
                self.answer(origin, Answer::Undecided);
            }
        }
        self.effects.push(Effect::RoleChanged(role, term));
    }
}
