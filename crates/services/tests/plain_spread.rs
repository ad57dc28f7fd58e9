//! 1,000 routers before 360 instances of a plain service, each router with a request in half
//! a minute: all instances look idle to all of them. Of 360 instances 171 had no request in a
//! whole day, the busiest 5.3 times the mean: routers that know nothing of an instance all
//! began with the same one.

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
/// Mean number of requests of an instance that is played.
const REQUESTS_EACH: u64 = 40;
/// Requests that come in a millisecond, of 1,000: 34 a second at all routers.
const ARRIVALS: u64 = 34;
const RUN: Millis = Millis(40);
/// Routers learn of each other's requests so often, and so late.
const TOLD_EVERY: Millis = Millis(500);
const OWN_LIMIT: u32 = 2;

#[derive(Debug)]
struct Outcome {
    /// Requests of the busiest instance, over the mean.
    busiest: f64,
    unused: usize,
    /// Times that an instance had more requests than slots while another stood idle.
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

fn play(seed: u64) -> Outcome {
    let mut random = Pcg64::seed_from_u64(seed);
    let views = views();
    let mut routers: Vec<Selector> = (0..ROUTERS).map(selector).collect();
    let mut running: Vec<Running> = Vec::new();
    let mut sent: BTreeMap<RunnerId, u64> = BTreeMap::new();
    let mut overfull = 0;
    let shape = PromptShape::default();
    let (mut now, mut requests) = (Timestamp(1), 0);
    while requests < REQUESTS_EACH * INSTANCES as u64 {
        now = now + Millis(1);
        while let Some(place) = running.iter().position(|one| one.ends <= now) {
            let one = running.swap_remove(place);
            routers[one.router].first_answer(&one.candidate, RUN, true);
            routers[one.router].end(&one.candidate, true);
        }
        if now.window_start(TOLD_EVERY) == now {
            tell(&running, &mut routers, now);
        }
        if random.next_u64() % 1_000 >= ARRIVALS {
            continue;
        }
        requests += 1;
        let router = usize::try_from(random.next_u64() % ROUTERS).expect("small");
        let chosen = routers[router].choose(&shape, views.iter(), &[], OWN_LIMIT, now);
        let candidate = chosen.expect("an instance");
        routers[router].begin(&candidate, &shape, now);
        *sent.entry(candidate.instance.clone()).or_default() += 1;
        let at_it = running
            .iter()
            .filter(|one| one.candidate.instance == candidate.instance);
        overfull += usize::from(at_it.count() >= SLOTS as usize);
        let ends = now + RUN;
        running.push(Running {
            router,
            ends,
            candidate,
        });
    }
    let busiest = sent.values().max().copied().unwrap_or(0);
    Outcome {
        busiest: busiest as f64 / REQUESTS_EACH as f64,
        unused: INSTANCES - sent.len(),
        overfull,
    }
}

/// Tells all routers what all have under way.
fn tell(running: &[Running], routers: &mut [Selector], now: Timestamp) {
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
        router.set_usage(&usage, TOLD_EVERY, now);
    }
}

#[test]
fn routers_that_know_nothing_of_plain_instances_spread_over_them() {
    for seed in 1..=2 {
        let outcome = play(seed);
        assert!(outcome.busiest <= 2.0, "{outcome:?}");
        assert_eq!(outcome.unused, 0, "{outcome:?}");
        assert_eq!(outcome.overfull, 0, "{outcome:?}");
    }
}
