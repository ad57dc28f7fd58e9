//! Accelerator memory while a plan is made, and the cheapest runner for a load.
//!
//! Invariant: one plan never counts the same memory twice, whether it is free,
//! being freed, or taken from a replica that the plan evicts.

use super::cost::{eviction_loss, wait_cost};
use super::forecast::Forecast;
use crate::view::{ClusterView, DeploymentView, ReplicaView, RunnerView};
use courseshunt_state::ReplicaPhase;
use courseshunt_types::runner_api::CacheTier;
use courseshunt_types::{DeploymentName, Millis, RunnerId, Timestamp};
use std::collections::BTreeMap;

/// Time from the decision to unload an idle replica to its free memory.
const UNLOAD_TIME: Millis = Millis(1_500);
/// Time until the running requests of a busy replica have ended.
const DRAIN_TIME: Millis = Millis(15_000);
/// A replica that became ready a shorter time ago is not evicted.
const SETTLE_TIME: Millis = Millis(3_000);
/// Cost of using a runner much larger than the replica, to keep it whole.
const OVERSIZE_COST: f64 = 2.0;
/// A runner whose memory is this many times the replica's is much larger.
const OVERSIZE: u64 = 3;

/// A replica that may be evicted.
#[derive(Debug, Clone)]
struct Evictable {
    deployment: DeploymentName,
    memory_mib: u64,
    loss: f64,
    busy: bool,
}

/// Memory of one runner.
#[derive(Debug, Clone, Default)]
struct Room {
    free_mib: u64,
    /// Reserved still, but on its way to be freed.
    freeing_mib: u64,
    /// The cheapest to lose first.
    evictable: Vec<Evictable>,
}

/// Where to load, and what that takes.
#[derive(Debug, Clone)]
pub struct Place {
    /// The runner.
    pub runner: RunnerId,
    /// Where the checkpoint comes from.
    pub tier: CacheTier,
    /// Replicas to unload first.
    pub victims: Vec<DeploymentName>,
    /// Whether memory must be freed before the load.
    pub waits: bool,
    /// Expected time until it serves.
    pub delay: Millis,
    /// Cost of the delay, the evictions and a poor fit.
    pub cost: f64,
    /// Cost of the evictions alone.
    pub loss: f64,
}

/// What a load may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reach {
    /// Free memory only.
    Free,
    /// Idle replicas too.
    Idle,
    /// Replicas whose running requests must end first, too.
    Busy,
}

/// The room on all runners that take loads.
#[derive(Debug)]
pub struct Rooms<'a> {
    view: &'a ClusterView,
    rooms: BTreeMap<&'a RunnerId, Room>,
}

impl<'a> Rooms<'a> {
    /// The room before any decision of this plan.
    #[must_use]
    pub fn of(view: &'a ClusterView, forecast: &Forecast) -> Self {
        let open = view.runners.iter().filter(|one| one.accepts_loads());
        let mut rooms: BTreeMap<&RunnerId, Room> = open
            .map(|runner| {
                let room = Room {
                    free_mib: runner.free_mib(),
                    ..Room::default()
                };
                (&runner.runner, room)
            })
            .collect();
        for deployment in &view.deployments {
            let hazard = forecast.hazard(deployment.name(), view.now);
            for replica in &deployment.replicas {
                let runner = view.runner(&replica.runner);
                if let (Some(room), Some(runner)) = (rooms.get_mut(&replica.runner), runner) {
                    room.note(deployment, replica, runner, hazard, view.now);
                }
            }
        }
        for room in rooms.values_mut() {
            let order = |one: &Evictable, other: &Evictable| one.loss.total_cmp(&other.loss);
            room.evictable.sort_by(order);
        }
        Self { view, rooms }
    }

    /// The cheapest place for one more replica.
    #[must_use]
    pub fn best(&self, wanted: &DeploymentView, reach: Reach) -> Option<Place> {
        let places = self.rooms.iter().filter_map(|(runner, room)| {
            let runner = self.view.runner(runner)?;
            self.place_on(wanted, runner, room, reach)
        });
        places.min_by(|one, other| {
            let cost = one.cost.total_cmp(&other.cost);
            cost.then_with(|| one.runner.cmp(&other.runner))
        })
    }

    /// The place on one runner, if it can take the replica.
    #[must_use]
    pub fn on(&self, wanted: &DeploymentView, runner: &RunnerId, reach: Reach) -> Option<Place> {
        let room = self.rooms.get(runner)?;
        self.place_on(wanted, self.view.runner(runner)?, room, reach)
    }

