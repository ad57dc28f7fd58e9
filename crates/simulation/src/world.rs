//! The world of one run: time, network, members, clients.

use crate::checker::{Checker, Promise, Violation};
use crate::clients::{Client, Request};
use crate::disk::SimulatedDisk;
use crate::group::{Group, GroupEvent};
use crate::node::{Answer, Effect, Node, Origin, Process, WriterTurn};
use crate::random::Random;
use crate::steward::Steward;
use courseshunt_consensus::{ConsensusMessage, CoreSettings, Input, Membership, Mutant, Role};
use courseshunt_types::{ControllerId, Millis, Term};
use std::collections::{BTreeMap, BTreeSet};

/// Time between ticks of a member, in milliseconds.
const TICK: u64 = 50;
/// Time between tries on a full disk, in milliseconds.
const FULL_DISK_PAUSE: u64 = 200;
/// Time after the faults in which the group recovers, in milliseconds.
const RECOVERY: u64 = 20_000;
/// Time in which a machine that wakes takes up what has waited, in milliseconds.
const WAKING: u64 = 40;
/// Clients of a run.
const CLIENTS: usize = 3;
/// Speeds of clocks lie within this of true time, in parts per thousand; any
/// two then differ by less than the margin of leases (50).
const CLOCK_SPREAD: u64 = 24;

/// A fault that no promise covers, to show that the checks can fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sabotage {
    /// The core leaves a rule out.
    Core(Mutant),
    /// Disks say "synced" without syncing.
    LyingDisks,
    /// Clocks differ by more than the margin of leases.
    ClocksBeyondMargin,
    /// Clocks stand still while their machine is suspended.
    ClocksStandStillAsleep,
}

/// What a run is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Decides everything that is left to chance.
    pub seed: u64,
    /// Length of the part with faults, in milliseconds.
    pub faults_millis: u64,
    /// Whether leaders answer reads by a lease, and members promise it.
    pub lease_reads: bool,
    /// Whether machines are suspended now and then.
    pub sleeps: bool,
    /// Whether members take over the leadership now and then.
    pub take_overs: bool,
    /// What is broken on purpose.
    pub sabotage: Option<Sabotage>,
}

impl Options {
    /// The usual run of a seed.
    #[must_use]
    pub fn of_seed(seed: u64) -> Self {
        Self {
            seed,
            faults_millis: 25_000,
            lease_reads: true,
            sleeps: false,
            take_overs: false,
            sabotage: None,
        }
    }
}

/// What a run showed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// The first promise that did not hold.
    pub violation: Option<Violation>,
    /// Changes that clients got acknowledged.
    pub acknowledged: usize,
    /// Elections that were won.
    pub elections: usize,
    /// Faults that were brought about.
    pub faults: usize,
    /// Changes of the membership that were committed.
    pub membership_changes: usize,
}

/// Something that happens at a time.
pub(crate) enum Event {
    Tick(ControllerId),
    Deliver(ControllerId, ControllerId, ConsensusMessage),
    Writer(ControllerId, u64),
    Client(usize, u64),
    Request(ControllerId, Origin, Request),
    Answer(ControllerId, Origin, Answer),
    Fault,
    Steward,
    Crash(ControllerId),
    Restart(ControllerId),
    Heal(Vec<(ControllerId, ControllerId)>),
    SpaceAgain(ControllerId),
    FastDisk(ControllerId),
    CalmNetwork,
    Group(GroupEvent),
}

/// Properties of the network.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NetworkQuality {
    pub(crate) max_delay: u64,
    pub(crate) loss_per_mille: u64,
    pub(crate) duplicate_per_mille: u64,
}

impl NetworkQuality {
    pub(crate) const CALM: Self = Self {
        max_delay: 8,
        loss_per_mille: 2,
        duplicate_per_mille: 2,
    };
}

