//! Faults at random moments, alone and together.

use crate::world::{Event, NetworkQuality, World};
use courseshunt_consensus::Input;
use courseshunt_types::ControllerId;

/// First moment of a fault, in milliseconds.
const FIRST: u64 = 2_500;
/// Of 1,000 faults, those that suspend a machine, where machines may be.
const SLEEPS_PER_MILLE: u64 = 250;
/// Of 1,000 faults, those in which a member takes over, where members may.
const TAKE_OVERS_PER_MILLE: u64 = 400;
/// Longest time between the start of a take-over and the crash of the candidate, in milliseconds.
const CRASH_AFTER: u64 = 40;
/// Longest time between faults, in milliseconds.
const BETWEEN: u64 = 3_000;

/// Faults that a run may bring about.
const KINDS: &[Kind] = &[
    Kind::Crash,
    Kind::Crash,
    Kind::PowerLoss,
    Kind::CutBoth,
    Kind::CutBoth,
    Kind::CutOneWay,
    Kind::Partition,
    Kind::BadNetwork,
    Kind::DiskFull,
    Kind::SlowDisk,
    Kind::Transfer,
    Kind::CrashOfLeader,
    Kind::CutOfLeader,
];
/// Faults of a run whose machines may be suspended, besides those.
const SLEEPS: &[Kind] = &[Kind::Sleep, Kind::SleepOfLeader];
/// Faults of a run whose members may take over, besides those.
const TAKE_OVERS: &[Kind] = &[
    Kind::TakeOver,
    Kind::TakeOver,
    Kind::TakeOverFromCutLeader,
    Kind::TakeOverAndCrash,
    Kind::TakeOverByTwo,
];

#[derive(Debug, Clone, Copy)]
enum Kind {
    Crash,
    CrashOfLeader,
    PowerLoss,
    CutBoth,
    CutOfLeader,
    CutOneWay,
    Partition,
    BadNetwork,
    DiskFull,
    SlowDisk,
    Transfer,
    Sleep,
    SleepOfLeader,
    TakeOver,
    TakeOverFromCutLeader,
    TakeOverAndCrash,
    TakeOverByTwo,
}

impl World {
    pub(crate) fn schedule_faults(&mut self) {
        self.schedule(FIRST, Event::Fault);
        self.schedule(FIRST + 500, Event::Steward);
    }

    /// Brings about one fault, often a second with it.
    pub(crate) fn bring_about_fault(&mut self) {
        if self.now >= self.faults_until {
            return;
        }
        self.one_fault();
        if self.random.chance(300) {
            self.one_fault();
        }
        let next = self.random.between(200, BETWEEN);
        self.schedule(next, Event::Fault);
    }

    fn one_fault(&mut self) {
        let members: Vec<ControllerId> = self.nodes.keys().copied().collect();
        let sleeps = self.sleeps && self.random.chance(SLEEPS_PER_MILLE);
        let take_overs = self.take_overs && self.random.chance(TAKE_OVERS_PER_MILLE);
        let kinds = match (sleeps, take_overs) {
            (true, _) => SLEEPS,
            (false, true) => TAKE_OVERS,
            (false, false) => KINDS,
        };
        let (Some(kind), Some(member)) = (self.random.pick(kinds), self.random.pick(&members))
        else {
            return;
        };
        self.faults += 1;
        let leader = self.leader().unwrap_or(member);
        match kind {
            Kind::Crash => self.crash(member),
            Kind::CrashOfLeader => self.crash(leader),
            Kind::PowerLoss => members
                .into_iter()
                .for_each(|member| self.lose_power(member)),
            Kind::CutBoth => self.cut(member, true, true),
            Kind::CutOfLeader => self.cut(leader, true, true),
            Kind::CutOneWay => {
                let outwards = self.random.chance(500);
                self.cut(member, outwards, !outwards);
            }
            Kind::Partition => self.partition(),
            Kind::BadNetwork => self.worsen_network(),
            Kind::DiskFull => {
                let length = self.random.between(300, 4000);
                self.nodes[&member].disk.set_full(true);
                self.schedule(length, Event::SpaceAgain(member));
            }
            Kind::SlowDisk => self.slow_disk(member),
            Kind::Sleep => self.sleep(member),
            Kind::SleepOfLeader => self.sleep(leader),
            Kind::TakeOver => self.take_over(member),
            Kind::TakeOverFromCutLeader => self.take_over_from_cut(leader, member),
            Kind::TakeOverAndCrash => {
                self.take_over(member);
                let after = self.random.below(CRASH_AFTER);
                self.schedule(after, Event::Crash(member));
            }
            Kind::TakeOverByTwo => {
                self.take_over(member);
                if let Some(second) = self.random.pick(&members) {
                    self.take_over(second);
                }
            }
            Kind::Transfer => self.with_process(leader, |process, now, checker| {
                process.step(Input::TransferLeadership { to: None }, now, checker);
            }),
        }
    }

