//! A study in virtual time of where requests may wait: at each router, with
//! the owner of their queue, or as copies in the queues of all runners.
//!
//! `cargo run --release -p courseshunt-queue --example routing_study`
//!
//! An order violation is a start while a request of a more urgent class has
//! waited for more than [`GRACE`]. Same seed, same output.

use courseshunt_queue::{AGEING_SHARE, Grant, GrantId, QueueLimits, Ticket, WaitingQueue};
use courseshunt_types::{Millis, PriorityClass, RunnerId, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, BTreeSet};

const RUNNERS: usize = 4;
const SLOTS: u32 = 4;
/// Requests that wait in an engine at the most.
const ENGINE_QUEUE: usize = 16;
const MEAN_SERVICE_MS: f64 = 400.0;
/// Offered load, in parts of the capacity.
const LOAD: f64 = 0.95;
/// Length of the run.
const LENGTH: Millis = Millis::from_secs(900);
/// One-way time of a message.
const DELAY: Millis = Millis(1);
/// A more urgent request that waited no longer is no violation: news of it may
/// still be on the way.
const GRACE: Millis = Millis(10);
/// Pause after a full engine.
const RETRY: Millis = Millis(20);
const SEEDS: [u64; 3] = [1, 2, 3];

/// Where requests wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// Each router queues for itself and uses all slots.
    EachRouter,
    /// Each router queues for itself and uses its part of the slots.
    EachRouterSplit,
    /// One queue, at its owner.
    Owner,
    /// A copy in the queue of each runner; the first that gets a slot runs.
    Copies,
}

impl Way {
    fn queues(self, routers: usize) -> usize {
        match self {
            Self::EachRouter | Self::EachRouterSplit => routers,
            Self::Owner => 1,
            Self::Copies => RUNNERS,
        }
    }

    fn replicas(self, queue: usize, routers: usize) -> Vec<(RunnerId, u32)> {
        let all = 0..RUNNERS;
        let split = (SLOTS / routers as u32).max(1);
        match self {
            Self::EachRouter | Self::Owner => all.map(|one| (runner(one), SLOTS)).collect(),
            Self::EachRouterSplit => all.map(|one| (runner(one), split)).collect(),
            Self::Copies => vec![(runner(queue), SLOTS)],
        }
    }

    /// Time between a holder and a queue.
    fn distance(self) -> Millis {
        match self {
            Self::EachRouter | Self::EachRouterSplit => Millis(0),
            Self::Owner | Self::Copies => DELAY,
        }
    }
}

fn runner(number: usize) -> RunnerId {
    format!("runner-{number}").into()
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Offer {
        queue: usize,
        request: usize,
    },
    Cancel {
        queue: usize,
        request: usize,
    },
    GrantReaches {
        queue: usize,
        request: usize,
        runner: usize,
        grant: u64,
    },
    Admit {
        queue: usize,
        request: usize,
        runner: usize,
        grant: u64,
    },
    Finish {
        queue: usize,
        request: usize,
        runner: usize,
        grant: u64,
    },
    Returned {
        queue: usize,
        grant: u64,
    },
}

#[derive(Debug)]
struct Request {
    class: PriorityClass,
    router: usize,
    arrived: Timestamp,
    service: Millis,
    taken: bool,
}

/// A request in an engine, with its queue and grant.
type Placed = (PriorityClass, u64, usize, usize, u64);

#[derive(Debug, Default)]
struct Engine {
    running: u32,
    waiting: BTreeSet<Placed>,
}

#[derive(Debug, Default)]
struct Figures {
    starts: u64,
    violations: u64,
    aged: u64,
    messages: u64,
    engine_refusals: u64,
    waits: BTreeMap<PriorityClass, Vec<u64>>,
}

struct Study {
    way: Way,
    queues: Vec<WaitingQueue>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    events: BTreeSet<(Timestamp, u64, Event)>,
    sequence: u64,
    now: Timestamp,
    /// Requests that have not started, by class and arrival.
    unstarted: BTreeMap<PriorityClass, BTreeSet<(Timestamp, usize)>>,
    figures: Figures,
}

impl Study {
    fn new(way: Way, routers: usize, seed: u64) -> Self {
        let queues = (0..way.queues(routers)).map(|number| {
            let mut queue = WaitingQueue::new("model".into(), QueueLimits::default());
            queue
                .slots_mut()
                .set_replicas(way.replicas(number, routers));
            queue
                .slots_mut()
                .number_from(GrantId(number as u64 * 1_000_000_000));
            queue
        });
        let mut study = Self {
            way,
            queues: queues.collect(),
            engines: (0..RUNNERS).map(|_| Engine::default()).collect(),
            requests: arrivals(routers, seed),
            events: BTreeSet::new(),
            sequence: 0,
            now: Timestamp(0),
            unstarted: BTreeMap::new(),
            figures: Figures::default(),
        };
        for request in 0..study.requests.len() {
            study.arrive(request);
        }
        study
    }

