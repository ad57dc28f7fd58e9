//! 3,000 instances that register at nine controllers, in virtual time: after a leader
//! was away for a moment, the load that it met must fall back by itself.
//!
//! Costs are in microseconds of a controller with 0.15 of a core.

use courseshunt_coordinator::registration_admission::{Taking, TakingView, decide};
use courseshunt_types::Millis;
use std::collections::{BTreeMap, VecDeque};

const INSTANCES: usize = 3_000;
const CONTROLLERS: usize = 9;
const LEADER: usize = 0;
const PERIOD: u64 = 1_200_000;
const CALLER_TIMEOUT: u64 = 1_000_000;
/// A batch of relayed registrations that isn't answered within this ends the relay.
const RELAY_TIMEOUT: u64 = 600_000;
const RELAY_PERIOD: u64 = 100_000;
const CONNECTION_COST: u64 = 1_500;
const REGISTRATION_COST: u64 = 500;
const RELAYED_COST: u64 = 60;
const LENGTH: u64 = 60_000_000;
/// The leader does nothing else meanwhile.
const AWAY: std::ops::Range<u64> = 10_000_000..12_500_000;

/// What a controller does that does not reach the leader.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Way {
    /// It sends instances to the leader, which tells them to stay.
    Redirect,
    /// As [`decide`] says.
    Hold,
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
    taken: u64,
    linked: bool,
    unlinked_at: u64,
    /// Moment at which a batch on its way is given up.
    batch_until: Option<u64>,
}

#[derive(Default)]
struct Outcome {
    /// New connections in each second, over all controllers.
    connections: Vec<u64>,
    failures: Vec<u64>,
}

struct World {
    way: Way,
    controllers: Vec<Controller>,
    /// Controller that each instance calls.
    at: Vec<usize>,
    events: BTreeMap<u64, Vec<Event>>,
    outcome: Outcome,
}

enum Event {
    Call { instance: usize, new: bool },
    GiveUp { instance: usize, sent: u64 },
}

impl World {
    fn new(way: Way) -> Self {
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
        let seconds = (LENGTH / 1_000_000) as usize + 1;
        Self {
            way,
            controllers: (0..CONTROLLERS).map(controller).collect(),
            at: (0..INSTANCES).map(|one| one % CONTROLLERS).collect(),
            events,
            outcome: Outcome {
                connections: vec![0; seconds],
                failures: vec![0; seconds],
            },
        }
    }

    fn later(&mut self, at: u64, event: Event) {
        self.events.entry(at).or_default().push(event);
    }

    fn play(mut self) -> Outcome {
        let mut answered = vec![0_u64; INSTANCES];
        let mut now = 0;
        while now < LENGTH {
            let due: Vec<Event> = self.events.remove(&now).into_iter().flatten().collect();
            for event in due {
                self.happen(event, now, &answered);
            }
            for number in 0..CONTROLLERS {
                self.work(number, now, &mut answered);
            }
            self.relay(now);
            // Events lie on whole steps.
            now += 100;
        }
        self.outcome
    }

    fn happen(&mut self, event: Event, now: u64, answered: &[u64]) {
        match event {
            Event::Call { instance, new } => {
                let sent = now;
                let work = Work::Call {
                    instance,
                    sent,
                    new,
                };
                self.controllers[self.at[instance]].queue.push_back(work);
                if new {
                    self.outcome.connections[(now / 1_000_000) as usize] += 1;
                }
                self.later(now + CALLER_TIMEOUT, Event::GiveUp { instance, sent });
            }
            Event::GiveUp { instance, sent } if answered[instance] < sent => {
                self.outcome.failures[(now / 1_000_000) as usize] += 1;
                self.move_on(instance, now);
            }
            Event::GiveUp { .. } => {}
        }
    }

    fn move_on(&mut self, instance: usize, now: u64) {
        self.at[instance] = (self.at[instance] + 1) % CONTROLLERS;
        self.later(
            now + 100,
            Event::Call {
                instance,
                new: true,
            },
        );
    }

