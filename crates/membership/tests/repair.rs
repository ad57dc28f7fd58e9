//! The leader's decisions on the members, in a table.

use courseshunt_consensus::{MemberProgress, MembersView, Membership, MembershipChange};
use courseshunt_membership::{GroupView, next_change};
use courseshunt_types::{ControllerId, LogIndex, Millis};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const OWN: u64 = 1;

struct Case {
    name: &'static str,
    voters: &'static [u64],
    learners: &'static [u64],
    /// Members with the time since they were heard; others were just heard.
    silent: &'static [(u64, u64)],
    /// Members that this leader has never heard, a moment after its election.
    unheard: &'static [u64],
    /// Members at another member's address.
    at: &'static [(u64, u64)],
    joining: &'static [u64],
    settled: bool,
    expected: Option<MembershipChange>,
}

const CALM: Case = Case {
    name: "calm",
    voters: &[1, 2, 3, 4, 5],
    learners: &[],
    silent: &[],
    unheard: &[],
    at: &[],
    joining: &[],
    settled: true,
    expected: None,
};

fn id(number: u64) -> ControllerId {
    ControllerId(number)
}

fn address(number: u64) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + number as u16))
}

fn run(case: &Case) -> Option<MembershipChange> {
    let all: Vec<u64> = case.voters.iter().chain(case.learners).copied().collect();
    let progress = all.iter().filter(|one| **one != OWN).map(|one| {
        let silent = case.silent.iter().find(|(member, _)| member == one);
        MemberProgress {
            member: id(*one),
            matched: LogIndex(9),
            silent_for: Some(Millis(silent.map_or(10, |(_, silent)| *silent)))
                .filter(|_| !case.unheard.contains(one)),
        }
    });
    let members = MembersView {
        membership: Membership {
            learners: case.learners.iter().map(|one| id(*one)).collect(),
            ..Membership::of_voters(case.voters.iter().map(|one| id(*one)))
        },
        settled: case.settled,
        commit: LogIndex(9),
        progress: progress.collect(),
    };
    let mut addresses: BTreeMap<ControllerId, SocketAddr> =
        all.iter().map(|one| (id(*one), address(*one))).collect();
    for (member, other) in case.at {
        addresses.insert(id(*member), address(*other));
    }
    let joining: Vec<_> = case
        .joining
        .iter()
        .map(|one| (id(*one), address(*one)))
        .collect();
    next_change(&GroupView {
        own: id(OWN),
        members: &members,
        addresses: &addresses,
        joining: &joining,
        led_for: match case.unheard.is_empty() {
            true => Millis(60_000),
            false => Millis(100),
        },
    })
}

#[test]
fn decisions() {
    let replace = |lost, learner| {
        Some(MembershipChange::Replace {
            lost: id(lost),
            learner: id(learner),
        })
    };
    let cases = [
        CALM,
        Case {
            name: "a process that asks is taken in as a learner",
            joining: &[6],
            expected: Some(MembershipChange::AddLearner(id(6))),
            ..CALM
        },
        Case {
            name: "a member that asks again changes nothing",
            joining: &[3],
            ..CALM
        },
        Case {
            name: "no second change before the first is settled",
            joining: &[6],
            settled: false,
            ..CALM
        },
        Case {
            name: "a learner is promoted while there are too few voters",
            voters: &[1, 2, 3],
            learners: &[6],
            expected: Some(MembershipChange::Promote(id(6))),
            ..CALM
        },
        Case {
            name: "a learner that a new leader has not heard yet does not stand ready",
            voters: &[1, 2, 3],
            learners: &[6],
            unheard: &[6],
            ..CALM
        },
        Case {
            name: "a voter that is heard keeps its place, whoever lived at its address before",
            learners: &[6],
            silent: &[(6, 300)],
            at: &[(6, 3)],
            ..CALM
        },
        Case {
            name: "a silent learner is not promoted",
            voters: &[1, 2, 3],
            learners: &[6],
            silent: &[(6, 900)],
            ..CALM
        },
        Case {
            name: "a spare learner stands ready",
            learners: &[6],
            ..CALM
        },
        Case {
            name: "a lost disk's voter is replaced at once by its successor",
            learners: &[6],
            at: &[(6, 4)],
            expected: replace(4, 6),
            ..CALM
        },
        Case {
            name: "a lost disk's voter is replaced even in a small group",
            voters: &[1, 2, 3],
            learners: &[6],
            at: &[(6, 3)],
            expected: replace(3, 6),
            ..CALM
        },
        Case {
            name: "a voter silent for a short while stays",
            learners: &[6],
            silent: &[(2, 2_000)],
            ..CALM
        },
        Case {
            name: "a voter silent for long is replaced",
            learners: &[6],
            silent: &[(2, 2_600)],
            expected: replace(2, 6),
            ..CALM
        },
        Case {
            name: "a silent voter without a learner stays",
            silent: &[(2, 60_000)],
            ..CALM
        },
        Case {
            name: "a learner that is gone is forgotten",
            learners: &[6],
            silent: &[(6, 21_000)],
            expected: Some(MembershipChange::Remove(id(6))),
            ..CALM
        },
    ];
    for case in &cases {
        assert_eq!(run(case), case.expected, "{}", case.name);
    }
}
