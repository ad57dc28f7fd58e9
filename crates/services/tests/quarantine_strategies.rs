//! Strategies to detect that an instance terminated while running a request, compared in a
//! simulation with the same requests: every aborted answer; a health probe of the instance after
//! an aborted answer; the leader's notice that the instance is lost.
//!
//! Measured are sends of the crashing request later than allowed after the third termination, and
//! harmless requests that are in quarantine at any time.

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
/// Time to the answer of a running request.
const RUN: Millis = Millis(800);
/// Time after which a crashing request terminates its instance.
const TIME_TO_CRASH: Millis = Millis(100);
/// Time after which an instance is available again.
const RESTART_TIME: Millis = Millis(3_000);
/// Time after the third termination from which sends of the crashing request count as late.
const ALLOWED_DELAY: Millis = Millis(3_000);
/// Delay of a message between two processes.
const MESSAGE_DELAY: Millis = Millis(5);
/// Delay of detection by a probe, and by the leader's notice.
const PROBE_DELAY: Millis = Millis(10);
const LEADER_NOTICE_DELAY: Millis = Millis(3_400);
/// From each of these times on, half of the answers are lost for [`ANSWER_LOSS_TIME`] although no
/// instance terminates. At [`INSTANCE_LOSS_AT`], instances terminate.
const ANSWER_LOSS_STARTS: [Timestamp; 2] = [Timestamp(10_000), Timestamp(20_000)];
const ANSWER_LOSS_TIME: Millis = Millis(4_000);
const INSTANCE_LOSS_AT: Timestamp = Timestamp(80_000);
/// Before each of these times by [`NEW_CONTENT_BEFORE`], a new content starts to be requested
/// often, for [`NEW_CONTENT_TIME`].
const NEW_CONTENT_BEFORE: Millis = Millis(200);
const NEW_CONTENT_TIME: Millis = Millis(3_000);
/// Number of contents that many clients request repeatedly.
const POPULAR: u64 = 6;

/// Signal by which a router detects the termination of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Signal {
    AbortedAnswer,
    Probe,
    LeaderNotice,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct Outcome {
    /// Instances that the crashing request terminated.
    ended: usize,
    late_sends: usize,
    harmless_in_quarantine: usize,
}

struct Flight {
    content: Digest,
    router: usize,
    sent_at: Timestamp,
    crashing: bool,
    due: Timestamp,
}

struct Instance {
    incarnation: u32,
    available_at: Timestamp,
    flights: Vec<Flight>,
}

struct World {
    signal: Signal,
    random: Pcg64,
    now: Timestamp,
    instances: Vec<Instance>,
    routers: Vec<RouterQuarantine>,
    ledger: QuarantineLedger,
    /// Pending detections: time and sequence number; router, content and instance.
    signals: BTreeMap<(Timestamp, u64), (usize, Digest, RunnerId)>,
    notified_at: Option<Timestamp>,
    last_number: u64,
    third_end: Option<Timestamp>,
    outcome: Outcome,
}

fn crashing() -> Digest {
    Digest::of(b"deadly")
}

impl World {
    fn new(signal: Signal, seed: u64) -> Self {
        let instance = || Instance {
            incarnation: 0,
            available_at: Timestamp(0),
            flights: Vec::new(),
        };
        Self {
            signal,
            random: Pcg64::seed_from_u64(seed),
            now: Timestamp(0),
            instances: (0..INSTANCES).map(|_| instance()).collect(),
            routers: (0..ROUTERS).map(|_| RouterQuarantine::default()).collect(),
            ledger: QuarantineLedger::default(),
            signals: BTreeMap::new(),
            notified_at: None,
            last_number: 0,
            third_end: None,
            outcome: Outcome::default(),
        }
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound
    }

    fn number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn send(&mut self, content: Digest, crashing: bool) {
        let router = self.below(ROUTERS as u64) as usize;
        let live: Vec<usize> = (0..INSTANCES)
            .filter(|one| self.instances[*one].available_at <= self.now)
            .collect();
        let held = self.routers[router].quarantined_of(&[content], true);
        let held = held.is_some();
        if live.is_empty() || held {
            self.outcome.harmless_in_quarantine += usize::from(held && !crashing);
            return;
        }
        let chosen = live[self.below(live.len() as u64) as usize];
        let late = self
            .third_end
            .is_some_and(|at| self.now > at + ALLOWED_DELAY);
        self.outcome.late_sends += usize::from(crashing && late);
        let due = self.now + if crashing { TIME_TO_CRASH } else { RUN };
        self.instances[chosen].flights.push(Flight {
            content,
            router,
            sent_at: self.now,
            crashing,
            due,
        });
    }

    /// Aborts an answer, because its instance terminates or because only the connection is lost.
    fn abort_answer(&mut self, instance: usize, flight: &Flight, ends: bool) {
        let incarnation = self.instances[instance].incarnation;
        let instance = RunnerId::from(format!("i-{instance}.{incarnation}").as_str());
        let after = match self.signal {
            Signal::AbortedAnswer => Millis(0),
            Signal::Probe if ends => PROBE_DELAY,
            Signal::LeaderNotice if ends => LEADER_NOTICE_DELAY,
            Signal::Probe | Signal::LeaderNotice => return,
        };
        let number = self.number();
        let key = (self.now + after, number);
        let signal = (flight.router, flight.content, instance);
        self.signals.insert(key, signal);
    }

