//! Machines of the group are lost, replaced, emptied and cut off, one after the other, each
//! only once the one before may no longer count; at the end a disk is lost while all other
//! machines lose power.

use super::{Group, GroupEvent, GroupOptions};
use crate::checker::Promise;
use crate::group::people::Person;
use crate::world::{Event, World};
use courseshunt_consensus::{Input, Membership};
use courseshunt_membership::Redundancy;
use courseshunt_types::ControllerId;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Machines whose addresses the settings name at first; they found the group.
const FOUNDERS: u8 = 3;
/// Settings of a process that starts name machines as they stood so long before.
const SEEDS_LAG: u64 = 3_000;
/// Of 1,000 machines that return empty, those whose settings name a dead machine alone.
const DEAD_SEEDS_PER_MILLE: u64 = 200;
/// A machine that never was.
const DEAD_MACHINE: u8 = 250;
/// Machines that settings name.
const SEEDS: usize = 3;
/// Time after a trouble in which the group must be whole again, in milliseconds.
const CATCH_UP: u64 = 4_000;
/// First trouble, in milliseconds.
const FIRST: u64 = 5_000;
/// After the last machine has returned the group must be led within this time.
const LED_AGAIN: u64 = 3_000;
/// Time after the closing loss in which all must work again, in milliseconds.
const RETURN: u64 = 15_000;
/// A cut after which the leader has forgotten a learner, in milliseconds.
const LONG_CUT: u64 = 24_000;

/// What happens to the group.
#[derive(Debug, Clone, Copy)]
enum Trouble {
    /// A disk is lost; its machine returns empty at its address.
    Wipe,
    /// A machine is gone; an empty one comes at another address.
    Replace,
    /// The same, the new one first.
    ReplaceAsPlanned,
    CutOff,
    CutOffForLong,
    Crash,
    CrashOfLeader,
    RestartAll,
    MoveLeader,
    SlowDisk,
}

const TROUBLES: &[Trouble] = &[
    Trouble::Wipe,
    Trouble::Wipe,
    Trouble::Replace,
    Trouble::Replace,
    Trouble::ReplaceAsPlanned,
    Trouble::ReplaceAsPlanned,
    Trouble::CutOff,
    Trouble::CutOffForLong,
    Trouble::CrashOfLeader,
    Trouble::RestartAll,
    Trouble::MoveLeader,
    Trouble::MoveLeader,
];
/// What may come while a loss is being repaired: no disk is lost by it.
const BESIDES: &[Trouble] = &[
    Trouble::Crash,
    Trouble::CrashOfLeader,
    Trouble::MoveLeader,
    Trouble::SlowDisk,
];

fn address(machine: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, machine], 7_000))
}

impl Group {
    fn new(options: GroupOptions) -> Self {
        Self {
            options,
            places: BTreeMap::new(),
            people: BTreeMap::new(),
            listed: Vec::new(),
            last_machine: 0,
            last_identity: 0,
            disks_lost: 0,
            questions: 0,
            join_times: Vec::new(),
        }
    }

    fn next_machine(&mut self) -> SocketAddr {
        self.last_machine += 1;
        address(self.last_machine)
    }

    fn next_identity(&mut self) -> ControllerId {
        self.last_identity += 1;
        ControllerId(self.last_identity)
    }

    /// The list as settings written now show it.
    fn list(&self, now: u64) -> Vec<SocketAddr> {
        let shown = now.saturating_sub(SEEDS_LAG);
        let known = self.listed.iter().rev();
        let mut known = known.filter(|(since, _)| *since <= shown);
        known.next().map(|(_, all)| all.clone()).unwrap_or_default()
    }

    fn note_list(&mut self, now: u64) {
        let machines = self.places.keys().copied().collect();
        self.listed.push((now, machines));
    }
}

impl World {
    fn group(&mut self) -> &mut Group {
        self.group.as_mut().expect("a run of a group")
    }

