//! Properties of the waiting queue: order, fairness, ageing, limits.

use courseshunt_queue::prompt::{BLOCK_BYTES, MAX_BLOCKS, prompt_blocks};
use courseshunt_queue::{
    AGEING_SHARE, AdaptiveLimit, FAIRNESS_WINDOW, Grant, QueueLimits, Ticket, WaitingQueue,
};
use courseshunt_types::deployment::ClassLimit;
use courseshunt_types::{ClassLimits, Millis, PriorityClass, RefusalReason, Timestamp};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn ticket(number: usize, tenant: &str, class: PriorityClass, deadline_in: u64) -> Ticket {
    Ticket {
        request: format!("request-{number}").into(),
        holder: "router-a".into(),
        deployment: "agro-llm".into(),
        adapter: None,
        tenant: tenant.into(),
        class,
        deadline_in: Millis(deadline_in),
        waited: Millis(0),
        prefix_hashes: Vec::new(),
        prompt_tokens: 80,
        max_tokens: 90,
        avoid: Vec::new(),
    }
}

/// Cost of each of these tickets, in tokens.
const COST: u64 = 100;

fn queue(limits: QueueLimits) -> WaitingQueue {
    let mut queue = WaitingQueue::new("agro-llm".into(), limits);
    queue.set_limits(limits);
    queue
}

/// Grants one ticket after the other on a single slot.
fn drain(queue: &mut WaitingQueue, now: Timestamp, count: usize) -> Vec<String> {
    queue.slots_mut().set_replicas([("r1".into(), 1)]);
    let mut order = Vec::new();
    for _ in 0..count {
        let grants: Vec<Grant> = queue.grant(now);
        let Some(grant) = grants.into_iter().next() else {
            break;
        };
        queue.slots_mut().release(grant.grant);
        order.push(grant.request.0);
    }
    order
}

fn class_strategy() -> impl Strategy<Value = PriorityClass> {
    prop::sample::select(PriorityClass::ALL.to_vec())
}

proptest! {
    #[test]
    fn one_tenant_is_served_by_class_then_deadline_then_arrival(
        offers in prop::collection::vec((class_strategy(), 1_000_u64..50_000), 1..60)
    ) {
        let mut queue = queue(QueueLimits::default());
        let mut expected = Vec::new();
        for (number, (class, deadline_in)) in offers.iter().enumerate() {
            let one = ticket(number, "souss", *class, *deadline_in);
            expected.push((*class, *deadline_in, number));
            queue.offer(one, Timestamp(0)).unwrap();
        }
        expected.sort();
        let expected: Vec<String> =
            expected.iter().map(|(_, _, number)| format!("request-{number}")).collect();
        prop_assert_eq!(drain(&mut queue, Timestamp(1), 100), expected);
    }

    #[test]
    fn no_tenant_gets_far_ahead_of_another_that_waits(
        offers in prop::collection::vec((0_usize..3, 1_000_u64..50_000), 30..300)
    ) {
        let tenants = ["souss", "andrade", "quito"];
        let mut queue = queue(QueueLimits::default());
        let mut left = BTreeMap::new();
        let mut tenant_of = BTreeMap::new();
        for (number, (tenant, deadline_in)) in offers.iter().enumerate() {
            let tenant = tenants[*tenant];
            let one = ticket(number, tenant, PriorityClass::Interactive, *deadline_in);
            tenant_of.insert(one.request.0.clone(), tenant);
            queue.offer(one, Timestamp(0)).unwrap();
            *left.entry(tenant).or_insert(0_u64) += 1;
        }
        let mut served: BTreeMap<&str, u64> = left.keys().map(|tenant| (*tenant, 0)).collect();
        for request in drain(&mut queue, Timestamp(1), 1000) {
            let tenant = tenant_of[&request];
            *served.get_mut(tenant).unwrap() += COST;
            *left.get_mut(tenant).unwrap() -= 1;
            let waiting = served.iter().filter(|(tenant, _)| left[*tenant] > 0);
            if let Some(least) = waiting.map(|(_, served)| *served).min() {
                prop_assert!(served[tenant] <= least + FAIRNESS_WINDOW + COST);
            }
        }
        prop_assert_eq!(left.values().sum::<u64>(), 0);
    }

    #[test]
    fn every_ticket_leaves_exactly_once(
        steps in prop::collection::vec((0_u8..6, 0_usize..40, class_strategy(), 1_u64..2_000), 1..200)
    ) {
        let mut queue = queue(QueueLimits::default());
        queue.slots_mut().set_replicas([("r1".into(), 2), ("r2".into(), 1)]);
        let mut now = Timestamp(0);
        let mut grants = Vec::new();
        let mut inside = std::collections::BTreeSet::new();
        for (step, number, class, length) in steps {
            match step {
                0..=2 => {
                    let one = ticket(number, ["a", "b"][number % 2], class, length);
                    let request = one.request.clone();
                    if queue.offer(one, now).is_ok() {
                        inside.insert(request);
                    }
                }
                3 => {
                    let request = format!("request-{number}").into();
                    prop_assert_eq!(queue.cancel(&request), inside.remove(&request));
                }
                4 => now = now + Millis(length / 4),
                _ => {
                    if let Some(grant) = grants.pop() {
                        queue.slots_mut().release(grant);
                    }
                }
            }
            for refusal in queue.expire(now) {
                prop_assert!(inside.remove(&refusal.request), "refused, but not inside");
            }
            for grant in queue.grant(now) {
                prop_assert!(inside.remove(&grant.request), "granted, but not inside");
                grants.push(grant.grant);
            }
            prop_assert_eq!(queue.waiting().total() as usize, inside.len());
            for replica in queue.slots().replicas() {
                prop_assert!(replica.in_use <= replica.slots);
            }
        }
    }
}