    fn terminate_instance(&mut self, instance: usize) {
        let flights = std::mem::take(&mut self.instances[instance].flights);
        for flight in &flights {
            self.abort_answer(instance, flight, true);
        }
        self.instances[instance].incarnation += 1;
        self.instances[instance].available_at = self.now + RESTART_TIME;
    }

    fn run_instances(&mut self) {
        for instance in 0..INSTANCES {
            let ends = |one: &Flight| one.crashing && one.due <= self.now;
            if self.instances[instance].flights.iter().any(ends) {
                self.outcome.ended += 1;
                if self.outcome.ended == MAX_ENDS {
                    self.third_end = Some(self.now);
                }
                self.terminate_instance(instance);
                continue;
            }
            let flights = std::mem::take(&mut self.instances[instance].flights);
            let (done, rest) = flights.into_iter().partition(|one| one.due <= self.now);
            self.instances[instance].flights = rest;
            let done: Vec<Flight> = done;
            for flight in done {
                if self.loses_answer() {
                    self.abort_answer(instance, &flight, false);
                    continue;
                }
                let router = &mut self.routers[flight.router];
                router.answered(&[flight.content], flight.sent_at, self.now);
            }
        }
    }

    /// Whether an answer that the instance has sent is lost.
    fn loses_answer(&mut self) -> bool {
        let mut starts = ANSWER_LOSS_STARTS.into_iter();
        let lossy = starts.any(|at| self.now >= at && self.now < at + ANSWER_LOSS_TIME);
        lossy && self.below(2) == 0
    }

    fn exchange(&mut self) {
        while let Some((&(at, _), _)) = self.signals.first_key_value() {
            if at > self.now {
                break;
            }
            if let Some((_, (router, content, instance))) = self.signals.pop_first() {
                self.routers[router].ended(&[content], instance, self.now);
            }
        }
        for router in &mut self.routers {
            let (ends, answered) = router.take_unreported(self.now);
            for end in ends {
                self.ledger.ended(&end, self.now);
            }
            for answer in answered {
                self.ledger.answered(&answer, self.now);
            }
        }
        self.ledger.attribute(self.now);
        if self.ledger.take_publication().is_some() {
            self.notified_at = Some(self.now + MESSAGE_DELAY);
        }
        if self.notified_at.is_some_and(|at| at <= self.now) {
            self.notified_at = None;
            let (suspected, quarantined) = self.ledger.fingerprints_for_routers();
            for router in &mut self.routers {
                router.set(suspected.clone(), quarantined.clone(), self.now);
            }
        }
    }

    /// Sends the new content of each fault, which many clients request at once.
    fn send_new_contents(&mut self) {
        for fault in ANSWER_LOSS_STARTS.into_iter().chain([INSTANCE_LOSS_AT]) {
            let start = fault - NEW_CONTENT_BEFORE;
            if self.now >= start && self.now < start + NEW_CONTENT_TIME {
                let content = Digest::of(format!("new at {fault:?}").as_bytes());
                self.send(content, false);
            }
        }
    }

    fn run(mut self) -> Outcome {
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
                self.send(crashing(), true);
            }
            self.send_new_contents();
            // A third of all instances terminates at once, without a crashing request.
            if self.now == INSTANCE_LOSS_AT {
                (0..INSTANCES / 3).for_each(|one| self.terminate_instance(one));
            }
            self.run_instances();
            self.exchange();
            self.now = self.now + STEP;
        }
        self.outcome
    }
}

/// The worst outcome over several seeds.
fn worst(signal: Signal) -> Outcome {
    let outcomes = (1..=5).map(|seed| World::new(signal, seed).run());
    let worst = outcomes.reduce(|one, other| Outcome {
        ended: one.ended.max(other.ended),
        late_sends: one.late_sends.max(other.late_sends),
        harmless_in_quarantine: one.harmless_in_quarantine.max(other.harmless_in_quarantine),
    });
    let worst = worst.expect("at least one seed");
    println!("{signal:?}: {worst:?}");
    worst
}

#[test]
fn a_probe_detects_terminations_quickly_and_quarantines_no_harmless_requests() {
    let probe = worst(Signal::Probe);
    assert_eq!(probe.late_sends, 0);
    assert!(
        probe.ended <= MAX_ENDS + 2,
        "requests in flight terminate their instances too"
    );
    assert_eq!(probe.harmless_in_quarantine, 0);
}

#[test]
fn the_leader_notice_comes_too_late() {
    let notice = worst(Signal::LeaderNotice);
    assert!(notice.ended > worst(Signal::Probe).ended);
    assert!(notice.late_sends > 0);
}

#[test]
fn aborted_answers_alone_quarantine_harmless_requests() {
    let aborted = worst(Signal::AbortedAnswer);
    assert_eq!(aborted.late_sends, 0);
    assert!(aborted.harmless_in_quarantine > 0);
}
