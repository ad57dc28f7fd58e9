//! The leader's registry of routers: routers move between controllers, whose messages about them
//! arrive in any order, while a configuration is rolled out.

use courseshunt_coordinator::router_registry::{FeedPath, Rollout, RouterRegistry};
use courseshunt_types::{Millis, Timestamp};

const ROUTER: &str = "router-1";

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::at(milliseconds)
}

#[test]
fn the_end_of_a_replaced_connection_has_no_effect() {
    let mut registry = RouterRegistry::default();
    registry.subscribe(ROUTER, 1, FeedPath::Relayed(10), 0);
    registry.subscribe(ROUTER, 2, FeedPath::Relayed(20), 0);
    assert!(!registry.disconnect(ROUTER, 1));
    assert!(registry.disconnect_relay(10).is_empty());
    assert!(registry.is_current(ROUTER, 2));
    assert!(
        !registry.is_current(ROUTER, 1),
        "late reports of the replaced connection are dropped"
    );
    assert_eq!(registry.disconnect_relay(20), [ROUTER]);
    assert_eq!(registry.count(), 0);
}

#[test]
fn a_reconnected_controller_subscribes_its_routers_again() {
    let mut registry = RouterRegistry::default();
    registry.subscribe(ROUTER, 1, FeedPath::Relayed(10), 0);
    registry.subscribe(ROUTER, 1, FeedPath::Relayed(11), 0);
    assert!(
        registry.disconnect_relay(10).is_empty(),
        "it subscribes by the new connection"
    );
    assert!(registry.is_current(ROUTER, 1));
}

#[test]
fn a_rollout_ends_when_no_router_is_stale() {
    let mut registry = RouterRegistry::default();
    for number in 0..1_000 {
        registry.subscribe(&format!("router-{number}"), number, FeedPath::Relayed(1), 4);
    }
    registry.begin_rollout(5, at(100));
    for number in 0..999 {
        assert_eq!(
            registry.confirm(&format!("router-{number}"), 5, at(150)),
            None
        );
    }
    // The last stale router disconnects, and another one with an older configuration subscribes.
    assert!(registry.disconnect("router-999", 999));
    registry.subscribe("late", 7, FeedPath::Direct, 4);
    assert_eq!(registry.confirm("router-0", 5, at(200)), None);
    let rollout = Rollout {
        number: 5,
        routers: 1_000,
        after: Millis(200),
    };
    assert_eq!(registry.confirm("late", 5, at(300)), Some(rollout));
    assert_eq!(
        registry.confirm("late", 5, at(400)),
        None,
        "the rollout is returned once"
    );
}

#[test]
fn a_reconnected_router_is_counted_once() {
    let mut registry = RouterRegistry::default();
    registry.subscribe(ROUTER, 1, FeedPath::Direct, 4);
    registry.begin_rollout(5, at(0));
    registry.subscribe(ROUTER, 2, FeedPath::Direct, 4);
    registry.subscribe(ROUTER, 3, FeedPath::Direct, 4);
    assert!(registry.confirm(ROUTER, 5, at(10)).is_some());
}
