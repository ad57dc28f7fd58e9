//! A follower replaces a live leader, or leaves the group as it was.

use crate::harness::Group;
use courseshunt_consensus::{Input, MembershipChange, Role};
use courseshunt_types::ControllerId;

fn follower(leader: u64) -> u64 {
    leader % 3 + 1
}

#[test]
fn a_follower_takes_over_without_a_gap_of_an_election_timeout() {
    let mut group = Group::new(3);
    let old = group.elect();
    let new = follower(old);
    group.step(new, Input::TakeOver);
    group.run_for(200);
    assert_eq!(group.leaders(), [new]);
    group.propose(new, b"after");
    group.run_for(200);
    assert_eq!(group.commands(old), [b"after".to_vec()]);
}

#[test]
fn a_take_over_from_a_leader_that_is_cut_off_deposes_nobody() {
    let mut group = Group::new(5);
    let old = group.elect();
    let term = group.core(old).term();
    group.cut(old);
    group.step(old % 5 + 1, Input::TakeOver);
    group.run_for(200);
    assert_eq!(group.leaders(), [old]);
    group.heal();
    group.run_for(3_000);
    assert_eq!(group.leaders(), [old]);
    assert_eq!(group.core(old).term(), term);
}

#[test]
fn a_take_over_with_an_older_log_deposes_nobody() {
    let mut group = Group::new(3);
    let old = group.elect();
    let term = group.core(old).term();
    let behind = follower(old);
    group.cut(behind);
    group.propose(old, b"missed");
    group.run_for(100);
    group.heal();
    group.step(behind, Input::TakeOver);
    group.run_for(20);
    assert_eq!(group.leaders(), [old]);
    group.run_for(3_000);
    assert_eq!(group.leaders(), [old]);
    assert_eq!(group.core(old).term(), term);
}

#[test]
fn a_follower_whose_log_is_not_durable_does_not_take_over() {
    let mut group = Group::new(3);
    let old = group.elect();
    let slow = follower(old);
    group.hold_disk(slow);
    group.propose(old, b"not durable there");
    group.run_for(100);
    group.step(slow, Input::TakeOver);
    group.run_for(200);
    assert_eq!(group.leaders(), [old]);
}

#[test]
fn two_followers_that_take_over_at_once_leave_one_leader() {
    let mut group = Group::new(5);
    let old = group.elect();
    let (first, second) = (old % 5 + 1, (old + 1) % 5 + 1);
    group.step(first, Input::TakeOver);
    group.step(second, Input::TakeOver);
    group.run_for(200);
    assert_eq!(group.leaders(), [first]);
}

#[test]
fn a_candidate_that_crashes_after_the_leaders_vote_leaves_a_group_that_elects() {
    let mut group = Group::new(3);
    let old = group.elect();
    let candidate = follower(old);
    group.hold_disk(candidate);
    group.step(candidate, Input::TakeOver);
    group.run_for(100);
    assert_ne!(group.core(old).role(), Role::Leader);
    group.cut(candidate);
    group.restart(candidate);
    group.run_for(4_000);
    let leaders = group.leaders();
    assert!(
        leaders.iter().any(|leader| *leader != candidate),
        "{leaders:?}"
    );
}

#[test]
fn a_learner_and_a_leader_do_not_take_over() {
    let mut group = Group::new(3);
    let old = group.elect();
    group.add_member(4);
    let learner = MembershipChange::AddLearner(ControllerId(4));
    assert_eq!(group.change(old, learner), None);
    group.run_for(500);
    let term = group.core(old).term();
    assert_eq!(group.core(4).leader(), Some(ControllerId(old)));
    group.step(old, Input::TakeOver);
    group.step(4, Input::TakeOver);
    group.run_for(200);
    assert_eq!(group.leaders(), [old]);
    assert_eq!(group.core(old).term(), term);
}
