//! The choice itself: the runner that is expected to finish first.
//!
//! The expected time counts the prompt blocks that are not cached, the tokens
//! to generate, and how full the runner is. A fresh runner counts as fuller
//! than it is. A router that shares its runners with others knows their load
//! from reports that lag; it compares two random runners, so that not all
//! routers run to the same one.

use crate::health::{HealthChange, HealthCounts, RunnerHealth, SLOW_FACTOR};
use crate::prefix::{PrefixIndex, PrefixMatch};
use courseshunt_queue::{
    AdmissionFailure, AttemptOutcome, ReplicaSlots, RunnerChoice, SlotTable, Ticket,
};
use courseshunt_types::{RunnerId, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeMap;

/// Tokens of one prompt block.
pub const PREFIX_BLOCK_TOKENS: u32 = 16;
/// Prompt tokens that take as long as one generated token.
const PROMPT_TOKENS_PER_TOKEN: f64 = 8.0;
/// What a doubtful prefix is worth.
const DOUBTFUL_WORTH: f64 = 0.5;

/// How the load of runners is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceMode {
    /// All use goes through this queue.
    Exact,
    /// Others use the runners too; reports of their load lag.
    Lagged,
}

/// A runner's load as it reported it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ReportedLoad {
    requests: u32,
}

/// See the module. One balancer serves one queue.
#[derive(Debug)]
pub struct Balancer {
    mode: ChoiceMode,
    health: BTreeMap<RunnerId, RunnerHealth>,
    reported: BTreeMap<RunnerId, ReportedLoad>,
    prefixes: PrefixIndex,
    random: Pcg64,
    counts: HealthCounts,
}

impl Balancer {
    /// Knows no runners.
    #[must_use]
    pub fn new(mode: ChoiceMode, seed: u64) -> Self {
        Self {
            mode,
            health: BTreeMap::new(),
            reported: BTreeMap::new(),
            prefixes: PrefixIndex::default(),
            random: Pcg64::seed_from_u64(seed),
            counts: HealthCounts::default(),
        }
    }

    /// Takes the runners in that serve now; others are forgotten.
    pub fn set_runners<'a>(
        &mut self,
        runners: impl IntoIterator<Item = &'a RunnerId>,
        now: Timestamp,
    ) {
        let mut health = BTreeMap::new();
        for runner in runners {
            let known = self.health.remove(runner);
            let known = known.unwrap_or_else(|| RunnerHealth::new(now));
            health.insert(runner.clone(), known);
        }
        for gone in self.health.keys() {
            self.prefixes.forget(gone);
            self.reported.remove(gone);
        }
        self.health = health;
    }

    /// Counters.
    #[must_use]
    pub fn counts(&self) -> HealthCounts {
        self.counts
    }

    /// Runners that are ejected now.
    #[must_use]
    pub fn ejected(&self) -> usize {
        self.health.values().filter(|one| one.is_ejected()).count()
    }

    /// The prefix index, to take events in.
    pub fn prefixes_mut(&mut self) -> &mut PrefixIndex {
        &mut self.prefixes
    }

    /// Takes a load report in: requests running and waiting at a runner.
    pub fn reported(&mut self, runner: &RunnerId, requests: u32) {
        let load = ReportedLoad { requests };
        self.reported.insert(runner.clone(), load);
    }

    /// Takes the end of an attempt in.
    pub fn observe(&mut self, runner: &RunnerId, outcome: AttemptOutcome, now: Timestamp) {
        let may_eject = self.may_eject();
        let Some(health) = self.health.get_mut(runner) else {
            return;
        };
        let change = match outcome {
            AttemptOutcome::Done { first_byte, .. } => health.succeeded(first_byte, now),
            AttemptOutcome::NotAdmitted(AdmissionFailure::Draining) => {
                self.counts.draining_refusals += 1;
                health.draining(now);
                HealthChange::None
            }
            AttemptOutcome::NotAdmitted(AdmissionFailure::Resting(rest)) => {
                health.asked_rest(rest, now);
                HealthChange::None
            }
            // A full engine is no fault of the runner.
            AttemptOutcome::NotAdmitted(AdmissionFailure::Busy) => HealthChange::None,
            AttemptOutcome::NotAdmitted(_) | AttemptOutcome::Failed => {
                health.failed(may_eject, now)
            }
            AttemptOutcome::Cancelled | AttemptOutcome::Unused => {
                health.unused(now);
                HealthChange::None
            }
        };
        self.count(change);
        self.eject_if_slow(runner, now);
    }

    fn count(&mut self, change: HealthChange) {
        match change {
            HealthChange::Ejected => self.counts.ejections += 1,
            HealthChange::Returned => self.counts.returns += 1,
            HealthChange::None => {}
        }
    }

    /// At most half of the runners are ejected together: when more fail, the
    /// fault lies elsewhere.
    fn may_eject(&self) -> bool {
        (self.ejected() + 1) * 2 <= self.health.len()
    }

    fn eject_if_slow(&mut self, runner: &RunnerId, now: Timestamp) {
        let Some(median) = self.median_of_others(runner) else {
            return;
        };
        let may_eject = self.may_eject();
        let Some(health) = self.health.get_mut(runner) else {
            return;
        };
        let slow = health
            .first_byte_ms()
            .is_some_and(|mean| mean > median * SLOW_FACTOR);
        if slow && may_eject && !health.is_ejected() {
            let change = health.eject(now);
            self.count(change);
        }
    }

    fn median_of_others(&self, runner: &RunnerId) -> Option<f64> {
        let others = self.health.iter().filter(|(one, _)| *one != runner);
        let mut times: Vec<f64> = others
            .filter_map(|(_, health)| health.first_byte_ms())
            .collect();
        times.sort_by(f64::total_cmp);
        times.get(times.len() / 2).map(|median| median.max(1.0))
    }

    /// Expected time to the end, in the time of one generated token on an
    /// empty runner.
    fn expected(&self, ticket: &Ticket, replica: &ReplicaSlots, now: Timestamp) -> f64 {
        let matched = self
            .prefixes
            .matched(&replica.runner, &ticket.prefix_hashes);
        let prompt = f64::from(ticket.prompt_tokens) - cached_tokens(matched);
        let work = prompt.max(0.0) / PROMPT_TOKENS_PER_TOKEN + f64::from(ticket.max_tokens);
        work * (1.0 + self.fullness(replica, now))
    }

    fn fullness(&self, replica: &ReplicaSlots, now: Timestamp) -> f64 {
        let reported = self.reported.get(&replica.runner);
        let reported = reported.map_or(0, |load| load.requests);
        let requests = match self.mode {
            ChoiceMode::Exact => replica.in_use,
            ChoiceMode::Lagged => replica.in_use.max(reported),
        };
        let health = self.health.get(&replica.runner);
        let share = health.map_or(1.0, |health| health.share(now));
        f64::from(requests) / (f64::from(replica.slots.max(1)) * share)
    }

    fn is_usable(&self, runner: &RunnerId, now: Timestamp) -> bool {
        let health = self.health.get(runner);
        health.is_none_or(|health| !health.is_ejected() && !health.is_left_alone(now))
    }

    fn best<'a>(
        &self,
        candidates: &[&'a ReplicaSlots],
        ticket: &Ticket,
        now: Timestamp,
    ) -> Option<&'a ReplicaSlots> {
        let by_time = |one: &&&ReplicaSlots, other: &&&ReplicaSlots| {
            let times = (
                self.expected(ticket, one, now),
                self.expected(ticket, other, now),
            );
            times.0.total_cmp(&times.1)
        };
        candidates.iter().min_by(by_time).copied()
    }

    /// Two random candidates, when the load of all of them lags.
    fn sample<'a>(&mut self, candidates: Vec<&'a ReplicaSlots>) -> Vec<&'a ReplicaSlots> {
        if self.mode == ChoiceMode::Exact || candidates.len() <= 2 {
            return candidates;
        }
        let first = self.random.random_range(0..candidates.len());
        let step = self.random.random_range(1..candidates.len());
        let second = (first + step) % candidates.len();
        vec![candidates[first], candidates[second]]
    }
}

