//! Requests of which one part of the prompt terminates instances, simulated with the requests of
//! two busy routes in virtual time: how many instances terminate, how many harmful requests are
//! sent late, and how many harmless ones are held back.

use courseshunt_services::quarantine::MAX_ENDS;
use courseshunt_services::{QuarantineLedger, RouterQuarantine};
use courseshunt_types::{Digest, Millis, RunnerId, Timestamp};
use rand_pcg::Pcg64;
use rand_pcg::rand_core::{Rng, SeedableRng};

const ROUTERS: usize = 7;
const INSTANCES: usize = 14;
const STEP: Millis = Millis(10);
const LENGTH: Timestamp = Timestamp(60_000);
const SEEDS: u64 = 20;
/// Mean time from the first to the last event of a stream.
const MEAN_STREAM: u64 = 1_500;
/// Time before the first event of a stream, at most.
const MAX_PREFILL: u64 = 300;
/// Time from the beginning of an answer to a harmful request to the end of its instance.
const TIME_TO_CRASH: Millis = Millis(60);
const RESTART_TIME: Millis = Millis(3_000);
/// Time that operators allow between what happens and what all routers do about it.
const CONTACT: Millis = Millis(3_000);
const PROBE_DELAY: Millis = Millis(10);
const MESSAGE_DELAY: Millis = Millis(20);
/// A stream that goes on for this long has shown that its prompt is harmless.
const MIN_HARMLESS: Millis = Millis(1_000);
/// Terminations after which harmful requests must be held back, and the number of those that may
/// be sent later than [`CONTACT`] after them.
const ALLOWED_ENDS: usize = 5;
const ALLOWED_SENDS: usize = 3;
const FIRST_HARMFUL: Timestamp = Timestamp(8_000);
/// Steps between two requests of each route, on average.
const SOUND_STEPS: u64 = 18;

/// Which prompts the harmful requests have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Harmful {
    None,
    /// A second part behind one first part.
    Second,
    /// A second part behind any first part.
    SecondBehindAny,
    First,
    /// Two second parts behind one first part, at random.
    Two,
    /// At any place of prompts that sound requests have.
    AnyPlace,
}

#[derive(Debug, Clone, Copy)]
struct Scene {
    harmful: Harmful,
    /// Mean time between two harmful requests.
    pause: u64,
    /// Whether a third of all instances terminates at once, three times.
    has_waves: bool,
}

#[derive(Debug, Default, Clone, Copy)]
struct Outcome {
    ended: usize,
    late_sends: usize,
    /// Requests with the first part of the harmful ones, later than twice [`CONTACT`] after the
    /// last allowed termination.
    sound: usize,
    sound_held_back: usize,
    /// Fingerprints in quarantine at the end that are not harmful.
    harmless_at_end: usize,
}

struct Flight {
    fingerprints: Vec<Digest>,
    router: usize,
    sent_at: Timestamp,
    begins_at: Timestamp,
    ends_at: Timestamp,
    is_harmful: bool,
}

#[derive(Default)]
struct Instance {
    incarnation: u32,
    available_at: Timestamp,
    flights: Vec<Flight>,
}

struct Observation {
    at: Timestamp,
    router: usize,
    fingerprints: Vec<Digest>,
    instance: RunnerId,
}

struct World {
    scene: Scene,
    random: Pcg64,
    now: Timestamp,
    instances: Vec<Instance>,
    routers: Vec<RouterQuarantine>,
    ledger: QuarantineLedger,
    observations: Vec<Observation>,
    publish_at: Option<Timestamp>,
    harmful_ends: Vec<Timestamp>,
    number: u64,
    outcome: Outcome,
}

fn part(name: &str) -> Digest {
    Digest::of(name.as_bytes())
}

impl World {
    fn new(scene: Scene, seed: u64) -> Self {
        Self {
            scene,
            random: Pcg64::seed_from_u64(seed),
            now: Timestamp(0),
            instances: (0..INSTANCES).map(|_| Instance::default()).collect(),
            routers: (0..ROUTERS).map(|_| RouterQuarantine::default()).collect(),
            ledger: QuarantineLedger::default(),
            observations: Vec::new(),
            publish_at: None,
            harmful_ends: Vec::new(),
            number: 0,
            outcome: Outcome::default(),
        }
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound
    }

    /// The time after which harmful requests count as sent late.
    fn allowed_until(&self) -> Option<Timestamp> {
        let fifth = self.harmful_ends.get(ALLOWED_ENDS - 1);
        fifth.or(self.harmful_ends.last()).copied()
    }

    /// The prompt of a sound request on a route, without the part of its own.
    fn sound_prompt(&mut self, route: &str) -> Vec<String> {
        let first = self.below(3);
        let second = self.below(30);
        vec![
            format!("{route}-{first}"),
            format!("{route}-{second}-second"),
        ]
    }

