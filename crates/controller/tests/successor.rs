//! Which voter leads after a planned stop of the leader.

use courseshunt_consensus::{MemberProgress, MembersView, Membership};
use courseshunt_controller::replica::successor::preferred_successor;
use courseshunt_types::{ControllerId, LogIndex, Millis};

fn members(progress: &[(u64, u64, u64)]) -> MembersView {
    let progress = progress
        .iter()
        .map(|(member, matched, silent)| MemberProgress {
            member: ControllerId(*member),
            matched: LogIndex(*matched),
            silent_for: Some(Millis(*silent)),
        });
    MembersView {
        membership: Membership::of_voters((1..=4).map(ControllerId)),
        progress: progress.collect(),
        ..MembersView::default()
    }
}

fn is_two(member: ControllerId) -> bool {
    member == ControllerId(2)
}

#[test]
fn a_voter_of_this_release_is_preferred_to_one_of_the_previous_one() {
    let members = members(&[(2, 9, 10), (3, 7, 10), (4, 8, 10)]);
    assert_eq!(preferred_successor(&members, is_two), Some(ControllerId(4)));
}

#[test]
fn a_silent_voter_of_this_release_is_not_preferred() {
    let members = members(&[(2, 9, 10), (3, 7, 10), (4, 8, 600)]);
    assert_eq!(preferred_successor(&members, is_two), Some(ControllerId(3)));
}

#[test]
fn nobody_is_preferred_in_a_group_of_one_release() {
    let members = members(&[(2, 9, 10), (3, 7, 10)]);
    assert_eq!(preferred_successor(&members, |_| false), None);
    assert_eq!(preferred_successor(&members, |_| true), None);
}
