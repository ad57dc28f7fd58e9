//! Where the baselines load, and what they evict for it.
//!
//! Invariant: one plan never counts the same memory twice, whether it is free,
//! being freed, or evicted by the plan itself.

use crate::decision::{Decision, DecisionKind};
use crate::view::{ClusterView, DeploymentView, ReplicaView, RunnerView};
use courseshunt_state::ReplicaPhase;
use courseshunt_types::runner_api::CacheTier;
use courseshunt_types::{DeploymentName, Millis, RunnerId, Timestamp};
use std::collections::BTreeMap;

/// A replica that may be evicted.
#[derive(Debug, Clone)]
struct Evictable {
    deployment: DeploymentName,
    memory_mib: u64,
    last_used: Timestamp,
}

/// Memory of one runner while a plan is made.
#[derive(Debug, Clone, Default)]
struct Room {
    free_mib: u64,
    /// Reserved still, but on its way to be freed.
    freeing_mib: u64,
    /// Idle replicas, the least recently used first.
    evictable: Vec<Evictable>,
}

/// The room on all runners while a plan is made.
#[derive(Debug)]
pub(super) struct Rooms<'a> {
    view: &'a ClusterView,
    rooms: BTreeMap<RunnerId, Room>,
}

/// When an idle replica was last of use; `None` while it is busy or wanted.
pub(super) fn idle_since(deployment: &DeploymentView, replica: &ReplicaView) -> Option<Timestamp> {
    let idle = replica.phase == ReplicaPhase::Ready && replica.running == 0;
    let wanted = deployment.demand.waiting() > 0 || deployment.demand.running > 0;
    let arrival = deployment.demand.last_arrival.unwrap_or(Timestamp(0));
    (idle && !wanted).then(|| replica.since.max(replica.last_used).max(arrival))
}

/// Unloads all replicas that were idle for `grace`.
pub(super) fn unload_idle(view: &ClusterView, grace: Millis, reason: &str) -> Vec<Decision> {
    let idle = idle_replicas(view);
    let due = idle.filter(|(_, _, since)| view.now.since(*since) >= grace);
    due.map(|(deployment, replica, _)| unload(deployment.name(), &replica.runner, reason))
        .collect()
}

/// When the next replica will have been idle for `grace`.
pub(super) fn next_unload(view: &ClusterView, grace: Millis) -> Option<Timestamp> {
    idle_replicas(view).map(|(_, _, since)| since + grace).min()
}

fn idle_replicas(
    view: &ClusterView,
) -> impl Iterator<Item = (&DeploymentView, &ReplicaView, Timestamp)> {
    view.deployments.iter().flat_map(|deployment| {
        deployment.replicas.iter().filter_map(move |replica| {
            let since = idle_since(deployment, replica)?;
            Some((deployment, replica, since))
        })
    })
}

/// Requests that wait this long beside ready replicas get one more replica.
const PATIENCE: Millis = Millis::from_secs(10);

/// Deployments whose waiting requests need one more replica, the most urgent
/// first: no replica answers or loads, or all are ready and requests have
/// waited beside them for [`PATIENCE`].
pub(super) fn short_of_replicas(view: &ClusterView) -> Vec<&DeploymentView> {
    let below = |one: &DeploymentView| view.count_against_limit(one) < one.document.max_replicas;
    let deployments = view.deployments.iter();
    let mut short: Vec<&DeploymentView> = deployments
        .filter(|one| one.demand.waiting() > 0 && below(one) && is_short(view, one))
        .collect();
    short.sort_by_key(|one| (one.demand.earliest_deadline, one.name().clone()));
    short
}

fn is_short(view: &ClusterView, deployment: &DeploymentView) -> bool {
    let usable = deployment.replicas.iter().filter(|replica| {
        let runner = view.runner(&replica.runner);
        let answers = runner.is_some_and(RunnerView::accepts_loads);
        answers && replica.phase != ReplicaPhase::Withdrawn
    });
    let usable: Vec<&ReplicaView> = usable.collect();
    let Some(newest) = usable.iter().map(|one| one.since).max() else {
        return true;
    };
    let ready = usable.iter().all(|one| one.phase == ReplicaPhase::Ready);
    let oldest = deployment.demand.oldest_arrival.unwrap_or(view.now);
    ready && view.now.since(newest.max(oldest)) >= PATIENCE
}

pub(super) fn unload(deployment: &DeploymentName, runner: &RunnerId, reason: &str) -> Decision {
    Decision {
        kind: DecisionKind::Unload {
            deployment: deployment.clone(),
            runner: runner.clone(),
        },
        reason: reason.to_owned(),
    }
}

impl<'a> Rooms<'a> {
    /// The room of all runners that take loads.
    pub(super) fn of(view: &'a ClusterView) -> Self {
        let open = view.runners.iter().filter(|one| one.accepts_loads());
        let mut rooms: BTreeMap<RunnerId, Room> = open
            .map(|runner| {
                let room = Room {
                    free_mib: runner.free_mib(),
                    ..Room::default()
                };
                (runner.runner.clone(), room)
            })
            .collect();
        for deployment in &view.deployments {
            for replica in &deployment.replicas {
                if let Some(room) = rooms.get_mut(&replica.runner) {
                    room.note(deployment, replica);
                }
            }
        }
        for room in rooms.values_mut() {
            room.evictable.sort_by_key(|one| one.last_used);
        }
        Self { view, rooms }
    }

