//! Faults of owners, holders and callers, in virtual time: every request is
//! granted or refused in time, exactly once.

mod support;

use courseshunt_queue::{
    AttemptOutcome, Grant, GrantId, Holder, HolderOutput, Member, OwnerCall, QueueSite,
};
use courseshunt_types::{Epoch, Incarnation, Millis, PriorityClass, RefusalReason, Timestamp};
use support::{Answer, Cluster, DETECTION, queue_key, ticket};

const LONG: u64 = 60_000;

/// What happens to three routers with tickets of each.
struct Case {
    name: &'static str,
    /// Replicas from the start; a cold model has none.
    warm: bool,
    fault: fn(&mut Cluster),
    /// All answers must be there within this time after the fault, when the
    /// model serves.
    answered_within: Millis,
}

const CASES: [Case; 8] = [
    Case {
        name: "no fault, burst on a cold model",
        warm: false,
        fault: |_| {},
        answered_within: Millis(100),
    },
    Case {
        name: "owner dies, the fleet tells it",
        warm: false,
        fault: |cluster| {
            cluster.kill(cluster.owner());
            cluster.run_for(Millis(20));
            cluster.tell_fleet();
        },
        answered_within: Millis(100),
    },
    Case {
        name: "owner dies, the fleet lags",
        warm: false,
        fault: |cluster| cluster.kill(cluster.owner()),
        answered_within: Millis(DETECTION.0 + 100),
    },
    Case {
        name: "two owners die one after the other",
        warm: false,
        fault: |cluster| {
            cluster.kill(cluster.owner());
            cluster.tell_fleet();
            cluster.run_for(Millis(5));
            cluster.kill(cluster.owner());
            cluster.tell_fleet();
        },
        answered_within: Millis(100),
    },
    Case {
        name: "owner stops as planned",
        warm: false,
        fault: |cluster| cluster.stop(cluster.owner()),
        answered_within: Millis(100),
    },
    Case {
        name: "a grant is lost with its session",
        warm: false,
        fault: |cluster| cluster.lose_next_grant = true,
        answered_within: Millis(100),
    },
    Case {
        name: "owner dies while grants run",
        warm: true,
        fault: |cluster| {
            cluster.kill(cluster.owner());
            cluster.tell_fleet();
        },
        answered_within: Millis(100),
    },
    Case {
        name: "the fleet changes without a death",
        warm: false,
        fault: Cluster::tell_fleet,
        answered_within: Millis(100),
    },
];

#[test]
fn every_living_caller_is_answered_once_and_in_time() {
    for case in &CASES {
        let mut cluster = Cluster::new(4);
        if case.warm {
            cluster.place(&[("r1", 2)]);
        }
        for number in 0..12 {
            let class = PriorityClass::ALL[number % 3];
            let name = format!("request-{number}");
            cluster.offer(number % 4, ticket(&name, number % 4, class, LONG));
        }
        cluster.run_for(Millis(20));
        (case.fault)(&mut cluster);
        cluster.place(&[("r1", 16), ("r2", 16)]);
        cluster.run_for(case.answered_within);
        for number in 0..12 {
            let request = format!("request-{number}");
            if !cluster.is_alive(number % 4) {
                continue;
            }
            let answer = cluster.answer(&request);
            let granted = matches!(answer, Some(Answer::Granted(..)));
            assert!(granted, "{}: {request}: {answer:?}", case.name);
        }
    }
}

#[test]
fn a_burst_on_a_cold_model_is_one_demand() {
    let mut cluster = Cluster::new(12);
    for number in 0..48 {
        let name = format!("request-{number}");
        let class = PriorityClass::Interactive;
        cluster.offer(number % 12, ticket(&name, number % 12, class, LONG));
    }
    cluster.run_for(Millis(20));
    assert_eq!(cluster.waiting(), 48);
    assert_eq!(cluster.arrivals(), 48);
    cluster.kill(cluster.owner());
    cluster.tell_fleet();
    cluster.run_for(Millis(20));
    assert_eq!(cluster.waiting(), 44, "the dead router's callers are gone");
    assert_eq!(cluster.arrivals(), 0, "no arrival is counted twice");
}

