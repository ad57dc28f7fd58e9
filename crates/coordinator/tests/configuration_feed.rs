//! Configuration feed: differences reach a large fleet in time, which whole documents would not.

use courseshunt_coordinator::configuration_feed::ConfigurationFeed;
use courseshunt_services::FeedMessage;
use courseshunt_wire::compression::apply_difference;
use courseshunt_wire::{Frame, Message, decode};

const ROUTERS: u32 = 291;
/// Bandwidth of the links of the leader and of a router, in bytes a second.
const LEADER_BYTES_PER_SECOND: f64 = 1e9 / 8.0;
const ROUTER_BYTES_PER_SECOND: f64 = 10e6 / 8.0;
/// Time from the acknowledgement within which routers must have a configuration.
const MAX_ROLLOUT_S: f64 = 3.0;
/// Time within which the test requires that they have it.
const ROLLOUT_OBJECTIVE_S: f64 = 1.0;
const FRAME_HEADER_BYTES: usize = 9;
const MAX_DOCUMENT_BYTES: usize = 16 * 1024 * 1024;

/// A document with `routes` routes, each with distinct names that compress badly.
fn document(routes: u32) -> Vec<u8> {
    let route = |number: u32| {
        let name = u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        format!(
            "{{\"name\":\"r-{name:x}\",\"host\":\"seba21.example\",\"prefix\":\"/{name:x}/\",\
             \"kind\":\"streaming\",\"timeout\":15000,\"objective\":5000,\"priority\":1,\
             \"service\":\"huvo11a\",\"attempts\":2,\"affinity\":true,\"resumable\":true,\
             \"pause\":300,\"note\":\"{:x}\"}},",
            name.rotate_left(17)
        )
    };
    (0..routes).map(route).collect::<String>().into_bytes()
}

/// Time until the last router has received a frame that the leader sends to each of them.
fn rollout_seconds(frame_bytes: usize) -> f64 {
    let bytes = frame_bytes as f64;
    f64::from(ROUTERS) * bytes / LEADER_BYTES_PER_SECOND + bytes / ROUTER_BYTES_PER_SECOND
}

/// The number and document that a router holds after it has applied a frame.
fn apply(frame: &Frame, held: (u64, Vec<u8>)) -> (u64, Vec<u8>) {
    let content = &frame.bytes()[FRAME_HEADER_BYTES..];
    let message = decode(content, crc32fast::hash(content)).unwrap();
    let Message::ServiceFeed(FeedMessage::Configuration {
        number,
        base,
        difference,
        ..
    }) = message
    else {
        panic!("expected a configuration, got {message:?}");
    };
    let older = match base {
        0 => Vec::new(),
        _ => {
            assert_eq!(base, held.0);
            held.1
        }
    };
    (
        number,
        apply_difference(&older, &difference, MAX_DOCUMENT_BYTES).unwrap(),
    )
}

/// The failure that differences prevent: a whole document for each router exceeds the allowed
/// time.
#[test]
fn whole_documents_exceed_the_allowed_time() {
    let bytes = document(40 + 3 * 1_600).len();
    assert!(
        rollout_seconds(bytes) > MAX_ROLLOUT_S,
        "{:.2} s",
        rollout_seconds(bytes)
    );
}

#[test]
fn consecutive_large_changes_reach_all_routers_in_time() {
    let mut feed = ConfigurationFeed::default();
    let mut held = (0, Vec::new());
    for change in 1..=6_u32 {
        let number = u64::from(change);
        let newer = document(40 + (change - 1) * 1_600);
        assert!(feed.publish(number, &newer));
        let frame = feed.frame_for(held.0).unwrap();
        let seconds = rollout_seconds(frame.bytes().len());
        assert!(
            seconds < ROLLOUT_OBJECTIVE_S,
            "change {change} takes {seconds:.2} s"
        );
        held = apply(&frame, held);
        assert_eq!(held, (number, newer));
    }
}

#[test]
fn a_router_is_sent_the_difference_or_the_whole_document() {
    let mut feed = ConfigurationFeed::default();
    let (older, newer) = (document(100), document(120));
    feed.publish(3, &older);
    feed.publish(7, &newer);
    assert!(feed.frame_for(7).is_none());
    let change = feed.frame_for(3).unwrap();
    let whole = feed.frame_for(0).unwrap();
    assert!(change.bytes().len() < whole.bytes().len());
    assert_eq!(apply(&change, (3, older)), (7, newer.clone()));
    assert_eq!(apply(&whole, (0, Vec::new())), (7, newer.clone()));
    let unknown = feed.frame_for(2).unwrap();
    assert_eq!(apply(&unknown, (2, document(90))), (7, newer));
}

#[test]
fn an_older_document_is_not_published() {
    let mut feed = ConfigurationFeed::default();
    assert!(feed.frame_for(0).is_none());
    assert!(feed.publish(7, &document(10)));
    assert!(!feed.publish(7, &document(20)));
    assert!(!feed.publish(3, &document(20)));
    assert_eq!(feed.number(), 7);
}
