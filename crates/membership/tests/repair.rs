//! Membership changes that the leader decides, as a table of cases.

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
    /// Members with the time since the last contact, in milliseconds; 10 ms for all others.
    silent: &'static [(u64, u64)],
    /// Members without any contact with this leader, 100 ms after its election.
    no_contact: &'static [u64],
    /// Members that have the address of another member, as (member, other member).
    same_address: &'static [(u64, u64)],
    joining: &'static [u64],
    settled: bool,
    expected: Option<MembershipChange>,
}

const BASE: Case = Case {
    name: "all voters live",
    voters: &[1, 2, 3, 4, 5],
    learners: &[],
    silent: &[],
    no_contact: &[],
    same_address: &[],
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
    let progress = all.iter().filter(|id| **id != OWN).map(|one| {
        let silent = case.silent.iter().find(|(member, _)| member == one);
        MemberProgress {
            member: id(*one),
            matched: LogIndex(9),
            silent_for: Some(Millis(silent.map_or(10, |(_, silent)| *silent)))
                .filter(|_| !case.no_contact.contains(one)),
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
    for (member, other) in case.same_address {
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
        led_for: match case.no_contact.is_empty() {
            true => Millis(60_000),
            false => Millis(100),
        },
    })
}

#[test]
fn next_change_for_each_state_of_the_group() {
    let replace = |lost, learner| {
        Some(MembershipChange::Replace {
            lost: id(lost),
            learner: id(learner),
        })
    };
    let cases = [
        BASE,
        Case {
            name: "a process that requests to join is added as a learner",
            joining: &[6],
            expected: Some(MembershipChange::AddLearner(id(6))),
            ..BASE
        },
        Case {
            name: "a repeated request of a member changes nothing",
            joining: &[3],
            ..BASE
        },
        Case {
            name: "no second change while one is in progress",
            joining: &[6],
            settled: false,
            ..BASE
        },
        Case {
            name: "a learner is promoted while there are too few voters",
            voters: &[1, 2, 3],
            learners: &[6],
            expected: Some(MembershipChange::Promote(id(6))),
            ..BASE
        },
        Case {
            name: "a learner without contact with a new leader is not ready",
            voters: &[1, 2, 3],
            learners: &[6],
            no_contact: &[6],
            ..BASE
        },
        Case {
            name: "a live voter stays, although a learner had its address before",
            learners: &[6],
            silent: &[(6, 300)],
            same_address: &[(6, 3)],
            ..BASE
        },
        Case {
            name: "a silent learner is not promoted",
            voters: &[1, 2, 3],
            learners: &[6],
            silent: &[(6, 900)],
            ..BASE
        },
        Case {
            name: "a ready learner stays a learner while all voters are live",
            learners: &[6],
            ..BASE
        },
        Case {
            name: "a voter with a lost disk is replaced at once by the learner at its address",
            learners: &[6],
            same_address: &[(6, 4)],
            expected: replace(4, 6),
            ..BASE
        },
        Case {
            name: "a voter with a lost disk is replaced although there are too few voters",
            voters: &[1, 2, 3],
            learners: &[6],
            same_address: &[(6, 3)],
            expected: replace(3, 6),
            ..BASE
        },
        Case {
            name: "a voter silent for a short while stays",
            learners: &[6],
            silent: &[(2, 2_000)],
            ..BASE
        },
        Case {
            name: "a voter silent for long is replaced",
            learners: &[6],
            silent: &[(2, 2_600)],
            expected: replace(2, 6),
            ..BASE
        },
        Case {
            name: "a silent voter stays while there is no learner",
            silent: &[(2, 60_000)],
            ..BASE
        },
        Case {
            name: "a learner silent for long is removed",
            learners: &[6],
            silent: &[(6, 21_000)],
            expected: Some(MembershipChange::Remove(id(6))),
            ..BASE
        },
    ];
    for case in &cases {
        assert_eq!(run(case), case.expected, "{}", case.name);
    }
}
