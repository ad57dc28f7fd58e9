//! Strategies to divide one instance's rate limit over the routers of a fleet, in a simulation.
//!
//! `cargo test -p courseshunt-services --test instance_limit_strategies -- --nocapture` prints the
//! table of docs/design/limits-of-instances.md.

use courseshunt_services::token_bucket::TokenBucket;
use courseshunt_services::{
    LimitLedger, LimitQuery, LimitStep, LimitVerdict, RequestRate, RouterLimits,
};
use courseshunt_types::{Millis, RunnerId, Timestamp};
use rand_pcg::Pcg64;
use rand_pcg::rand_core::{Rng as _, SeedableRng};

const SPAN_MS: i64 = 4_000;
const LENGTH_MS: i64 = 60_000;
/// Arriving requests per request that the limit admits.
const PRESSURE: f64 = 3.0;
/// Round trip of a query and its answer.
const ROUND_TRIP_MS: i64 = 10;
/// Interval in which shares are assigned.
const SHARES_MS: i64 = 240;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Strategy {
    EqualShares,
    SharesByDemand,
    LeaderAccount,
}

#[derive(Debug, Clone, Copy)]
struct Case {
    routers: usize,
    per_second: f64,
    single_router: bool,
}

struct Figures {
    /// Largest number of requests in any span.
    max_in_span: usize,
    /// Fraction of the limit that was used.
    used: f64,
}

/// A uniformly distributed random number in [0, 1).
fn uniform(random: &mut Pcg64) -> f64 {
    (random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
}

/// Arriving requests, as time in milliseconds and router.
fn arrivals(case: Case, random: &mut Pcg64) -> Vec<(i64, usize)> {
    let mut arrivals = Vec::new();
    for now in 0..LENGTH_MS {
        if uniform(random) < case.per_second * PRESSURE / 1_000.0 {
            let router = match case.single_router {
                true => 0,
                false => (uniform(random) * case.routers as f64) as usize,
            };
            arrivals.push((now, router));
        }
    }
    arrivals
}

fn sent_by_buckets(case: Case, by_demand: bool, arrivals: &[(i64, usize)]) -> Vec<i64> {
    let share = case.per_second / case.routers as f64;
    let bucket = TokenBucket::full(share, 1.0, Timestamp(0));
    let mut buckets = vec![bucket; case.routers];
    let mut demand = vec![0.0_f64; case.routers];
    let mut shared_at = 0;
    let mut sent = Vec::new();
    for (now, router) in arrivals {
        if by_demand && now - shared_at >= SHARES_MS {
            shared_at = *now;
            let total: f64 = demand.iter().sum();
            for (bucket, demand) in buckets.iter_mut().zip(&mut demand) {
                let share = if total > 0.0 {
                    *demand / total
                } else {
                    1.0 / case.routers as f64
                };
                bucket.resize(case.per_second * share, 1.0, Timestamp(*now));
                // Demand of a second ago has little weight.
                *demand *= 0.8;
            }
        }
        demand[*router] += 1.0;
        if buckets[*router].take(1.0, Timestamp(*now)) {
            sent.push(*now);
        }
    }
    sent
}

fn sent_by_account(case: Case, arrivals: &[(i64, usize)], random: &mut Pcg64) -> Vec<i64> {
    let instance = RunnerId::from("i-1");
    let rate = RequestRate::per_second(case.per_second).expect("a rate");
    let mut routers: Vec<RouterLimits> = (0..case.routers)
        .map(|_| {
            let mut limits = RouterLimits::new(uniform(random));
            limits.observe(&instance, Some(rate), Timestamp(0), Timestamp(0));
            limits
        })
        .collect();
    let mut ledger = LimitLedger::default();
    let mut sent = Vec::new();
    for (now, router) in arrivals {
        let router = &mut routers[*router];
        if router.blocked_for(&instance, Timestamp(*now)).is_some() {
            continue;
        }
        let step = router.step(&instance, Millis(0), true, Timestamp(*now));
        let LimitStep::Query(report) = step else {
            continue;
        };
        let query = LimitQuery {
            number: 1,
            report,
            max_wait: Millis(0),
        };
        let verdict = ledger.decide(&query, Timestamp(now + ROUND_TRIP_MS / 2));
        let answered = Timestamp(now + ROUND_TRIP_MS);
        router.finish_query(&instance, Some(verdict), answered);
        if matches!(verdict, LimitVerdict::Granted { .. }) {
            sent.push(answered.0);
        }
    }
    sent
}

fn simulate(strategy: Strategy, case: Case, seed: u64) -> Figures {
    let mut random = Pcg64::seed_from_u64(seed);
    let arrivals = arrivals(case, &mut random);
    let sent = match strategy {
        Strategy::EqualShares => sent_by_buckets(case, false, &arrivals),
        Strategy::SharesByDemand => sent_by_buckets(case, true, &arrivals),
        Strategy::LeaderAccount => sent_by_account(case, &arrivals, &mut random),
    };
    let spans = sent.iter().map(|begin| {
        let within = sent
            .iter()
            .filter(|at| (*begin..begin + SPAN_MS).contains(*at));
        within.count()
    });
    let limit = case.per_second * LENGTH_MS as f64 / 1_000.0;
    Figures {
        max_in_span: spans.max().unwrap_or(0),
        used: sent.len() as f64 / limit,
    }
}

#[test]
fn the_leader_account_uses_the_limit_and_does_not_exceed_it() {
    for routers in [7, 340] {
        for per_second in [1.0, 10.0] {
            for single_router in [false, true] {
                let case = Case {
                    routers,
                    per_second,
                    single_router,
                };
                compare(case);
            }
        }
    }
}

fn compare(case: Case) {
    let allowed = (case.per_second * SPAN_MS as f64 / 1_000.0 * 1.5 + 5.0) as usize;
    for strategy in [
        Strategy::EqualShares,
        Strategy::SharesByDemand,
        Strategy::LeaderAccount,
    ] {
        let runs = (0..5).map(|seed| simulate(strategy, case, seed));
        let runs: Vec<Figures> = runs.collect();
        let max_in_span = runs.iter().map(|one| one.max_in_span).max().unwrap_or(0);
        let least_used = runs.iter().map(|one| one.used).fold(f64::MAX, f64::min);
        println!(
            "{case:?} {strategy:?}: max_in_span {max_in_span} of {allowed}, used {least_used:.2}"
        );
        if strategy == Strategy::LeaderAccount {
            assert!(max_in_span <= allowed, "{case:?}: {max_in_span}");
            assert!(least_used > 0.8, "{case:?}: {least_used}");
        }
    }
}
