//! Queue owners over loopback connections: priority order over all routers, owners
//! that fail, stop or can't be reached, and callers that disconnect.

mod support;

use courseshunt_queue::{AdmissionFailure, AttemptOutcome};
use courseshunt_types::{Millis, PriorityClass, RefusalReason};
use std::time::Duration;
use support::{Answer, Cluster, answer};

const LONG: Duration = Duration::from_secs(60);

#[tokio::test(flavor = "multi_thread")]
async fn priority_order_holds_over_all_routers() {
    let cluster = Cluster::start(3, 1, 1).await;
    let (owner, first, second) = cluster.owner_and_others();
    let running = answer(cluster.nodes[first].submit("running", PriorityClass::Batch, LONG)).await;
    let offers = [
        (first, "batch", PriorityClass::Batch),
        (owner, "interactive", PriorityClass::Interactive),
        (second, "critical", PriorityClass::Critical),
    ];
    let mut answers: Vec<(&str, Answer)> = Vec::new();
    for (number, (node, name, class)) in offers.into_iter().enumerate() {
        answers.push((name, cluster.nodes[node].submit(name, class, LONG)));
        cluster.wait_until_queued(owner, number as u32 + 1).await;
    }
    let mut held = running.expect("the first request is granted");
    for expected in ["critical", "interactive", "batch"] {
        held.started();
        held.report(AttemptOutcome::Failed);
        drop(held);
        let next = answers.pop().expect("one answer for each class");
        assert_eq!(next.0, expected);
        let (granted, others) = (answer(next.1).await, &answers);
        held = granted.expect("the most urgent request is granted");
        assert!(others.iter().all(|(_, answer)| !answer.is_finished()));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn tickets_survive_the_loss_of_their_owner() {
    // How the owner is lost, and whether the fleet view reports it.
    let cases = ["cut off", "cut off and left the fleet", "planned stop"];
    for case in cases {
        let mut cluster = Cluster::start(3, 0, 4).await;
        let (owner, first, second) = cluster.owner_and_others();
        let answers = [first, second].map(|node| {
            let name = format!("request-{node}");
            cluster.nodes[node].submit(&name, PriorityClass::Interactive, LONG)
        });
        cluster.wait_until_queued(owner, 2).await;
        match case {
            "planned stop" => cluster.nodes[owner].dispatcher.stop(),
            _ => cluster.nodes[owner].cut_off(),
        }
        if case == "cut off and left the fleet" {
            cluster.set_fleet(&[first, second]);
        }
        let moved = |node: usize| cluster.nodes[node].dispatcher.snapshot().holder.resent > 0;
        cluster
            .wait_until("tickets moved", || moved(first) && moved(second))
            .await;
        cluster.set_replicas(1);
        for pending_answer in answers {
            let granted = answer(pending_answer).await;
            assert!(granted.is_ok(), "{case}: {granted:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn new_owner_counts_running_requests() {
    let mut cluster = Cluster::start(3, 1, 1).await;
    let (owner, first, second) = cluster.owner_and_others();
    let running = answer(cluster.nodes[first].submit("running", PriorityClass::Batch, LONG)).await;
    let mut running = running.expect("the slot is free");
    running.started();
    cluster.nodes[owner].cut_off();
    cluster.set_fleet(&[first, second]);
    let waiting = cluster.nodes[second].submit("waiting", PriorityClass::Critical, LONG);
    let owned = |node: usize| cluster.nodes[node].dispatcher.snapshot().waiting.total();
    cluster
        .wait_until("the ticket waits at a new owner", || {
            owned(first) + owned(second) == 1
        })
        .await;
    assert!(!waiting.is_finished(), "the only slot is taken");
    drop(running);
    assert!(answer(waiting).await.is_ok());
}

#[tokio::test(flavor = "multi_thread")]
async fn ticket_of_a_disconnected_caller_is_removed() {
    let cluster = Cluster::start(3, 1, 1).await;
    let (owner, first, second) = cluster.owner_and_others();
    let running = answer(cluster.nodes[first].submit("running", PriorityClass::Batch, LONG)).await;
    let disconnecting = cluster.nodes[first].submit("leaver", PriorityClass::Critical, LONG);
    cluster.wait_until_queued(owner, 1).await;
    let waiting = cluster.nodes[second].submit("waiting", PriorityClass::Batch, LONG);
    cluster.wait_until_queued(owner, 2).await;
    disconnecting.abort();
    cluster.wait_until_queued(owner, 1).await;
    drop(running);
    assert!(answer(waiting).await.is_ok());
}

#[tokio::test(flavor = "multi_thread")]
async fn deadline_is_enforced_for_local_and_remote_queues() {
    let cluster = Cluster::start(3, 0, 1).await;
    let (owner, first, _) = cluster.owner_and_others();
    let soon = Duration::from_millis(300);
    for node in [owner, first] {
        let late = cluster.nodes[node].submit("late", PriorityClass::Critical, soon);
        let refusal = answer(late).await.expect_err("no replica is ready");
        assert_eq!(refusal.reason, RefusalReason::DeadlineExceeded);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_refusal_at_one_router_stops_new_work_from_all_routers() {
    let cluster = Cluster::start(3, 2, 2).await;
    let (owner, first, second) = cluster.owner_and_others();
    let submit = |node: usize, name: &str| {
        cluster.nodes[node].submit(name, PriorityClass::Interactive, LONG)
    };
    let mut refused = answer(submit(first, "refused"))
        .await
        .expect("a slot is free");
    let draining = refused.grant.runner.clone();
    refused.started();
    refused.report(AttemptOutcome::NotAdmitted(AdmissionFailure::Draining));
    drop(refused);
    cluster
        .wait_until("the owner receives the report", || {
            let snapshot = cluster.nodes[owner].dispatcher.snapshot();
            snapshot.totals.health.draining_refusals == 1
        })
        .await;
    // The placement still lists the runner as live.
    let mut held = Vec::new();
    for (node, name) in [(second, "one"), (first, "two")] {
        let granted = answer(submit(node, name))
            .await
            .expect("the other runner has slots");
        assert_ne!(granted.grant.runner, draining);
        held.push(granted);
    }
    let queued = submit(second, "three");
    cluster.wait_until_held(second, 1).await;
    held.pop();
    let granted = answer(queued).await.expect("a slot is free again");
    assert_ne!(granted.grant.runner, draining);
}

/// A backoff that a runner requests from one router applies to all routers, even
/// if no other runner has a free slot.
#[tokio::test(flavor = "multi_thread")]
async fn backoff_requested_at_one_router_applies_to_all_routers() {
    const BACKOFF: Millis = Millis(1_500);
    let cluster = Cluster::start(3, 2, 2).await;
    let (owner, first, second) = cluster.owner_and_others();
    let submit = |node: usize, name: &str| {
        cluster.nodes[node].submit(name, PriorityClass::Interactive, LONG)
    };
    let mut refused = answer(submit(first, "refused"))
        .await
        .expect("a slot is free");
    let limited_runner = refused.grant.runner.clone();
    refused.started();
    let failure = AdmissionFailure::Resting(BACKOFF);
    let reported_at = std::time::Instant::now();
    refused.report(AttemptOutcome::NotAdmitted(failure));
    drop(refused);
    // Wait until the report has reached the owner.
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    let mut held = Vec::new();
    for (node, name) in [(second, "one"), (first, "two")] {
        let granted = answer(submit(node, name))
            .await
            .expect("the other runner has slots");
        assert_ne!(granted.grant.runner, limited_runner);
        held.push(granted);
    }
    let granted = answer(submit(owner, "three"))
        .await
        .expect("the backoff has ended");
    assert_eq!(granted.grant.runner, limited_runner);
    assert!(reported_at.elapsed() >= std::time::Duration::from(BACKOFF));
}