    /// Starts the machines of a new group.
    pub(super) fn found_group(&mut self, options: GroupOptions) {
        let machines = self.random.between(5, 7);
        let mut group = Group::new(options);
        let places: Vec<SocketAddr> = (0..machines).map(|_| group.next_machine()).collect();
        let ids: Vec<ControllerId> = places.iter().map(|_| group.next_identity()).collect();
        group.places = places.iter().copied().zip(ids.iter().copied()).collect();
        group.note_list(0);
        self.group = Some(group);
        let founders = usize::from(FOUNDERS);
        for (id, place) in ids.iter().zip(&places) {
            let founds = ids[..founders].contains(id);
            let mut person = Person::new(*place, places[..founders].to_vec(), options.way, 0);
            person.joined = true;
            if founds {
                person.book = ids[..founders]
                    .iter()
                    .copied()
                    .zip(places.clone())
                    .collect();
            }
            self.group().people.insert(*id, person);
            let bootstrap = match founds {
                true => Membership::of_voters(ids[..founders].to_vec()),
                false => Membership::default(),
            };
            self.add_node(*id, bootstrap);
        }
        self.add_clients();
        self.schedule(FIRST, Event::Group(GroupEvent::Trouble));
    }

    /// Three machines that are listed, drawn by lot.
    fn draw_seeds(&mut self) -> Vec<SocketAddr> {
        let now = self.now;
        let mut listed = self.group().list(now);
        while listed.len() > SEEDS {
            let at = self.random.below(listed.len() as u64) as usize;
            listed.remove(at);
        }
        listed
    }

    /// A process that starts: its knowledge is what its settings and its disk tell.
    pub(crate) fn person_starts(&mut self, id: ControllerId) {
        if self.group.is_none() {
            return;
        }
        let life = self.nodes[&id].life;
        if life > 1 {
            let seeds = self.draw_seeds();
            let way = self.group().options.way;
            if let Some(person) = self.group().people.get_mut(&id) {
                person.restart(seeds, way);
            }
        }
        let delay = self.random.between(5, 60);
        self.schedule(delay, Event::Group(GroupEvent::Look(id, life)));
    }

    pub(super) fn start_empty(&mut self, place: SocketAddr, seed: Option<SocketAddr>) {
        let now = self.now;
        let drawn = self.draw_seeds();
        let seeds = seed.map_or(drawn, |seed| vec![seed]);
        let group = self.group();
        let id = group.next_identity();
        let way = group.options.way;
        group.places.insert(place, id);
        group.note_list(now);
        let person = Person::new(place, seeds, way, now);
        group.people.insert(id, person);
        self.add_node(id, Membership::default());
    }

    /// A machine is gone for good, or its disk is.
    pub(super) fn machine_gone(&mut self, id: ControllerId) {
        let now = self.now;
        if let Some(node) = self.nodes.get_mut(&id) {
            node.crash(&mut self.random);
            node.lost = true;
        }
        let group = self.group();
        group.places.retain(|_, there| *there != id);
        group.note_list(now);
    }

    /// Running processes that live in a place.
    fn residents(&self) -> Vec<ControllerId> {
        let group = self.group.iter();
        group
            .flat_map(|group| group.places.values())
            .copied()
            .collect()
    }

    pub(super) fn trouble(&mut self) {
        let residents = self.residents();
        let (Some(trouble), Some(victim)) =
            (self.random.pick(TROUBLES), self.random.pick(&residents))
        else {
            return;
        };
        self.faults += 1;
        let mut over = self.bring_about(trouble, victim);
        if self.random.chance(300)
            && let Some(besides) = self.random.pick(BESIDES)
        {
            let other = self.random.pick(&residents).unwrap_or(victim);
            over = over.max(self.bring_about(besides, other));
        }
        let next = over + CATCH_UP + self.random.between(500, 2_500);
        self.schedule(next, Event::Group(GroupEvent::CheckWhole));
        if self.now + next < self.faults_until {
            self.schedule(next + 1, Event::Group(GroupEvent::Trouble));
        } else {
            // The closing loss comes at any instant after it.
            self.faults_until = self.now + next;
        }
    }

