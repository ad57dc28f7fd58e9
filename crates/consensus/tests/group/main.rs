//! Groups of several voters: elections, log repair, reads, leadership transfer
//! and membership changes, on a network that loses messages only where a test
//! partitions it.

mod harness;
mod take_over;

use courseshunt_consensus::{
    Input, MembershipChange, MembershipError, Output, RejectionReason, Role,
};
use courseshunt_types::ControllerId;
use harness::Group;

#[test]
fn three_voters_elect_one_leader_and_commit_through_a_quorum() {
    let mut group = Group::new(3);
    let leader = group.elect();
    group.propose(leader, b"first");
    group.run_for(500);
    assert_eq!(group.commands(1), [b"first".to_vec()]);
    assert_eq!(group.commands(2), group.commands(1));
    assert_eq!(group.commands(3), group.commands(1));
    assert_eq!(group.leaders(), [leader]);
}

#[test]
fn a_partitioned_leader_steps_down_within_its_lease_and_loses_uncommitted_entries() {
    let mut group = Group::new(3);
    let old = group.elect();
    group.cut(old);
    group.propose(old, b"lost");
    group.run_for(1100);
    assert_ne!(group.core(old).role(), Role::Leader);
    group.run_for(3000);
    let new = group.leaders()[0];
    assert_ne!(new, old);
    group.propose(new, b"kept");
    group.run_for(500);
    group.heal();
    group.run_for(1500);
    for id in 1..=3 {
        assert_eq!(group.commands(id), [b"kept".to_vec()]);
    }
}

/// Two of five members are partitioned together, with or without the leader. Both must report
/// the loss of the quorum within four seconds, and the other three, which elect or keep a
/// leader meanwhile, must never report it.
#[test]
fn a_minority_detects_the_loss_of_the_quorum_and_a_majority_never_reports_it() {
    for first in 1..=5 {
        let mut group = Group::new(5);
        group.elect();
        let second = first % 5 + 1;
        group.split([first, second]);
        let cut = [first, second];
        let mut detected_after = [None; 2];
        for tenth in 1..=60 {
            group.run_for(100);
            for id in 1..=5 {
                let lost = group.has_lost_quorum(id);
                match cut.iter().position(|one| *one == id) {
                    None => assert!(
                        !lost,
                        "member {id} of the majority, {first} cut off, at {tenth}"
                    ),
                    Some(position) if lost => _ = detected_after[position].get_or_insert(tenth),
                    Some(_) => {}
                }
            }
        }
        // Two and a half election timeouts after the last message of the leader, and one more
        // for a member that was leader itself.
        let all = detected_after.map(|after| after.expect("the loss of the quorum is detected"));
        assert!(all.iter().all(|after| *after <= 40), "{first}: {all:?}");
        group.heal();
        group.run_for(3_000);
        for id in 1..=5 {
            assert!(
                !group.has_lost_quorum(id),
                "member {id} after the partition healed, {first} was cut off"
            );
        }
    }
}

#[test]
fn an_election_after_a_leader_failure_is_not_reported_as_quorum_loss() {
    let mut group = Group::new(3);
    let leader = group.elect();
    group.cut(leader);
    for _ in 0..100 {
        group.run_for(50);
        for id in (1..=3).filter(|id| *id != leader) {
            assert!(
                !group.has_lost_quorum(id),
                "member {id} receives messages of the other one"
            );
        }
    }
    assert!(group.has_lost_quorum(leader));
}

#[test]
fn a_leader_with_a_slow_disk_commits_through_the_others_and_applies_after_its_own_sync() {
    let mut group = Group::new(3);
    let leader = group.elect();
    group.hold_disk(leader);
    group.propose(leader, b"x");
    group.run_for(500);
    assert_eq!(group.commands(leader % 3 + 1), [b"x".to_vec()]);
    assert!(
        group.commands(leader).is_empty(),
        "the entry is not durable at the leader yet"
    );
    group.sync_disk(leader);
    assert_eq!(group.commands(leader), [b"x".to_vec()]);
}