#[test]
fn an_aged_ticket_gets_one_grant_of_many() {
    let mut queue = queue(QueueLimits::default());
    let batch = ticket(0, "souss", PriorityClass::Batch, 100_000);
    queue.offer(batch, Timestamp(0)).unwrap();
    for number in 1..60 {
        let one = ticket(number, "souss", PriorityClass::Critical, 90_000);
        queue.offer(one, Timestamp(0)).unwrap();
    }
    let young = drain(&mut queue, Timestamp(1_000), 20);
    assert!(
        !young.contains(&"request-0".to_owned()),
        "it is not aged yet"
    );
    let old = drain(&mut queue, Timestamp(50_000), AGEING_SHARE as usize);
    assert!(old.contains(&"request-0".to_owned()));
    assert_eq!(queue.counts().aged, 1);
}

/// Limits of two waiting requests of each class.
fn short_limits() -> ClassLimits {
    let limit = ClassLimit {
        queue_length: 4,
        deadline_ms: Millis::from_secs(60),
    };
    ClassLimits {
        critical: limit,
        interactive: limit,
        batch: limit,
    }
}

#[test]
fn refusals_are_early_and_say_when_to_come_back() {
    use PriorityClass::{Critical, Interactive};
    struct Case {
        name: &'static str,
        limits: QueueLimits,
        prepare: fn(&mut WaitingQueue),
        offer: (PriorityClass, u64),
        expected: Option<(RefusalReason, Option<Millis>)>,
    }
    let fill = |queue: &mut WaitingQueue| {
        for number in 0..3 {
            let one = ticket(number, "souss", Interactive, 60_000);
            queue.offer(one, Timestamp(0)).unwrap();
        }
    };
    let slow = |queue: &mut WaitingQueue| {
        queue.slots_mut().set_replicas([("r1".into(), 1)]);
        queue.observe_service(Millis(4_000));
        for number in 0..3 {
            let one = ticket(number, "souss", Interactive, 60_000);
            queue.offer(one, Timestamp(0)).unwrap();
        }
        queue.grant(Timestamp(0));
    };
    let loads = |queue: &mut WaitingQueue| queue.set_first_ready_at(Some(Timestamp(9_000)));
    let short = QueueLimits {
        classes: short_limits(),
        ..QueueLimits::default()
    };
    let shared = QueueLimits {
        shared: true,
        ..short
    };
    let rate = QueueLimits {
        tenant_rate_per_second: 1.5,
        ..QueueLimits::default()
    };
    let refused = |reason, retry_after| Some((reason, Some(Millis(retry_after))));
    let cases = [
        Case {
            name: "room is left",
            limits: short,
            prepare: fill,
            offer: (Interactive, 60_000),
            expected: None,
        },
        Case {
            name: "one tenant has its part of a shared queue",
            limits: shared,
            prepare: fill,
            offer: (Interactive, 60_000),
            expected: refused(RefusalReason::QueueFull, 1_000),
        },
        Case {
            name: "another class has its own room",
            limits: shared,
            prepare: fill,
            offer: (Critical, 60_000),
            expected: None,
        },
        Case {
            name: "the tenant sends too fast",
            limits: rate,
            prepare: fill,
            offer: (Interactive, 60_000),
            expected: refused(RefusalReason::RateLimited, 667),
        },
        Case {
            name: "the load takes longer than the deadline",
            limits: short,
            prepare: loads,
            offer: (Interactive, 5_000),
            expected: refused(RefusalReason::DeadlineExceeded, 4_000),
        },
        Case {
            name: "the load is ready in time",
            limits: short,
            prepare: loads,
            offer: (Interactive, 10_000),
            expected: None,
        },
        Case {
            name: "the tickets ahead take longer than the deadline",
            limits: QueueLimits::default(),
            prepare: slow,
            offer: (Interactive, 61_000),
            expected: None,
        },
        Case {
            name: "the tickets ahead take longer than the deadline, later deadline first",
            limits: QueueLimits::default(),
            prepare: slow,
            offer: (PriorityClass::Batch, 8_000),
            expected: refused(RefusalReason::DeadlineExceeded, 2_000),
        },
        Case {
            name: "an earlier deadline goes before the tickets that wait",
            limits: QueueLimits::default(),
            prepare: slow,
            offer: (Interactive, 5_000),
            expected: None,
        },
    ];
    for case in cases {
        let mut queue = queue(case.limits);
        (case.prepare)(&mut queue);
        let (class, deadline_in) = case.offer;
        let offered = queue.offer(ticket(9, "souss", class, deadline_in), Timestamp(0));
        let refusal = offered.err();
        let got = refusal.map(|refusal| (refusal.reason, refusal.retry_after));
        assert_eq!(got, case.expected, "{}", case.name);
    }
}

