//! How many loads from the weight store may be under way at once is learnt from
//! a store that tells nothing but how long its loads take.

use courseshunt_services::StoreLimit;
use courseshunt_types::{Millis, RunnerId, Timestamp};

/// Time of a load that nothing stretches, in milliseconds.
const LOAD_TIME: u64 = 3_000;
/// Length of a step, in milliseconds.
const STEP: u64 = 10;

/// How a store stretches loads beyond its number at once.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Sharing {
    /// Each load by those under way when it begins.
    AtBegin,
    /// All loads share its speed all the time.
    Always,
}

/// A load at the store: what is left of it, in milliseconds at full speed.
struct Load {
    instance: RunnerId,
    left: f64,
    speed_at_begin: f64,
}

/// A store with a number of loads at full speed that may move.
struct Store {
    knee: usize,
    sharing: Sharing,
    loads: Vec<Load>,
    begun: u64,
    limit: StoreLimit,
    now: u64,
    /// Lengths of the loads that ended.
    took: Vec<(u64, Millis)>,
}

impl Store {
    fn new(knee: usize, sharing: Sharing) -> Self {
        Self {
            knee,
            sharing,
            loads: Vec::new(),
            begun: 0,
            limit: StoreLimit::new(Timestamp(0)),
            now: 0,
            took: Vec::new(),
        }
    }

    fn speed(&self, loads: usize) -> f64 {
        (self.knee as f64 / loads as f64).min(1.0)
    }

    /// Lets a step pass; begins as many loads as the limit allows.
    fn step(&mut self) {
        self.now += STEP;
        let now = Timestamp::at(self.now);
        let shared = self.speed(self.loads.len());
        for load in &mut self.loads {
            let speed = match self.sharing {
                Sharing::AtBegin => load.speed_at_begin,
                Sharing::Always => shared,
            };
            load.left -= STEP as f64 * speed;
        }
        let ended: Vec<Load> = self.loads.extract_if(.., |load| load.left <= 0.0).collect();
        for load in ended {
            let end = self.limit.ended(&load.instance, now).expect("it began");
            self.took.push((self.now, end.took));
        }
        while self.limit.free(now) > 0 {
            self.begin();
        }
    }

    fn begin(&mut self) {
        self.begun += 1;
        let instance = RunnerId::from(format!("r{}", self.begun));
        let expected = Millis(LOAD_TIME);
        self.limit
            .began(&instance, expected, Timestamp::at(self.now));
        let speed_at_begin = self.speed(self.loads.len() + 1);
        self.loads.push(Load {
            instance,
            left: LOAD_TIME as f64,
            speed_at_begin,
        });
    }

    fn run(&mut self, seconds: u64) {
        let end = self.now + seconds * 1_000;
        while self.now < end {
            self.step();
        }
    }

    /// Mean length of the loads that ended since `since`, in load times.
    fn mean_stretch(&self, since: u64) -> f64 {
        let ended = self.took.iter().filter(|(at, _)| *at >= since);
        let took: Vec<f64> = ended.map(|(_, took)| took.0 as f64).collect();
        took.iter().sum::<f64>() / took.len() as f64 / LOAD_TIME as f64
    }
}

#[test]
fn the_limit_finds_the_number_that_the_store_serves_at_full_speed() {
    for sharing in [Sharing::AtBegin, Sharing::Always] {
        for knee in [2, 4, 7, 13] {
            let mut store = Store::new(knee, sharing);
            store.run(60);
            let since = store.now;
            store.run(60);
            let stretch = store.mean_stretch(since);
            let limit = store.limit.limit();
            assert!(stretch <= 1.3, "{sharing:?} {knee}: stretched {stretch:.2}");
            assert!(
                limit * 4 >= knee * 3 && limit <= knee + 1,
                "{sharing:?} {knee}: limit {limit}"
            );
        }
    }
}

#[test]
fn the_limit_follows_a_store_that_becomes_slower_and_faster() {
    for sharing in [Sharing::AtBegin, Sharing::Always] {
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
fn an_overdue_load_holds_others_back_before_it_ends() {
    let mut limit = StoreLimit::new(Timestamp(0));
    let first = limit.free(Timestamp(0));
    for number in 0..first {
        let id = RunnerId::from(format!("r{number}"));
        limit.began(&id, Millis(LOAD_TIME), Timestamp(0));
    }
    limit.dropped(&RunnerId::from("r0"), Timestamp(100));
    assert_eq!(limit.free(Timestamp(200)), 1);
    let late = Timestamp::at(LOAD_TIME * 3);
    assert_eq!(limit.free(late), 0, "the loads take three times their time");
}

#[test]
fn a_load_that_never_began_tells_nothing() {
    let mut limit = StoreLimit::new(Timestamp(0));
    let before = limit.limit();
    let id = RunnerId::from("r1");
    limit.began(&id, Millis(LOAD_TIME), Timestamp(0));
    limit.dropped(&id, Timestamp::at(LOAD_TIME * 10));
    assert_eq!(limit.limit(), before);
    assert_eq!(limit.under_way(), 0);
    assert!(limit.ended(&id, Timestamp::at(LOAD_TIME * 10)).is_none());
}
