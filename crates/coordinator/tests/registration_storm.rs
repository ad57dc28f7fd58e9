//! Simulates 3,000 instances that register at nine controllers, in virtual time. After the leader
//! was unresponsive for a moment, its load must return to normal without intervention. It did not
//! when controllers redirected instances to the leader: the new connections of all instances kept
//! it overloaded.
//!
//! Costs are in microseconds of a controller with 0.15 of a core.

use courseshunt_coordinator::registration_admission::{
    Admission, AdmissionView, RelayObstacle, decide,
};
use courseshunt_types::Millis;
use std::collections::{BTreeMap, VecDeque};

const INSTANCES: usize = 3_000;
const CONTROLLERS: usize = 9;
const LEADER: usize = 0;
const PERIOD: u64 = 1_200_000;
const CALLER_TIMEOUT: u64 = 1_000_000;
/// A batch of relayed registrations without a reply within this time ends the link to the leader.
const RELAY_TIMEOUT: u64 = 600_000;
const RELAY_PERIOD: u64 = 100_000;
const CONNECTION_COST: u64 = 1_500;
const REGISTRATION_COST: u64 = 500;
const RELAYED_COST: u64 = 60;
const SIMULATED_TIME: u64 = 60_000_000;
/// Time in which the leader is unresponsive.
const LEADER_UNRESPONSIVE: std::ops::Range<u64> = 10_000_000..12_500_000;

/// What a controller without a link to the leader does with registrations.
#[derive(Clone, Copy, PartialEq, Debug)]
enum RelayPolicy {
    /// It redirects instances to the leader, which accepts their registrations.
    Redirect,
    /// It accepts or rejects them by [`decide`].
    Decide,
}

#[derive(Clone, Copy)]
enum Work {
    Call {
        instance: usize,
        sent: u64,
        new: bool,
    },
    Batch {
        from: usize,
        entries: u64,
        sent: u64,
    },
}

#[derive(Default)]
struct Controller {
    queue: VecDeque<Work>,
    free_at: u64,
    pending_registrations: u64,
    linked: bool,
    unlinked_at: u64,
    /// Deadline of the batch in flight.
    batch_deadline: Option<u64>,
}

#[derive(Default)]
struct Outcome {
    /// New connections in each second, over all controllers.
    connections: Vec<u64>,
    /// Calls that timed out in each second.
    failures: Vec<u64>,
}

struct Simulation {
    policy: RelayPolicy,
    controllers: Vec<Controller>,
    /// The controller that each instance calls.
    called_controller: Vec<usize>,
    events: BTreeMap<u64, Vec<Event>>,
    outcome: Outcome,
}

enum Event {
    Call { instance: usize, new: bool },
    TimeOut { instance: usize, sent: u64 },
}