#[test]
fn a_new_leader_commits_inherited_entries_without_a_proposal() {
    let mut group = Group::new(3);
    let old = group.elect();
    group.propose(old, b"x");
    group.run_for(300);
    group.cut(old);
    group.run_for(4000);
    let new = group.leaders().into_iter().find(|id| *id != old).unwrap();
    let core = group.core(new);
    assert_eq!(core.commit(), core.last_index());
    let outputs = group.step(
        new,
        Input::Read {
            read: harness::READ,
        },
    );
    assert!(
        outputs
            .iter()
            .any(|one| matches!(one, Output::ReadReady { .. }))
    );
}

#[test]
fn a_returning_partitioned_member_does_not_depose_the_leader() {
    let mut group = Group::new(3);
    let leader = group.elect();
    let term = group.core(leader).term();
    let other = leader % 3 + 1;
    group.cut(other);
    group.run_for(10_000);
    group.heal();
    group.run_for(2000);
    assert_eq!(group.leaders(), [leader]);
    assert_eq!(group.core(leader).term(), term);
}

#[test]
fn a_stale_leader_serves_no_reads() {
    let mut group = Group::new(3);
    let old = group.elect();
    group.cut(old);
    group.run_for(960);
    let outputs = group.step(
        old,
        Input::Read {
            read: harness::READ,
        },
    );
    assert!(
        outputs
            .iter()
            .all(|one| !matches!(one, Output::ReadReady { .. }))
    );
}

#[test]
fn a_planned_transfer_leaves_no_gap_of_an_election_timeout() {
    let mut group = Group::new(3);
    let old = group.elect();
    group.run_for(200);
    group.step(old, Input::TransferLeadership { to: None });
    group.run_for(100);
    assert_eq!(group.leaders().len(), 1);
    assert_ne!(group.leaders()[0], old);
}

#[test]
fn a_learner_is_promoted_once_it_has_caught_up() {
    let mut group = Group::new(3);
    let leader = group.elect();
    for _ in 0..50 {
        group.propose(leader, b"x");
    }
    group.run_for(300);
    group.add_member(4);
    group.change(leader, MembershipChange::AddLearner(ControllerId(4)));
    let rejected = group.change(leader, MembershipChange::Promote(ControllerId(9)));
    assert_eq!(rejected, Some(MembershipError::ChangeInProgress));
    group.run_for(500);
    assert_eq!(group.commands(4).len(), 50);
    assert_eq!(group.core(4).role(), Role::Learner);
    group.change(leader, MembershipChange::Promote(ControllerId(4)));
    group.run_for(500);
    assert_eq!(group.core(4).role(), Role::Follower);
    assert_eq!(group.core(leader).membership().voters.len(), 4);
}

/// A learner that was removed while it was partitioned receives no messages after it returns.
/// If it continued to report its last leader, it would never request to join again.
#[test]
fn a_learner_without_messages_reports_no_leader() {
    let mut group = Group::new(3);
    let leader = group.elect();
    group.add_member(4);
    group.change(leader, MembershipChange::AddLearner(ControllerId(4)));
    group.run_for(1000);
    assert_eq!(group.core(4).leader(), Some(ControllerId(leader)));
    group.cut(4);
    group.change(leader, MembershipChange::Remove(ControllerId(4)));
    group.run_for(3000);
    group.heal();
    group.run_for(3000);
    assert_eq!(group.core(4).leader(), None);
}

#[test]
fn a_lost_voter_is_replaced_in_one_joint_change_and_a_second_loss_is_survived() {
    let mut group = Group::new(3);
    let leader = group.elect();
    group.propose(leader, b"before");
    group.add_member(4);
    group.change(leader, MembershipChange::AddLearner(ControllerId(4)));
    group.run_for(300);
    let lost = leader % 3 + 1;
    group.cut(lost);
    group.run_for(1200);
    let replace = MembershipChange::Replace {
        lost: ControllerId(lost),
        learner: ControllerId(4),
    };
    assert_eq!(group.change(leader, replace), None);
    group.run_for(300);
    assert!(group.core(leader).membership_is_settled());
    group.cut_also(leader);
    group.run_for(4000);
    let next = group.leaders()[0];
    assert!(next != leader && next != lost);
    group.propose(next, b"after");
    group.run_for(300);
    assert_eq!(group.commands(4), [b"before".to_vec(), b"after".to_vec()]);
}

