//! The leader's book of routers: a router moves between controllers, whose messages about
//! it arrive in any order, and a configuration spreads meanwhile.

use courseshunt_coordinator::router_registry::{RouterBook, Spread, Way};
use courseshunt_types::{Millis, Timestamp};

const ROUTER: &str = "router-1";

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::at(milliseconds)
}

#[test]
fn the_loss_of_a_connection_that_was_replaced_changes_nothing() {
    let mut book = RouterBook::default();
    book.follows(ROUTER, 1, Way::Through(10), 0);
    book.follows(ROUTER, 2, Way::Through(20), 0);
    assert!(!book.lost(ROUTER, 1));
    assert!(book.relay_lost(10).is_empty());
    assert!(book.is_present(ROUTER, 2));
    assert!(!book.is_present(ROUTER, 1), "what it says late is left out");
    assert_eq!(book.relay_lost(20), [ROUTER]);
    assert_eq!(book.count(), 0);
}

#[test]
fn a_controller_that_comes_back_tells_of_its_routers_again() {
    let mut book = RouterBook::default();
    book.follows(ROUTER, 1, Way::Through(10), 0);
    book.follows(ROUTER, 1, Way::Through(11), 0);
    assert!(
        book.relay_lost(10).is_empty(),
        "it follows by the new connection"
    );
    assert!(book.is_present(ROUTER, 1));
}

#[test]
fn a_configuration_is_everywhere_once_no_router_lacks_it() {
    let mut book = RouterBook::default();
    for number in 0..1_000 {
        book.follows(&format!("router-{number}"), number, Way::Through(1), 4);
    }
    book.spread(5, at(100));
    for number in 0..999 {
        assert_eq!(book.confirm(&format!("router-{number}"), 5, at(150)), None);
    }
    // The last one is lost, and another one comes that has an older one.
    assert!(book.lost("router-999", 999));
    book.follows("late", 7, Way::Here, 4);
    assert_eq!(book.confirm("router-0", 5, at(200)), None);
    let spread = Spread {
        number: 5,
        routers: 1_000,
        after: Millis(200),
    };
    assert_eq!(book.confirm("late", 5, at(300)), Some(spread));
    assert_eq!(book.confirm("late", 5, at(400)), None, "told once");
}

#[test]
fn a_router_that_comes_again_is_counted_once() {
    let mut book = RouterBook::default();
    book.follows(ROUTER, 1, Way::Here, 4);
    book.spread(5, at(0));
    book.follows(ROUTER, 2, Way::Here, 4);
    book.follows(ROUTER, 3, Way::Here, 4);
    assert!(book.confirm(ROUTER, 5, at(10)).is_some());
}