    fn harmful_prompt(&mut self) -> Vec<String> {
        let named = |parts: [&str; 2]| parts.map(str::to_owned).to_vec();
        match self.scene.harmful {
            Harmful::None | Harmful::Second => named(["r-0", "bad"]),
            Harmful::SecondBehindAny => vec![format!("r-{}", self.below(3)), "bad".to_owned()],
            Harmful::First => vec!["bad".to_owned(), format!("r-{}-second", self.below(30))],
            Harmful::Two => match self.below(2) {
                0 => named(["r-0", "worse"]),
                _ => named(["r-0", "bad"]),
            },
            Harmful::AnyPlace => {
                let mut prompt = self.sound_prompt("r");
                let place = self.below(3) as usize;
                prompt.insert(place, "bad".to_owned());
                prompt
            }
        }
    }

    fn send(&mut self, mut prompt: Vec<String>, is_harmful: bool) {
        self.number += 1;
        let is_sibling = !is_harmful && prompt[0] == "r-0";
        prompt.push(format!("own {}", self.number));
        prompt.push(format!("content {}", self.number));
        let fingerprints: Vec<Digest> = prompt.iter().map(|name| part(name)).collect();
        let router = self.below(ROUTERS as u64) as usize;
        let held = self.routers[router].quarantined_of(&fingerprints, true);
        let allowed_until = self.allowed_until();
        let is_after = |time: Millis| allowed_until.is_some_and(|at| self.now > at + time);
        if is_sibling && is_after(Millis(CONTACT.0 * 2)) {
            self.outcome.sound += 1;
            self.outcome.sound_held_back += usize::from(held.is_some());
        }
        if held.is_some() {
            return;
        }
        self.outcome.late_sends += usize::from(is_harmful && is_after(CONTACT));
        let live: Vec<usize> = (0..INSTANCES)
            .filter(|one| self.instances[*one].available_at <= self.now)
            .collect();
        if live.is_empty() {
            return;
        }
        let chosen = live[self.below(live.len() as u64) as usize];
        let begins_at = self.now + Millis(20 + self.below(MAX_PREFILL));
        let stream = 300 + self.below(MEAN_STREAM * 2 - 600);
        let flight = Flight {
            fingerprints,
            router,
            sent_at: self.now,
            begins_at,
            ends_at: begins_at + Millis(stream),
            is_harmful,
        };
        self.instances[chosen].flights.push(flight);
    }

    fn terminate(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        let id = format!("i-{index}.{}", instance.incarnation);
        instance.incarnation += 1;
        instance.available_at = self.now + RESTART_TIME;
        for flight in std::mem::take(&mut instance.flights) {
            let is_harmless = self.now.since(flight.begins_at) >= MIN_HARMLESS;
            let suspects = match is_harmless {
                true => flight.fingerprints[flight.fingerprints.len() - 1..].to_vec(),
                false => flight.fingerprints,
            };
            self.observations.push(Observation {
                at: self.now + PROBE_DELAY,
                router: flight.router,
                fingerprints: suspects,
                instance: RunnerId::from(id.as_str()),
            });
        }
    }

    fn run_instances(&mut self) {
        for index in 0..INSTANCES {
            let now = self.now;
            let crashes = |one: &Flight| one.is_harmful && one.begins_at + TIME_TO_CRASH <= now;
            if self.instances[index].flights.iter().any(crashes) {
                self.harmful_ends.push(now);
                self.outcome.ended += 1;
                self.terminate(index);
                continue;
            }
            let flights = std::mem::take(&mut self.instances[index].flights);
            let (done, rest): (Vec<Flight>, Vec<Flight>) =
                flights.into_iter().partition(|one| one.ends_at <= now);
            self.instances[index].flights = rest;
            for flight in done {
                let router = &mut self.routers[flight.router];
                router.answered(&flight.fingerprints, flight.sent_at, now);
            }
        }
    }

    fn exchange(&mut self) {
        let now = self.now;
        let observations = std::mem::take(&mut self.observations);
        let (due, rest): (Vec<Observation>, Vec<Observation>) =
            observations.into_iter().partition(|one| one.at <= now);
        self.observations = rest;
        for one in due {
            self.routers[one.router].ended(&one.fingerprints, one.instance, now);
        }
        for router in &mut self.routers {
            let (ends, answered) = router.take_unreported(now);
            for end in ends {
                self.ledger.ended(&end, now);
            }
            for answer in answered {
                self.ledger.answered(&answer, now);
            }
        }
        self.ledger.expire(now);
        self.ledger.attribute(now);
        if self.ledger.take_publication().is_some() {
            self.publish_at = Some(now + MESSAGE_DELAY);
        }
        if self.publish_at.is_some_and(|at| at <= now) {
            self.publish_at = None;
            let (suspected, quarantined) = self.ledger.fingerprints_for_routers();
            for router in &mut self.routers {
                router.set(suspected.clone(), quarantined.clone(), now);
            }
        }
    }