#[test]
fn removals_that_lose_the_quorum_are_rejected() {
    let mut group = Group::new(3);
    let leader = group.elect();
    group.run_for(300);
    let lost = leader % 3 + 1;
    let live = lost % 3 + 1;
    group.cut(lost);
    group.run_for(1200);
    let rejected = group.change(leader, MembershipChange::Remove(ControllerId(live)));
    assert_eq!(rejected, Some(MembershipError::WouldLoseQuorum));
    let rejected = group.change(leader, MembershipChange::Remove(ControllerId(lost)));
    assert_eq!(rejected, None);
}

#[test]
fn a_removed_leader_steps_down_after_the_change_is_committed() {
    let mut group = Group::new(3);
    let leader = group.elect();
    group.run_for(300);
    group.change(leader, MembershipChange::Remove(ControllerId(leader)));
    group.run_for(4000);
    assert_eq!(group.core(leader).role(), Role::Learner);
    assert_eq!(group.leaders().len(), 1);
    assert_ne!(group.leaders(), [leader]);
}

#[test]
fn a_follower_reports_the_leader_when_it_rejects_a_proposal() {
    let mut group = Group::new(3);
    let leader = group.elect();
    group.run_for(300);
    let follower = leader % 3 + 1;
    let outputs = group.propose(follower, b"x");
    let expected = RejectionReason::NotLeader {
        leader: Some(ControllerId(leader)),
    };
    assert!(
        outputs.iter().any(
            |one| matches!(one, Output::ProposalRejected { reason, .. } if *reason == expected)
        )
    );
}

/// Time, in milliseconds, within which members without leases elect a leader after all of
/// them restarted: a fraction of the election timeout of 1,000 ms.
const RESTART_ELECTION_MS: u64 = 600;

#[test]
fn a_group_without_read_leases_elects_soon_after_all_members_restarted() {
    let mut group = Group::with_lease_reads(5, false);
    let old = group.elect();
    group.propose(old, b"kept");
    group.run_for(200);
    for id in 1..=5 {
        group.restart(id);
    }
    group.run_for(RESTART_ELECTION_MS);
    let leaders = group.leaders();
    assert_eq!(leaders.len(), 1);
    group.run_for(200);
    assert_eq!(group.commands(leaders[0]), [b"kept".to_vec()]);
}

#[test]
fn members_with_read_leases_withhold_votes_after_a_restart() {
    let mut group = Group::new(5);
    group.elect();
    for id in 1..=5 {
        group.restart(id);
    }
    group.run_for(980);
    assert!(group.leaders().is_empty());
    group.run_for(3000);
    assert_eq!(group.leaders().len(), 1);
}

#[test]
fn a_restarted_member_without_leases_does_not_depose_a_live_leader() {
    let mut group = Group::with_lease_reads(5, false);
    let leader = group.elect();
    let term = group.core(leader).term();
    let restarted = leader % 5 + 1;
    group.cut(restarted);
    group.restart(restarted);
    group.run_for(1500);
    group.heal();
    group.run_for(1500);
    assert_eq!(group.leaders(), [leader]);
    assert_eq!(group.core(leader).term(), term);
}

#[test]
fn a_read_without_lease_takes_a_heartbeat_round() {
    for (lease_reads, immediate) in [(true, true), (false, false)] {
        let mut group = Group::with_lease_reads(3, lease_reads);
        let leader = group.elect();
        let read = Input::Read {
            read: harness::READ,
        };
        let outputs = group.step(leader, read);
        let ready = |one: &Output| matches!(one, Output::ReadReady { .. });
        assert_eq!(outputs.iter().any(ready), immediate);
    }
}
