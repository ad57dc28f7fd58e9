//! Contract of the planner: no decision breaks a limit.

use courseshunt_placement::policies::policy_by_name;
use courseshunt_placement::*;
use courseshunt_types::runner_api::MachineState;
use courseshunt_types::{DeploymentDocument, Timestamp};
use std::sync::Arc;

fn runner(name: &str, memory_mib: u64) -> RunnerView {
    RunnerView {
        runner: name.into(),
        zone: "a".into(),
        accelerators: 1,
        memory_mib,
        reserved_mib: 0,
        host_memory_mib: 0,
        disk_mib: 0,
        state: MachineState::Live,
        reachable: true,
        cached: Vec::new(),
        staging: Vec::new(),
        avoid: Vec::new(),
    }
}

fn deployment(name: &str, waiting: u32) -> DeploymentView {
    let document: DeploymentDocument = serde_json::from_value(serde_json::json!({
        "name": name, "version": 1, "model": name, "tenant": "souss", "memory_mib": 60
    }))
    .unwrap();
    DeploymentView {
        document: Arc::new(document),
        demand: DemandView {
            waiting_interactive: waiting,
            ..DemandView::default()
        },
        replicas: Vec::new(),
        load_times: None,
    }
}

fn plan(view: &ClusterView) -> Vec<Decision> {
    Planner::new(policy_by_name("load-on-demand").unwrap()).plan(view)
}

#[test]
fn a_burst_gives_one_load_and_memory_is_not_overcommitted() {
    let view = ClusterView {
        now: Timestamp(10),
        runners: vec![runner("r1", 100), runner("r2", 50)],
        deployments: vec![deployment("a", 40), deployment("b", 3), deployment("c", 0)],
        store: WeightStoreView {
            active_loads: 0,
            concurrency_limit: 4,
            starts_available: 4,
        },
        ..ClusterView::default()
    };
    let loads = plan(&view);
    assert_eq!(loads.len(), 1, "{loads:?}");
}

#[test]
fn the_weight_store_limit_holds() {
    let mut view = ClusterView {
        runners: vec![runner("r1", 1000)],
        deployments: vec![deployment("a", 1), deployment("b", 1), deployment("c", 1)],
        ..ClusterView::default()
    };
    assert!(plan(&view).is_empty());
    view.store.concurrency_limit = 2;
    view.store.starts_available = 9;
    assert_eq!(plan(&view).len(), 2);
}