    /// Takes room for a replica: a load at once where it fits; else evictions
    /// on one runner, after which a later plan loads.
    pub(super) fn place(&mut self, wanted: &DeploymentView, reason: &str) -> Vec<Decision> {
        if let Some(load) = self.place_free(wanted, reason) {
            return vec![load];
        }
        let memory = wanted.document.replica_memory_mib();
        if self.wait_for_freeing(memory) {
            return Vec::new();
        }
        self.evict_for(memory, wanted.name())
    }

    /// Takes free room only.
    pub(super) fn place_free(&mut self, wanted: &DeploymentView, reason: &str) -> Option<Decision> {
        let memory = wanted.document.replica_memory_mib();
        let fits = |runner: &&RunnerView| {
            let room = self.rooms.get(&runner.runner);
            let avoided = runner.avoid.contains(&wanted.document.model);
            let mut held = wanted.replicas.iter();
            let held = held.any(|replica| replica.runner == runner.runner);
            room.is_some_and(|room| room.free_mib >= memory) && !avoided && !held
        };
        let fitting = self.view.runners.iter().filter(fits);
        // The fastest tier; then the tightest fit, to keep large rooms whole.
        let best = fitting.min_by_key(|runner| {
            let tier: CacheTier = runner.tier_of(&wanted.document.model);
            (tier, self.rooms[&runner.runner].free_mib)
        })?;
        if let Some(room) = self.rooms.get_mut(&best.runner) {
            room.free_mib -= memory;
        }
        Some(Decision {
            kind: DecisionKind::Load {
                deployment: wanted.name().clone(),
                runner: best.runner.clone(),
            },
            reason: reason.to_owned(),
        })
    }

    /// Whether room is on its way to be freed; takes it for this replica.
    fn wait_for_freeing(&mut self, memory: u64) -> bool {
        let mut rooms = self.rooms.values_mut();
        let Some(room) =
            rooms.find(|room| room.freeing_mib > 0 && room.free_mib + room.freeing_mib >= memory)
        else {
            return false;
        };
        let from_free = memory.min(room.free_mib);
        room.free_mib -= from_free;
        room.freeing_mib -= memory - from_free;
        true
    }

    /// Evicts on the runner whose youngest victim was unused the longest.
    fn evict_for(&mut self, memory: u64, wanted: &DeploymentName) -> Vec<Decision> {
        let candidates = self.rooms.iter().filter_map(|(runner, room)| {
            let victims = room.victims(memory)?;
            let youngest = victims.last()?.last_used;
            Some((youngest, runner.clone(), victims.len()))
        });
        let Some((_, runner, count)) = candidates.min() else {
            return Vec::new();
        };
        let Some(room) = self.rooms.get_mut(&runner) else {
            return Vec::new();
        };
        let victims: Vec<Evictable> = room.evictable.drain(..count).collect();
        let freed: u64 = victims.iter().map(|one| one.memory_mib).sum();
        room.freeing_mib += freed;
        let from_free = memory.min(room.free_mib);
        room.free_mib -= from_free;
        room.freeing_mib -= memory - from_free;
        let reason = format!("least recently used; {wanted} wants its memory");
        let decisions = victims.iter();
        decisions
            .map(|one| unload(&one.deployment, &runner, &reason))
            .collect()
    }
}

impl Room {
    fn note(&mut self, deployment: &DeploymentView, replica: &ReplicaView) {
        let memory_mib = deployment.document.replica_memory_mib();
        if replica.phase == ReplicaPhase::Withdrawn {
            self.freeing_mib += memory_mib;
        } else if let Some(last_used) = idle_since(deployment, replica) {
            self.evictable.push(Evictable {
                deployment: deployment.name().clone(),
                memory_mib,
                last_used,
            });
        }
    }

    /// The least recently used replicas that make room; `None` when all
    /// together do not.
    fn victims(&self, memory: u64) -> Option<&[Evictable]> {
        let mut room = self.free_mib + self.freeing_mib;
        for (count, one) in self.evictable.iter().enumerate() {
            room += one.memory_mib;
            if room >= memory {
                return Some(&self.evictable[..=count]);
            }
        }
        None
    }
}

/// Deployments without a replica, in the order of their last arrival, the
/// latest first.
pub(super) fn cold_by_recency(view: &ClusterView) -> Vec<&DeploymentView> {
    let cold = view
        .deployments
        .iter()
        .filter(|one| one.replicas.is_empty());
    let mut cold: Vec<&DeploymentView> = cold.collect();
    cold.sort_by_key(|one| {
        (
            std::cmp::Reverse(one.demand.last_arrival),
            one.name().clone(),
        )
    });
    cold
}