    /// Clients still reach the leader, and those that no longer know it reach the others.
    fn take_over_from_cut(&mut self, leader: ControllerId, member: ControllerId) {
        let asks_first = self.random.chance(500);
        if asks_first {
            self.take_over(member);
        }
        self.cut(leader, true, true);
        if !asks_first {
            self.take_over(member);
        }
        for number in 0..self.clients.len() {
            if self.random.chance(500) {
                self.clients[number].forget_leader();
            }
        }
    }

    fn take_over(&mut self, member: ControllerId) {
        self.with_process(member, |process, now, checker| {
            process.step(Input::TakeOver, now, checker);
        });
    }

    /// For a moment, some seconds, or longer than anything is promised.
    fn sleep(&mut self, member: ControllerId) {
        let lengths = [200, 2_000, 6_000];
        let longest = self.random.pick(&lengths).unwrap_or(200);
        let length = self.random.between(longest / 2, longest);
        self.put_to_sleep(member, length);
    }

    pub(crate) fn crash(&mut self, member: ControllerId) {
        let down = self.random.between(50, 5000);
        if let Some(node) = self.nodes.get_mut(&member) {
            node.crash(&mut self.random);
        }
        self.schedule(down, Event::Restart(member));
    }

    fn lose_power(&mut self, member: ControllerId) {
        let down = self.random.between(50, 5000);
        if let Some(node) = self.nodes.get_mut(&member) {
            node.lose_power(&mut self.random);
        }
        self.schedule(down, Event::Restart(member));
    }

    fn cut(&mut self, member: ControllerId, outwards: bool, inwards: bool) {
        let others: Vec<ControllerId> = self.nodes.keys().copied().collect();
        let mut links = Vec::new();
        for other in others.into_iter().filter(|other| *other != member) {
            if outwards {
                links.push((member, other));
            }
            if inwards {
                links.push((other, member));
            }
        }
        self.block(links);
    }

    fn partition(&mut self) {
        let members: Vec<ControllerId> = self.nodes.keys().copied().collect();
        let sides: Vec<bool> = members.iter().map(|_| self.random.chance(500)).collect();
        let mut links = Vec::new();
        for (from, from_side) in members.iter().zip(&sides) {
            for (to, to_side) in members.iter().zip(&sides) {
                if from_side != to_side {
                    links.push((*from, *to));
                }
            }
        }
        self.block(links);
    }

    fn block(&mut self, links: Vec<(ControllerId, ControllerId)>) {
        self.blocked.extend(links.iter().copied());
        let length = self.random.between(300, 6000);
        self.schedule(length, Event::Heal(links));
    }

    fn worsen_network(&mut self) {
        self.quality = NetworkQuality {
            max_delay: self.random.between(50, 600),
            loss_per_mille: self.random.between(0, 300),
            duplicate_per_mille: self.random.between(0, 200),
        };
        let length = self.random.between(500, 4000);
        self.schedule(length, Event::CalmNetwork);
    }

    fn slow_disk(&mut self, member: ControllerId) {
        let sync = self.random.between(100, 1500);
        let length = self.random.between(500, 4000);
        if let Some(node) = self.nodes.get_mut(&member) {
            node.sync_millis = sync;
        }
        self.schedule(length, Event::FastDisk(member));
    }
}
