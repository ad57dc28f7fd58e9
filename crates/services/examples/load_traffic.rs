//! Bytes and time that load and speed of instances cost the routers and the leader, for fleets of
//! several sizes, in virtual time.
//!
//! Assumptions: requests go to random routers and instances, a tenth of the instances get half of
//! them; first event after 60 ms, end after 2 s; 1,500 uncached prompt tokens and 400 output
//! tokens. Each instance works at 250 % of its usual duration for 2 s of 20 s, and its figure
//! varies by 20 % from report to report. Only three routers apply the leader's messages; the
//! others therefore report slightly more than real ones. Sizes are those of the messages encoded by
//! rkyv, before framing and compression.

use courseshunt_instance_load::{InstanceLoad, LoadLedger, LoadReport, RouterLoads};
use courseshunt_services::feed::usage_interval;
use courseshunt_services::{FeedMessage, ReportMessage};
use courseshunt_types::{Millis, RunnerId, Timestamp};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const STEP: Millis = Millis(20);
const WARM_UP: Millis = Millis(10_000);
const LENGTH: Millis = Millis(40_000);
const FIRST_EVENT_AFTER: Millis = Millis(60);
const REQUEST_LENGTH: Millis = Millis(2_000);
const HELD_TOKENS: u32 = 1_900;
const SLOTS: u32 = 64;
const APPLYING_ROUTERS: usize = 3;
const WORK_PERIOD_MS: i64 = 20_000;
const SLOW_WORK_MS: i64 = 2_000;

struct Fleet {
    routers: usize,
    instances: usize,
    requests_per_s: f64,
}

enum Event {
    First { router: usize, instance: usize },
    End { router: usize, instance: usize },
}

#[derive(Default)]
struct Cost {
    bytes: usize,
    messages: usize,
    entries: usize,
    took: Duration,
}

impl Cost {
    fn add(&mut self, bytes: usize, entries: usize, took: Duration) {
        self.bytes += bytes;
        self.messages += 1;
        self.entries += entries;
        self.took += took;
    }
}

fn timed<T>(work: impl FnOnce() -> T) -> (T, Duration) {
    let start = Instant::now();
    let result = work();
    (result, start.elapsed())
}

struct Simulation {
    fleet: Fleet,
    random: Pcg64Mcg,
    ids: Vec<RunnerId>,
    running: Vec<u32>,
    loads: Vec<RouterLoads>,
    ledger: LoadLedger,
    events: BTreeMap<Timestamp, Vec<Event>>,
    reports: Cost,
    leader: Cost,
    feed: Cost,
    apply: Cost,
}

impl Simulation {
    fn new(fleet: Fleet) -> Self {
        let ids = (0..fleet.instances).map(|number| RunnerId(format!("engine-{number:05}#1")));
        Self {
            random: Pcg64Mcg::seed_from_u64(7),
            ids: ids.collect(),
            running: vec![0; fleet.instances],
            loads: (0..fleet.routers).map(|_| RouterLoads::default()).collect(),
            ledger: LoadLedger::default(),
            events: BTreeMap::new(),
            reports: Cost::default(),
            leader: Cost::default(),
            feed: Cost::default(),
            apply: Cost::default(),
            fleet,
        }
    }

    fn below(&mut self, bound: usize) -> usize {
        usize::try_from(self.random.next_u64() % bound as u64).unwrap_or(0)
    }

    fn instance(&mut self) -> usize {
        let all = self.fleet.instances;
        match self.random.next_u64() & 1 {
            0 => self.below(all / 10),
            _ => self.below(all),
        }
    }

    fn begin(&mut self, now: Timestamp) {
        let router = self.below(self.fleet.routers);
        let instance = self.instance();
        self.running[instance] += 1;
        self.loads[router].add_held_tokens(&self.ids[instance], HELD_TOKENS);
        let first = Event::First { router, instance };
        self.at(now + FIRST_EVENT_AFTER, first);
        self.at(now + REQUEST_LENGTH, Event::End { router, instance });
    }

    fn at(&mut self, at: Timestamp, event: Event) {
        self.events.entry(at).or_default().push(event);
    }

    fn handle(&mut self, event: Event, now: Timestamp) {
        match event {
            Event::First { router, instance } => {
                let report = self.report(instance, now);
                let ratio = 0.5 + self.below(1_000) as f64 / 1_000.0;
                let loads = &mut self.loads[router];
                loads.record_report(&self.ids[instance], report, now);
                loads.record_slowness(&self.ids[instance], ratio, now);
            }
            Event::End { router, instance } => {
                self.running[instance] -= 1;
                self.loads[router].remove_held_tokens(&self.ids[instance], HELD_TOKENS);
            }
        }
    }

    fn report(&mut self, instance: usize, now: Timestamp) -> LoadReport {
        let phase = (now.0 + instance as i64 * 37).rem_euclid(WORK_PERIOD_MS);
        let usual = if phase < SLOW_WORK_MS { 250 } else { 100 };
        let varied = u32::try_from(self.below(40)).unwrap_or(0) + 80;
        LoadReport {
            running: self.running[instance].min(SLOTS),
            waiting: self.running[instance].saturating_sub(SLOTS),
            slots: SLOTS,
            work_percent: usual * varied / 100,
        }
    }

    fn exchange(&mut self, now: Timestamp, counted: bool) {
        for router in 0..self.fleet.routers {
            let samples = self.loads[router].take_samples(now);
            if samples.is_empty() {
                continue;
            }
            let name = format!("router-{router}");
            let ((), took) = timed(|| self.ledger.record(&name, &samples, now));
            let entries = samples.len();
            let message = ReportMessage::InstanceLoads {
                samples,
                pauses: Vec::new(),
            };
            if counted {
                let bytes = rkyv::to_bytes::<rkyv::rancor::Error>(&message).expect("encode");
                self.reports.add(bytes.len(), entries, took);
            }
        }
        let (changes, took) = timed(|| {
            self.ledger.retain(|_| true, now);
            self.ledger.take_changes(now)
        });
        self.send(changes, took, now, counted);
    }

