//! A fleet of routers with their retry budgets, in virtual time.
//!
//! Invariant: the same seed gives the same outcome.

mod rule;

use courseshunt_services::{FleetSize, RetryBudgetSettings, RetryBudgets};
use courseshunt_types::{Millis, Timestamp};
use rand_pcg::Pcg64;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::BTreeSet;

const SERVICE: &str = "service";
const STEP: Millis = Millis(10);
const LENGTH: Timestamp = Timestamp(60_000);
/// Time from which disruptions occur; every router has had contact for longer than a window.
const FIRST_DISRUPTION: u64 = 22_000;
/// Retries of a request whose attempts all fail.
const RETRIES_PER_REQUEST: u32 = 4;
/// Interval between the leader's reports of the number of routers.
const REPORT_INTERVAL: Millis = Millis(120);
/// Time after which the leader no longer counts a router that is cut off.
const CUT_OFF_NOTICED_AFTER: Millis = Millis(900);
/// Time without an available instance.
const OUTAGE: std::ops::Range<Timestamp> = Timestamp(24_000)..Timestamp(35_000);
/// Longest time until a router subscribes at a new leader, or after its start.
const MAX_SUBSCRIBE_DELAY_MS: u64 = 1_200;

/// A fleet, its load and its common budget.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    pub routers: usize,
    /// Requests of clients per second, over all routers.
    pub requests_per_second: f64,
    /// Attempts of 100 that fail.
    pub failures_percent: u64,
    pub settings: RetryBudgetSettings,
}

/// Disruptions of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    Undisturbed,
    /// Most routers are killed at once, several times in a window.
    RestartsInSeries,
    /// Leaders change, and each starts without any subscriptions.
    LeaderChanges,
    /// Routers are cut off from the leader and go on serving.
    CutOff,
    /// All of these.
    Mixed,
    /// Retries are held back until an instance is available again.
    HeldBack,
}

/// Outcome of a simulation.
#[derive(Debug)]
pub struct Outcome {
    /// Largest fraction of the allowed retries that a window had.
    pub max_used: f64,
    /// Number of attempts that failed and may be retried.
    pub wanted: usize,
    /// Number of retries.
    pub sent: usize,
}

/// Simulates a fleet for [`LENGTH`].
pub fn simulate(fleet: Fleet, scenario: Scenario, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(fleet, scenario, seed);
    let mut now = Timestamp(0);
    while now < LENGTH {
        simulation.step(now);
        now = now + STEP;
    }
    let Simulation {
        requests,
        retries,
        wanted,
        ..
    } = simulation;
    Outcome {
        wanted,
        max_used: rule::max_used(fleet.settings, &requests, &retries),
        sent: retries.len(),
    }
}

/// A router's process, or its absence until the next one starts.
struct Router {
    budgets: RetryBudgets,
    fleet: FleetSize,
    starts_at: Timestamp,
    /// When it subscribes at the current leader.
    subscribes_at: Timestamp,
    cut_off_since: Option<Timestamp>,
    cut_off_until: Timestamp,
}

impl Router {
    fn is_running(&self, now: Timestamp) -> bool {
        self.starts_at <= now
    }

    fn has_contact(&self, now: Timestamp) -> bool {
        self.is_running(now) && self.subscribes_at <= now && self.cut_off_since.is_none()
    }

    /// Whether the leader counts this router.
    fn is_counted(&self, now: Timestamp) -> bool {
        let noticed = |since: Timestamp| now.since(since) >= CUT_OFF_NOTICED_AFTER;
        self.is_running(now)
            && self.subscribes_at <= now
            && !self.cut_off_since.is_some_and(noticed)
    }
}

#[derive(Debug, Clone, Copy)]
enum Disruption {
    Kill,
    ChangeLeader,
    CutOff,
}

struct Simulation {
    fleet: Fleet,
    scenario: Scenario,
    random: Pcg64,
    routers: Vec<Router>,
    /// Times of the disruptions that are still to come, the last one first.
    disruptions: Vec<(Timestamp, Disruption)>,
    reported_at: Timestamp,
    requests: Vec<Timestamp>,
    retries: Vec<Timestamp>,
    /// Routers whose retries are held back, one entry for each retry.
    held_back: Vec<usize>,
    /// Number of attempts that failed and may be retried.
    wanted: usize,
}

