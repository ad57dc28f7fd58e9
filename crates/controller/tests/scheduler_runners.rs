//! The scheduler with runners on sockets: failover, crashes, unresponsive runners and leave
//! notices.

mod support;

use courseshunt_http::HttpClient;
use courseshunt_state::ReplicaPhase;
use courseshunt_types::runner_api::{MachineState, OrderAction, OrderRejection, OrderRequest};
use courseshunt_types::{Fence, Term};
use hyper::{Method, StatusCode};
use std::time::Duration;
use support::{RUNNER_TOKEN, Site, until};

/// Transfer rate at which a load of 60 MiB takes at least one second.
const SLOW_MIB_PER_SECOND: f64 = 40.0;
const FAST_MIB_PER_SECOND: f64 = 10_000.0;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_leader_adopts_a_load_in_progress() {
    let mut site = Site::start(SLOW_MIB_PER_SECOND).await;
    let runner = site.add_runner("r1", 1).await;
    site.configure("a").await;
    site.demand("a", 3);
    until("a load is decided", || site.replicas("a").len() == 1).await;
    until("the runner loads", || {
        !runner.inventory().deployments.is_empty()
    })
    .await;
    let decided = site.replicas("a");
    let term = site.controller().context().replica.status().borrow().term;
    site.controller.take().unwrap().stop().await;
    site.start_controller().await;
    until("the load ends", || site.served_by("a").is_some()).await;
    let new_term = site.controller().context().replica.status().borrow().term;
    assert!(new_term > term);
    let records = site.replicas("a");
    assert_eq!(records.len(), 1);
    assert_eq!(
        records[0].fence, decided[0].fence,
        "the load is adopted, not decided again"
    );
    assert_eq!(runner.overcommit_attempts(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_load_on_a_crashed_runner_is_decided_again_for_its_new_incarnation() {
    let site = Site::start(SLOW_MIB_PER_SECOND).await;
    let runner = site.add_runner("r1", 1).await;
    site.configure("a").await;
    site.demand("a", 3);
    until("the runner loads", || {
        !runner.inventory().deployments.is_empty()
    })
    .await;
    let first = site.replicas("a")[0].clone();
    runner.stop();
    let restarted = site.add_runner("r1", 2).await;
    until("the model serves", || site.served_by("a").is_some()).await;
    let records = site.replicas("a");
    assert_eq!(records.len(), 1);
    assert!(records[0].fence > first.fence);
    let late = OrderRequest {
        fence: first.fence,
        deployment: "b".into(),
        incarnation: Some(first.incarnation),
        action: OrderAction::Unload,
    };
    let rejection = send_rejected(&restarted.address.to_string(), &late).await;
    assert!(matches!(rejection, OrderRejection::OtherIncarnation { .. }));
    assert_eq!(restarted.overcommit_attempts(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unresponsive_runner_delays_no_other_and_keeps_its_reservation() {
    let site = Site::start(FAST_MIB_PER_SECOND).await;
    let hung = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    site.list("r0", hung.local_addr().unwrap(), MachineState::Live);
    let runner = site.add_runner("r1", 1).await;
    site.configure("a").await;
    site.demand("a", 1);
    until("the model serves", || site.served_by("a").is_some()).await;
    site.list("r1", hung.local_addr().unwrap(), MachineState::Live);
    let context = site.controller().context();
    until("r1 is unreachable", || {
        let observation = context.scheduler.runners.get(&"r1".into());
        observation.is_none_or(|observation| !observation.is_fresh(context.clock.now()))
    })
    .await;
    let records = site.replicas("a");
    assert_eq!(records.len(), 1, "the replica still counts");
    assert_eq!(records[0].memory_mib, 60, "its memory stays reserved");
    site.list("r1", runner.address, MachineState::Gone);
    until(
        "the replica is released after the platform lists r1 as gone",
        || site.replicas("a").is_empty(),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn memory_is_never_overcommitted_and_old_fences_are_refused() {
    let site = Site::start(FAST_MIB_PER_SECOND).await;
    let runners = [
        site.add_runner("r1", 1).await,
        site.add_runner("r2", 1).await,
    ];
    let names = ["a", "b", "c", "d"];
    for name in names {
        site.configure(name).await;
    }
    for name in names {
        site.demand(name, 2);
        until(name, || site.served_by(name).is_some()).await;
        site.demand(name, 0);
    }
    for runner in &runners {
        assert_eq!(runner.overcommit_attempts(), 0);
        let inventory = runner.inventory();
        let held: u64 = inventory.deployments.iter().map(|one| one.memory_mib).sum();
        assert!(held <= inventory.memory_mib);
        let Some(item) = inventory.deployments.first() else {
            continue;
        };
        let stale = OrderRequest {
            fence: Fence {
                term: Term(0),
                sequence: item.fence.sequence,
            },
            deployment: item.deployment.clone(),
            incarnation: None,
            action: OrderAction::Unload,
        };
        let rejection = send_rejected(&runner.address.to_string(), &stale).await;
        assert!(matches!(rejection, OrderRejection::StaleFence { .. }));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_machine_is_drained_and_its_replica_replaced() {
    let site = Site::start(FAST_MIB_PER_SECOND).await;
    let first = site.add_runner("r1", 1).await;
    site.configure("a").await;
    site.demand("a", 1);
    until("the model serves", || site.served_by("a").is_some()).await;
    let _second = site.add_runner("r2", 1).await;
    site.list("r1", first.address, MachineState::Leaving);
    until("r2 serves the model", || {
        site.served_by("a") == Some("r2".into())
    })
    .await;
    until("r1 is drained", || {
        let records = site.replicas("a");
        records.iter().all(|one| one.replica.runner == "r2".into())
            && records.iter().all(|one| one.phase == ReplicaPhase::Ready)
    })
    .await;
    assert!(first.inventory().deployments.is_empty());
}

async fn send_rejected(address: &str, order: &OrderRequest) -> OrderRejection {
    let client = HttpClient::default();
    let reply = client
        .call(
            Method::POST,
            address,
            "/control/orders",
            Some(RUNNER_TOKEN),
            Some(order),
            Duration::from_secs(20),
        )
        .await
        .unwrap();
    assert_eq!(reply.status, StatusCode::CONFLICT);
    serde_json::from_slice(&reply.body).unwrap()
}