    fn send(&mut self, changes: Vec<InstanceLoad>, took: Duration, now: Timestamp, counted: bool) {
        let applied = self.loads.iter_mut().take(APPLYING_ROUTERS);
        let ((), applying) = timed(|| applied.for_each(|loads| loads.apply(&changes, now)));
        let entries = changes.len();
        if !counted {
            return;
        }
        self.leader.add(0, 0, took);
        self.apply
            .add(0, entries, applying / APPLYING_ROUTERS as u32);
        if entries > 0 {
            let message = FeedMessage::InstanceLoads(changes);
            let bytes = rkyv::to_bytes::<rkyv::rancor::Error>(&message).expect("encode");
            self.feed.add(bytes.len(), entries, Duration::ZERO);
        }
    }

    fn run(&mut self) {
        let routers = u32::try_from(self.fleet.routers).unwrap_or(u32::MAX);
        let interval = usage_interval(routers, self.fleet.instances);
        let mut now = Timestamp::at(0);
        let mut due = 0.0;
        let mut exchange_at = now + interval;
        while now < Timestamp::at(LENGTH.0) {
            due += self.fleet.requests_per_s * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                self.begin(now);
            }
            let later = self.events.split_off(&(now + Millis(1)));
            let events = std::mem::replace(&mut self.events, later);
            for event in events.into_values().flatten() {
                self.handle(event, now);
            }
            if now >= exchange_at {
                exchange_at = now + interval;
                self.exchange(now, now >= Timestamp::at(WARM_UP.0));
            }
            now = now + STEP;
        }
    }

    fn print(&self) {
        let seconds = (LENGTH.0 - WARM_UP.0) as f64 / 1_000.0;
        let routers = self.fleet.routers as f64;
        println!(
            "{} routers, {} instances, {} requests a second",
            self.fleet.routers, self.fleet.instances, self.fleet.requests_per_s
        );
        println!(
            "  a router sends {:.0} B/s ({:.2} entries a second); the leader receives {:.1} KB/s",
            self.reports.bytes as f64 / seconds / routers,
            self.reports.entries as f64 / seconds / routers,
            self.reports.bytes as f64 / seconds / 1_000.0,
        );
        println!(
            "  a router receives {:.1} KB/s ({:.0} entries a second, {:.0} B each)",
            self.feed.bytes as f64 / seconds / 1_000.0,
            self.feed.entries as f64 / seconds,
            self.feed.bytes as f64 / self.feed.entries.max(1) as f64,
        );
        println!(
            "  the leader takes {:.2} ms/s for samples, {:.2} ms/s for changes; a router {:.2} \
             ms/s to apply them",
            self.reports.took.as_secs_f64() * 1_000.0 / seconds,
            self.leader.took.as_secs_f64() * 1_000.0 / seconds,
            self.apply.took.as_secs_f64() * 1_000.0 / seconds,
        );
        let all = FeedMessage::InstanceLoads(self.ledger.all(Timestamp::at(LENGTH.0)));
        let bytes = rkyv::to_bytes::<rkyv::rancor::Error>(&all).expect("encode");
        println!("  the complete list has {} KB", bytes.len() / 1_000);
    }
}

/// Resident memory of this process, in KB.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let mut lines = status.lines();
    let line = lines.find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// State of a router that knows the load of `instances`, and the time of a look-up.
fn measure_state(instances: usize) {
    const COPIES: u32 = 10;
    let now = Timestamp::at(1_000);
    let report = LoadReport {
        running: 3,
        waiting: 0,
        slots: SLOTS,
        work_percent: 120,
    };
    let ids = (0..instances).map(|number| RunnerId(format!("engine-{number:05}#1")));
    let ids: Vec<RunnerId> = ids.collect();
    let list = ids.iter().map(|instance| InstanceLoad {
        instance: instance.clone(),
        report: Some((report, Millis(100))),
        held_tokens: 5_000,
        slowness_permille: Some(1_200),
    });
    let list: Vec<InstanceLoad> = list.collect();
    let before = resident_kb();
    let states = (0..COPIES).map(|_| {
        let mut loads = RouterLoads::default();
        loads.apply(&list, now);
        loads
    });
    let states: Vec<RouterLoads> = states.collect();
    let per_router = (resident_kb() - before) / u64::from(COPIES);
    let (total, took) = timed(|| {
        let conditions = ids.iter().filter_map(|id| states[0].condition(id, now));
        conditions.map(|one| one.work_factor).sum::<f64>()
    });
    let mut state = states.into_iter().next().expect("a state");
    let (samples, sampling) = timed(|| state.take_samples(now).len());
    println!(
        "{instances} instances: looking for unsent samples takes {:.2} ms ({samples} found)",
        sampling.as_secs_f64() * 1_000.0
    );
    println!(
        "{instances} instances: a router's state has {per_router} KB; a condition takes {:.0} ns \
         (sum of factors {total:.0})",
        took.as_secs_f64() * 1e9 / instances as f64
    );
}

fn main() {
    measure_state(10_000);
    for (routers, instances, requests_per_s) in [
        (86, 60, 172.0),
        (64, 140, 1_400.0),
        (340, 830, 7_100.0),
        (985, 10_000, 196.0),
        (985, 10_000, 7_100.0),
    ] {
        let fleet = Fleet {
            routers,
            instances,
            requests_per_s,
        };
        let mut simulation = Simulation::new(fleet);
        simulation.run();
        simulation.print();
    }
}