impl Simulation {
    fn new(fleet: Fleet, scenario: Scenario, seed: u64) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let disruptions = draw_disruptions(scenario, &mut random);
        let mut simulation = Self {
            fleet,
            scenario,
            random,
            routers: Vec::new(),
            disruptions,
            reported_at: Timestamp(0),
            requests: Vec::new(),
            retries: Vec::new(),
            held_back: Vec::new(),
            wanted: 0,
        };
        for _ in 0..fleet.routers {
            let router = simulation.start_router(Timestamp(0));
            simulation.routers.push(router);
        }
        simulation
    }

    /// A process without any state that starts at `at`.
    fn start_router(&mut self, at: Timestamp) -> Router {
        let delay = self.draw(MAX_SUBSCRIBE_DELAY_MS);
        Router {
            budgets: RetryBudgets::new(self.fleet.settings, self.random.next_u64()),
            fleet: self.fleet.settings.fleet_size(),
            starts_at: at,
            subscribes_at: at + Millis(delay),
            cut_off_since: None,
            cut_off_until: Timestamp(0),
        }
    }

    /// A number from 0 to `bound`, exclusive.
    fn draw(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound.max(1)
    }

    fn step(&mut self, now: Timestamp) {
        while self.disruptions.last().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, disruption)) = self.disruptions.pop() {
                self.disrupt(disruption, now);
            }
        }
        for router in &mut self.routers {
            if router.cut_off_since.is_some() && router.cut_off_until <= now {
                router.cut_off_since = None;
            }
        }
        if now.since(self.reported_at) >= REPORT_INTERVAL {
            self.report(now);
        }
        if !self.holds_back(now) {
            for index in std::mem::take(&mut self.held_back) {
                self.send_retry(index, now);
            }
        }
        self.send_requests(now);
    }

    fn holds_back(&self, now: Timestamp) -> bool {
        self.scenario == Scenario::HeldBack && OUTAGE.contains(&now)
    }

    /// The leader reports the number of routers to those that it reaches.
    fn report(&mut self, now: Timestamp) {
        self.reported_at = now;
        let counted = self.routers.iter().filter(|router| router.is_counted(now));
        let count = u32::try_from(counted.count()).unwrap_or(u32::MAX);
        for router in &mut self.routers {
            if router.has_contact(now) {
                router.fleet.record(count, now);
            }
        }
    }

    /// Clients send requests to random routers that run.
    fn send_requests(&mut self, now: Timestamp) {
        let expected = self.fleet.requests_per_second * STEP.as_secs_f64();
        let fraction = self.random.next_u64() as f64 / u64::MAX as f64;
        let count = (expected + fraction) as u64;
        let running = |index: &usize| self.routers[*index].is_running(now);
        let running: Vec<usize> = (0..self.routers.len()).filter(running).collect();
        for _ in 0..count {
            if running.is_empty() {
                return;
            }
            let index = running[self.draw(running.len() as u64) as usize];
            self.send_request(index, now);
        }
    }

    fn send_request(&mut self, index: usize, now: Timestamp) {
        self.requests.push(now);
        self.routers[index].budgets.record_request(SERVICE, now);
        for _ in 0..RETRIES_PER_REQUEST {
            if self.draw(100) >= self.fleet.failures_percent {
                return;
            }
            self.wanted += 1;
            let Router { budgets, fleet, .. } = &mut self.routers[index];
            if !budgets.decide(SERVICE, fleet, now).is_allowed {
                return;
            }
            match self.holds_back(now) {
                true => self.held_back.push(index),
                false => self.send_retry(index, now),
            }
        }
    }

    fn send_retry(&mut self, index: usize, now: Timestamp) {
        self.routers[index].budgets.record_retry(SERVICE, now);
        self.retries.push(now);
    }

    fn disrupt(&mut self, disruption: Disruption, now: Timestamp) {
        match disruption {
            Disruption::Kill => {
                for index in self.draw_routers() {
                    let down = Millis(300 + self.draw(900));
                    self.routers[index] = self.start_router(now + down);
                }
            }
            Disruption::ChangeLeader => {
                for index in 0..self.routers.len() {
                    let delay = Millis(300 + self.draw(MAX_SUBSCRIBE_DELAY_MS));
                    let router = &mut self.routers[index];
                    router.subscribes_at = router.subscribes_at.max(now + delay);
                }
            }
            Disruption::CutOff => {
                for index in self.draw_routers() {
                    let until = now + Millis(2_000 + self.draw(13_000));
                    let router = &mut self.routers[index];
                    router.cut_off_since.get_or_insert(now);
                    router.cut_off_until = router.cut_off_until.max(until);
                }
            }
        }
    }

    /// Between half of the routers and all of them.
    fn draw_routers(&mut self) -> BTreeSet<usize> {
        let part = 50 + self.draw(51);
        let mut drawn = BTreeSet::new();
        for index in 0..self.routers.len() {
            if self.draw(100) < part {
                drawn.insert(index);
            }
        }
        drawn
    }
}

/// Draws three to seven disruptions within 20 s; the last one comes first.
fn draw_disruptions(scenario: Scenario, random: &mut Pcg64) -> Vec<(Timestamp, Disruption)> {
    let kinds: &[Disruption] = match scenario {
        Scenario::Undisturbed | Scenario::HeldBack => return Vec::new(),
        Scenario::RestartsInSeries => &[Disruption::Kill],
        Scenario::LeaderChanges => &[Disruption::ChangeLeader],
        Scenario::CutOff => &[Disruption::CutOff],
        Scenario::Mixed => &[
            Disruption::Kill,
            Disruption::ChangeLeader,
            Disruption::CutOff,
        ],
    };
    let count = 3 + random.next_u64() % 5;
    let mut drawn: Vec<(Timestamp, Disruption)> = Vec::new();
    for _ in 0..count {
        let at = Timestamp::at(FIRST_DISRUPTION + random.next_u64() % 20_000);
        let kind = kinds[random.next_u64() as usize % kinds.len()];
        drawn.push((at, kind));
    }
    drawn.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
    drawn
}
