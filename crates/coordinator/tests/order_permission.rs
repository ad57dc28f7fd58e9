//! When a leader may give orders, in a table.

use courseshunt_coordinator::order_permission::{OrderTurn, TurnView, decide};
use courseshunt_types::{ControllerId, Millis};
use std::collections::BTreeSet;

const OWN: ControllerId = ControllerId(1);
const OTHER: ControllerId = ControllerId(2);

struct Case {
    name: &'static str,
    holder: Option<ControllerId>,
    caught_up: bool,
    led_for: u64,
    up_for: u64,
    live: &'static [ControllerId],
    expected: OrderTurn,
}

const CALM: Case = Case {
    name: "holder, long elected",
    holder: Some(OWN),
    caught_up: true,
    led_for: 60_000,
    up_for: 60_000,
    live: &[OTHER],
    expected: OrderTurn::Give,
};

const CASES: &[Case] = &[
    CALM,
    Case {
        name: "what earlier leaders committed is not known yet",
        caught_up: false,
        expected: OrderTurn::Wait,
        ..CALM
    },
    Case {
        name: "elected again, nobody else gave orders",
        led_for: 1_000,
        up_for: 1_500,
        ..CALM
    },
    Case {
        name: "elected again, reports are missing",
        led_for: 900,
        up_for: 1_500,
        expected: OrderTurn::Wait,
        ..CALM
    },
    Case {
        name: "no orders were ever given",
        holder: None,
        led_for: 10,
        up_for: 300,
        expected: OrderTurn::Record,
        ..CALM
    },
    Case {
        name: "another gave orders within the lease",
        holder: Some(OTHER),
        led_for: 3_449,
        expected: OrderTurn::Wait,
        ..CALM
    },
    Case {
        name: "the other's lease has passed",
        holder: Some(OTHER),
        led_for: 3_450,
        expected: OrderTurn::Record,
        ..CALM
    },
    Case {
        name: "all restarted, the holder is there",
        holder: Some(OTHER),
        led_for: 100,
        up_for: 800,
        expected: OrderTurn::HandOver(OTHER),
        ..CALM
    },
    Case {
        name: "all restarted, the holder is not there",
        holder: Some(OTHER),
        led_for: 100,
        up_for: 800,
        live: &[],
        expected: OrderTurn::Wait,
        ..CALM
    },
    Case {
        name: "the holder lost its leadership, this member ran on",
        holder: Some(OTHER),
        led_for: 100,
        expected: OrderTurn::Wait,
        ..CALM
    },
];

#[test]
fn orders_are_given_by_the_holder_or_after_its_lease() {
    for case in CASES {
        let live = BTreeSet::from_iter(case.live.iter().copied());
        let view = TurnView {
            own: OWN,
            holder: case.holder,
            caught_up: case.caught_up,
            led_for: Millis(case.led_for),
            up_for: Millis(case.up_for),
            lease: Millis(3_450),
            live: &live,
        };
        assert_eq!(decide(&view), case.expected, "{}", case.name);
    }
}
