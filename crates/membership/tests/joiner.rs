//! Schedule of the join requests of a process.

use courseshunt_membership::{JoinReply, Joiner, JoinerView};
use courseshunt_types::Timestamp;
use std::net::SocketAddr;

const OWN: u16 = 1;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn due(joiner: &mut Joiner, known: &[u16], is_member: bool, now: u64) -> Vec<u16> {
    let known: Vec<SocketAddr> = known.iter().map(|port| address(*port)).collect();
    let view = JoinerView {
        own_address: address(OWN),
        leader_known: false,
        is_member,
        known_addresses: &known,
    };
    let due = joiner.due(view, Timestamp::at(now));
    due.iter().map(SocketAddr::port).collect()
}

fn follower(leader: Option<u16>, members: &[u16]) -> JoinReply {
    JoinReply {
        leads: false,
        leader: leader.map(address),
        members: members.iter().map(|port| address(*port)).collect(),
    }
}

#[test]
fn reported_leader_is_contacted_immediately_and_first() {
    let mut joiner = Joiner::default();
    assert_eq!(due(&mut joiner, &[OWN, 2], false, 0), [2]);
    joiner.reply_received(
        address(2),
        &follower(Some(9), &[OWN, 2, 3, 9]),
        Timestamp(5),
    );
    assert_eq!(due(&mut joiner, &[OWN, 2], false, 6), [9, 3]);
}

#[test]
fn only_the_accepting_leader_is_contacted_again() {
    let mut joiner = Joiner::default();
    due(&mut joiner, &[2, 3], false, 0);
    let leads = JoinReply {
        leads: true,
        ..follower(None, &[2, 3, 4])
    };
    joiner.reply_received(address(3), &leads, Timestamp(5));
    joiner.reply_received(address(2), &follower(None, &[]), Timestamp(5));
    assert_eq!(due(&mut joiner, &[2, 3], false, 10), [0_u16; 0]);
    assert_eq!(due(&mut joiner, &[2, 3], false, 310), [3]);
}

#[test]
fn requests_without_a_reply_are_retried_with_backoff() {
    let mut joiner = Joiner::default();
    let mut sent_at = Vec::new();
    for now in (0..6_000).step_by(100) {
        if !due(&mut joiner, &[2], false, now).is_empty() {
            joiner.no_reply(address(2), Timestamp::at(now));
            sent_at.push(now);
        }
    }
    assert_eq!(sent_at, [0, 600, 1_800, 3_000, 4_200, 5_400]);
}

#[test]
fn member_waits_for_an_election_before_it_requests_to_join() {
    let mut joiner = Joiner::default();
    assert_eq!(due(&mut joiner, &[2], true, 1_000), [0_u16; 0]);
    assert_eq!(due(&mut joiner, &[2], true, 2_400), [0_u16; 0]);
    assert_eq!(due(&mut joiner, &[2], true, 2_500), [2]);
}

#[test]
fn number_of_requests_in_flight_is_bounded() {
    let mut joiner = Joiner::default();
    let addresses: Vec<u16> = (2..40).collect();
    assert_eq!(due(&mut joiner, &addresses, false, 0).len(), 6);
    assert_eq!(due(&mut joiner, &addresses, false, 100).len(), 0);
}
