//! The leader is lost, and all routers of a fleet look for a feed at the same time.
//!
//! Load pattern: each router dials with a timeout (`DialLimit`). A controller accepts
//! connections one after the other, including those whose routers have already given up, which
//! it detects only after the work. If all routers connect to the new leader, its backlog stays
//! longer than any timeout, and the overload sustains itself. If every controller sends feeds,
//! each has a short backlog.

use courseshunt_gateway::directory::{Directory, KnownMember};
use courseshunt_gateway::feed_backoff::FeedBackoff;
use courseshunt_types::Zone;
use courseshunt_wire::DialLimit;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Time in which a controller accepts one router: a handshake and the first messages, on a
/// third of a core that also serves the fleet.
const ACCEPT_COST_MS: f64 = 1.5;
/// Maximum length of the listen backlog.
const BACKLOG: usize = 4_096;
const MAX_DIAL_TIMEOUT: Duration = Duration::from_millis(960);
/// Pause of a router before it dials the next controller.
const PAUSE_MS: u64 = 30;
const CONTROLLERS: u16 = 15;
const SIMULATED_MS: u64 = 20_000;

/// A connection in the backlog of a controller.
struct QueuedConnection {
    router: usize,
    given_up_at: u64,
}

/// Which controllers routers connect to.
#[derive(Clone, Copy, PartialEq)]
enum Target {
    /// Only the new leader, as before every controller relayed the feed.
    Leader,
    /// Any controller except for the lost one.
    Any,
}

struct Router {
    directory: Directory,
    tried: Vec<SocketAddr>,
    limit: DialLimit,
    backoff: FeedBackoff,
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
            limit: DialLimit::growing_to(MAX_DIAL_TIMEOUT),
            backoff: FeedBackoff::default(),
        }
    }

    /// The controller to dial next.
    fn next(&mut self, target: Target) -> SocketAddr {
        if target == Target::Leader {
            return address(1);
        }
        if self.directory.next(&self.tried).is_none() {
            self.tried.clear();
        }
        let next = self.directory.next(&self.tried).expect("a candidate");
        self.tried.push(next);
        next
    }
}

/// Simulates the reconnect; returns the number of routers with a feed after each second.
fn simulate(target: Target, routers: usize) -> Vec<usize> {
    let members = (1..CONTROLLERS).map(|number| KnownMember {
        address: address(number),
        zone: None,
    });
    let members: Vec<KnownMember> = members.collect();
    let mut all: Vec<Router> = (0..routers).map(|one| Router::new(one, &members)).collect();
    let mut backlogs: BTreeMap<SocketAddr, VecDeque<QueuedConnection>> = BTreeMap::new();
    let mut idle_at: BTreeMap<SocketAddr, f64> = BTreeMap::new();
    // Times at which routers dial; all lose their feed within 50 ms.
    let dials = (0..routers).map(|router| ((router % 50) as u64, router));
    let mut dials: BTreeSet<(u64, usize)> = dials.collect();
    let mut has_feed = vec![false; routers];
    let mut per_second = Vec::new();
    for now in 0..SIMULATED_MS {
        while let Some((at, router)) = dials.first().copied().filter(|(at, _)| *at <= now) {
            dials.remove(&(at, router));
            if has_feed[router] {
                continue;
            }
            let one = &mut all[router];
            let limit = u64::try_from(one.limit.present().as_millis()).expect("a short time");
            let backlog = backlogs.entry(one.next(target)).or_default();
            if backlog.len() < BACKLOG {
                let given_up_at = now + limit;
                backlog.push_back(QueuedConnection {
                    router,
                    given_up_at,
                });
            }
            // A router that has no feed by then gives up and dials again.
            one.limit.timed_out();
            let pause =
                u64::try_from(one.backoff.after_unreachable().as_millis()).expect("a short time");
            dials.insert((now + limit + pause.max(PAUSE_MS), router));
        }
        for (controller, backlog) in &mut backlogs {
            let idle = idle_at.entry(*controller).or_default();
            *idle = idle.max(now as f64);
            while *idle < (now + 1) as f64
                && let Some(one) = backlog.pop_front()
            {
                *idle += ACCEPT_COST_MS;
                if *idle <= one.given_up_at as f64 {
                    has_feed[one.router] = true;
                }
            }
        }
        if (now + 1).is_multiple_of(1_000) {
            per_second.push(has_feed.iter().filter(|has_feed| **has_feed).count());
        }
    }
    per_second
}

#[test]
fn overload_sustains_itself_if_all_routers_connect_to_the_leader() {
    let routers_with_feed = simulate(Target::Leader, 985);
    let last = *routers_with_feed.last().expect("seconds");
    assert!(
        last < 985 / 2,
        "the overload sustains itself: {routers_with_feed:?}"
    );
    // With a third of the routers, all connect: the overload depends on the fleet's size.
    let routers_with_feed = simulate(Target::Leader, 300);
    assert_eq!(
        routers_with_feed.last(),
        Some(&300),
        "{routers_with_feed:?}"
    );
}

#[test]
fn all_routers_reconnect_within_a_second_if_any_controller_sends_the_feed() {
    let routers_with_feed = simulate(Target::Any, 985);
    assert_eq!(routers_with_feed[0], 985, "{routers_with_feed:?}");
    let routers_with_feed = simulate(Target::Any, 2 * 985);
    assert_eq!(
        routers_with_feed[0],
        2 * 985,
        "with twice the routers: {routers_with_feed:?}"
    );
}
