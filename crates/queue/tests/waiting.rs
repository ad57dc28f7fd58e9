//! Contract of the waiting queue: order, limits, expiry.

use courseshunt_queue::{QueueKey, QueueLimits, Ticket, WaitingQueue, owner_of};
use courseshunt_types::{Millis, PriorityClass, RefusalReason, RouterId, Timestamp};

fn ticket(request: &str, class: PriorityClass, deadline_in: u64) -> Ticket {
    Ticket {
        request: request.into(),
        holder: "router-a".into(),
        deployment: "agro-llm".into(),
        adapter: None,
        tenant: "souss".into(),
        class,
        deadline_in: Millis(deadline_in),
        waited: Millis(0),
        prefix_hashes: Vec::new(),
        prompt_tokens: 10,
        max_tokens: 10,
        avoid: Vec::new(),
    }
}

fn queue() -> WaitingQueue {
    WaitingQueue::new("agro-llm".into(), QueueLimits::default())
}

#[test]
fn class_goes_before_deadline_before_arrival() {
    let mut queue = queue();
    let offers = [
        ("late-batch", PriorityClass::Batch, 10),
        ("second", PriorityClass::Interactive, 900),
        ("first", PriorityClass::Interactive, 800),
        ("urgent", PriorityClass::Critical, 5000),
    ];
    for (request, class, deadline_in) in offers {
        queue
            .offer(ticket(request, class, deadline_in), Timestamp(0))
            .unwrap();
    }
    assert!(
        queue.grant(Timestamp(0)).is_empty(),
        "no replica serves yet"
    );
    queue.slots_mut().set_replicas([("r1".into(), 3)]);
    let granted: Vec<String> = queue
        .grant(Timestamp(1))
        .into_iter()
        .map(|one| one.request.0)
        .collect();
    assert_eq!(granted, ["urgent", "first", "second"]);
    let refused = queue.expire(Timestamp(11));
    assert_eq!(refused[0].request.0, "late-batch");
    assert_eq!(refused[0].refusal.reason, RefusalReason::DeadlineExceeded);
}

#[test]
fn an_unused_grant_gives_its_slot_back() {
    let mut queue = queue();
    queue.slots_mut().set_replicas([("r1".into(), 1)]);
    queue
        .offer(ticket("a", PriorityClass::Batch, 60_000), Timestamp(0))
        .unwrap();
    queue
        .offer(ticket("b", PriorityClass::Batch, 60_000), Timestamp(0))
        .unwrap();
    assert_eq!(queue.grant(Timestamp(0)).len(), 1);
    assert!(queue.grant(Timestamp(1)).is_empty());
    queue.expire(Timestamp(2_000));
    assert_eq!(queue.grant(Timestamp(2_001)).len(), 1);
}

#[test]
fn only_the_queues_of_a_lost_router_move() {
    let routers: Vec<RouterId> = (0..10)
        .map(|number| format!("router-{number}").into())
        .collect();
    let lost = &routers[3];
    for number in 0..200 {
        let key = QueueKey {
            deployment: format!("model-{number}").into(),
            shard: 0,
        };
        let before = owner_of(&key, &routers).unwrap();
        let after = owner_of(&key, routers.iter().filter(|one| *one != lost)).unwrap();
        assert!(before == after || before == lost);
    }
}
