//! The limit of concurrent loads is learned from a weight store that reveals only the duration of
//! its loads.

use courseshunt_services::StoreLimit;
use courseshunt_types::{Millis, RunnerId, Timestamp};

/// Time of a load at full speed, in milliseconds.
const LOAD_TIME: u64 = 3_000;
/// Duration of a simulation step, in milliseconds.
const STEP: u64 = 10;

/// How a store slows loads down beyond its concurrency at full speed.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Sharing {
    /// Each load is slowed down by those in flight when it starts.
    AtStart,
    /// All loads share the store's speed all the time.
    Always,
}

/// A load at the store, with the remaining time in milliseconds at full speed.
struct Load {
    instance: RunnerId,
    remaining: f64,
    speed_at_start: f64,
}

/// A store with a number of concurrent loads at full speed (the knee) that may change.
struct Store {
    knee: usize,
    sharing: Sharing,
    loads: Vec<Load>,
    started: u64,
    limit: StoreLimit,
    now: u64,
    /// End times and durations of the loads that ended.
    durations: Vec<(u64, Millis)>,
}

impl Store {
    fn new(knee: usize, sharing: Sharing) -> Self {
        Self {
            knee,
            sharing,
            loads: Vec::new(),
            started: 0,
            limit: StoreLimit::new(Timestamp(0)),
            now: 0,
            durations: Vec::new(),
        }
    }

    fn speed(&self, loads: usize) -> f64 {
        (self.knee as f64 / loads as f64).min(1.0)
    }

    /// Simulates one step; starts as many loads as the limit allows.
    fn step(&mut self) {
        self.now += STEP;
        let now = Timestamp::at(self.now);
        let shared = self.speed(self.loads.len());
        for load in &mut self.loads {
            let speed = match self.sharing {
                Sharing::AtStart => load.speed_at_start,
                Sharing::Always => shared,
            };
            load.remaining -= STEP as f64 * speed;
        }
        let ended: Vec<Load> = self
            .loads
            .extract_if(.., |load| load.remaining <= 0.0)
            .collect();
        for load in ended {
            let end = self
                .limit
                .record_end(&load.instance, now)
                .expect("the load is in flight");
            self.durations.push((self.now, end.duration));
        }
        while self.limit.available(now) > 0 {
            self.start();
        }
    }

    fn start(&mut self) {
        self.started += 1;
        let instance = RunnerId::from(format!("r{}", self.started));
        let expected = Millis(LOAD_TIME);
        self.limit
            .record_start(&instance, expected, Timestamp::at(self.now));
        let speed_at_start = self.speed(self.loads.len() + 1);
        self.loads.push(Load {
            instance,
            remaining: LOAD_TIME as f64,
            speed_at_start,
        });
    }

    fn run(&mut self, seconds: u64) {
        let end = self.now + seconds * 1_000;
        while self.now < end {
            self.step();
        }
    }

    /// Mean duration of the loads that ended since `since`, relative to the declared load time.
    fn mean_stretch(&self, since: u64) -> f64 {
        let ended = self.durations.iter().filter(|(at, _)| *at >= since);
        let durations: Vec<f64> = ended.map(|(_, duration)| duration.0 as f64).collect();
        durations.iter().sum::<f64>() / durations.len() as f64 / LOAD_TIME as f64
    }
}

#[test]
fn the_limit_converges_to_the_concurrency_at_full_speed() {
    for sharing in [Sharing::AtStart, Sharing::Always] {
        for knee in [2, 4, 7, 13] {
            let mut store = Store::new(knee, sharing);
            store.run(60);
            let since = store.now;
            store.run(60);
            let stretch = store.mean_stretch(since);
            let limit = store.limit.limit();
            assert!(
                stretch <= 1.3,
                "{sharing:?} {knee}: mean stretch {stretch:.2}"
            );
            assert!(
                limit * 4 >= knee * 3 && limit <= knee + 1,
                "{sharing:?} {knee}: limit {limit}"
            );
        }
    }
}

#[test]
fn the_limit_follows_a_store_that_becomes_slower_and_faster() {
    for sharing in [Sharing::AtStart, Sharing::Always] {
        let mut store = Store::new(8, sharing);
        store.run(60);
        store.knee = 3;
        store.run(30);
        let slower = store.limit.limit();
        assert!((2..=4).contains(&slower), "{sharing:?}: limit {slower}");
        store.knee = 8;
        store.run(240);
        let faster = store.limit.limit();
        assert!(faster >= 6, "{sharing:?}: limit {faster}");
    }
}

#[test]
fn an_overdue_load_lowers_the_limit_before_it_ends() {
    let mut limit = StoreLimit::new(Timestamp(0));
    let first = limit.available(Timestamp(0));
    for number in 0..first {
        let id = RunnerId::from(format!("r{number}"));
        limit.record_start(&id, Millis(LOAD_TIME), Timestamp(0));
    }
    limit.remove(&RunnerId::from("r0"), Timestamp(100));
    assert_eq!(limit.available(Timestamp(200)), 1);
    let late = Timestamp::at(LOAD_TIME * 3);
    assert_eq!(
        limit.available(late),
        0,
        "the loads take three times their declared time"
    );
}

#[test]
fn a_cancelled_load_does_not_change_the_limit() {
    let mut limit = StoreLimit::new(Timestamp(0));
    let before = limit.limit();
    let id = RunnerId::from("r1");
    limit.record_start(&id, Millis(LOAD_TIME), Timestamp(0));
    limit.remove(&id, Timestamp::at(LOAD_TIME * 10));
    assert_eq!(limit.limit(), before);
    assert_eq!(limit.in_flight(), 0);
    assert!(
        limit
            .record_end(&id, Timestamp::at(LOAD_TIME * 10))
            .is_none()
    );
}