/// See the module.
pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) faults_until: u64,
    events: BTreeMap<(u64, u64), Event>,
    last_event: u64,
    pub(crate) random: Random,
    pub(crate) nodes: BTreeMap<ControllerId, Node>,
    pub(crate) blocked: BTreeSet<(ControllerId, ControllerId)>,
    pub(crate) quality: NetworkQuality,
    pub(crate) clients: Vec<Client>,
    pub(crate) steward: Steward,
    pub(crate) checker: Checker,
    pub(crate) lease_reads: bool,
    pub(crate) sleeps: bool,
    pub(crate) take_overs: bool,
    sabotage: Option<Sabotage>,
    pub(crate) faults: usize,
    pub(crate) elections: Vec<(u64, ControllerId, Term)>,
    /// Machines, addresses and joining, in runs of a group that repairs itself.
    pub(crate) group: Option<Group>,
    pub(crate) last_proposal: u64,
}

/// Runs one seed.
#[must_use]
pub fn run(options: Options) -> Report {
    let mut world = World::new(options);
    world.schedule_faults();
    world.run_until(options.faults_millis);
    if world.checker.violation().is_none() {
        world.end_faults();
        world.run_until(options.faults_millis + RECOVERY);
        world.check_recovery();
    }
    Report {
        seed: options.seed,
        violation: world.checker.violation().cloned(),
        acknowledged: world.checker.acknowledged_changes(),
        elections: world.elections.len(),
        faults: world.faults,
        membership_changes: world.steward.committed_changes(),
    }
}

impl World {
    pub(crate) fn new(options: Options) -> Self {
        let mut world = Self::empty(options);
        let voters = if world.random.chance(700) { 3 } else { 5 };
        let ids: Vec<ControllerId> = (1..=voters).map(ControllerId).collect();
        for id in &ids {
            world.add_node(*id, Membership::of_voters(ids.clone()));
        }
        world.add_clients();
        world
    }

    /// A world without members and clients.
    pub(crate) fn empty(options: Options) -> Self {
        Self {
            now: 0,
            faults_until: options.faults_millis,
            events: BTreeMap::new(),
            last_event: 0,
            random: Random::new(options.seed),
            nodes: BTreeMap::new(),
            blocked: BTreeSet::new(),
            quality: NetworkQuality::CALM,
            clients: Vec::new(),
            steward: Steward::default(),
            checker: Checker::default(),
            sabotage: options.sabotage,
            lease_reads: options.lease_reads,
            sleeps: options.sleeps,
            take_overs: options.take_overs,
            faults: 0,
            elections: Vec::new(),
            group: None,
            last_proposal: 0,
        }
    }

    pub(crate) fn add_clients(&mut self) {
        for number in 0..CLIENTS {
            self.clients.push(Client::new(number));
            let at = 1500 + self.random.below(1000);
            self.wake_client(number, at);
        }
    }

    /// Adds a member with an empty disk and starts it.
    pub(crate) fn add_node(&mut self, id: ControllerId, bootstrap: Membership) {
        let disk = SimulatedDisk::default();
        disk.set_lying(self.sabotage == Some(Sabotage::LyingDisks));
        let low = 1000 - CLOCK_SPREAD;
        let clock_per_mille = match self.sabotage {
            Some(Sabotage::ClocksBeyondMargin) => self.random.between(200, 3000),
            _ => self.random.between(low, 1000 + CLOCK_SPREAD),
        };
        let mutant = match self.sabotage {
            Some(Sabotage::Core(mutant)) => Some(mutant),
            _ => None,
        };
        self.nodes.insert(
            id,
            Node {
                id,
                disk,
                running: None,
                life: 0,
                lost: false,
                clock_per_mille,
                sleeps: Vec::new(),
                stands_still_asleep: self.sabotage == Some(Sabotage::ClocksStandStillAsleep),
                sync_millis: 6,
                settings: self.core_settings(id, mutant),
                bootstrap,
            },
        );
        self.start_node(id);
        let first_tick = self.random.below(TICK);
        self.schedule(first_tick, Event::Tick(id));
    }

    fn core_settings(&self, id: ControllerId, mutant: Option<Mutant>) -> CoreSettings {
        let own = match &self.group {
            Some(_) => courseshunt_membership::core_settings(id),
            None => CoreSettings {
                entries_kept_after_snapshot: 5,
                catch_up_timeout: Millis::from_secs(10),
                lease_reads: self.lease_reads,
                ..CoreSettings::for_member(id)
            },
        };
        CoreSettings {
            max_entries_per_append: 8,
            max_entries_in_flight: 32,
            mutant,
            ..own
        }
    }