#[test]
fn deadlines_hold_while_waiting_and_at_dispatch() {
    let mut cluster = Cluster::new(3);
    let router = cluster.other();
    let class = PriorityClass::Critical;
    cluster.offer(router, ticket("waits", router, class, 300));
    cluster.run_for(Millis(351));
    assert_late(&cluster, "waits");
    // The replica comes so late that the grant arrives after the deadline.
    cluster.offer(router, ticket("dispatch", router, class, 300));
    cluster.run_for(Millis(299));
    cluster.place(&[("r1", 1)]);
    cluster.run_for(Millis(60));
    assert_late(&cluster, "dispatch");
    // The slot of that grant is free again.
    cluster.offer(router, ticket("next", router, class, 300));
    cluster.run_for(Millis(60));
    assert_eq!(cluster.granted(), ["next"]);
}

fn assert_late(cluster: &Cluster, request: &str) {
    let Some(Answer::Refused(refusal, _)) = cluster.answer(request) else {
        panic!("{request} was not refused");
    };
    assert_eq!(refusal.reason, RefusalReason::DeadlineExceeded);
}

#[test]
fn a_caller_that_leaves_takes_no_slot() {
    let mut cluster = Cluster::new(3);
    let router = cluster.other();
    let class = PriorityClass::Interactive;
    for request in ["leaves-early", "leaves-late", "stays"] {
        cluster.offer(router, ticket(request, router, class, LONG));
    }
    cluster.run_for(Millis(20));
    cluster.cancel(router, "leaves-early");
    cluster.place(&[("r1", 1)]);
    // The grant is on its way when the caller leaves.
    cluster.cancel(router, "leaves-late");
    cluster.run_for(Millis(60));
    assert_eq!(cluster.granted(), ["stays"]);
}

#[test]
fn running_requests_keep_their_slots_when_the_owner_changes() {
    let mut cluster = Cluster::new(3);
    cluster.place(&[("r1", 1)]);
    let (owner, router) = (cluster.owner(), cluster.other());
    let class = PriorityClass::Batch;
    cluster.offer(router, ticket("runs", router, class, LONG));
    cluster.run_for(Millis(20));
    let Some(Answer::Granted(grant, _)) = cluster.answer("runs").cloned() else {
        panic!("the slot was free");
    };
    cluster.kill(owner);
    cluster.tell_fleet();
    cluster.offer(router, ticket("waits", router, class, LONG));
    cluster.run_for(Millis(3000));
    assert_eq!(cluster.answer("waits"), None, "the only slot is taken");
    cluster.finish(router, grant.grant);
    cluster.run_for(Millis(20));
    assert_eq!(cluster.granted(), ["runs", "waits"]);
}

#[test]
fn a_grant_given_twice_is_returned() {
    let mut holder = Holder::new(support::name(0));
    let members = [0, 1, 2].map(|router| Member {
        router: support::name(router),
        incarnation: Incarnation(1),
        leaving: false,
    });
    holder.set_live(Epoch(1), members, Timestamp(0));
    let one = ticket("request", 0, PriorityClass::Critical, LONG);
    holder.offer(queue_key(), one, Timestamp(0));
    let grant = |number| Grant {
        grant: GrantId(number),
        request: "request".into(),
        holder: support::name(0),
        runner: "r1".into(),
        valid_for: Millis(2_000),
    };
    let site = |router| QueueSite::Owner(support::name(router));
    let first = holder.granted(site(1), queue_key(), grant(1), Timestamp(5));
    assert!(matches!(
        first.last(),
        Some(HolderOutput::Granted { grant, .. }) if grant.grant == GrantId(1)
    ));
    let second = holder.granted(site(2), queue_key(), grant(2), Timestamp(6));
    let returned = HolderOutput::Call {
        site: site(2),
        queue: queue_key(),
        call: OwnerCall::Returned(GrantId(2), AttemptOutcome::Unused),
    };
    assert_eq!(second, [returned]);
}