    fn place_on(
        &self,
        wanted: &DeploymentView,
        runner: &RunnerView,
        room: &Room,
        reach: Reach,
    ) -> Option<Place> {
        let document = &wanted.document;
        let held = wanted
            .replicas
            .iter()
            .any(|one| one.runner == runner.runner);
        if held || runner.avoid.contains(&document.model) {
            return None;
        }
        let memory = document.replica_memory_mib();
        let (victims, room_time) = room.make(memory, wanted.name(), reach)?;
        let tier = runner.tier_of(&document.model);
        let delay = Millis(wanted.expected_load().of(tier).0 + room_time.0);
        let loss = victims.iter().map(|one| one.loss).sum();
        let oversize = runner.memory_mib >= memory * OVERSIZE;
        let fit = if oversize { OVERSIZE_COST } else { 0.0 };
        Some(Place {
            runner: runner.runner.clone(),
            tier,
            waits: room_time > Millis(0),
            victims: victims
                .into_iter()
                .map(|one| one.deployment.clone())
                .collect(),
            delay,
            cost: wait_cost(wanted, delay) + loss + fit,
            loss,
        })
    }

    /// Takes the room of a place.
    pub fn take(&mut self, wanted: &DeploymentView, place: &Place) {
        let Some(room) = self.rooms.get_mut(&place.runner) else {
            return;
        };
        room.evictable.retain(|one| {
            let evicted = place.victims.contains(&one.deployment);
            room.freeing_mib += if evicted { one.memory_mib } else { 0 };
            !evicted
        });
        let memory = wanted.document.replica_memory_mib();
        let from_free = memory.min(room.free_mib);
        room.free_mib -= from_free;
        room.freeing_mib = room.freeing_mib.saturating_sub(memory - from_free);
    }
}

impl Room {
    fn note(
        &mut self,
        deployment: &DeploymentView,
        replica: &ReplicaView,
        runner: &RunnerView,
        hazard: f64,
        now: Timestamp,
    ) {
        let memory_mib = deployment.document.replica_memory_mib();
        match replica.phase {
            ReplicaPhase::Withdrawn => self.freeing_mib += memory_mib,
            ReplicaPhase::Loading => {}
            ReplicaPhase::Ready => {
                let settled = now.since(replica.since) >= SETTLE_TIME;
                if deployment.demand.waiting() > 0 || !settled {
                    return;
                }
                let tier = runner.tier_of(&deployment.document.model);
                let reload = deployment.expected_load().of(tier);
                self.evictable.push(Evictable {
                    deployment: deployment.name().clone(),
                    memory_mib,
                    loss: eviction_loss(deployment, hazard, reload),
                    busy: replica.running > 0,
                });
            }
        }
    }

    /// The replicas to evict for `memory`, and the time until it is free;
    /// `None` when it can't be made.
    fn make(
        &self,
        memory: u64,
        wanted: &DeploymentName,
        reach: Reach,
    ) -> Option<(Vec<&Evictable>, Millis)> {
        if self.free_mib >= memory {
            return Some((Vec::new(), Millis(0)));
        }
        if self.free_mib + self.freeing_mib >= memory {
            return Some((Vec::new(), UNLOAD_TIME));
        }
        if reach == Reach::Free {
            return None;
        }
        self.victims(memory, wanted, false)
            .map(|victims| (victims, UNLOAD_TIME))
            .or_else(|| {
                let victims = self.victims(memory, wanted, true);
                let victims = victims.filter(|_| reach == Reach::Busy)?;
                Some((victims, DRAIN_TIME))
            })
    }

    fn victims(&self, memory: u64, wanted: &DeploymentName, busy: bool) -> Option<Vec<&Evictable>> {
        let mut missing = memory.saturating_sub(self.free_mib + self.freeing_mib);
        let mut victims: Vec<&Evictable> = Vec::new();
        let usable = self.evictable.iter();
        let usable = usable.filter(|one| (busy || !one.busy) && one.deployment != *wanted);
        for one in usable {
            if missing == 0 {
                break;
            }
            missing = missing.saturating_sub(one.memory_mib);
            victims.push(one);
        }
        (missing == 0).then(|| self.without_needless(victims, memory))
    }

    /// Drops victims that a later, larger one made needless.
    fn without_needless<'v>(&self, victims: Vec<&'v Evictable>, memory: u64) -> Vec<&'v Evictable> {
        let mut freed: u64 = victims.iter().map(|one| one.memory_mib).sum();
        let room = self.free_mib + self.freeing_mib;
        let mut kept = Vec::new();
        for one in victims {
            if room + freed - one.memory_mib >= memory {
                freed -= one.memory_mib;
            } else {
                kept.push(one);
            }
        }
        kept
    }
}