impl Simulation {
    fn new(policy: RelayPolicy) -> Self {
        let mut events: BTreeMap<u64, Vec<Event>> = BTreeMap::new();
        for instance in 0..INSTANCES {
            let first = instance as u64 * PERIOD / INSTANCES as u64;
            let event = Event::Call {
                instance,
                new: true,
            };
            events.entry(first).or_default().push(event);
        }
        let controller = |_| Controller {
            linked: true,
            ..Controller::default()
        };
        let seconds = (SIMULATED_TIME / 1_000_000) as usize + 1;
        Self {
            policy,
            controllers: (0..CONTROLLERS).map(controller).collect(),
            called_controller: (0..INSTANCES).map(|one| one % CONTROLLERS).collect(),
            events,
            outcome: Outcome {
                connections: vec![0; seconds],
                failures: vec![0; seconds],
            },
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.events.entry(at).or_default().push(event);
    }

    fn run(mut self) -> Outcome {
        let mut answered = vec![0_u64; INSTANCES];
        let mut now = 0;
        while now < SIMULATED_TIME {
            let due: Vec<Event> = self.events.remove(&now).into_iter().flatten().collect();
            for event in due {
                self.handle_event(event, now, &answered);
            }
            for number in 0..CONTROLLERS {
                self.process(number, now, &mut answered);
            }
            self.relay(now);
            // All events are at multiples of the step.
            now += 100;
        }
        self.outcome
    }

    fn handle_event(&mut self, event: Event, now: u64, answered: &[u64]) {
        match event {
            Event::Call { instance, new } => {
                let sent = now;
                let work = Work::Call {
                    instance,
                    sent,
                    new,
                };
                self.controllers[self.called_controller[instance]]
                    .queue
                    .push_back(work);
                if new {
                    self.outcome.connections[(now / 1_000_000) as usize] += 1;
                }
                self.schedule(now + CALLER_TIMEOUT, Event::TimeOut { instance, sent });
            }
            Event::TimeOut { instance, sent } if answered[instance] < sent => {
                self.outcome.failures[(now / 1_000_000) as usize] += 1;
                self.move_on(instance, now);
            }
            Event::TimeOut { .. } => {}
        }
    }

    fn move_on(&mut self, instance: usize, now: u64) {
        self.called_controller[instance] = (self.called_controller[instance] + 1) % CONTROLLERS;
        self.schedule(
            now + 100,
            Event::Call {
                instance,
                new: true,
            },
        );
    }

    fn process(&mut self, number: usize, now: u64, answered: &mut [u64]) {
        if number == LEADER && LEADER_UNRESPONSIVE.contains(&now) {
            return;
        }
        while self.controllers[number].free_at <= now {
            let Some(work) = self.controllers[number].queue.pop_front() else {
                return;
            };
            let begin = self.controllers[number].free_at.max(now);
            let cost = match work {
                Work::Call { new, .. } if new => CONNECTION_COST + REGISTRATION_COST,
                Work::Call { .. } => REGISTRATION_COST,
                Work::Batch { entries, .. } => REGISTRATION_COST + entries * RELAYED_COST,
            };
            self.controllers[number].free_at = begin + cost;
            match work {
                Work::Call { instance, sent, .. } => {
                    self.answer(number, instance, sent, now, answered);
                }
                Work::Batch { from, sent, .. } => {
                    let other = &mut self.controllers[from];
                    if now < sent + RELAY_TIMEOUT {
                        other.batch_deadline = None;
                        other.linked = true;
                    }
                }
            }
        }
    }

    fn answer(
        &mut self,
        number: usize,
        instance: usize,
        sent: u64,
        now: u64,
        answered: &mut [u64],
    ) {
        // The caller has timed out; the work was wasted.
        if now >= sent + CALLER_TIMEOUT {
            return;
        }
        let controller = &mut self.controllers[number];
        let elapsed = Millis(now.saturating_sub(controller.unlinked_at) / 1_000);
        let view = AdmissionView {
            leads: number == LEADER,
            has_leader: true,
            leader_unreachable_for: (!controller.linked).then_some(elapsed),
        };
        let is_accepted = match self.policy {
            RelayPolicy::Decide => decide(view) == Admission::Accept,
            RelayPolicy::Redirect => number == LEADER || controller.linked,
        };
        answered[instance] = now.max(sent);
        if is_accepted {
            controller.pending_registrations += 1;
            let next = (sent + PERIOD).max(now + 100);
            let next = next.next_multiple_of(100);
            self.schedule(
                next,
                Event::Call {
                    instance,
                    new: false,
                },
            );
            return;
        }
        match self.policy {
            RelayPolicy::Decide => self.move_on(instance, now),
            RelayPolicy::Redirect => {
                self.called_controller[instance] = LEADER;
                self.schedule(
                    now + 100,
                    Event::Call {
                        instance,
                        new: true,
                    },
                );
            }
        }
    }

    fn relay(&mut self, now: u64) {
        for number in 1..CONTROLLERS {
            let controller = &mut self.controllers[number];
            if controller.batch_deadline.is_some_and(|until| now >= until) {
                controller.batch_deadline = None;
                if controller.linked {
                    controller.unlinked_at = now;
                }
                controller.linked = false;
            }
            let due = (now + number as u64 * 7_000).is_multiple_of(RELAY_PERIOD);
            if !due || controller.batch_deadline.is_some() {
                continue;
            }
            controller.batch_deadline = Some(now + RELAY_TIMEOUT);
            let entries = std::mem::take(&mut controller.pending_registrations);
            let batch = Work::Batch {
                from: number,
                entries,
                sent: now,
            };
            self.controllers[LEADER].queue.push_back(batch);
        }
    }
}

fn run(policy: RelayPolicy) -> Outcome {
    let outcome = Simulation::new(policy).run();
    println!(
        "{policy:?}: new connections in each second {:?}",
        outcome.connections
    );
    println!(
        "{policy:?}: calls timed out in each second {:?}",
        outcome.failures
    );
    outcome
}

fn mean_of_last_seconds(counts: &[u64]) -> u64 {
    let last = counts.len() - 1;
    counts[last - 10..last].iter().sum::<u64>() / 10
}

#[test]
fn load_returns_to_normal_after_the_leader_was_unresponsive() {
    let decided = run(RelayPolicy::Decide);
    assert_eq!(mean_of_last_seconds(&decided.failures), 0);
    assert!(mean_of_last_seconds(&decided.connections) < 30);
    let soon_after = LEADER_UNRESPONSIVE.end as usize / 1_000_000 + 2;
    let later = decided.connections[soon_after..].iter().max();
    assert_eq!(
        later,
        Some(&0),
        "new connections later than two seconds after the leader answers again"
    );
}

/// The stable overload that redirecting instances to the leader causes.
#[test]
fn redirecting_instances_to_the_leader_keeps_it_overloaded() {
    let redirected = run(RelayPolicy::Redirect);
    let failures = mean_of_last_seconds(&redirected.failures);
    let connections = mean_of_last_seconds(&redirected.connections);
    assert!(
        failures > 300 && connections > 300,
        "{failures}, {connections}"
    );
}

#[test]
fn a_controller_accepts_registrations_that_it_can_relay_soon() {
    let no_leader = Admission::TryAnother(RelayObstacle::NoLeader);
    let no_link = Admission::TryAnother(RelayObstacle::NoLink(Millis(2_001)));
    let cases = [
        (true, false, Some(60_000), Admission::Accept),
        (false, true, None, Admission::Accept),
        (false, true, Some(2_000), Admission::Accept),
        (false, true, Some(2_001), no_link),
        // Cut off from the other controllers: the registration would reach none of them.
        (false, false, None, no_leader),
        (false, false, Some(10), no_leader),
    ];
    for (leads, has_leader, elapsed, expected) in cases {
        let view = AdmissionView {
            leads,
            has_leader,
            leader_unreachable_for: elapsed.map(Millis),
        };
        assert_eq!(decide(view), expected, "{view:?}");
    }
}
