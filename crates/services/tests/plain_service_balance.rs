//! 1,000 routers in front of 360 instances of a plain service, with one request per router in half
//! a minute, so that all instances appear idle to all routers. Routers without load reports all
//! started with the same instance: 171 of the 360 had no request in a whole day, and the busiest one
//! had 5.3 times the mean.

use courseshunt_services::{
    Candidate, InstanceState, InstanceUsage, InstanceView, PromptShape, Selector,
};
use courseshunt_types::{Millis, RunnerId, Timestamp, Zone};
use rand_pcg::Pcg64;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::BTreeMap;

const ROUTERS: u64 = 1_000;
const INSTANCES: usize = 360;
const ZONES: usize = 4;
const SLOTS: u32 = 6;
/// Mean number of simulated requests per instance.
const REQUESTS_PER_INSTANCE: u64 = 40;
/// Probability of an arrival per millisecond, in thousandths: 34 requests per second over all
/// routers.
const ARRIVALS_PER_1000_MS: u64 = 34;
const REQUEST_DURATION: Millis = Millis(40);
/// Interval between the usage reports that routers receive, and the age of their content.
const USAGE_REPORT_INTERVAL: Millis = Millis(500);
const ROUTER_LIMIT: u32 = 2;

#[derive(Debug)]
struct Outcome {
    /// Requests of the busiest instance, relative to the mean.
    busiest: f64,
    unused: usize,
    /// Number of requests that were sent to an instance without a free slot.
    overfull: usize,
}

fn views() -> Vec<InstanceView> {
    let view = |number: usize| InstanceView {
        id: RunnerId(format!("i-{number:08x}")),
        service: "plain".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        zone: Zone(format!("zone-{}", number % ZONES)),
        slots: SLOTS,
        state: InstanceState::Ready,
        models: Vec::new(),
        loading: Vec::new(),
    };
    (0..INSTANCES).map(view).collect()
}

fn selector(router: u64) -> Selector {
    let zone = Zone(format!("zone-{}", router % ZONES as u64));
    let mut selector = Selector::new(zone).seeded(router.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    selector.set_routers(u32::try_from(ROUTERS).expect("small"));
    selector
}

struct Running {
    router: usize,
    ends: Timestamp,
    candidate: Candidate,
}

fn simulate(seed: u64) -> Outcome {
    let mut random = Pcg64::seed_from_u64(seed);
    let views = views();
    let mut routers: Vec<Selector> = (0..ROUTERS).map(selector).collect();
    let mut running: Vec<Running> = Vec::new();
    let mut sent: BTreeMap<RunnerId, u64> = BTreeMap::new();
    let mut overfull = 0;
    let shape = PromptShape::default();
    let (mut now, mut requests) = (Timestamp(1), 0);
    while requests < REQUESTS_PER_INSTANCE * INSTANCES as u64 {
        now = now + Millis(1);
        while let Some(index) = running.iter().position(|one| one.ends <= now) {
            let one = running.swap_remove(index);
            routers[one.router].first_answer(&one.candidate, REQUEST_DURATION, true);
            routers[one.router].end(&one.candidate, true);
        }
        if now.window_start(USAGE_REPORT_INTERVAL) == now {
            report_usage(&running, &mut routers, now);
        }
        if random.next_u64() % 1_000 >= ARRIVALS_PER_1000_MS {
            continue;
        }
        requests += 1;
        let router = usize::try_from(random.next_u64() % ROUTERS).expect("small");
        let chosen = routers[router].choose(&shape, views.iter(), &[], ROUTER_LIMIT, now);
        let candidate = chosen.expect("an instance");
        routers[router].begin(&candidate, &shape, now);
        *sent.entry(candidate.instance.clone()).or_default() += 1;
        let at_instance = running
            .iter()
            .filter(|one| one.candidate.instance == candidate.instance);
        overfull += usize::from(at_instance.count() >= SLOTS as usize);
        let ends = now + REQUEST_DURATION;
        running.push(Running {
            router,
            ends,
            candidate,
        });
    }
    let busiest = sent.values().max().copied().unwrap_or(0);
    Outcome {
        busiest: busiest as f64 / REQUESTS_PER_INSTANCE as f64,
        unused: INSTANCES - sent.len(),
        overfull,
    }
}

/// Reports the requests in flight of all routers to each router.
fn report_usage(running: &[Running], routers: &mut [Selector], now: Timestamp) {
    let mut usage: BTreeMap<RunnerId, u32> = BTreeMap::new();
    for one in running {
        *usage.entry(one.candidate.instance.clone()).or_default() += 1;
    }
    let usage = usage
        .into_iter()
        .map(|(instance, in_flight)| InstanceUsage {
            instance,
            in_flight,
            prompt_tokens: 0,
        });
    let usage: Vec<InstanceUsage> = usage.collect();
    for router in routers {
        router.set_usage(&usage, USAGE_REPORT_INTERVAL, now);
    }
}

#[test]
fn routers_without_load_reports_balance_over_plain_instances() {
    for seed in 1..=2 {
        let outcome = simulate(seed);
        assert!(outcome.busiest <= 2.0, "{outcome:?}");
        assert_eq!(outcome.unused, 0, "{outcome:?}");
        assert_eq!(outcome.overfull, 0, "{outcome:?}");
    }
}