#[test]
fn the_adaptive_limit_falls_with_lag_and_recovers() {
    let mut limit = AdaptiveLimit::default();
    assert!(limit.admits(PriorityClass::Batch, 10_000));
    limit.observe(Millis(500), 1_000);
    assert_eq!(limit.limit(), 800.0, "it falls below what is held");
    let held = 700;
    assert!(limit.admits(PriorityClass::Critical, held));
    assert!(limit.admits(PriorityClass::Interactive, held));
    assert!(
        !limit.admits(PriorityClass::Batch, held),
        "batch goes first"
    );
    for _ in 0..100 {
        limit.observe(Millis(500), 1_000);
    }
    assert!(
        limit.admits(PriorityClass::Critical, 200),
        "never below the least"
    );
    for _ in 0..300 {
        limit.observe(Millis(1), 200);
    }
    assert!(limit.admits(PriorityClass::Batch, 10_000));
}

#[test]
fn prompts_share_the_hashes_of_their_common_beginning() {
    let protocol = "The shared protocol library of the clinic. ".repeat(10);
    let first = prompt_blocks(format!("{protocol}Patient one").as_bytes());
    let second = prompt_blocks(format!("{protocol}Patient two, another length").as_bytes());
    let common = protocol.len() / BLOCK_BYTES;
    assert_eq!(first[..common], second[..common]);
    let changed = prompt_blocks(format!("x{protocol}").as_bytes());
    assert!(first.iter().all(|hash| !changed.contains(hash)));
    assert!(prompt_blocks(&[7; 64 * 1024]).len() <= MAX_BLOCKS);
    assert_eq!(prompt_blocks(b"short"), [0_u64; 0]);
    let body = |tokens: u32| format!("{{\"max_tokens\":{tokens},\"messages\":\"{protocol}\"}}");
    let other = prompt_blocks(body(16).as_bytes());
    assert_eq!(
        prompt_blocks(body(2048).as_bytes()),
        other,
        "only the prompt counts"
    );
}
