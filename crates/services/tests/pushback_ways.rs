//! Ways to come back to an instance after the rest that it asked for, on the same requests
//! in virtual time: all that waited at once; one request, and all once it is answered; one,
//! then more up to each router's share of the slots.
//!
//! What counts: requests that are turned away again though the instance is sound, and the
//! time until none waits any more. A crowd that is turned away costs another rest.

use courseshunt_services::{
    Candidate, InstanceState, InstanceUsage, InstanceView, PromptShape, Selector,
};
use courseshunt_types::{Millis, RunnerId, Timestamp, Zone};
use rand_pcg::Pcg64;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::VecDeque;

const ROUTERS: usize = 8;
const END: Timestamp = Timestamp(15_000);
/// Until then the instance turns all away; each time it asks for so much rest.
const SOUND_FROM: Timestamp = Timestamp(1_500);
const REST: Millis = Millis(3_000);
/// What it runs at once, what waits there, and how long it runs each.
const SLOTS: u32 = 8;
const QUEUE: usize = 8;
const RUN: Millis = Millis(60);
/// Of 1,000: requests that come at a router in a millisecond; 48 a second at all.
const ARRIVALS: u64 = 6;
/// Routers learn of each other's requests so often.
const TOLD_EVERY: u64 = 100;
const OWN_LIMIT: u32 = 40;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    AllAtOnce,
    OneThenAll,
    /// What the selection does itself: one more after each good answer, and at most the
    /// router's share of the slots for as long as the instance rested.
    Shares,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct Outcome {
    turned_away: usize,
    /// Sum over all requests of the time until they were answered, in seconds.
    waited_s: u64,
    /// When the last request that came before the rest's end was answered.
    caught_up: Timestamp,
}

struct Job {
    router: usize,
    candidate: Candidate,
    came: Timestamp,
}

struct Router {
    selector: Selector,
    waiting: VecDeque<Timestamp>,
    /// Kept by the ways that the selection knows nothing of.
    rest_until: Timestamp,
    probing: bool,
}

impl Router {
    fn may_send(&self, way: Way, now: Timestamp) -> bool {
        match way {
            Way::Shares => true,
            Way::AllAtOnce => now >= self.rest_until,
            Way::OneThenAll => now >= self.rest_until && !self.probing,
        }
    }

    fn turned_away(&mut self, way: Way, job: &Job, now: Timestamp) {
        match way {
            Way::Shares => self
                .selector
                .start_backoff(&job.candidate.instance, REST, now),
            _ => self.rest_until = self.rest_until.max(now + REST),
        }
        self.selector.end(&job.candidate, false);
        self.probing = false;
        self.waiting.push_front(job.came);
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

fn play(way: Way, seed: u64) -> Outcome {
    let mut random = Pcg64::seed_from_u64(seed);
    let views = [instance()];
    let shape = PromptShape::default();
    let mut routers: Vec<Router> = (0..ROUTERS)
        .map(|number| Router {
            selector: Selector::new(Zone::from("z")).seeded(number as u64),
            waiting: VecDeque::new(),
            rest_until: Timestamp(0),
            probing: false,
        })
        .collect();
    let mut running: Vec<(Timestamp, Job)> = Vec::new();
    let mut queue: VecDeque<Job> = VecDeque::new();
    let mut outcome = Outcome::default();
    let end = END.since(Timestamp(0)).0;
    for millisecond in 0..end {
        let now = Timestamp::at(millisecond);
        let (done, going): (Vec<_>, Vec<_>) = running.into_iter().partition(|(at, _)| *at <= now);
        running = going;
        for (_, job) in done {
            let router = &mut routers[job.router];
            router.selector.first_answer(&job.candidate, RUN, true);
            router.selector.end(&job.candidate, true);
            router.probing = false;
            router.rest_until = Timestamp(0);
            outcome.waited_s += now.since(job.came).0;
            if job.came < SOUND_FROM + REST {
                outcome.caught_up = now;
            }
        }
        while running.len() < SLOTS as usize
            && let Some(job) = queue.pop_front()
        {
            running.push((now + RUN, job));
        }
        if millisecond % TOLD_EVERY == 0 {
            tell_usage(&mut routers, now);
        }
        for (number, router) in routers.iter_mut().enumerate() {
            if random.next_u64() % 1_000 < ARRIVALS {
                router.waiting.push_back(now);
            }
            let mut sent = 0;
            while sent < router.waiting.len() && router.may_send(way, now) {
                let chosen = router
                    .selector
                    .choose(&shape, views.iter(), &[], OWN_LIMIT, now);
                let Some(candidate) = chosen else { break };
                let Some(came) = router.waiting.pop_front() else {
                    break;
                };
                router.selector.begin(&candidate, &shape, now);
                // After a rest, until an answer tells that it is over.
                router.probing = way == Way::OneThenAll && router.rest_until > Timestamp(0);
                let job = Job {
                    router: number,
                    candidate,
                    came,
                };
                let sound = now >= SOUND_FROM;
                if sound && queue.len() < QUEUE {
                    queue.push_back(job);
                } else {
                    outcome.turned_away += usize::from(sound);
                    router.turned_away(way, &job, now);
                    sent += 1;
                }
            }
        }
    }
    outcome.waited_s /= 1_000;
    outcome
}

fn tell_usage(routers: &mut [Router], now: Timestamp) {
    let all = routers.iter().flat_map(|router| router.selector.usage());
    let in_flight = all.map(|one| one.in_flight).sum();
    let usage = [InstanceUsage {
        instance: RunnerId::from("i"),
        in_flight,
        prompt_tokens: 0,
    }];
    for router in routers {
        router.selector.set_routers(ROUTERS as u32);
        router.selector.set_usage(&usage, Millis(TOLD_EVERY), now);
    }
}

#[test]
fn a_rested_instance_is_come_back_to_step_by_step() {
    let mut sums = Vec::new();
    for way in [Way::AllAtOnce, Way::OneThenAll, Way::Shares] {
        let outcomes: Vec<Outcome> = (1..=20).map(|seed| play(way, seed)).collect();
        let turned_away: usize = outcomes.iter().map(|one| one.turned_away).sum();
        let waited: u64 = outcomes.iter().map(|one| one.waited_s).sum();
        let caught_up = outcomes.iter().map(|one| one.caught_up).max();
        println!("{way:?}: turned away {turned_away}, waited {waited} s, {caught_up:?}");
        sums.push((turned_away, waited));
    }
    let [at_once, one_then_all, shares] = sums[..] else {
        panic!("three ways");
    };
    for (turned_away, waited) in [at_once, one_then_all] {
        assert!(shares.0 < turned_away && shares.1 < waited, "{sums:?}");
    }
}
