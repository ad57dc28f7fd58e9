//! Queue owners over real connections: one order over all routers, owners that
//! die, stop or can't be reached, callers that leave.

mod support;

use courseshunt_queue::{AdmissionFailure, AttemptOutcome};
use courseshunt_types::{Millis, PriorityClass, RefusalReason};
use std::time::Duration;
use support::{Answer, Cluster, answer};

const LONG: Duration = Duration::from_secs(60);

#[tokio::test(flavor = "multi_thread")]
async fn urgent_work_goes_first_over_all_routers() {
    let cluster = Cluster::start(3, 1, 1).await;
    let (owner, first, second) = cluster.owner_and_others();
    let running = answer(cluster.nodes[first].ask("running", PriorityClass::Batch, LONG)).await;
    let offers = [
        (first, "batch", PriorityClass::Batch),
        (owner, "interactive", PriorityClass::Interactive),
        (second, "critical", PriorityClass::Critical),
    ];
    let mut answers: Vec<(&str, Answer)> = Vec::new();
    for (number, (node, name, class)) in offers.into_iter().enumerate() {
        answers.push((name, cluster.nodes[node].ask(name, class, LONG)));
        cluster.until_waiting(owner, number as u32 + 1).await;
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
async fn tickets_outlive_their_owner() {
    // How the owner goes, and what its holders learn of it.
    let cases = ["cut off", "cut off and left the fleet", "planned stop"];
    for case in cases {
        let mut cluster = Cluster::start(3, 0, 4).await;
        let (owner, first, second) = cluster.owner_and_others();
        let asked = [first, second].map(|node| {
            let name = format!("request-{node}");
            cluster.nodes[node].ask(&name, PriorityClass::Interactive, LONG)
        });
        cluster.until_waiting(owner, 2).await;
        match case {
            "planned stop" => cluster.nodes[owner].dispatcher.stop(),
            _ => cluster.nodes[owner].die(),
        }
        if case == "cut off and left the fleet" {
            cluster.set_fleet(&[first, second]);
        }
        let moved = |node: usize| cluster.nodes[node].dispatcher.snapshot().holder.resent > 0;
        cluster
            .until("tickets moved", || moved(first) && moved(second))
            .await;
        cluster.place(1);
        for one in asked {
            let granted = answer(one).await;
            assert!(granted.is_ok(), "{case}: {granted:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_owner_counts_the_running_requests() {
    let mut cluster = Cluster::start(3, 1, 1).await;
    let (owner, first, second) = cluster.owner_and_others();
    let running = answer(cluster.nodes[first].ask("running", PriorityClass::Batch, LONG)).await;
    let mut running = running.expect("the slot is free");
    running.started();
    cluster.nodes[owner].die();
    cluster.set_fleet(&[first, second]);
    let waiting = cluster.nodes[second].ask("waiting", PriorityClass::Critical, LONG);
    let owned = |node: usize| cluster.nodes[node].dispatcher.snapshot().waiting.total();
    cluster
        .until("the ticket waits at a new owner", || {
            owned(first) + owned(second) == 1
        })
        .await;
    assert!(!waiting.is_finished(), "the only slot is taken");
    drop(running);
    assert!(answer(waiting).await.is_ok());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_frees_its_place() {
    let cluster = Cluster::start(3, 1, 1).await;
    let (owner, first, second) = cluster.owner_and_others();
    let running = answer(cluster.nodes[first].ask("running", PriorityClass::Batch, LONG)).await;
    let leaver = cluster.nodes[first].ask("leaver", PriorityClass::Critical, LONG);
    cluster.until_waiting(owner, 1).await;
    let waiting = cluster.nodes[second].ask("waiting", PriorityClass::Batch, LONG);
    cluster.until_waiting(owner, 2).await;
    leaver.abort();
    cluster.until_waiting(owner, 1).await;
    drop(running);
    assert!(answer(waiting).await.is_ok());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_deadline_is_kept_whoever_owns_the_queue() {
    let cluster = Cluster::start(3, 0, 1).await;
    let (owner, first, _) = cluster.owner_and_others();
    let soon = Duration::from_millis(300);
    for node in [owner, first] {
        let late = cluster.nodes[node].ask("late", PriorityClass::Critical, soon);
        let refusal = answer(late).await.expect_err("no replica serves");
        assert_eq!(refusal.reason, RefusalReason::DeadlineExceeded);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_refusal_at_one_router_ends_new_work_from_all() {
    let cluster = Cluster::start(3, 2, 2).await;
    let (owner, first, second) = cluster.owner_and_others();
    let ask =
        |node: usize, name: &str| cluster.nodes[node].ask(name, PriorityClass::Interactive, LONG);
    let mut refused = answer(ask(first, "refused")).await.expect("a slot is free");
    let draining = refused.grant.runner.clone();
    refused.started();
    refused.report(AttemptOutcome::NotAdmitted(AdmissionFailure::Draining));
    drop(refused);
    cluster
        .until("the owner learns it", || {
            let snapshot = cluster.nodes[owner].dispatcher.snapshot();
            snapshot.totals.health.draining_refusals == 1
        })
        .await;
    // The list of machines still calls the runner live.
    let mut held = Vec::new();
    for (node, name) in [(second, "one"), (first, "two")] {
        let granted = answer(ask(node, name)).await.expect("the other has slots");
        assert_ne!(granted.grant.runner, draining);
        held.push(granted);
    }
    let waits = ask(second, "three");
    cluster.until_held(second, 1).await;
    held.pop();
    let granted = answer(waits).await.expect("a slot is free again");
    assert_ne!(granted.grant.runner, draining);
}

/// What a runner asks of one router all heed, also where nothing else has a free slot.
#[tokio::test(flavor = "multi_thread")]
async fn a_runner_that_asks_for_rest_at_one_router_is_left_alone_by_all() {
    const REST: Millis = Millis(1_500);
    let cluster = Cluster::start(3, 2, 2).await;
    let (owner, first, second) = cluster.owner_and_others();
    let ask =
        |node: usize, name: &str| cluster.nodes[node].ask(name, PriorityClass::Interactive, LONG);
    let mut refused = answer(ask(first, "refused")).await.expect("a slot is free");
    let resting = refused.grant.runner.clone();
    refused.started();
    let failure = AdmissionFailure::Resting(REST);
    let told = std::time::Instant::now();
    refused.report(AttemptOutcome::NotAdmitted(failure));
    drop(refused);
    // The report travels to the owner.
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    let mut held = Vec::new();
    for (node, name) in [(second, "one"), (first, "two")] {
        let granted = answer(ask(node, name)).await.expect("the other has slots");
        assert_ne!(granted.grant.runner, resting);
        held.push(granted);
    }
    let granted = answer(ask(owner, "three")).await.expect("it has rested");
    assert_eq!(granted.grant.runner, resting);
    assert!(told.elapsed() >= std::time::Duration::from(REST));
}
