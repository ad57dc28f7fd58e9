//! Measures how long a group is without a leader.

use crate::world::{Event, Options, World};
use courseshunt_consensus::{Input, ProposalId};
use courseshunt_state::{Command, CommandEnvelope};
use courseshunt_types::{ClientId, ClientSequence, ControllerId, UnixMillis};

/// When the fault is brought about, in milliseconds.
const FAULT_AT: u64 = 5_000;
/// Longest time that is measured, in milliseconds.
const LIMIT: u64 = 20_000;

/// How the leader is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaderLoss {
    /// Its process ends.
    Crash,
    /// It is cut off in silence, both ways.
    SilentCut,
}

/// Time from the loss of the leader to the next election that is won, in
/// milliseconds; `None` when there was none.
#[must_use]
pub fn time_without_leader(seed: u64, loss: LeaderLoss) -> Option<u64> {
    let options = Options::of_seed(seed);
    let mut world = World::new(options);
    let phase = world.random.below(200);
    world.run_until(FAULT_AT + phase);
    let lost = world.leader()?;
    let lost_at = world.now;
    match loss {
        LeaderLoss::Crash => lose(&mut world, lost),
        LeaderLoss::SilentCut => isolate(&mut world, lost),
    }
    world.run_until(lost_at + LIMIT);
    let mut later = world.elections.iter();
    let next = later.find(|(at, id, _)| *at >= lost_at && *id != lost)?;
    Some(next.0 - lost_at)
}

/// Time that a member cut off during `changes` changes takes to apply them all
/// once it is heard again, in milliseconds.
#[must_use]
pub fn catch_up_time(seed: u64, changes: u64) -> Option<u64> {
    let mut world = World::new(Options::of_seed(seed));
    world.run_until(FAULT_AT);
    let leader = world.leader()?;
    let behind = *world.nodes.keys().find(|id| **id != leader)?;
    isolate(&mut world, behind);
    for number in 0..changes {
        world.propose_change(leader, number);
        if number.is_multiple_of(20) {
            let next = world.now + 20;
            world.run_until(next);
        }
    }
    let next = world.now + 1000;
    world.run_until(next);
    world.blocked.clear();
    let healed_at = world.now;
    let target = world.nodes[&leader].running.as_ref()?.core.commit();
    while world.nodes[&behind].running.as_ref()?.core.applied() < target {
        let next = world.now + 5;
        world.run_until(next);
        if world.now > healed_at + LIMIT {
            return None;
        }
    }
    Some(world.now - healed_at)
}

fn lose(world: &mut World, lost: ControllerId) {
    if let Some(node) = world.nodes.get_mut(&lost) {
        node.crash(&mut world.random);
        node.lost = true;
    }
}

fn isolate(world: &mut World, lost: ControllerId) {
    let others: Vec<ControllerId> = world.nodes.keys().copied().collect();
    for other in others.into_iter().filter(|other| *other != lost) {
        world.blocked.insert((lost, other));
        world.blocked.insert((other, lost));
    }
    world.schedule(LIMIT, Event::CalmNetwork);
}

impl World {
    fn propose_change(&mut self, leader: ControllerId, number: u64) {
        let envelope = CommandEnvelope {
            client: ClientId::default(),
            sequence: ClientSequence(0),
            acknowledged: ClientSequence(0),
            proposed_at: UnixMillis(self.now),
            command: Command::AdvanceTime,
        };
        let command = envelope.to_payload();
        let proposal = ProposalId(number);
        self.with_process(leader, |process, now, checker| {
            process.step(Input::Propose { proposal, command }, now, checker);
        });
    }
}
