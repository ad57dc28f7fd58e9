//! The control group that repairs itself: machines with addresses, disks that are lost,
//! processes that join by the code that ships.
//!
//! Invariant: what a process knows of others comes to it only as in the product: its
//! settings, its disk, who connects to it, answers to its questions, the replicated state.

mod people;
mod troubles;

use crate::checker::Violation;
use crate::world::{Options, World};
use courseshunt_membership::{JoinReply, JoinStrategy};
use courseshunt_types::{ControllerId, Timestamp};
use people::Person;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How a process that no settings name reaches the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Way {
    /// Only the addresses of the settings are asked.
    SeedsAlone,
    /// The addresses that answers name are asked too, as shipped.
    #[default]
    FollowAnswers,
    /// One that is asked passes the wish on to the leader.
    PassOn,
}

impl Way {
    fn of_joiner(self) -> JoinStrategy {
        match self {
            Self::FollowAnswers => JoinStrategy::FollowReplies,
            Self::SeedsAlone | Self::PassOn => JoinStrategy::SeedsOnly,
        }
    }
}

/// What a run is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupOptions {
    /// Seed, length and what is broken on purpose in the core.
    pub run: Options,
    /// How processes reach the leader.
    pub way: Way,
    /// Whether the leader takes in who lives at a voter's address.
    pub takes_strangers: bool,
}

impl GroupOptions {
    /// The usual run of a seed.
    #[must_use]
    pub fn of_seed(seed: u64) -> Self {
        Self {
            run: Options {
                faults_millis: 60_000,
                lease_reads: false,
                ..Options::of_seed(seed)
            },
            way: Way::default(),
            takes_strangers: true,
        }
    }
}

/// What a run showed; times in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupReport {
    /// The seed.
    pub seed: u64,
    /// The first promise that did not hold.
    pub violation: Option<Violation>,
    /// Changes that clients got acknowledged.
    pub acknowledged: usize,
    /// Disks that were lost or replaced.
    pub disks_lost: usize,
    /// Questions that were asked to join.
    pub questions: usize,
    /// From each later process's start until it was a member.
    pub join_times: Vec<u64>,
    /// From the return of the last machine after the closing loss until a leader.
    pub led_again_after: Option<u64>,
}

/// Something that happens to a group.
pub(crate) enum GroupEvent {
    /// A process looks at what is due.
    Look(ControllerId, u64),
    /// A question to join arrives at an address, for the process that asked first.
    Question {
        applicant: ControllerId,
        from: ControllerId,
        to: SocketAddr,
        passed_on: bool,
    },
    /// What became of a question.
    Answer {
        to: ControllerId,
        life: u64,
        address: SocketAddr,
        answer: Option<Told>,
    },
    /// The next trouble is due.
    Trouble,
    /// A machine's process starts with an empty disk; its settings name those given, or
    /// three that are listed.
    StartEmpty(SocketAddr, Option<SocketAddr>),
    /// A machine is gone for good.
    Gone(ControllerId),
    /// The group must be whole.
    CheckWhole,
}

/// An answer to the wish to join.
#[derive(Debug, Clone)]
pub(crate) struct Told {
    reply: JoinReply,
    members: Vec<(ControllerId, SocketAddr)>,
}

/// See the module.
pub(crate) struct Group {
    options: GroupOptions,
    /// Who lives where now.
    places: BTreeMap<SocketAddr, ControllerId>,
    people: BTreeMap<ControllerId, Person>,
    /// The list of machines as it stood from a moment on.
    listed: Vec<(u64, Vec<SocketAddr>)>,
    last_machine: u8,
    last_identity: u64,
    disks_lost: usize,
    questions: usize,
    join_times: Vec<u64>,
}

/// Runs one seed.
#[must_use]
pub fn run_group(options: GroupOptions) -> GroupReport {
    let mut world = World::empty(options.run);
    world.found_group(options);
    world.run_until(options.run.faults_millis);
    let mut led_again_after = None;
    if world.checker.violation().is_none() {
        let back_at = world.close();
        led_again_after = world.check_return(back_at);
    }
    let group = world.group.take();
    GroupReport {
        seed: options.run.seed,
        violation: world.checker.violation().cloned(),
        acknowledged: world.checker.acknowledged_changes(),
        disks_lost: group.as_ref().map_or(0, |group| group.disks_lost),
        questions: group.as_ref().map_or(0, |group| group.questions),
        join_times: group.map(|group| group.join_times).unwrap_or_default(),
        led_again_after,
    }
}

impl World {
    pub(crate) fn group_event(&mut self, event: GroupEvent) {
        match event {
            GroupEvent::Look(id, life) => self.person_looks(id, life),
            GroupEvent::Question {
                applicant,
                from,
                to,
                passed_on,
            } => self.question_arrives(applicant, from, to, passed_on),
            GroupEvent::Answer {
                to,
                life,
                address,
                answer,
            } => self.answer_arrives(to, life, address, answer),
            GroupEvent::Trouble => self.trouble(),
            GroupEvent::StartEmpty(address, seed) => self.start_empty(address, seed),
            GroupEvent::Gone(id) => self.machine_gone(id),
            GroupEvent::CheckWhole => self.check_whole(),
        }
    }

    /// Whether a message to a member reaches the process that the sender means by it.
    /// The receiver learns where the sender is.
    pub(crate) fn reaches(&mut self, from: ControllerId, to: ControllerId) -> bool {
        let now = self.now;
        let blocked = self.blocked.contains(&(from, to));
        let Some(group) = &mut self.group else {
            return true;
        };
        let Some(sender) = group.people.get_mut(&from) else {
            return false;
        };
        let Some(address) = sender.book.get(&to).copied() else {
            return false;
        };
        let own = sender.address;
        let there = group.places.get(&address).copied();
        if there == Some(to) {
            if let Some(receiver) = group.people.get_mut(&to) {
                receiver.book.insert(from, own);
            }
            return true;
        }
        if let (Some(stranger), false, true) = (there, blocked, group.options.takes_strangers)
            && let Some(sender) = group.people.get_mut(&from)
        {
            sender.strangers.insert(stranger, (address, now));
        }
        false
    }

    fn clock_of(&self, id: ControllerId) -> Timestamp {
        self.nodes[&id].clock(self.now)
    }
}