    fn post(&mut self, at: Timestamp, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence, event));
    }

    fn send(&mut self, distance: Millis, event: Event) {
        self.figures.messages += u64::from(distance > Millis(0));
        self.post(self.now + distance, event);
    }

    fn arrive(&mut self, request: usize) {
        let one = &self.requests[request];
        let (arrived, router) = (one.arrived, one.router);
        let distance = self.way.distance();
        let queues: Vec<usize> = match self.way {
            Way::EachRouter | Way::EachRouterSplit => vec![router],
            Way::Owner => vec![0],
            Way::Copies => (0..RUNNERS).collect(),
        };
        for queue in queues {
            self.figures.messages += u64::from(distance > Millis(0));
            self.post(arrived + distance, Event::Offer { queue, request });
        }
    }

    fn run(mut self) -> Figures {
        while let Some((at, _, event)) = self.events.pop_first() {
            self.now = at;
            self.take(event);
        }
        for queue in &self.queues {
            self.figures.aged += queue.counts().aged;
        }
        self.figures
    }

    fn take(&mut self, event: Event) {
        let distance = self.way.distance();
        match event {
            Event::Offer { queue, request } => {
                if !self.requests[request].taken {
                    self.offer(queue, request);
                }
            }
            Event::Cancel { queue, request } => {
                self.queues[queue].cancel(&name(request));
            }
            Event::GrantReaches {
                queue,
                request,
                runner,
                grant,
            } => {
                if self.requests[request].taken {
                    self.send(distance, Event::Returned { queue, grant });
                    return;
                }
                self.requests[request].taken = true;
                if self.way == Way::Copies {
                    for other in (0..RUNNERS).filter(|other| *other != queue) {
                        self.send(
                            distance,
                            Event::Cancel {
                                queue: other,
                                request,
                            },
                        );
                    }
                }
                let at = self.now + DELAY;
                self.post(
                    at,
                    Event::Admit {
                        queue,
                        request,
                        runner,
                        grant,
                    },
                );
            }
            Event::Admit {
                queue,
                request,
                runner,
                grant,
            } => {
                self.admit(queue, request, runner, grant);
            }
            Event::Finish {
                queue,
                request: _,
                runner,
                grant,
            } => {
                self.engines[runner].running -= 1;
                self.start_waiting(runner);
                self.send(
                    Millis(DELAY.0 + distance.0),
                    Event::Returned { queue, grant },
                );
            }
            Event::Returned { queue, grant } => {
                self.queues[queue].slots_mut().release(GrantId(grant));
                self.grant(queue);
            }
        }
    }

    fn offer(&mut self, queue: usize, request: usize) {
        let one = &self.requests[request];
        let unstarted = self.unstarted.entry(one.class).or_default();
        unstarted.insert((one.arrived, request));
        let ticket = Ticket {
            request: name(request),
            holder: "router".into(),
            deployment: "model".into(),
            adapter: None,
            tenant: "tenant".into(),
            class: one.class,
            deadline_in: Millis::from_secs(3600),
            waited: self.now.since(one.arrived),
            prefix_hashes: Vec::new(),
            prompt_tokens: 100,
            max_tokens: 100,
            avoid: Vec::new(),
        };
        // Every queue is long enough and every deadline far away.
        let _ = self.queues[queue].offer(ticket, self.now);
        self.grant(queue);
    }

    fn grant(&mut self, queue: usize) {
        let grants: Vec<Grant> = self.queues[queue].grant(self.now);
        for grant in grants {
            self.queues[queue].slots_mut().started(grant.grant);
            let request = number(grant.request.as_str());
            let runner = number(grant.runner.as_str());
            let grant = grant.grant.0;
            let event = Event::GrantReaches {
                queue,
                request,
                runner,
                grant,
            };
            self.send(self.way.distance(), event);
        }
    }

    fn admit(&mut self, queue: usize, request: usize, runner: usize, grant: u64) {
        let class = self.requests[request].class;
        let engine = &mut self.engines[runner];
        if engine.running >= SLOTS && engine.waiting.len() >= ENGINE_QUEUE {
            self.figures.engine_refusals += 1;
            self.requests[request].taken = false;
            self.post(self.now + DELAY, Event::Returned { queue, grant });
            self.post(self.now + RETRY, Event::Offer { queue, request });
            return;
        }
        self.sequence += 1;
        engine
            .waiting
            .insert((class, self.sequence, request, queue, grant));
        self.start_waiting(runner);
    }

    fn start_waiting(&mut self, runner: usize) {
        let engine = &mut self.engines[runner];
        if engine.running >= SLOTS {
            return;
        }
        let Some((class, _, request, queue, grant)) = engine.waiting.pop_first() else {
            return;
        };
        engine.running += 1;
        self.count_start(class, request);
        let at = self.now + self.requests[request].service;
        self.post(
            at,
            Event::Finish {
                queue,
                request,
                runner,
                grant,
            },
        );
    }

    fn count_start(&mut self, class: PriorityClass, request: usize) {
        let arrived = self.requests[request].arrived;
        if let Some(unstarted) = self.unstarted.get_mut(&class) {
            unstarted.remove(&(arrived, request));
        }
        let late = self.now - GRACE;
        let urgent = self.unstarted.range(..class);
        let violated = urgent
            .filter_map(|(_, waiting)| waiting.first())
            .any(|(arrived, _)| *arrived < late);
        self.figures.starts += 1;
        self.figures.violations += u64::from(violated);
        let waits = self.figures.waits.entry(class).or_default();
        waits.push(self.now.since(arrived).0);
    }
}

