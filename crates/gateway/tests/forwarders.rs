//! Which forwarder a router uses, and when it reports to the leader.

use courseshunt_gateway::forwarding::forwarders::{Avoided, ForwarderList, Offer};
use courseshunt_services::Forwarder;
use courseshunt_types::{Millis, RouterId, Timestamp, Zone};
use std::net::SocketAddr;
use std::sync::Arc;

const SERVICE: &str = "llm";
const OFFER: Offer = Offer {
    available: true,
    has_lost_paths: false,
};

fn at(millis: u64) -> Timestamp {
    Timestamp::default() + Millis(millis)
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn forwarder(number: u16, zone: &str) -> Forwarder {
    Forwarder {
        router: RouterId::from(format!("router-{number}").as_str()),
        address: address(number).to_string(),
        zone: Zone::from(zone),
    }
}

/// A router in zone `a` that knows two forwarders of other zones and one of its own.
fn list() -> Arc<ForwarderList> {
    let list = Arc::new(ForwarderList::default());
    let known = [forwarder(1, "b"), forwarder(2, "a"), forwarder(3, "c")];
    list.set(&known, &Zone::from("a"));
    list
}

#[test]
fn requests_go_through_the_own_zone_first_and_spread_by_those_in_flight() {
    let list = list();
    assert_eq!(list.choose(SERVICE, &[], at(0)), Some(address(2)));
    let first = list.begin(address(2));
    assert_eq!(first.address(), address(2));
    let second = list.begin(address(1));
    assert_eq!(list.choose(SERVICE, &[], at(0)), Some(address(3)));
    drop(second);
    assert_eq!(list.choose(SERVICE, &[], at(0)), Some(address(1)));
    drop(first);
    assert_eq!(list.choose(SERVICE, &[], at(0)), Some(address(2)));
}

#[test]
fn a_forwarder_that_was_tried_or_failed_is_left_out() {
    let list = list();
    assert_eq!(list.choose(SERVICE, &[address(2)], at(0)), Some(address(1)));
    list.avoid(address(2), Avoided::All, at(0));
    list.avoid(address(1), Avoided::All, at(0));
    assert_eq!(list.choose(SERVICE, &[], at(999)), Some(address(3)));
    assert_eq!(list.choose(SERVICE, &[address(3)], at(999)), None);
    assert_eq!(list.choose(SERVICE, &[], at(1_000)), Some(address(2)));
}

/// Where each router had lost another service, each was avoided for all of them.
#[test]
fn a_forwarder_that_has_lost_one_service_forwards_for_another() {
    let list = list();
    let lost = Avoided::Service("app".to_owned());
    list.avoid(address(2), lost, at(0));
    assert_eq!(list.choose("app", &[], at(0)), Some(address(1)));
    assert_eq!(list.choose(SERVICE, &[], at(0)), Some(address(2)));
}

#[test]
fn a_forwarder_that_the_leader_names_again_stays_avoided() {
    let list = list();
    list.avoid(address(2), Avoided::All, at(0));
    list.set(&[forwarder(2, "a")], &Zone::from("a"));
    assert_eq!(list.choose(SERVICE, &[], at(500)), None);
}

#[test]
fn a_malformed_address_is_left_out() {
    let list = ForwarderList::default();
    let mut malformed = forwarder(1, "a");
    malformed.address = "nowhere".to_owned();
    list.set(&[malformed], &Zone::from("a"));
    assert_eq!(list.choose(SERVICE, &[], at(0)), None);
}

#[test]
fn a_report_is_due_after_a_change_or_its_interval() {
    let list = list();
    assert!(list.is_report_due(OFFER, false, at(0)), "none was sent");
    list.record_report(OFFER, at(0));
    list.set(&[forwarder(1, "b")], &Zone::from("a"));
    assert!(!list.is_report_due(OFFER, false, at(14_999)));
    assert!(list.is_report_due(OFFER, false, at(15_000)));
    assert!(list.is_report_due(OFFER, true, at(500)), "one is needed");
    let changed = Offer {
        available: false,
        ..OFFER
    };
    assert!(list.is_report_due(changed, false, at(1)));
}

#[test]
fn a_report_is_soon_due_again_without_an_answer_or_with_an_empty_one() {
    let list = list();
    list.record_report(OFFER, at(0));
    assert!(!list.is_report_due(OFFER, false, at(499)));
    assert!(list.is_report_due(OFFER, false, at(500)), "no answer");
    list.set(&[], &Zone::from("a"));
    assert!(list.is_report_due(OFFER, false, at(500)), "none is known");
    list.start_leader_feed();
    assert!(list.is_report_due(OFFER, false, at(1)), "a new leader");
}

#[test]
fn only_a_forwarder_that_was_not_known_is_new() {
    let list = ForwarderList::default();
    let zone = Zone::from("a");
    assert!(!list.set(&[], &zone));
    assert!(list.set(&[forwarder(1, "b")], &zone));
    assert!(!list.set(&[forwarder(1, "b")], &zone));
    assert!(list.set(&[forwarder(1, "b"), forwarder(2, "b")], &zone));
    assert!(!list.set(&[forwarder(2, "b")], &zone));
    assert!(list.set(&[forwarder(3, "b")], &zone));
    assert!(!list.set(&[], &zone));
    assert!(list.set(&[forwarder(1, "b")], &zone));
}
