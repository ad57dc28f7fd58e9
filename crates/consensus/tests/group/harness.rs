//! A group of cores with an instant disk and a network of fixed delay.

use courseshunt_consensus::{
    ConsensusMessage, Core, CoreSettings, Entry, HardState, Input, Membership, MembershipChange,
    MembershipError, Output, Payload, ProposalId, ReadId, Recovered, RejectionReason, Role,
};
use courseshunt_types::{ControllerId, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Identifier of the reads that tests request.
pub const READ: ReadId = ReadId(1);
/// Time between ticks, in milliseconds.
const TICK: u64 = 20;

struct Member {
    core: Core,
    disk: Recovered,
    slow_disk: bool,
    unsynced: Vec<Input>,
    commands: Vec<Vec<u8>>,
}

impl Member {
    fn store(&mut self, hard_state: Option<HardState>, entries: &[Entry]) {
        self.disk.hard_state = hard_state.unwrap_or(self.disk.hard_state);
        for entry in entries {
            let stored = &mut self.disk.entries;
            stored.retain(|one| one.index < entry.index);
            stored.push(entry.clone());
        }
    }
}

struct InFlight {
    from: u64,
    to: u64,
    message: ConsensusMessage,
}

/// The members, their network and the current time in milliseconds.
pub struct Group {
    now: u64,
    members: BTreeMap<u64, Member>,
    network: VecDeque<InFlight>,
    cut_off: BTreeSet<u64>,
    /// These members reach each other, but no other members.
    partition: BTreeSet<u64>,
    bootstrap: Membership,
    lease_reads: bool,
}

impl Group {
    pub fn new(voters: u64) -> Self {
        Self::with_lease_reads(voters, true)
    }

    pub fn with_lease_reads(voters: u64, lease_reads: bool) -> Self {
        let ids = (1..=voters).map(ControllerId);
        let mut group = Self {
            now: 0,
            members: BTreeMap::new(),
            network: VecDeque::new(),
            cut_off: BTreeSet::new(),
            partition: BTreeSet::new(),
            bootstrap: Membership::of_voters(ids),
            lease_reads,
        };
        for id in 1..=voters {
            let bootstrap = group.bootstrap.clone();
            group.start(id, bootstrap);
        }
        group
    }

    fn start(&mut self, id: u64, bootstrap: Membership) {
        self.start_on(id, bootstrap, Recovered::default());
    }

    /// Restarts a member with its durable state.
    pub fn restart(&mut self, id: u64) {
        let disk = self.members[&id].disk.clone();
        let bootstrap = self.bootstrap.clone();
        self.network.retain(|in_flight| in_flight.to != id);
        self.start_on(id, bootstrap, disk);
    }

    fn start_on(&mut self, id: u64, bootstrap: Membership, disk: Recovered) {
        let settings = CoreSettings {
            lease_reads: self.lease_reads,
            ..CoreSettings::for_member(ControllerId(id))
        };
        let now = Timestamp::at(self.now);
        let core = Core::new(settings, disk.clone(), bootstrap, now);
        let member = Member {
            core,
            disk,
            slow_disk: false,
            unsynced: Vec::new(),
            commands: Vec::new(),
        };
        self.members.insert(id, member);
    }

    pub fn add_member(&mut self, id: u64) {
        self.start(id, Membership::default());
    }

    pub fn core(&self, id: u64) -> &Core {
        &self.members[&id].core
    }

    pub fn commands(&self, id: u64) -> &[Vec<u8>] {
        &self.members[&id].commands
    }

    pub fn leaders(&self) -> Vec<u64> {
        let members = self.members.iter();
        let leaders = members.filter(|(_, one)| one.core.role() == Role::Leader);
        leaders.map(|(id, _)| *id).collect()
    }

    pub fn elect(&mut self) -> u64 {
        self.run_for(3000);
        self.leaders()[0]
    }

    pub fn cut(&mut self, id: u64) {
        self.cut_off = BTreeSet::from([id]);
    }

    pub fn cut_also(&mut self, id: u64) {
        self.cut_off.insert(id);
    }

    /// Separates these members, as one partition, from the others.
    pub fn split(&mut self, partition: impl IntoIterator<Item = u64>) {
        self.partition = partition.into_iter().collect();
    }

    pub fn has_lost_quorum(&self, id: u64) -> bool {
        self.core(id).has_lost_quorum(Timestamp::at(self.now))
    }

    pub fn heal(&mut self) {
        self.cut_off.clear();
        self.partition.clear();
    }

    /// Delays the completion of a member's writes until [`Self::sync_disk`].
    pub fn hold_disk(&mut self, id: u64) {
        self.members.get_mut(&id).unwrap().slow_disk = true;
    }

    pub fn sync_disk(&mut self, id: u64) {
        let member = self.members.get_mut(&id).unwrap();
        member.slow_disk = false;
        for persisted in std::mem::take(&mut member.unsynced) {
            self.step(id, persisted);
        }
    }

    pub fn propose(&mut self, id: u64, command: &[u8]) -> Vec<Output> {
        let proposal = ProposalId(1);
        let command = command.to_vec();
        self.step(id, Input::Propose { proposal, command })
    }

    pub fn change(&mut self, id: u64, change: MembershipChange) -> Option<MembershipError> {
        let proposal = ProposalId(2);
        let outputs = self.step(id, Input::ProposeMembership { proposal, change });
        outputs.into_iter().find_map(|output| match output {
            Output::ProposalRejected {
                reason: RejectionReason::Membership(error),
                ..
            } => Some(error),
            _ => None,
        })
    }

    pub fn run_for(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += TICK;
            for id in self.members.keys().copied().collect::<Vec<_>>() {
                self.step(id, Input::Tick);
            }
            for _ in 0..self.network.len() {
                self.deliver();
            }
        }
    }

    fn deliver(&mut self) {
        let Some(in_flight) = self.network.pop_front() else {
            return;
        };
        let InFlight { from, to, message } = in_flight;
        if self.cut_off.contains(&from) || self.cut_off.contains(&to) {
            return;
        }
        if self.partition.contains(&from) != self.partition.contains(&to) {
            return;
        }
        let from = ControllerId(from);
        if self.members.contains_key(&to) {
            self.step(to, Input::Receive { from, message });
        }
    }

    pub fn step(&mut self, id: u64, input: Input) -> Vec<Output> {
        let now = Timestamp::at(self.now);
        let member = self.members.get_mut(&id).unwrap();
        let mut outputs: VecDeque<Output> = member.core.step(input, now).into();
        let mut carried_out = Vec::new();
        while let Some(output) = outputs.pop_front() {
            match &output {
                Output::Persist {
                    number,
                    hard_state,
                    entries,
                } => {
                    member.store(*hard_state, entries);
                    let persisted = Input::Persisted { number: *number };
                    if member.slow_disk {
                        member.unsynced.push(persisted);
                        continue;
                    }
                    outputs.extend(member.core.step(persisted, now));
                }
                Output::Send { to, message } => self.network.push_back(InFlight {
                    from: id,
                    to: to.0,
                    message: message.clone(),
                }),
                Output::Apply { entries } => {
                    let commands = entries.iter().filter_map(|entry| match &entry.payload {
                        Payload::Command(command) => Some(command.clone()),
                        _ => None,
                    });
                    member.commands.extend(commands);
                }
                _ => {}
            }
            carried_out.push(output);
        }
        carried_out
    }
}