    /// Returns when it is over, in milliseconds from now.
    fn bring_about(&mut self, trouble: Trouble, victim: ControllerId) -> u64 {
        let leader = self.leader().unwrap_or(victim);
        match trouble {
            Trouble::Wipe => {
                let place = self.group().people[&victim].address;
                self.group().disks_lost += 1;
                self.machine_gone(victim);
                let back = self.random.between(300, 2_000);
                // Back before its old identity is replaced, it is found at its address.
                let dead = self.random.chance(DEAD_SEEDS_PER_MILLE);
                let seed = dead.then(|| address(DEAD_MACHINE));
                self.schedule(back, Event::Group(GroupEvent::StartEmpty(place, seed)));
                back
            }
            Trouble::Replace => {
                let place = self.group().next_machine();
                self.group().disks_lost += 1;
                self.machine_gone(victim);
                let back = self.random.between(300, 2_000);
                self.schedule(back, Event::Group(GroupEvent::StartEmpty(place, None)));
                back
            }
            Trouble::ReplaceAsPlanned => {
                let place = self.group().next_machine();
                self.group().disks_lost += 1;
                self.start_empty(place, None);
                let gone = self.random.between(1_000, 4_000);
                self.schedule(gone, Event::Group(GroupEvent::Gone(victim)));
                gone
            }
            Trouble::CutOff => self.cut_for(victim, 4_000),
            Trouble::CutOffForLong => self.cut_for(victim, LONG_CUT),
            Trouble::Crash => self.crash_for(victim),
            Trouble::CrashOfLeader => self.crash_for(leader),
            Trouble::RestartAll => {
                let residents = self.residents();
                let back = residents.into_iter().map(|id| self.crash_for(id));
                back.max().unwrap_or(0)
            }
            Trouble::MoveLeader => {
                self.with_process(leader, |process, now, checker| {
                    process.step(Input::TransferLeadership { to: None }, now, checker);
                });
                0
            }
            Trouble::SlowDisk => {
                if let Some(node) = self.nodes.get_mut(&victim) {
                    node.sync_millis = 60;
                }
                self.schedule(2_000, Event::FastDisk(victim));
                2_000
            }
        }
    }

    fn crash_for(&mut self, id: ControllerId) -> u64 {
        let back = self.random.between(100, 900);
        if let Some(node) = self.nodes.get_mut(&id) {
            node.crash(&mut self.random);
        }
        self.schedule(back, Event::Restart(id));
        back
    }

    fn cut_for(&mut self, id: ControllerId, length: u64) -> u64 {
        let others = self.residents().into_iter().filter(|other| *other != id);
        let links: Vec<_> = others
            .flat_map(|other| [(id, other), (other, id)])
            .collect();
        self.blocked.extend(links.iter().copied());
        self.schedule(length, Event::Heal(links));
        length
    }

    /// Everybody who lives is a member, five vote, and all of them are heard.
    pub(super) fn check_whole(&mut self) {
        let Some(leader) = self.leader() else {
            let seen = "no leader in calm".to_owned();
            self.checker.fail(Promise::Recovers, seen);
            return;
        };
        let now = self.nodes[&leader].clock(self.now);
        let Some(process) = &self.nodes[&leader].running else {
            return;
        };
        let members = process.core.members_view(now);
        let all = members.membership.all();
        let redundancy = Redundancy::of(leader, &members, 0);
        let outside = self.residents().into_iter().find(|id| !all.contains(id));
        if let Some(outside) = outside {
            let seen = format!("process {outside} is no member of {all:?}");
            self.checker.fail(Promise::TakenIn, seen);
        } else if !redundancy.is_full() {
            let seen = format!("{redundancy:?} in calm, led by {leader}");
            self.checker.fail(Promise::WholeAgain, seen);
        }
    }

    /// A disk is lost while all other machines lose power; returns when all are back.
    pub(super) fn close(&mut self) -> u64 {
        let wait = self.random.below(400);
        self.run_until(self.faults_until + wait);
        let residents = self.residents();
        let wiped = self.random.pick(&residents);
        let mut back_at = self.now;
        for id in residents {
            let back = self.random.between(600, 3_000);
            back_at = back_at.max(self.now + back);
            if Some(id) == wiped {
                let place = self.group().people[&id].address;
                self.group().disks_lost += 1;
                self.machine_gone(id);
                self.schedule(back, Event::Group(GroupEvent::StartEmpty(place, None)));
                continue;
            }
            if let Some(node) = self.nodes.get_mut(&id) {
                node.lose_power(&mut self.random);
            }
            self.schedule(back, Event::Restart(id));
        }
        back_at
    }

    /// After the closing loss all works again; gives the time until a leader.
    pub(super) fn check_return(&mut self, back_at: u64) -> Option<u64> {
        let elections = self.elections.len();
        self.run_until(back_at + LED_AGAIN);
        let led_at = self
            .elections
            .get(elections..)
            .and_then(<[_]>::first)
            .map(|one| one.0);
        if self.leader().is_none() {
            let seen = format!("no leader {LED_AGAIN} ms after all are back");
            self.checker.fail(Promise::Recovers, seen);
            return None;
        }
        self.run_until(back_at + RETURN);
        self.check_recovery();
        if self.checker.violation().is_none() {
            self.check_whole();
        }
        led_at.map(|led_at| led_at.saturating_sub(back_at))
    }
}