/// Tokens of the prompt that need not be read again, by expectation.
fn cached_tokens(matched: PrefixMatch) -> f64 {
    let tokens = f64::from(matched.blocks * PREFIX_BLOCK_TOKENS);
    match matched.doubtful {
        true => tokens * DOUBTFUL_WORTH,
        false => tokens,
    }
}

impl RunnerChoice for Balancer {
    /// In this order: a runner that is due for a probe; a runner that serves
    /// and was not tried yet; one that was tried; when all that have free slots
    /// are ejected and none serves, an ejected one.
    fn choose(&mut self, ticket: &Ticket, slots: &SlotTable, now: Timestamp) -> Option<RunnerId> {
        let free = slots.replicas().filter(|one| one.free() > 0);
        let free: Vec<&ReplicaSlots> = free.collect();
        let avoided = |one: &&&ReplicaSlots| ticket.avoid.contains(&one.runner);
        let probe = free.iter().find(|one| {
            let health = self.health.get(&one.runner);
            health.is_some_and(|health| health.wants_probe(now) && !health.is_left_alone(now))
        });
        if let Some(probe) = probe.filter(|one| ticket.avoid.is_empty() && one.in_use == 0) {
            let runner = probe.runner.clone();
            self.sent(&runner, now);
            return Some(runner);
        }
        let usable = free.iter().filter(|one| self.is_usable(&one.runner, now));
        let (tried, fresh): (Vec<&ReplicaSlots>, Vec<&ReplicaSlots>) =
            usable.partition(|one| avoided(one));
        let candidates = match fresh.is_empty() {
            true => tried,
            false => fresh,
        };
        let candidates = match candidates.is_empty() && !self.any_serves(slots, now) {
            true => self.last_resort(free, now),
            false => candidates,
        };
        let candidates = self.sample(candidates);
        let chosen = self.best(&candidates, ticket, now)?.runner.clone();
        self.sent(&chosen, now);
        self.prefixes.assume(&chosen, &ticket.prefix_hashes);
        Some(chosen)
    }
}

impl Balancer {
    fn sent(&mut self, runner: &RunnerId, now: Timestamp) {
        if let Some(health) = self.health.get_mut(runner) {
            health.sent(now);
        }
    }

    /// Whether any replica, free or not, serves.
    fn any_serves(&self, slots: &SlotTable, now: Timestamp) -> bool {
        slots.replicas().any(|one| self.is_usable(&one.runner, now))
    }

    /// Ejected runners that did not ask for no work.
    fn last_resort<'a>(
        &self,
        free: Vec<&'a ReplicaSlots>,
        now: Timestamp,
    ) -> Vec<&'a ReplicaSlots> {
        let is_left_alone = |one: &&ReplicaSlots| {
            let health = self.health.get(&one.runner);
            health.is_some_and(|health| health.is_left_alone(now))
        };
        free.into_iter().filter(|one| !is_left_alone(one)).collect()
    }
}
