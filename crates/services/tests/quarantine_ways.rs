//! Ways to tell that an instance ended under a request, on the same requests in virtual
//! time: each answer that breaks off; a look at the instance that broke it off; the
//! leader's word that the instance is gone.
//!
//! What counts: sends of the request that ends instances, later than operators allow
//! after its third end; and sound requests that are ever in quarantine.

use courseshunt_services::quarantine::MAX_ENDS;
use courseshunt_services::{QuarantineLedger, RouterQuarantine};
use courseshunt_types::{Digest, Millis, RunnerId, Timestamp};
use rand_pcg::Pcg64;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::BTreeMap;

const ROUTERS: usize = 8;
const INSTANCES: usize = 18;
const STEP: Millis = Millis(10);
const LENGTH: Timestamp = Timestamp(120_000);
/// Time in which a request that runs is answered.
const RUN: Millis = Millis(800);
/// A request that ends its instance does so after this.
const RUN_TO_END: Millis = Millis(100);
/// An instance is back after this.
const RETURN: Millis = Millis(3_000);
/// Sends count against the rule from so long after the third end.
const ALLOWED_SPREAD: Millis = Millis(3_000);
/// A message between two processes.
const MESSAGE: Millis = Millis(5);
/// Time after which each sign is there.
const LOOK: Millis = Millis(10);
const GONE_AFTER: Millis = Millis(3_400);
/// From these times on half of the answers are lost for so long, though no instance
/// ends; instances are lost at that one.
const LOSSES_OF_ANSWERS: [Timestamp; 2] = [Timestamp(10_000), Timestamp(20_000)];
const LOSSY_FOR: Millis = Millis(4_000);
const LOSS: Timestamp = Timestamp(80_000);
/// So long before each, requests for something new begin to come, for so long.
const CLUMP_BEFORE: Millis = Millis(200);
const CLUMP: Millis = Millis(3_000);
/// Contents that many clients ask for, again and again.
const POPULAR: u64 = 6;

/// What a router takes for an instance's end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sign {
    BrokenAnswer,
    Look,
    LeadersWord,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct Outcome {
    /// Instances that the request ended.
    ended: usize,
    late_sends: usize,
    sound_in_quarantine: usize,
}

struct Flight {
    content: Digest,
    router: usize,
    deadly: bool,
    due: Timestamp,
}

struct Instance {
    generation: u32,
    back_at: Timestamp,
    flights: Vec<Flight>,
}

struct World {
    sign: Sign,
    random: Pcg64,
    now: Timestamp,
    instances: Vec<Instance>,
    routers: Vec<RouterQuarantine>,
    ledger: QuarantineLedger,
    /// Signs on their way: when, which router, what it asked, where.
    signs: BTreeMap<(Timestamp, u64), (usize, Digest, RunnerId)>,
    told_at: Option<Timestamp>,
    numbered: u64,
    third_end: Option<Timestamp>,
    outcome: Outcome,
}

fn deadly() -> Digest {
    Digest::of(b"deadly")
}

impl World {
    fn new(sign: Sign, seed: u64) -> Self {
        let instance = || Instance {
            generation: 0,
            back_at: Timestamp(0),
            flights: Vec::new(),
        };
        Self {
            sign,
            random: Pcg64::seed_from_u64(seed),
            now: Timestamp(0),
            instances: (0..INSTANCES).map(|_| instance()).collect(),
            routers: (0..ROUTERS).map(|_| RouterQuarantine::default()).collect(),
            ledger: QuarantineLedger::default(),
            signs: BTreeMap::new(),
            told_at: None,
            numbered: 0,
            third_end: None,
            outcome: Outcome::default(),
        }
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound
    }

    fn number(&mut self) -> u64 {
        self.numbered += 1;
        self.numbered
    }

    fn send(&mut self, content: Digest, deadly: bool) {
        let router = self.below(ROUTERS as u64) as usize;
        let live: Vec<usize> = (0..INSTANCES)
            .filter(|one| self.instances[*one].back_at <= self.now)
            .collect();
        let held = self.routers[router].holds(&content, true);
        if live.is_empty() || held {
            self.outcome.sound_in_quarantine += usize::from(held && !deadly);
            return;
        }
        let chosen = live[self.below(live.len() as u64) as usize];
        let late = self
            .third_end
            .is_some_and(|at| self.now > at + ALLOWED_SPREAD);
        self.outcome.late_sends += usize::from(deadly && late);
        let due = self.now + if deadly { RUN_TO_END } else { RUN };
        self.instances[chosen].flights.push(Flight {
            content,
            router,
            deadly,
            due,
        });
    }

    /// An answer breaks off, because its instance ends or for a lost connection alone.
    fn break_off(&mut self, instance: usize, flight: &Flight, ends: bool) {
        let generation = self.instances[instance].generation;
        let instance = RunnerId::from(format!("i-{instance}.{generation}").as_str());
        let after = match self.sign {
            Sign::BrokenAnswer => Millis(0),
            Sign::Look if ends => LOOK,
            Sign::LeadersWord if ends => GONE_AFTER,
            Sign::Look | Sign::LeadersWord => return,
        };
        let number = self.number();
        let key = (self.now + after, number);
        let sign = (flight.router, flight.content, instance);
        self.signs.insert(key, sign);
    }

