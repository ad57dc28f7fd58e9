//! Measures how long a group is without a leader.

use crate::world::{Event, Options, World};
use courseshunt_types::ControllerId;

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
