//! How many losses a group can bear, in a table, and how long it has been less than whole.

use courseshunt_consensus::{MemberProgress, MembersView, Membership};
use courseshunt_membership::{Redundancy, RedundancyTracker};
use courseshunt_types::{ControllerId, LogIndex, Millis, Timestamp};

const OWN: ControllerId = ControllerId(1);

/// A group led by member 1, whose other voters were silent for these milliseconds.
fn group(silent_ms: &[u64]) -> Redundancy {
    let others = (2..).map(ControllerId).zip(silent_ms);
    let progress = others.clone().map(|(member, silent)| MemberProgress {
        member,
        matched: LogIndex(9),
        silent_for: Some(Millis(*silent)),
    });
    let voters = others.clone().map(|(member, _)| member).chain([OWN]);
    let members = MembersView {
        membership: Membership::of_voters(voters),
        settled: true,
        commit: LogIndex(9),
        progress: progress.collect(),
    };
    Redundancy::of(OWN, &members, 0)
}

#[test]
fn a_silent_voter_is_one_loss_fewer_that_can_be_borne() {
    let cases: [(&[u64], usize, usize, bool); 5] = [
        (&[10, 10, 10, 10], 5, 2, true),
        (&[10, 10, 10, 5_000], 4, 1, false),
        (&[10, 10, 5_000, 5_000], 3, 0, false),
        (&[10, 5_000, 5_000, 5_000], 2, 0, false),
        (&[10, 10], 3, 1, false),
    ];
    for (silent, live, bearable, full) in cases {
        let seen = group(silent);
        let told = (seen.live_voters, seen.bearable_losses, seen.is_full());
        assert_eq!(told, (live, bearable, full), "{silent:?}");
    }
}

#[test]
fn the_time_below_full_redundancy_counts_until_the_group_is_whole_again() {
    let (whole, one_lost) = (group(&[10; 4]), group(&[10, 10, 10, 5_000]));
    let mut watch = RedundancyTracker::default();
    assert!(watch.update(whole, Timestamp(1_000)));
    assert!(
        !watch.update(whole, Timestamp(1_200)),
        "nothing has changed"
    );
    assert!(watch.update(one_lost, Timestamp(2_000)));
    assert!(!watch.update(one_lost, Timestamp(9_000)));
    assert_eq!(watch.below_full_for(Timestamp(9_000)), Millis(7_000));
    assert!(watch.update(whole, Timestamp(9_200)));
    assert_eq!(watch.below_full_for(Timestamp(9_300)), Millis(0));
}
