//! The retry budget and the load ceiling of the weight store stay within their bounds.

use courseshunt_services::{LoadRateLimiter, RetryBudget, RetryBudgetSettings};
use courseshunt_types::{Millis, Timestamp};
use rand_pcg::Pcg64;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::VecDeque;

const WINDOW: Millis = Millis(10_000);

fn settings(ratio: f64, slack: f64) -> RetryBudgetSettings {
    RetryBudgetSettings {
        ratio,
        slack,
        window: WINDOW,
    }
}

/// Takes a retry that is sent at once; returns whether the budget allows it.
fn take(budget: &mut RetryBudget, slack_divisor: Option<u32>, now: Timestamp) -> bool {
    let is_allowed = budget.reserve(slack_divisor, now);
    if is_allowed {
        budget.record_retry(now);
    }
    is_allowed
}

#[test]
fn all_routers_together_stay_within_the_common_budget() {
    let routers = 7;
    let mut budgets: Vec<RetryBudget> = (0..routers)
        .map(|_| RetryBudget::new(settings(0.2, 54.0)))
        .collect();
    let mut requests = 0;
    let mut retries = 0;
    for step in 0..1_000 {
        let now = Timestamp(step * 10);
        let budget = &mut budgets[(step % routers) as usize];
        budget.record_request(now);
        requests += 1;
        for _ in 0..3 {
            if take(budget, Some(routers as u32), now) {
                retries += 1;
            }
        }
    }
    let bound = 0.2 * f64::from(requests) + 54.0;
    assert!(f64::from(retries) <= bound, "{retries} of {bound}");
    assert!(retries > 0);
}

/// Failed requests and retries of a simulated fleet.
#[derive(Debug, Default)]
struct FleetRetries {
    failures: u32,
    retries: u32,
    /// Largest fraction of the common budget that was used in a window.
    max_used: f64,
}

fn seeds_of(mut random: Pcg64, count: u32) -> Vec<u64> {
    (0..count).map(|_| random.next_u64()).collect()
}

/// A fleet and its common budget.
#[derive(Debug, Clone, Copy)]
struct Fleet {
    routers: u32,
    slack: f64,
    /// Time between two requests of a router, on average.
    request_interval: Millis,
    /// One in this many requests fails.
    failure_interval: u64,
}

const LARGE: Fleet = Fleet {
    routers: 1_000,
    slack: 54.0,
    request_interval: Millis(2_000),
    failure_interval: 50,
};

/// Simulates a fleet for 90 s; failed requests are retried if the budget allows it.
fn simulate_fleet(fleet: Fleet, seed: u64) -> FleetRetries {
    let mut random = Pcg64::seed_from_u64(seed);
    let seeds = Pcg64::seed_from_u64(seed + 100);
    let budget = |seed| RetryBudget::new(settings(0.2, fleet.slack)).seeded(seed);
    let seeds = seeds_of(seeds, fleet.routers);
    let mut budgets: Vec<RetryBudget> = seeds.into_iter().map(budget).collect();
    let (mut requests, mut retries) = (VecDeque::new(), VecDeque::new());
    let mut outcome = FleetRetries::default();
    let pause = fleet.request_interval.0 / u64::from(fleet.routers);
    for now in (0..90_000).step_by(pause as usize).map(Timestamp) {
        let router = random.next_u64() as usize % budgets.len();
        budgets[router].record_request(now);
        requests.push_back(now);
        if random.next_u64().is_multiple_of(fleet.failure_interval) {
            outcome.failures += 1;
            if take(&mut budgets[router], Some(fleet.routers), now) {
                outcome.retries += 1;
                retries.push_back(now);
            }
        }
        for times in [&mut requests, &mut retries] {
            while times.front().is_some_and(|at| now.since(*at) >= WINDOW) {
                times.pop_front();
            }
        }
        if now.since(Timestamp(0)) >= WINDOW {
            let budget = 0.2 * requests.len() as f64 + fleet.slack;
            outcome.max_used = outcome.max_used.max(retries.len() as f64 / budget);
        }
    }
    outcome
}

/// Clients of a large fleet received status 500 for 30 requests, most of which could have been
/// retried, while only 45 retries were made in 30 s and over 1,000 were allowed in 10 s. Each
/// router's share was less than one retry and was rounded down to zero; a single router with all
/// requests would have retried all of them.
#[test]
fn router_shares_below_one_retry_are_not_rounded_down_to_zero() {
    for seed in 1..=3 {
        let outcome = simulate_fleet(LARGE, seed);
        assert!(outcome.retries * 2 >= outcome.failures, "{outcome:?}");
        assert!(outcome.max_used <= 1.0, "{outcome:?}");
    }
}

#[test]
fn fleets_of_all_sizes_stay_within_the_common_budget_when_all_requests_fail() {
    for routers in [2, 7, 30, 100, 300, 1_000] {
        for slack in [1.0, 3.0, 10.0, 54.0] {
            for request_interval in [1_000, 2_000, 10_000].map(Millis) {
                let fleet = Fleet {
                    routers,
                    slack,
                    request_interval,
                    failure_interval: 1,
                };
                for seed in 1..=5 {
                    let outcome = simulate_fleet(fleet, seed);
                    assert!(outcome.max_used <= 1.0, "{fleet:?} {outcome:?}");
                }
            }
        }
    }
    assert!(simulate_fleet(LARGE, 1).retries > 0);
}

#[test]
fn a_budget_is_refilled_after_its_window() {
    let mut budget = RetryBudget::new(settings(0.0, 10.0));
    let taken = (0..100)
        .filter(|_| take(&mut budget, Some(1), Timestamp(5)))
        .count();
    assert!((1..=10).contains(&taken), "{taken}");
    assert!(!take(&mut budget, Some(1), Timestamp(9_000)));
    assert!(take(&mut budget, Some(1), Timestamp(20_000)));
}

#[test]
fn no_window_exceeds_the_ceiling() {
    let (rate, window) = (4.0, Millis(5_000));
    let mut ceiling = LoadRateLimiter::new(rate, window, Timestamp(0));
    ceiling.set_rate(rate, window, Timestamp(0));
    assert!(
        !ceiling.take(Timestamp(0)),
        "a new leader starts without tokens"
    );
    let starts: Vec<u64> = (0..60_000)
        .filter(|now| (*now < 20_000 || *now > 30_000) && ceiling.take(Timestamp::at(*now)))
        .collect();
    let bound = rate * 5.0 * 1.1 + 3.0;
    for start in &starts {
        let inside = starts
            .iter()
            .filter(|at| (*start..=start + window.0).contains(*at));
        let inside = inside.count() as f64;
        assert!(
            inside <= bound,
            "{inside} loads in the window from {start} ms on"
        );
    }
}