    pub(crate) fn start_node(&mut self, id: ControllerId) {
        let seed = self.random.below(u64::MAX);
        let now = self.now;
        if let Some(node) = self.nodes.get_mut(&id)
            && !node.lost
            && node.running.is_none()
        {
            node.start(now, seed, &mut self.checker);
            self.person_starts(id);
        }
    }

    /// Has `event` happen after `delay` milliseconds.
    pub(crate) fn schedule(&mut self, delay: u64, event: Event) {
        self.last_event += 1;
        self.events
            .insert((self.now + delay, self.last_event), event);
    }

    pub(crate) fn run_until(&mut self, end: u64) {
        while let Some(entry) = self.events.first_entry() {
            let at = entry.key().0;
            if at > end || self.checker.violation().is_some() {
                break;
            }
            let event = entry.remove();
            self.now = at;
            self.happen(event);
        }
        self.now = self.now.max(end);
    }

    /// When the machine that an event concerns wakes, if it is suspended.
    fn wakes_at(&self, event: &Event) -> Option<u64> {
        let id = match event {
            Event::Tick(id) | Event::Writer(id, _) => id,
            Event::Deliver(_, to, _) | Event::Request(to, ..) => to,
            _ => return None,
        };
        let (_, until) = *self.nodes.get(id)?.sleeps.last()?;
        (until > self.now).then_some(until)
    }

    /// Suspends a machine: what is due there, and what arrives, waits until it wakes.
    pub(crate) fn put_to_sleep(&mut self, id: ControllerId, length: u64) {
        let now = self.now;
        if let Some(node) = self.nodes.get_mut(&id)
            && node.sleeps.last().is_none_or(|(_, until)| *until <= now)
        {
            node.sleeps.push((now, now + length));
        }
    }

    fn happen(&mut self, event: Event) {
        if let Some(until) = self.wakes_at(&event) {
            // Which socket or timer is looked at first is open.
            let turn = self.random.below(WAKING);
            self.schedule(until - self.now + turn, event);
            return;
        }
        match event {
            Event::Tick(id) => {
                self.with_process(id, |process, now, checker| {
                    process.step(Input::Tick, now, checker);
                });
                self.schedule(TICK, Event::Tick(id));
            }
            Event::Deliver(from, to, message) => {
                if !self.blocked.contains(&(from, to)) && self.reaches(from, to) {
                    self.with_process(to, |process, now, checker| {
                        process.step(Input::Receive { from, message }, now, checker);
                    });
                }
            }
            Event::Writer(id, life) => self.writer(id, life),
            Event::Client(number, timer) => self.client_acts(number, timer),
            Event::Request(to, origin, request) => self.request(to, origin, &request),
            Event::Answer(from, origin, answer) => self.client_hears(from, origin, answer),
            Event::Fault => self.bring_about_fault(),
            Event::Steward => self.steward_acts(),
            Event::Crash(id) => self.crash(id),
            Event::Restart(id) => self.start_node(id),
            Event::Heal(links) => {
                for link in links {
                    self.blocked.remove(&link);
                }
            }
            Event::SpaceAgain(id) => self.nodes[&id].disk.set_full(false),
            Event::FastDisk(id) => {
                if let Some(node) = self.nodes.get_mut(&id) {
                    node.sync_millis = 6;
                }
            }
            Event::CalmNetwork => self.quality = NetworkQuality::CALM,
            Event::Group(event) => self.group_event(event),
        }
    }