    fn work(&mut self, number: usize, now: u64, answered: &mut [u64]) {
        if number == LEADER && AWAY.contains(&now) {
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
                        other.batch_until = None;
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
        // The caller has moved on: the work was done for nothing.
        if now >= sent + CALLER_TIMEOUT {
            return;
        }
        let controller = &mut self.controllers[number];
        let away = Millis(now.saturating_sub(controller.unlinked_at) / 1_000);
        let view = TakingView {
            leads: number == LEADER,
            hears_leader: true,
            out_of_reach_for: (!controller.linked).then_some(away),
        };
        let takes = match self.way {
            Way::Hold => decide(view) == Taking::Take,
            Way::Redirect => number == LEADER || controller.linked,
        };
        answered[instance] = now.max(sent);
        if takes {
            controller.taken += 1;
            let next = (sent + PERIOD).max(now + 100);
            let next = next.next_multiple_of(100);
            self.later(
                next,
                Event::Call {
                    instance,
                    new: false,
                },
            );
            return;
        }
        match self.way {
            Way::Hold => self.move_on(instance, now),
            Way::Redirect => {
                self.at[instance] = LEADER;
                self.later(
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
            if controller.batch_until.is_some_and(|until| now >= until) {
                controller.batch_until = None;
                if controller.linked {
                    controller.unlinked_at = now;
                }
                controller.linked = false;
            }
            let due = (now + number as u64 * 7_000).is_multiple_of(RELAY_PERIOD);
            if !due || controller.batch_until.is_some() {
                continue;
            }
            controller.batch_until = Some(now + RELAY_TIMEOUT);
            let entries = std::mem::take(&mut controller.taken);
            let batch = Work::Batch {
                from: number,
                entries,
                sent: now,
            };
            self.controllers[LEADER].queue.push_back(batch);
        }
    }
}

fn play(way: Way) -> Outcome {
    let outcome = World::new(way).play();
    println!(
        "{way:?}: new connections in each second {:?}",
        outcome.connections
    );
    println!(
        "{way:?}: calls given up in each second {:?}",
        outcome.failures
    );
    outcome
}

fn at_the_end(counts: &[u64]) -> u64 {
    let last = counts.len() - 1;
    counts[last - 10..last].iter().sum::<u64>() / 10
}

#[test]
fn the_load_falls_back_after_a_leader_was_away() {
    let held = play(Way::Hold);
    assert_eq!(at_the_end(&held.failures), 0);
    assert!(at_the_end(&held.connections) < 30);
    let soon_after = AWAY.end as usize / 1_000_000 + 2;
    let later = held.connections[soon_after..].iter().max();
    assert_eq!(later, Some(&0), "two seconds after the leader is back");
}

/// The state that sending instances to the leader leads to, which holds itself up.
#[test]
fn sending_instances_to_the_leader_keeps_it_overloaded() {
    let sent = play(Way::Redirect);
    let failures = at_the_end(&sent.failures);
    let connections = at_the_end(&sent.connections);
    assert!(
        failures > 300 && connections > 300,
        "{failures}, {connections}"
    );
}

#[test]
fn a_controller_takes_what_it_can_pass_on_soon() {
    let cases = [
        (true, false, Some(60_000), Taking::Take),
        (false, true, None, Taking::Take),
        (false, true, Some(2_000), Taking::Take),
        (false, true, Some(2_001), Taking::TryAnother),
        // Cut off from the others: nobody would know of the instance.
        (false, false, None, Taking::TryAnother),
        (false, false, Some(10), Taking::TryAnother),
    ];
    for (leads, hears_leader, away, wanted) in cases {
        let view = TakingView {
            leads,
            hears_leader,
            out_of_reach_for: away.map(Millis),
        };
        assert_eq!(decide(view), wanted, "{view:?}");
    }
}
