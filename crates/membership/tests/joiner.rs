//! Whom a process asks that wants to join, and when.

use courseshunt_membership::{JoinReply, Joiner, JoinerView};
use courseshunt_types::Timestamp;
use std::net::SocketAddr;

const OWN: u16 = 1;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn due(joiner: &mut Joiner, known: &[u16], is_member: bool, now: u64) -> Vec<u16> {
    let known: Vec<SocketAddr> = known.iter().map(|one| address(*one)).collect();
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
        members: members.iter().map(|one| address(*one)).collect(),
    }
}

#[test]
fn the_leader_that_an_answer_names_is_asked_at_once_and_first() {
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
fn once_a_leader_takes_it_in_only_that_one_is_asked_again() {
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
fn one_that_does_not_answer_is_asked_again_and_later_each_time() {
    let mut joiner = Joiner::default();
    let mut asked = Vec::new();
    for now in (0..6_000).step_by(100) {
        if !due(&mut joiner, &[2], false, now).is_empty() {
            joiner.no_reply(address(2), Timestamp::at(now));
            asked.push(now);
        }
    }
    assert_eq!(asked, [0, 600, 1_800, 3_000, 4_200, 5_400]);
}

#[test]
fn a_member_leaves_an_election_alone_before_it_asks() {
    let mut joiner = Joiner::default();
    assert_eq!(due(&mut joiner, &[2], true, 1_000), [0_u16; 0]);
    assert_eq!(due(&mut joiner, &[2], true, 2_400), [0_u16; 0]);
    assert_eq!(due(&mut joiner, &[2], true, 2_500), [2]);
}

#[test]
fn only_so_many_questions_are_under_way() {
    let mut joiner = Joiner::default();
    let many: Vec<u16> = (2..40).collect();
    assert_eq!(due(&mut joiner, &many, false, 0).len(), 6);
    assert_eq!(due(&mut joiner, &many, false, 100).len(), 0);
}
