//! Callers: the requests of a scenario, drawn from a seed.
//!
//! Invariant: the same scenario and seed give the same requests, whatever the
//! policy or the faults.

mod shape;

use crate::simulate::site::SiteDeployment;
use courseshunt_standin::scenario::{ArrivalShape, Scenario, Traffic};
use courseshunt_types::{Millis, PriorityClass, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Milliseconds of an hour.
pub const HOUR_MS: f64 = 3_600_000.0;
/// Hours of a day.
const DAY_HOURS: f64 = 24.0;
/// Multiplier that separates the random streams of one seed.
const STREAM: u64 = 0x9E37_79B9_7F4A_7C15;
/// Longest prompt or answer, as a multiple of the mean.
const LONGEST: f64 = 4.0;

/// One request of a caller.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// When it reaches a router.
    pub at: Timestamp,
    /// Position of its stream in the scenario.
    pub traffic: usize,
    /// Position of the deployment in the site.
    pub deployment: usize,
    /// Position of the adapter in the deployment.
    pub adapter: Option<usize>,
    /// Draws the router; taken modulo the routers.
    pub router: usize,
    /// Class.
    pub class: PriorityClass,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Leading tokens that all requests to the deployment share.
    pub shared_prefix_tokens: u32,
    /// Length of the answer, in tokens.
    pub answer_tokens: u32,
    /// Time until the deadline.
    pub deadline: Millis,
    /// Whether it may run once only.
    pub once_only: bool,
    /// Whether the caller loses the answer and asks again.
    pub loses_answer: bool,
}

/// A random stream of one seed.
#[must_use]
pub fn random_stream(seed: u64, stream: u64) -> Pcg64 {
    Pcg64::seed_from_u64(seed.wrapping_add(stream.wrapping_mul(STREAM)))
}

/// All requests of the scenario's time, in order.
#[must_use]
pub fn arrivals(scenario: &Scenario, site: &[SiteDeployment], seed: u64) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (number, traffic) in scenario.traffic.iter().enumerate() {
        let mut stream = TrafficStream::new(scenario, number, traffic, site, seed);
        stream.generate(&mut all);
    }
    all.sort_by_key(|one| (one.at, one.traffic, one.deployment, one.router));
    all
}

/// Draws the requests of one stream.
struct TrafficStream<'a> {
    hours: f64,
    number: usize,
    traffic: &'a Traffic,
    site: &'a [SiteDeployment],
    /// Deployments of the family, the most popular first.
    ranked: Vec<usize>,
    /// Sums of the shares up to each rank.
    shares: Vec<f64>,
    random: Pcg64,
}

impl<'a> TrafficStream<'a> {
    fn new(
        scenario: &Scenario,
        number: usize,
        traffic: &'a Traffic,
        site: &'a [SiteDeployment],
        seed: u64,
    ) -> Self {
        let ranked = ranked(scenario, &traffic.family, site, seed);
        let mut total = 0.0;
        let share = |rank: usize| ((rank + 1) as f64).powf(-traffic.popularity_exponent);
        let sums = (0..ranked.len()).map(|rank| {
            total += share(rank);
            total
        });
        Self {
            hours: scenario.hours,
            number,
            traffic,
            site,
            shares: sums.collect(),
            ranked,
            random: random_stream(seed, number as u64 + 1),
        }
    }

    fn generate(&mut self, all: &mut Vec<Arrival>) {
        if self.ranked.is_empty() {
            return;
        }
        match &self.traffic.shape {
            ArrivalShape::Periodic {
                interval_ms,
                jitter_ms,
            } => self.periodic(*interval_ms, *jitter_ms, all),
            shape => self.bursts(shape, all),
        }
    }

    fn periodic(&mut self, interval: Millis, jitter: Millis, all: &mut Vec<Arrival>) {
        let end = self.hours * HOUR_MS;
        for deployment in self.ranked.clone() {
            let mut at = self.random.random::<f64>() * interval.0 as f64;
            while at < end {
                let late = self.random.random::<f64>() * jitter.0 as f64;
                self.burst(at + late, deployment, all);
                at += interval.0.max(1) as f64;
            }
        }
    }

    fn bursts(&mut self, shape: &ArrivalShape, all: &mut Vec<Arrival>) {
        let requests = self.traffic.requests_per_day * self.hours / DAY_HOURS;
        let bursts = (requests / self.traffic.burst_size.max(1.0)).round() as u64;
        for _ in 0..bursts {
            let Some(hour) = shape::draw_hour(shape, self.hours, &mut self.random) else {
                continue;
            };
            let deployment = self.draw_deployment();
            self.burst(hour * HOUR_MS, deployment, all);
        }
    }

    fn draw_deployment(&mut self) -> usize {
        let total = self.shares.last().copied().unwrap_or(0.0);
        let point = self.random.random::<f64>() * total;
        let rank = self.shares.partition_point(|sum| *sum < point);
        self.ranked[rank.min(self.ranked.len() - 1)]
    }

    /// Requests that come together; their number is geometric.
    fn burst(&mut self, at_ms: f64, deployment: usize, all: &mut Vec<Arrival>) {
        let stop = 1.0 / self.traffic.burst_size.max(1.0);
        loop {
            let offset = self.random.random::<f64>() * self.traffic.burst_ms.0 as f64;
            let arrival = self.request(at_ms + offset, deployment);
            all.push(arrival);
            if self.random.random::<f64>() < stop {
                break;
            }
        }
    }

    fn request(&mut self, at_ms: f64, deployment: usize) -> Arrival {
        let adapters = self.site[deployment].document.adapters.len();
        let adapter = (adapters > 0).then(|| self.random.random_range(0..=adapters));
        let traffic = self.traffic;
        Arrival {
            at: Timestamp::at(at_ms as u64),
            traffic: self.number,
            deployment,
            adapter: adapter.filter(|adapter| *adapter < adapters),
            router: self.random.random_range(0..usize::from(u16::MAX)),
            class: traffic.class,
            prompt_tokens: self.length(traffic.prompt_tokens),
            shared_prefix_tokens: traffic.shared_prefix_tokens,
            answer_tokens: self.length(traffic.answer_tokens),
            deadline: traffic.deadline_ms,
            once_only: self.random.random::<f64>() < traffic.once_only,
            loses_answer: self.random.random::<f64>() < traffic.lost_answers,
        }
    }

    /// A length around its mean: half of it fixed, half exponential.
    fn length(&mut self, mean: u32) -> u32 {
        let draw = 1.0 - self.random.random::<f64>();
        let factor = (0.5 - 0.5 * draw.ln()).min(LONGEST);
        (f64::from(mean) * factor).round().max(1.0) as u32
    }
}

/// The deployments of a family, the most popular first; the seed decides.
fn ranked(scenario: &Scenario, family: &str, site: &[SiteDeployment], seed: u64) -> Vec<usize> {
    let number = scenario.family.iter().position(|one| one.name == family);
    let number = number.unwrap_or(0);
    let members = site.iter().enumerate();
    let members = members.filter(|(_, one)| one.family == number);
    let mut ranked: Vec<usize> = members.map(|(place, _)| place).collect();
    let mut random = random_stream(seed, 1000 + number as u64);
    for place in (1..ranked.len()).rev() {
        ranked.swap(place, random.random_range(0..=place));
    }
    ranked
}