    /// Has a running member do something and carries out what it wants.
    pub(crate) fn with_process(
        &mut self,
        id: ControllerId,
        work: impl FnOnce(&mut Process, courseshunt_types::Timestamp, &mut Checker),
    ) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let clock = node.clock(now);
        let Some(process) = &mut node.running else {
            return;
        };
        work(process, clock, &mut self.checker);
        for effect in process.take_effects() {
            self.effect(id, effect);
        }
    }

    fn effect(&mut self, id: ControllerId, effect: Effect) {
        match effect {
            Effect::Send(to, message) => self.send(id, to, message),
            Effect::Answer(origin, answer) => {
                if !self.random.chance(self.quality.loss_per_mille * 5) {
                    let delay = self.delay();
                    self.schedule(delay, Event::Answer(id, origin, answer));
                }
            }
            Effect::StartWriter => {
                let node = &self.nodes[&id];
                let (life, longest) = (node.life, node.sync_millis);
                let delay = self.random.between(longest / 3, longest);
                self.schedule(delay, Event::Writer(id, life));
            }
            Effect::RoleChanged(role, term) => {
                if role == Role::Leader {
                    self.checker.leads(id, term);
                    self.elections.push((self.now, id, term));
                }
            }
            Effect::MembershipAppended(membership) => self.check_promotion(&membership),
        }
    }

    fn send(&mut self, from: ControllerId, to: ControllerId, message: ConsensusMessage) {
        if self.blocked.contains(&(from, to)) || self.random.chance(self.quality.loss_per_mille) {
            return;
        }
        if self.random.chance(self.quality.duplicate_per_mille) {
            let delay = self.delay() * 3;
            self.schedule(delay, Event::Deliver(from, to, message.clone()));
        }
        let delay = self.delay();
        self.schedule(delay, Event::Deliver(from, to, message));
    }

    pub(crate) fn delay(&mut self) -> u64 {
        self.random.between(1, self.quality.max_delay)
    }

    fn writer(&mut self, id: ControllerId, life: u64) {
        if self.nodes.get(&id).is_none_or(|node| node.life != life) {
            return;
        }
        let mut full = false;
        self.with_process(id, |process, now, checker| {
            let turn = process.write_queued(now, checker);
            full = matches!(turn, WriterTurn::DiskFull);
        });
        if full {
            self.schedule(FULL_DISK_PAUSE, Event::Writer(id, life));
        }
    }

    fn request(&mut self, to: ControllerId, origin: Origin, request: &Request) {
        self.with_process(to, |process, now, checker| match request {
            Request::Change(envelope) => process.write_request(origin, envelope, now, checker),
            Request::Read => process.read_request(origin, now, checker),
        });
    }

    /// The member that leads in the highest term, if any.
    pub(crate) fn leader(&self) -> Option<ControllerId> {
        let running = self.nodes.values().filter_map(|node| {
            let process = node.running.as_ref()?;
            (process.core.role() == Role::Leader).then_some((process.core.term(), node.id))
        });
        running.max().map(|(_, id)| id)
    }

    fn end_faults(&mut self) {
        self.blocked.clear();
        self.quality = NetworkQuality::CALM;
        for id in self.nodes.keys().copied().collect::<Vec<_>>() {
            if let Some(node) = self.nodes.get_mut(&id) {
                node.disk.set_full(false);
                node.sync_millis = 6;
            }
            self.start_node(id);
        }
    }

    pub(crate) fn check_recovery(&mut self) {
        if self.checker.violation().is_some() {
            return;
        }
        let Some(leader) = self.leader() else {
            let seen = "no leader after the faults".to_owned();
            self.checker.fail(Promise::Recovers, seen);
            return;
        };
        let Some(process) = &self.nodes[&leader].running else {
            return;
        };
        self.checker.finish(&process.state);
        let commit = process.core.commit();
        let members = process.core.membership().all();
        let behind = members.iter().find(|id| {
            let running = self.nodes.get(id).and_then(|node| node.running.as_ref());
            let far = running.map(|one| one.core.applied().0 + 50 < commit.0);
            far == Some(true)
        });
        if let Some(behind) = behind {
            let seen = format!("member {behind} did not catch up to {commit}");
            self.checker.fail(Promise::Recovers, seen);
        }
        let served = self.clients.iter().all(Client::was_served_lately);
        if !served {
            let seen = "a client was not served after the faults".to_owned();
            self.checker.fail(Promise::Recovers, seen);
        }
    }
}