fn name(request: usize) -> courseshunt_types::RequestId {
    format!("request-{request}").into()
}

fn number(name: &str) -> usize {
    let digits = name.rsplit('-').next().unwrap_or_default();
    digits.parse().unwrap_or_default()
}

fn arrivals(routers: usize, seed: u64) -> Vec<Request> {
    let mut random = Pcg64::seed_from_u64(seed);
    let per_ms = LOAD * RUNNERS as f64 * f64::from(SLOTS) / MEAN_SERVICE_MS;
    let mut exponential = |mean: f64| -(1.0 - random.random::<f64>()).ln() * mean;
    let mut at = 0.0;
    let mut times = Vec::new();
    loop {
        at += exponential(1.0 / per_ms);
        if at >= LENGTH.0 as f64 {
            break;
        }
        times.push((at as u64, exponential(MEAN_SERVICE_MS) as u64 + 1));
    }
    let made = times.into_iter().map(|(arrived, service)| {
        let class = match random.random_range(0..10) {
            0 => PriorityClass::Critical,
            1..=4 => PriorityClass::Interactive,
            _ => PriorityClass::Batch,
        };
        Request {
            class,
            router: random.random_range(0..routers),
            arrived: Timestamp::at(arrived),
            service: Millis(service),
            taken: false,
        }
    });
    made.collect()
}

fn percentile(waits: &mut [u64], part: f64) -> u64 {
    waits.sort_unstable();
    let last = waits.len().saturating_sub(1);
    waits
        .get((last as f64 * part) as usize)
        .copied()
        .unwrap_or(0)
}

fn main() {
    println!(
        "{RUNNERS} runners of {SLOTS} slots, load {LOAD}, {} s, seeds {SEEDS:?}",
        LENGTH.0 / 1000
    );
    println!("one grant of {AGEING_SHARE} may go to an aged ticket; these are counted apart\n");
    println!(
        "| way | routers | violations | of these aged | critical p99 wait | interactive p99 | batch p50 | engine refusals | messages |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for way in [
        Way::EachRouter,
        Way::EachRouterSplit,
        Way::Copies,
        Way::Owner,
    ] {
        for routers in [1, 3, 12] {
            print_row(way, routers);
        }
    }
}

fn print_row(way: Way, routers: usize) {
    let mut sum = Figures::default();
    for seed in SEEDS {
        let figures = Study::new(way, routers, seed).run();
        sum.starts += figures.starts;
        sum.violations += figures.violations;
        sum.aged += figures.aged;
        sum.messages += figures.messages;
        sum.engine_refusals += figures.engine_refusals;
        for (class, waits) in figures.waits {
            sum.waits.entry(class).or_default().extend(waits);
        }
    }
    let of = |count: u64| count as f64 / sum.starts as f64;
    let mut wait = |class, part| {
        let waits = sum.waits.get_mut(&class);
        waits.map_or(0, |waits| percentile(waits, part))
    };
    println!(
        "| {way:?} | {routers} | {:.2} % | {:.2} % | {} ms | {} ms | {} ms | {:.2} | {:.1} |",
        of(sum.violations) * 100.0,
        of(sum.aged) * 100.0,
        wait(PriorityClass::Critical, 0.99),
        wait(PriorityClass::Interactive, 0.99),
        wait(PriorityClass::Batch, 0.5),
        of(sum.engine_refusals),
        of(sum.messages),
    );
}
