//! The streams that a router relayed: what it reports of them, and for how long it uses them.

use courseshunt_services::stream_origins::ORIGIN_RETENTION;
use courseshunt_services::stream_origins::log::{MAX_STREAMS, OriginLog};
use courseshunt_services::{StreamId, StreamOrigin};
use courseshunt_types::{Millis, RunnerId, Timestamp};

/// More than any report of these tests.
const NO_LIMIT: usize = 1_000;
const START: Timestamp = Timestamp::at(1_000);

fn stream(id: &str) -> StreamId {
    StreamId::of_request(id)
}

fn instance(name: &str) -> RunnerId {
    RunnerId::from(name)
}

fn origin(id: &str, service: &str, name: &str) -> StreamOrigin {
    StreamOrigin {
        stream: stream(id),
        service: service.to_owned(),
        instance: instance(name),
    }
}

/// Reports everything that is due if the origin matters for all services.
fn take_all(log: &mut OriginLog, now: Timestamp) -> Vec<StreamOrigin> {
    log.take_unreported(NO_LIMIT, |_| true, now)
}

#[test]
fn a_stream_is_found_by_the_request_that_began_it() {
    let mut log = OriginLog::default();
    log.record(stream("one"), "chat", &instance("a"), START);
    let found = log.lookup(stream("one"), START).expect("an origin");
    assert_eq!(found.service, "chat");
    assert_eq!(found.instance, instance("a"));
    assert!(found.is_certain());
    assert_eq!(log.lookup(stream("two"), START), None);
}

#[test]
fn an_origin_expires() {
    let mut log = OriginLog::default();
    log.record(stream("one"), "chat", &instance("a"), START);
    let last = START + ORIGIN_RETENTION;
    assert!(log.lookup(stream("one"), last).is_some());
    let expired = last + Millis(1);
    assert!(log.lookup(stream("one"), expired).is_none());
    assert_eq!(take_all(&mut log, expired), Vec::new());
    assert!(log.is_empty());
}

#[test]
fn a_stream_is_reported_once_to_each_leader() {
    let mut log = OriginLog::default();
    log.record(stream("one"), "chat", &instance("a"), START);
    let reported = vec![origin("one", "chat", "a")];
    assert_eq!(take_all(&mut log, START), reported);
    assert_eq!(take_all(&mut log, START), Vec::new());
    log.mark_all_unreported();
    assert_eq!(take_all(&mut log, START), reported);
}

#[test]
fn a_stream_becomes_due_when_its_service_becomes_ambiguous() {
    let mut log = OriginLog::default();
    log.record(stream("one"), "chat", &instance("a"), START);
    log.record(stream("two"), "search", &instance("b"), START);
    let only_search = log.take_unreported(NO_LIMIT, |service| service == "search", START);
    assert_eq!(only_search, vec![origin("two", "search", "b")]);
    assert_eq!(take_all(&mut log, START), vec![origin("one", "chat", "a")]);
}

#[test]
fn a_report_is_bounded_and_the_next_one_continues() {
    let mut log = OriginLog::default();
    for id in ["one", "two", "three"] {
        log.record(stream(id), "chat", &instance("a"), START);
    }
    let first = log.take_unreported(2, |_| true, START);
    let expected = [origin("one", "chat", "a"), origin("two", "chat", "a")];
    assert_eq!(first, expected);
    let second = log.take_unreported(2, |_| true, START);
    assert_eq!(second, vec![origin("three", "chat", "a")]);
}

#[test]
fn the_oldest_stream_leaves_a_full_log() {
    let mut log = OriginLog::default();
    for number in 0..=MAX_STREAMS {
        let id = number.to_string();
        log.record(stream(&id), "chat", &instance("a"), START);
    }
    assert_eq!(log.len(), MAX_STREAMS);
    assert!(log.lookup(stream("0"), START).is_none());
    assert!(log.lookup(stream("1"), START).is_some());
    let due = log.take_unreported(usize::MAX, |_| true, START);
    assert_eq!(due.len(), MAX_STREAMS);
}

#[test]
fn a_second_stream_under_the_same_id_makes_the_origin_uncertain() {
    let mut log = OriginLog::default();
    log.record(stream("one"), "chat", &instance("a"), START);
    log.record(stream("one"), "chat", &instance("b"), START);
    let found = log.lookup(stream("one"), START).expect("an origin");
    assert_eq!(found.instance, instance("b"));
    assert!(!found.is_certain());
    // The leader judges the conflict, so it gets both.
    let both = vec![origin("one", "chat", "a"), origin("one", "chat", "b")];
    assert_eq!(take_all(&mut log, START), both);
}

#[test]
fn a_second_stream_of_the_same_instance_refreshes_the_origin() {
    let mut log = OriginLog::default();
    log.record(stream("one"), "chat", &instance("a"), START);
    let later = START + ORIGIN_RETENTION;
    log.record(stream("one"), "chat", &instance("a"), later);
    let found = log.lookup(stream("one"), later + ORIGIN_RETENTION);
    assert!(found.is_some_and(|found| found.is_certain()));
    assert_eq!(log.len(), 1);
}

#[test]
fn an_uncertain_origin_stays_uncertain() {
    let mut log = OriginLog::default();
    log.record(stream("one"), "chat", &instance("a"), START);
    log.record(stream("one"), "chat", &instance("b"), START);
    log.record(stream("one"), "chat", &instance("b"), START);
    let found = log.lookup(stream("one"), START).expect("an origin");
    assert!(!found.is_certain());
}
