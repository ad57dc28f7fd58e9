//! The retry budget and the weight store's ceiling keep their bounds.

use courseshunt_services::{LoadRateLimiter, RetryBudget};
use courseshunt_types::{Millis, Timestamp};
use rand_pcg::Pcg64;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::VecDeque;

const WINDOW: Millis = Millis(10_000);

#[test]
fn routers_together_keep_the_common_budget() {
    let routers = 7;
    let mut budgets: Vec<RetryBudget> = (0..routers)
        .map(|_| RetryBudget::new(0.2, 54.0, WINDOW))
        .collect();
    let mut requests = 0;
    let mut retries = 0;
    for step in 0..1_000 {
        let now = Timestamp(step * 10);
        let budget = &mut budgets[(step % routers) as usize];
        budget.record_request(now);
        requests += 1;
        for _ in 0..3 {
            if budget.take(routers as u32, now) {
                retries += 1;
            }
        }
    }
    let bound = 0.2 * f64::from(requests) + 54.0;
    assert!(f64::from(retries) <= bound, "{retries} of {bound}");
    assert!(retries > 0);
}

/// Requests and repeats of a fleet in which each router has a request in two seconds.
#[derive(Debug, Default)]
struct FleetRepeats {
    failures: u32,
    repeats: u32,
    /// Largest part of the common budget that was used in a window.
    most_used: f64,
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
    request_each: Millis,
    /// One in so many requests fails.
    fails_each: u64,
}

const LARGE: Fleet = Fleet {
    routers: 1_000,
    slack: 54.0,
    request_each: Millis(2_000),
    fails_each: 50,
};

/// Plays a fleet for a minute and a half; what fails is repeated if the budget allows it.
fn play_fleet(fleet: Fleet, seed: u64) -> FleetRepeats {
    let mut random = Pcg64::seed_from_u64(seed);
    let seeds = Pcg64::seed_from_u64(seed + 100);
    let budget = |seed| RetryBudget::new(0.2, fleet.slack, WINDOW).seeded(seed);
    let seeds = seeds_of(seeds, fleet.routers);
    let mut budgets: Vec<RetryBudget> = seeds.into_iter().map(budget).collect();
    let (mut requests, mut repeats) = (VecDeque::new(), VecDeque::new());
    let mut played = FleetRepeats::default();
    let pause = fleet.request_each.0 / u64::from(fleet.routers);
    for now in (0..90_000).step_by(pause as usize).map(Timestamp) {
        let router = random.next_u64() as usize % budgets.len();
        budgets[router].record_request(now);
        requests.push_back(now);
        if random.next_u64().is_multiple_of(fleet.fails_each) {
            played.failures += 1;
            if budgets[router].take(fleet.routers, now) {
                played.repeats += 1;
                repeats.push_back(now);
            }
        }
        for times in [&mut requests, &mut repeats] {
            while times.front().is_some_and(|at| now.since(*at) >= WINDOW) {
                times.pop_front();
            }
        }
        if now.since(Timestamp(0)) >= WINDOW {
            let budget = 0.2 * requests.len() as f64 + fleet.slack;
            played.most_used = played.most_used.max(repeats.len() as f64 / budget);
        }
    }
    played
}

/// A fleet's clients got 500 as the last word for 30 requests, most of which may be repeated,
/// while 45 repeats were made in half a minute and over 1,000 were allowed in ten seconds: each
/// router's share is under one repeat, and was rounded down to none. One router with all the
/// requests would repeat all.
#[test]
fn routers_of_a_large_fleet_use_their_shares_of_a_repeat() {
    for seed in 1..=3 {
        let played = play_fleet(LARGE, seed);
        assert!(played.repeats * 2 >= played.failures, "{played:?}");
        assert!(played.most_used <= 1.0, "{played:?}");
    }
}

#[test]
fn fleets_of_all_sizes_keep_the_common_budget_when_everything_fails() {
    for routers in [2, 7, 30, 100, 300, 1_000] {
        for slack in [1.0, 3.0, 10.0, 54.0] {
            for request_each in [1_000, 2_000, 10_000].map(Millis) {
                let fleet = Fleet {
                    routers,
                    slack,
                    request_each,
                    fails_each: 1,
                };
                for seed in 1..=5 {
                    let played = play_fleet(fleet, seed);
                    assert!(played.most_used <= 1.0, "{fleet:?} {played:?}");
                }
            }
        }
    }
    assert!(play_fleet(LARGE, 1).repeats > 0);
}

#[test]
fn a_budget_comes_back_after_its_window() {
    let mut budget = RetryBudget::new(0.0, 10.0, WINDOW);
    let taken = (0..100).filter(|_| budget.take(1, Timestamp(5))).count();
    assert!((1..=10).contains(&taken), "{taken}");
    assert!(!budget.take(1, Timestamp(9_000)));
    assert!(budget.take(1, Timestamp(20_000)));
}

#[test]
fn every_window_keeps_the_ceiling() {
    let (rate, window) = (4.0, Millis(5_000));
    let mut ceiling = LoadRateLimiter::new(rate, window, Timestamp(0));
    ceiling.set_rate(rate, window, Timestamp(0));
    assert!(!ceiling.take(Timestamp(0)), "a new leader begins empty");
    let starts: Vec<u64> = (0..60_000)
        .filter(|now| (*now < 20_000 || *now > 30_000) && ceiling.take(Timestamp::at(*now)))
        .collect();
    let bound = rate * 5.0 * 1.1 + 3.0;
    for start in &starts {
        let inside = starts
            .iter()
            .filter(|at| (*start..=start + window.0).contains(*at));
        let inside = inside.count() as f64;
        assert!(inside <= bound, "{inside} loads from {start} ms on");
    }
}
