//! A leader is lost, and all routers of a fleet look for their feed at once.
//!
//! Load pattern: each router dials and gives up after some time (`DialLimit`); a controller
//! takes those at its door one after the other, also those who have given up meanwhile,
//! which it finds out only after the work. Where all come to the next leader, the queue at
//! its door is longer than anybody waits, and stays so: the state holds itself up. Where
//! every controller feeds routers, each finds a few at its door.

use courseshunt_gateway::directory::{Directory, KnownMember};
use courseshunt_gateway::feed_backoff::FeedBackoff;
use courseshunt_types::Zone;
use courseshunt_wire::DialLimit;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// What taking in one router costs a controller: a handshake and its first messages, on a
/// third of a core that also keeps the fleet.
const TAKING_IN_MS: f64 = 1.5;
/// Tries that wait at a door at the most, as the system has it.
const BACKLOG: usize = 4_096;
const LONGEST_DIAL: Duration = Duration::from_millis(960);
/// Pause of a router before the next controller.
const PAUSE_MS: u64 = 30;
const CONTROLLERS: u16 = 15;
const PLAYED_MS: u64 = 20_000;

/// A try at a controller's door.
struct Try {
    router: usize,
    given_up_at: u64,
}

/// Whom routers come to.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    /// The next leader, as it was before.
    Leader,
    /// Any controller but the lost one.
    Any,
}

struct Router {
    directory: Directory,
    tried: Vec<SocketAddr>,
    limit: DialLimit,
    pace: FeedBackoff,
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

impl Router {
    fn new(number: usize, members: &[KnownMember]) -> Self {
        let mut directory = Directory::of(&format!("router-{number}"), Zone::from("z"));
        directory.set_members(members.to_vec());
        Self {
            directory,
            tried: Vec::new(),
            limit: DialLimit::growing_to(LONGEST_DIAL),
            pace: FeedBackoff::default(),
        }
    }

    /// The controller to dial next.
    fn next(&mut self, way: Way) -> SocketAddr {
        if way == Way::Leader {
            return address(1);
        }
        if self.directory.next(&self.tried).is_none() {
            self.tried.clear();
        }
        let next = self.directory.next(&self.tried).expect("members");
        self.tried.push(next);
        next
    }
}

/// Plays the return; how many routers are fed after each second.
fn play(way: Way, routers: usize) -> Vec<usize> {
    let members = (1..CONTROLLERS).map(|number| KnownMember {
        address: address(number),
        zone: None,
    });
    let members: Vec<KnownMember> = members.collect();
    let mut all: Vec<Router> = (0..routers).map(|one| Router::new(one, &members)).collect();
    let mut doors: BTreeMap<SocketAddr, VecDeque<Try>> = BTreeMap::new();
    let mut free_at: BTreeMap<SocketAddr, f64> = BTreeMap::new();
    // Moments at which routers dial; all lose their feed within 50 ms.
    let dials = (0..routers).map(|router| ((router % 50) as u64, router));
    let mut dials: BTreeSet<(u64, usize)> = dials.collect();
    let mut fed = vec![false; routers];
    let mut in_second = Vec::new();
    for now in 0..PLAYED_MS {
        while let Some((at, router)) = dials.first().copied().filter(|(at, _)| *at <= now) {
            dials.remove(&(at, router));
            if fed[router] {
                continue;
            }
            let one = &mut all[router];
            let limit = u64::try_from(one.limit.present().as_millis()).expect("short");
            let door = doors.entry(one.next(way)).or_default();
            if door.len() < BACKLOG {
                let given_up_at = now + limit;
                door.push_back(Try {
                    router,
                    given_up_at,
                });
            }
            // Where it is not fed by then, it gives up and dials again.
            one.limit.timed_out();
            let pause = u64::try_from(one.pace.unreached().as_millis()).expect("short");
            dials.insert((now + limit + pause.max(PAUSE_MS), router));
        }
        for (controller, door) in &mut doors {
            let free = free_at.entry(*controller).or_default();
            *free = free.max(now as f64);
            while *free < (now + 1) as f64
                && let Some(one) = door.pop_front()
            {
                *free += TAKING_IN_MS;
                if *free <= one.given_up_at as f64 {
                    fed[one.router] = true;
                }
            }
        }
        if (now + 1).is_multiple_of(1_000) {
            in_second.push(fed.iter().filter(|fed| **fed).count());
        }
    }
    in_second
}

#[test]
fn where_all_come_to_the_leader_they_keep_each_other_out() {
    let fed = play(Way::Leader, 985);
    let last = *fed.last().expect("seconds");
    assert!(last < 985 / 2, "the bad state holds itself up: {fed:?}");
    // A third of them find their way: the state is one of size, not of the rules.
    let fed = play(Way::Leader, 300);
    assert_eq!(fed.last(), Some(&300), "{fed:?}");
}

#[test]
fn where_any_controller_feeds_them_all_are_back_within_a_second() {
    let fed = play(Way::Any, 985);
    assert_eq!(fed[0], 985, "{fed:?}");
    let fed = play(Way::Any, 2 * 985);
    assert_eq!(fed[0], 2 * 985, "at twice the size: {fed:?}");
}