    fn end_instance(&mut self, instance: usize) {
        let flights = std::mem::take(&mut self.instances[instance].flights);
        for flight in &flights {
            self.break_off(instance, flight, true);
        }
        self.instances[instance].generation += 1;
        self.instances[instance].back_at = self.now + RETURN;
    }

    fn run_instances(&mut self) {
        for instance in 0..INSTANCES {
            let ends = |one: &Flight| one.deadly && one.due <= self.now;
            if self.instances[instance].flights.iter().any(ends) {
                self.outcome.ended += 1;
                if self.outcome.ended == MAX_ENDS {
                    self.third_end = Some(self.now);
                }
                self.end_instance(instance);
                continue;
            }
            let flights = std::mem::take(&mut self.instances[instance].flights);
            let (done, rest) = flights.into_iter().partition(|one| one.due <= self.now);
            self.instances[instance].flights = rest;
            let done: Vec<Flight> = done;
            for flight in done {
                if self.loses_answer() {
                    self.break_off(instance, &flight, false);
                    continue;
                }
                self.routers[flight.router].answered(flight.content, self.now);
            }
        }
    }

    /// Whether an answer is lost that its instance has given.
    fn loses_answer(&mut self) -> bool {
        let mut begins = LOSSES_OF_ANSWERS.into_iter();
        let lossy = begins.any(|at| self.now >= at && self.now < at + LOSSY_FOR);
        lossy && self.below(2) == 0
    }

    fn exchange(&mut self) {
        while let Some((&(at, _), _)) = self.signs.first_key_value() {
            if at > self.now {
                break;
            }
            if let Some((_, (router, content, instance))) = self.signs.pop_first() {
                self.routers[router].ended(content, instance, self.now);
            }
        }
        for router in &mut self.routers {
            let (ends, answered) = router.take_unsent(self.now);
            for end in ends {
                self.ledger.ended(&end, self.now);
            }
            for content in answered {
                self.ledger.answered(content);
            }
        }
        if self.ledger.take_news() {
            self.told_at = Some(self.now + MESSAGE);
        }
        if self.told_at.is_some_and(|at| at <= self.now) {
            self.told_at = None;
            let (suspected, quarantined) = self.ledger.told();
            for router in &mut self.routers {
                router.set(suspected.clone(), quarantined.clone(), self.now);
            }
        }
    }

    /// Before each trouble something new is asked for by many at once, and goes on being so.
    fn clump(&mut self) {
        for trouble in LOSSES_OF_ANSWERS.into_iter().chain([LOSS]) {
            let begins = trouble - CLUMP_BEFORE;
            if self.now >= begins && self.now < begins + CLUMP {
                let asked = Digest::of(format!("new at {trouble:?}").as_bytes());
                self.send(asked, false);
            }
        }
    }

    fn play(mut self) -> Outcome {
        while self.now < LENGTH {
            let second = self.now.since(self.now.window_start(Millis(1_000))).0;
            for _ in 0..3 {
                let unique = self.number();
                self.send(Digest::of(&unique.to_le_bytes()), false);
            }
            if second.is_multiple_of(50) {
                let popular = self.below(POPULAR);
                self.send(Digest::of(format!("popular {popular}").as_bytes()), false);
            }
            if self.now.0 > 30_000 && self.below(70) == 0 {
                self.send(deadly(), true);
            }
            self.clump();
            // A third of all instances is lost at once, without any request's doing.
            if self.now == LOSS {
                (0..INSTANCES / 3).for_each(|one| self.end_instance(one));
            }
            self.run_instances();
            self.exchange();
            self.now = self.now + STEP;
        }
        self.outcome
    }
}

/// The worst of some seeds.
fn worst(sign: Sign) -> Outcome {
    let outcomes = (1..=5).map(|seed| World::new(sign, seed).play());
    let worst = outcomes.reduce(|one, other| Outcome {
        ended: one.ended.max(other.ended),
        late_sends: one.late_sends.max(other.late_sends),
        sound_in_quarantine: one.sound_in_quarantine.max(other.sound_in_quarantine),
    });
    let worst = worst.expect("some seeds");
    println!("{sign:?}: {worst:?}");
    worst
}

#[test]
fn a_look_at_the_instance_is_quick_and_spares_sound_requests() {
    let look = worst(Sign::Look);
    assert_eq!(look.late_sends, 0);
    assert!(look.ended <= MAX_ENDS + 2, "those under way end theirs too");
    assert_eq!(look.sound_in_quarantine, 0);
}

#[test]
fn the_leaders_word_comes_too_late() {
    let word = worst(Sign::LeadersWord);
    assert!(word.ended > worst(Sign::Look).ended);
    assert!(word.late_sends > 0);
}

#[test]
fn broken_answers_alone_hold_sound_requests_back() {
    let broken = worst(Sign::BrokenAnswer);
    assert_eq!(broken.late_sends, 0);
    assert!(broken.sound_in_quarantine > 0);
}
