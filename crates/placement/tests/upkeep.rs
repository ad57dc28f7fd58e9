//! Contract of the upkeep: leaving machines are drained and replaced, and
//! replicas beyond the maximum go, whatever the policy.

use courseshunt_placement::policies::policy_by_name;
use courseshunt_placement::*;
use courseshunt_state::ReplicaPhase;
use courseshunt_types::runner_api::MachineState;
use courseshunt_types::{DeploymentDocument, Fence, RunnerId, Timestamp};
use std::sync::Arc;

fn runner(name: &str, state: MachineState) -> RunnerView {
    RunnerView {
        runner: name.into(),
        zone: "a".into(),
        accelerators: 1,
        memory_mib: 100,
        reserved_mib: 0,
        host_memory_mib: 0,
        disk_mib: 0,
        state,
        reachable: true,
        cached: Vec::new(),
        staging: Vec::new(),
        avoid: Vec::new(),
    }
}

/// Used ten seconds ago: too recent for any policy to unload it by itself.
const RECENT: Timestamp = Timestamp(90_000);

fn replica(runner: &str, phase: ReplicaPhase, running: u32) -> ReplicaView {
    ReplicaView {
        runner: runner.into(),
        fence: Fence::default(),
        phase,
        since: RECENT,
        last_used: RECENT,
        running,
    }
}

fn view(replicas: Vec<ReplicaView>, waiting: u32) -> ClusterView {
    let document: DeploymentDocument = serde_json::from_value(serde_json::json!({
        "name": "a", "version": 1, "model": "a", "tenant": "souss", "memory_mib": 60
    }))
    .unwrap();
    ClusterView {
        now: Timestamp(100_000),
        runners: vec![
            runner("r1", MachineState::Leaving),
            runner("r2", MachineState::Live),
            runner("r3", MachineState::Live),
        ],
        deployments: vec![DeploymentView {
            document: Arc::new(document),
            demand: DemandView {
                waiting_interactive: waiting,
                ..DemandView::default()
            },
            replicas,
            load_times: None,
        }],
        store: WeightStoreView {
            active_loads: 0,
            concurrency_limit: 4,
            starts_available: 4,
        },
        ..ClusterView::default()
    }
}

fn unloads_and_loads(decisions: &[Decision]) -> (Vec<RunnerId>, usize) {
    let unloads = decisions.iter().filter_map(|one| match &one.kind {
        DecisionKind::Unload { runner, .. } => Some(runner.clone()),
        _ => None,
    });
    let loads = decisions
        .iter()
        .filter(|one| matches!(one.kind, DecisionKind::Load { .. }));
    (unloads.collect(), loads.count())
}

/// What is loaded, how many wait, where unloads are expected, how many loads.
type Case<'a> = (&'a str, Vec<ReplicaView>, u32, &'a [&'a str], usize);

#[test]
fn leaving_machines_are_drained_and_surplus_goes() {
    use ReplicaPhase::{Loading, Ready, Withdrawn};
    let cases: [Case<'_>; 6] = [
        (
            "quiet, on a leaving machine",
            vec![replica("r1", Ready, 0)],
            0,
            &["r1"],
            0,
        ),
        (
            "wanted: replaced at once",
            vec![replica("r1", Ready, 2)],
            3,
            &["r1"],
            1,
        ),
        (
            "loading there",
            vec![replica("r1", Loading, 0)],
            1,
            &["r1"],
            1,
        ),
        (
            "withdrawn already",
            vec![replica("r1", Withdrawn, 1)],
            1,
            &[],
            1,
        ),
        (
            "on a live machine",
            vec![replica("r2", Ready, 0)],
            0,
            &[],
            0,
        ),
        (
            "more than the maximum: the unused one goes",
            vec![replica("r2", Ready, 1), replica("r3", Ready, 0)],
            0,
            &["r3"],
            0,
        ),
    ];
    for (case, replicas, waiting, expected, expected_loads) in cases {
        let view = view(replicas, waiting);
        let decisions = Planner::new(policy_by_name("load-on-demand").unwrap()).plan(&view);
        let (unloads, loads) = unloads_and_loads(&decisions);
        let expected: Vec<RunnerId> = expected.iter().map(|one| (*one).into()).collect();
        assert_eq!(unloads, expected, "{case}: {decisions:?}");
        assert_eq!(loads, expected_loads, "{case}: {decisions:?}");
    }
}
