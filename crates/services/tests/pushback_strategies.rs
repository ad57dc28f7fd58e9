//! Strategies to resume sending to an instance after a backoff, compared in a simulation with the
//! same requests: all queued requests at once; one request, and all others after its answer; one
//! request, then more up to each router's share of the slots.
//!
//! Measured are the requests that a healthy instance rejects again, and the time until the queues
//! are empty. Each rejection causes another backoff.

use courseshunt_services::{
    Candidate, InstanceState, InstanceUsage, InstanceView, PromptShape, Selector,
};
use courseshunt_types::{Millis, RunnerId, Timestamp, Zone};
use rand_pcg::Pcg64;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::VecDeque;

const ROUTERS: usize = 8;
const END: Timestamp = Timestamp(15_000);
/// Until this time the instance rejects all requests, each with a backoff of length [`BACKOFF`].
const HEALTHY_FROM: Timestamp = Timestamp(1_500);
const BACKOFF: Millis = Millis(3_000);
/// Requests that the instance runs at once, requests that it queues, and the run time of each.
const SLOTS: u32 = 8;
const QUEUE: usize = 8;
const RUN: Millis = Millis(60);
/// Probability, in 1/1,000, that a request arrives at a router in a millisecond; 48 requests per
/// second over all routers.
const ARRIVALS: u64 = 6;
/// Interval in which routers receive each other's usage, in milliseconds.
const USAGE_INTERVAL: u64 = 100;
const OWN_LIMIT: u32 = 40;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    AllAtOnce,
    OneThenAll,
    /// The strategy of the selector: one more request after each successful answer, and at most
    /// the router's share of the slots, for the length of the backoff.
    GrowingWindow,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct Outcome {
    rejected: usize,
    /// Sum over all requests of the time to their answers, in seconds.
    waited_s: u64,
    /// When the last request that arrived before the end of the backoff was answered.
    caught_up: Timestamp,
}

struct Job {
    router: usize,
    candidate: Candidate,
    arrived_at: Timestamp,
}

struct Router {
    selector: Selector,
    waiting: VecDeque<Timestamp>,
    /// Used by the strategies that the selector does not implement.
    backoff_until: Timestamp,
    probing: bool,
}

impl Router {
    fn may_send(&self, strategy: Strategy, now: Timestamp) -> bool {
        match strategy {
            Strategy::GrowingWindow => true,
            Strategy::AllAtOnce => now >= self.backoff_until,
            Strategy::OneThenAll => now >= self.backoff_until && !self.probing,
        }
    }

    fn rejected(&mut self, strategy: Strategy, job: &Job, now: Timestamp) {
        match strategy {
            Strategy::GrowingWindow => {
                self.selector
                    .start_backoff(&job.candidate.instance, BACKOFF, now)
            }
            _ => self.backoff_until = self.backoff_until.max(now + BACKOFF),
        }
        self.selector.end(&job.candidate, false);
        self.probing = false;
        self.waiting.push_front(job.arrived_at);
    }
}

fn instance() -> InstanceView {
    InstanceView {
        id: RunnerId::from("i"),
        service: "s".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        zone: Zone::from("z"),
        slots: SLOTS,
        state: InstanceState::Ready,
        models: Vec::new(),
        loading: Vec::new(),
    }
}

fn simulate(strategy: Strategy, seed: u64) -> Outcome {
    let mut random = Pcg64::seed_from_u64(seed);
    let views = [instance()];
    let shape = PromptShape::default();
    let mut routers: Vec<Router> = (0..ROUTERS)
        .map(|number| Router {
            selector: Selector::new(Zone::from("z")).seeded(number as u64),
            waiting: VecDeque::new(),
            backoff_until: Timestamp(0),
            probing: false,
        })
        .collect();
    let mut running: Vec<(Timestamp, Job)> = Vec::new();
    let mut queue: VecDeque<Job> = VecDeque::new();
    let mut outcome = Outcome::default();
    let end = END.since(Timestamp(0)).0;
    for millisecond in 0..end {
        let now = Timestamp::at(millisecond);
        let (finished, running_on): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|(at, _)| *at <= now);
        running = running_on;
        for (_, job) in finished {
            let router = &mut routers[job.router];
            router.selector.first_answer(&job.candidate, RUN, true);
            router.selector.end(&job.candidate, true);
            router.probing = false;
            router.backoff_until = Timestamp(0);
            outcome.waited_s += now.since(job.arrived_at).0;
            if job.arrived_at < HEALTHY_FROM + BACKOFF {
                outcome.caught_up = now;
            }
        }
        while running.len() < SLOTS as usize
            && let Some(job) = queue.pop_front()
        {
            running.push((now + RUN, job));
        }
        if millisecond % USAGE_INTERVAL == 0 {
            exchange_usage(&mut routers, now);
        }
        for (number, router) in routers.iter_mut().enumerate() {
            if random.next_u64() % 1_000 < ARRIVALS {
                router.waiting.push_back(now);
            }
            let mut sent = 0;
            while sent < router.waiting.len() && router.may_send(strategy, now) {
                let chosen = router
                    .selector
                    .choose(&shape, views.iter(), &[], OWN_LIMIT, now);
                let Some(candidate) = chosen else { break };
                let Some(arrived_at) = router.waiting.pop_front() else {
                    break;
                };
                router.selector.begin(&candidate, &shape, now);
                // After a backoff, until the first answer.
                router.probing =
                    strategy == Strategy::OneThenAll && router.backoff_until > Timestamp(0);
                let job = Job {
                    router: number,
                    candidate,
                    arrived_at,
                };
                let healthy = now >= HEALTHY_FROM;
                if healthy && queue.len() < QUEUE {
                    queue.push_back(job);
                } else {
                    outcome.rejected += usize::from(healthy);
                    router.rejected(strategy, &job, now);
                    sent += 1;
                }
            }
        }
    }
    outcome.waited_s /= 1_000;
    outcome
}

fn exchange_usage(routers: &mut [Router], now: Timestamp) {
    let all = routers.iter().flat_map(|router| router.selector.usage());
    let in_flight = all.map(|one| one.in_flight).sum();
    let usage = [InstanceUsage {
        instance: RunnerId::from("i"),
        in_flight,
        prompt_tokens: 0,
    }];
    for router in routers {
        router.selector.set_routers(ROUTERS as u32);
        router
            .selector
            .set_usage(&usage, Millis(USAGE_INTERVAL), now);
    }
}

#[test]
fn a_growing_window_after_a_backoff_gives_the_fewest_rejections_and_the_least_waiting() {
    let mut sums = Vec::new();
    for strategy in [
        Strategy::AllAtOnce,
        Strategy::OneThenAll,
        Strategy::GrowingWindow,
    ] {
        let outcomes: Vec<Outcome> = (1..=20).map(|seed| simulate(strategy, seed)).collect();
        let rejected: usize = outcomes.iter().map(|one| one.rejected).sum();
        let waited: u64 = outcomes.iter().map(|one| one.waited_s).sum();
        let caught_up = outcomes.iter().map(|one| one.caught_up).max();
        println!("{strategy:?}: rejected {rejected}, waited {waited} s, {caught_up:?}");
        sums.push((rejected, waited));
    }
    let [at_once, one_then_all, shares] = sums[..] else {
        panic!("there should be three strategies");
    };
    for (rejected, waited) in [at_once, one_then_all] {
        assert!(shares.0 < rejected && shares.1 < waited, "{sums:?}");
    }
}
