//! Ways to divide one instance's limit over the routers of a fleet, in virtual time.
//!
//! `cargo test -p courseshunt-services --test instance_limit_ways -- --nocapture` prints the
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
/// Requests that come for each that the limit allows.
const PRESSURE: f64 = 3.0;
/// A question and its answer take so long.
const ROUND_TRIP_MS: i64 = 10;
/// Shares are handed out so often.
const SHARES_MS: i64 = 240;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Way {
    EqualParts,
    SharesByUse,
    LeadersAccount,
}

#[derive(Debug, Clone, Copy)]
struct Case {
    routers: usize,
    per_second: f64,
    one_sided: bool,
}

struct Figures {
    /// Most requests in any span.
    most: usize,
    /// Part of the limit that was used.
    used: f64,
}

/// From 0 to 1, evenly.
fn even(random: &mut Pcg64) -> f64 {
    (random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
}

/// Arrivals as milliseconds and routers.
fn arrivals(case: Case, random: &mut Pcg64) -> Vec<(i64, usize)> {
    let mut arrivals = Vec::new();
    for now in 0..LENGTH_MS {
        if even(random) < case.per_second * PRESSURE / 1_000.0 {
            let router = match case.one_sided {
                true => 0,
                false => (even(random) * case.routers as f64) as usize,
            };
            arrivals.push((now, router));
        }
    }
    arrivals
}

fn sent_by_buckets(case: Case, by_use: bool, arrivals: &[(i64, usize)]) -> Vec<i64> {
    let part = case.per_second / case.routers as f64;
    let bucket = TokenBucket::full(part, 1.0, Timestamp(0));
    let mut buckets = vec![bucket; case.routers];
    let mut asked = vec![0.0_f64; case.routers];
    let mut shared_at = 0;
    let mut sent = Vec::new();
    for (now, router) in arrivals {
        if by_use && now - shared_at >= SHARES_MS {
            shared_at = *now;
            let all: f64 = asked.iter().sum();
            for (bucket, asked) in buckets.iter_mut().zip(&mut asked) {
                let share = if all > 0.0 {
                    *asked / all
                } else {
                    1.0 / case.routers as f64
                };
                bucket.resize(case.per_second * share, 1.0, Timestamp(*now));
                // What was asked for a second ago counts for little.
                *asked *= 0.8;
            }
        }
        asked[*router] += 1.0;
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
            let mut limits = RouterLimits::new(even(random));
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
        let LimitStep::Query(word) = step else {
            continue;
        };
        let ask = LimitQuery {
            number: 1,
            report: word,
            max_wait: Millis(0),
        };
        let verdict = ledger.decide(&ask, Timestamp(now + ROUND_TRIP_MS / 2));
        let answered = Timestamp(now + ROUND_TRIP_MS);
        router.finish_query(&instance, Some(verdict), answered);
        if matches!(verdict, LimitVerdict::Granted { .. }) {
            sent.push(answered.0);
        }
    }
    sent
}

fn play(way: Way, case: Case, seed: u64) -> Figures {
    let mut random = Pcg64::seed_from_u64(seed);
    let arrivals = arrivals(case, &mut random);
    let sent = match way {
        Way::EqualParts => sent_by_buckets(case, false, &arrivals),
        Way::SharesByUse => sent_by_buckets(case, true, &arrivals),
        Way::LeadersAccount => sent_by_account(case, &arrivals, &mut random),
    };
    let spans = sent.iter().map(|begin| {
        let within = sent
            .iter()
            .filter(|at| (*begin..begin + SPAN_MS).contains(*at));
        within.count()
    });
    let limit = case.per_second * LENGTH_MS as f64 / 1_000.0;
    Figures {
        most: spans.max().unwrap_or(0),
        used: sent.len() as f64 / limit,
    }
}

#[test]
fn the_leaders_account_uses_the_limit_and_keeps_it() {
    for routers in [7, 340] {
        for per_second in [1.0, 10.0] {
            for one_sided in [false, true] {
                let case = Case {
                    routers,
                    per_second,
                    one_sided,
                };
                compare(case);
            }
        }
    }
}

fn compare(case: Case) {
    let allowed = (case.per_second * SPAN_MS as f64 / 1_000.0 * 1.5 + 5.0) as usize;
    for way in [Way::EqualParts, Way::SharesByUse, Way::LeadersAccount] {
        let plays = (0..5).map(|seed| play(way, case, seed));
        let plays: Vec<Figures> = plays.collect();
        let most = plays.iter().map(|one| one.most).max().unwrap_or(0);
        let least_used = plays.iter().map(|one| one.used).fold(f64::MAX, f64::min);
        println!("{case:?} {way:?}: most {most} of {allowed}, used {least_used:.2}");
        if way == Way::LeadersAccount {
            assert!(most <= allowed, "{case:?}: {most}");
            assert!(least_used > 0.8, "{case:?}: {least_used}");
        }
    }
}