    fn run(mut self) -> Outcome {
        while self.now < LENGTH {
            for route in ["r", "q"] {
                if self.below(SOUND_STEPS) == 0 {
                    let prompt = self.sound_prompt(route);
                    self.send(prompt, false);
                }
            }
            let has_begun = self.now >= FIRST_HARMFUL && self.scene.harmful != Harmful::None;
            if has_begun && self.below(self.scene.pause / STEP.0) == 0 {
                let prompt = self.harmful_prompt();
                self.send(prompt, true);
            }
            if self.scene.has_waves && [7_000, 9_000, 11_000].contains(&self.now.0) {
                (0..INSTANCES / 3).for_each(|one| self.terminate(one));
            }
            self.run_instances();
            self.exchange();
            self.now = self.now + STEP;
        }
        let (_, quarantined) = self.ledger.fingerprints_for_routers();
        let harmful = ["bad", "worse"].map(part);
        let harmless = quarantined.iter().filter(|one| !harmful.contains(one));
        self.outcome.harmless_at_end = harmless.count();
        self.outcome
    }
}

/// Plays a scene under all seeds, and checks each of them.
fn play(scene: Scene) {
    let mut broken = Vec::new();
    let mut ended = Vec::new();
    for seed in 1..=SEEDS {
        let outcome = World::new(scene, seed).run();
        ended.push(outcome.ended);
        let is_late = outcome.late_sends > ALLOWED_SENDS;
        let blocks_sound = outcome.sound_held_back * 2 > outcome.sound;
        if is_late || blocks_sound || outcome.harmless_at_end > 0 {
            broken.push(format!("seed {seed}: {outcome:?}"));
        }
    }
    println!("{scene:?}: instances ended {ended:?}");
    assert!(broken.is_empty(), "{scene:?}\n{}", broken.join("\n"));
}

const SECOND: Scene = Scene {
    harmful: Harmful::Second,
    pause: 300,
    has_waves: false,
};

#[test]
fn a_harmful_part_is_held_back_and_its_siblings_are_not() {
    for pause in [100, 300, 900, 2_000] {
        play(Scene { pause, ..SECOND });
        let harmful = Harmful::SecondBehindAny;
        play(Scene {
            harmful,
            pause,
            ..SECOND
        });
    }
}

#[test]
fn a_harmful_first_part_is_held_back() {
    for pause in [100, 300, 900] {
        play(Scene {
            harmful: Harmful::First,
            pause,
            ..SECOND
        });
    }
}

#[test]
fn two_harmful_parts_at_a_time_are_held_back() {
    for pause in [100, 300, 900] {
        play(Scene {
            harmful: Harmful::Two,
            pause,
            ..SECOND
        });
    }
}

#[test]
fn a_harmful_part_at_any_place_is_held_back() {
    for pause in [100, 300, 900] {
        play(Scene {
            harmful: Harmful::AnyPlace,
            pause,
            ..SECOND
        });
    }
}

#[test]
fn a_harmful_part_is_held_back_beside_instances_that_terminate_at_once() {
    for harmful in [Harmful::Second, Harmful::First, Harmful::SecondBehindAny] {
        play(Scene {
            harmful,
            has_waves: true,
            ..SECOND
        });
    }
}

/// Nothing is held back although instances terminate again and again.
#[test]
fn instances_that_terminate_at_once_cause_no_quarantine() {
    play(Scene {
        harmful: Harmful::None,
        pause: 300,
        has_waves: true,
    });
}

#[test]
fn an_answer_to_a_request_that_was_sent_before_a_termination_proves_nothing() {
    let mut ledger = QuarantineLedger::default();
    for number in 0..MAX_ENDS as u64 {
        let end = courseshunt_services::InstanceEnd {
            fingerprints: vec![part("a")],
            instance: RunnerId::from(format!("i-{number}").as_str()),
            age: Millis(0),
        };
        let now = Timestamp::at(10_000 + number * 1_000);
        ledger.ended(&end, now);
        ledger.attribute(now);
        ledger.take_publication();
        let answered = courseshunt_services::AnsweredFingerprint {
            fingerprint: part("a"),
            sent_age: Millis(number * 1_000 + 500),
        };
        ledger.answered(&answered, now);
    }
    ledger.attribute(Timestamp::at(20_000));
    let (_, quarantined) = ledger.fingerprints_for_routers();
    assert_eq!(quarantined, [part("a")]);
}
