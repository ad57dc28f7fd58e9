//! The number of routers by which a router divides common limits.

use courseshunt_services::FleetSize;
use courseshunt_types::{Millis, Timestamp};

const LEASE: Millis = Millis(10_000);

fn at(seconds: u64) -> Timestamp {
    Timestamp::at(seconds * 1_000)
}

/// A fleet size with one report for each second.
fn reported(counts: impl IntoIterator<Item = (u64, u32)>) -> FleetSize {
    let mut fleet = FleetSize::new(LEASE);
    for (second, routers) in counts {
        fleet.record(routers, at(second));
    }
    fleet
}

#[test]
fn a_smaller_number_divides_only_after_two_leases() {
    let number = |second| if second < 5 { 8 } else { 3 };
    let mut fleet = reported((0..=24).map(|second| (second, number(second))));
    assert_eq!(fleet.current(), Some(3));
    assert_eq!(fleet.largest_recent(at(24)), Some(8));
    fleet.record(3, at(25));
    assert_eq!(fleet.largest_recent(at(25)), Some(3));
}

#[test]
fn a_larger_number_divides_at_once() {
    let fleet = reported([(0, 3), (1, 8), (2, 5)]);
    assert_eq!(fleet.largest_recent(at(2)), Some(8));
}

#[test]
fn contact_ends_a_lease_after_the_last_report_and_begins_anew() {
    let mut fleet = reported([(0, 8), (9, 8)]);
    assert_eq!(fleet.contact(at(19)), Some(Millis(19_000)));
    assert_eq!(fleet.contact(at(20)), None);
    fleet.record(8, at(40));
    assert_eq!(fleet.contact(at(43)), Some(Millis(3_000)));
}

#[test]
fn a_router_without_a_report_has_no_contact() {
    let fleet = FleetSize::new(LEASE);
    assert_eq!(fleet.contact(at(60)), None);
    assert_eq!(fleet.largest_recent(at(60)), None);
}

#[test]
fn the_last_number_stays_while_no_leader_reports() {
    let fleet = reported([(0, 8), (1, 5)]);
    assert_eq!(fleet.largest_recent(at(100)), Some(5));
}
