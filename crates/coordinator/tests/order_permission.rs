//! Conditions under which a leader gives orders, records itself as the holder, hands the leadership
//! over or waits.

use courseshunt_coordinator::order_permission::{OrderDecision, OrderView, decide};
use courseshunt_types::{ControllerId, Millis};
use std::collections::BTreeSet;

const OWN: ControllerId = ControllerId(1);
const OTHER: ControllerId = ControllerId(2);

struct Case {
    name: &'static str,
    holder: Option<ControllerId>,
    holder_is_previous_release: bool,
    caught_up: bool,
    since_election: u64,
    uptime: u64,
    live: &'static [ControllerId],
    expected: OrderDecision,
}

const LONG_ELECTED: Case = Case {
    name: "the holder, elected long ago",
    holder: Some(OWN),
    holder_is_previous_release: false,
    caught_up: true,
    since_election: 60_000,
    uptime: 60_000,
    live: &[OTHER],
    expected: OrderDecision::Allow,
};

const CASES: &[Case] = &[
    LONG_ELECTED,
    Case {
        name: "entries of earlier leaders are not applied yet",
        caught_up: false,
        expected: OrderDecision::Wait,
        ..LONG_ELECTED
    },
    Case {
        name: "elected again, no other member gave orders",
        since_election: 1_000,
        uptime: 1_500,
        ..LONG_ELECTED
    },
    Case {
        name: "elected again, time for reports has not passed",
        since_election: 900,
        uptime: 1_500,
        expected: OrderDecision::Wait,
        ..LONG_ELECTED
    },
    Case {
        name: "no orders were ever given",
        holder: None,
        since_election: 10,
        uptime: 300,
        expected: OrderDecision::RecordHolder,
        ..LONG_ELECTED
    },
    Case {
        name: "another member gave orders within the lease",
        holder: Some(OTHER),
        since_election: 3_449,
        expected: OrderDecision::Wait,
        ..LONG_ELECTED
    },
    Case {
        name: "the lease of the other member has passed",
        holder: Some(OTHER),
        since_election: 3_450,
        expected: OrderDecision::RecordHolder,
        ..LONG_ELECTED
    },
    Case {
        name: "all restarted, the holder is live",
        holder: Some(OTHER),
        since_election: 100,
        uptime: 800,
        expected: OrderDecision::HandOver(OTHER),
        ..LONG_ELECTED
    },
    Case {
        name: "the live holder runs the previous release",
        holder: Some(OTHER),
        holder_is_previous_release: true,
        since_election: 100,
        uptime: 800,
        expected: OrderDecision::Wait,
        ..LONG_ELECTED
    },
    Case {
        name: "the lease of a holder of the previous release has passed",
        holder: Some(OTHER),
        holder_is_previous_release: true,
        since_election: 3_450,
        uptime: 5_000,
        expected: OrderDecision::RecordHolder,
        ..LONG_ELECTED
    },
    Case {
        name: "all restarted, the holder is not live",
        holder: Some(OTHER),
        since_election: 100,
        uptime: 800,
        live: &[],
        expected: OrderDecision::Wait,
        ..LONG_ELECTED
    },
    Case {
        name: "the holder lost its leadership, this member did not restart",
        holder: Some(OTHER),
        since_election: 100,
        expected: OrderDecision::Wait,
        ..LONG_ELECTED
    },
];

#[test]
fn orders_are_given_by_the_holder_or_after_its_lease() {
    for case in CASES {
        let live = BTreeSet::from_iter(case.live.iter().copied());
        let view = OrderView {
            own: OWN,
            holder: case.holder,
            holder_is_previous_release: case.holder_is_previous_release,
            caught_up: case.caught_up,
            since_election: Millis(case.since_election),
            uptime: Millis(case.uptime),
            lease: Millis(3_450),
            live: &live,
        };
        assert_eq!(decide(&view), case.expected, "{}", case.name);
    }
}
