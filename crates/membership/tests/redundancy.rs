//! Number of losses that a group tolerates, and the time without full redundancy.

use courseshunt_consensus::{MemberProgress, MembersView, Membership};
use courseshunt_membership::{Redundancy, RedundancyTracker};
use courseshunt_types::{ControllerId, LogIndex, Millis, Timestamp};

const OWN: ControllerId = ControllerId(1);

/// Redundancy of a group led by member 1, whose other voters were silent for these times, in
/// milliseconds.
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
fn silent_voter_reduces_the_tolerated_losses() {
    let cases: [(&[u64], usize, usize, bool); 5] = [
        (&[10, 10, 10, 10], 5, 2, true),
        (&[10, 10, 10, 5_000], 4, 1, false),
        (&[10, 10, 5_000, 5_000], 3, 0, false),
        (&[10, 5_000, 5_000, 5_000], 2, 0, false),
        (&[10, 10], 3, 1, false),
    ];
    for (silent, live, tolerated, full) in cases {
        let group = group(silent);
        let observed = (group.live_voters, group.bearable_losses, group.is_full());
        assert_eq!(observed, (live, tolerated, full), "{silent:?}");
    }
}

#[test]
fn time_below_full_redundancy_ends_when_it_is_full_again() {
    let (full, one_lost) = (group(&[10; 4]), group(&[10, 10, 10, 5_000]));
    let mut tracker = RedundancyTracker::default();
    assert!(tracker.update(full, Timestamp(1_000)));
    assert!(
        !tracker.update(full, Timestamp(1_200)),
        "an equal state is reported as a change"
    );
    assert!(tracker.update(one_lost, Timestamp(2_000)));
    assert!(!tracker.update(one_lost, Timestamp(9_000)));
    assert_eq!(tracker.below_full_for(Timestamp(9_000)), Millis(7_000));
    assert!(tracker.update(full, Timestamp(9_200)));
    assert_eq!(tracker.below_full_for(Timestamp(9_300)), Millis(0));
}
