//! Contract of the adaptive policy and its parts.

use courseshunt_placement::policies::adaptive::{
    CallHistory, Forecast, HazardTable, PeriodDetector,
};
use courseshunt_placement::policies::policy_by_name;
use courseshunt_placement::*;
use courseshunt_state::ReplicaPhase;
use courseshunt_types::runner_api::{CacheTier, MachineState};
use courseshunt_types::{
    DeploymentDocument, DeploymentName, Fence, Millis, PriorityClass, Timestamp,
};
use std::sync::Arc;

const SECOND: u64 = 1000;
const MINUTE: u64 = 60 * SECOND;

fn runner(name: &str, cached: &[(&str, CacheTier)]) -> RunnerView {
    let cached = cached.iter().map(|(model, tier)| CacheView {
        model: (*model).into(),
        tier: *tier,
        size_mib: 60,
    });
    RunnerView {
        runner: name.into(),
        zone: "a".into(),
        accelerators: 1,
        memory_mib: 100,
        reserved_mib: 0,
        host_memory_mib: 200,
        disk_mib: 1000,
        state: MachineState::Live,
        reachable: true,
        cached: cached.collect(),
        staging: Vec::new(),
        avoid: Vec::new(),
    }
}

fn deployment(name: &str) -> DeploymentView {
    let document: DeploymentDocument = serde_json::from_value(serde_json::json!({
        "name": name, "version": 1, "model": name, "tenant": "souss", "memory_mib": 60,
        "batch_window_ms": 3_600_000
    }))
    .unwrap();
    DeploymentView {
        document: Arc::new(document),
        demand: DemandView::default(),
        replicas: Vec::new(),
        load_times: None,
    }
}

fn ready(runner: &str, since: u64) -> ReplicaView {
    ReplicaView {
        runner: runner.into(),
        fence: Fence::default(),
        phase: ReplicaPhase::Ready,
        since: Timestamp::at(since),
        last_used: Timestamp::at(since),
        running: 0,
    }
}

fn view(now: u64, runners: Vec<RunnerView>, deployments: Vec<DeploymentView>) -> ClusterView {
    ClusterView {
        now: Timestamp::at(now),
        time_of_day: Millis(now),
        runners,
        deployments,
        store: WeightStoreView {
            active_loads: 0,
            concurrency_limit: 6,
            starts_available: 3,
        },
    }
}

fn planner() -> Planner {
    Planner::new(policy_by_name("adaptive").unwrap())
}

fn loads(decisions: &[Decision]) -> Vec<(DeploymentName, String)> {
    let loads = decisions.iter().filter_map(|one| match &one.kind {
        DecisionKind::Load { deployment, runner } => Some((deployment.clone(), runner.to_string())),
        _ => None,
    });
    loads.collect()
}

fn unloads(decisions: &[Decision]) -> usize {
    let unload = |one: &&Decision| matches!(one.kind, DecisionKind::Unload { .. });
    decisions.iter().filter(unload).count()
}

#[test]
fn a_fixed_interval_is_found_among_other_calls_and_chance_is_not() {
    let mut periodic = PeriodDetector::default();
    let mut irregular = PeriodDetector::default();
    for step in 0..10_u64 {
        let late = (step * 37 % 60) * SECOND;
        periodic.session(Timestamp::at(step * 20 * MINUTE + late));
        if step == 4 {
            periodic.session(Timestamp::at(step * 20 * MINUTE + 7 * MINUTE));
        }
        irregular.session(Timestamp::at(step * step * 11 * MINUTE));
    }
    let period = periodic.period().unwrap();
    assert!(
        period.interval.0.abs_diff(20 * MINUTE) < MINUTE,
        "{period:?}"
    );
    let now = Timestamp::at(185 * MINUTE);
    let due = periodic.due(now).next().unwrap();
    assert!(
        due.from > now && due.from <= Timestamp::at(200 * MINUTE),
        "{due:?}"
    );
    assert!(due.to >= Timestamp::at(200 * MINUTE));
    assert_eq!(irregular.period(), None);
}

#[test]
fn the_hazard_is_high_in_a_burst_and_the_mean_after_it() {
    let mut history = CallHistory::new(Timestamp(0));
    let mut pooled = HazardTable::default();
    for burst in 1..6_u64 {
        for call in 0..5 {
            let at = Timestamp::at(burst * 60 * MINUTE + call * 10 * SECOND);
            if let (Some(gap), _) = history.call(at) {
                pooled.add_gap(gap);
            }
        }
    }
    let last = history.last().unwrap();
    let rate = history.session_rate(1e-4, last);
    let soon = history.hazard(&pooled, rate, last + Millis(5 * SECOND));
    let later = history.hazard(&pooled, rate, last + Millis(20 * MINUTE));
    assert!(soon > 20.0 * later, "{soon} {later}");
    assert!((later - rate).abs() < 1e-12);
}

#[test]
fn the_most_urgent_waiter_is_loaded_first_where_its_checkpoint_is_near() {
    let mut batch = deployment("batch");
    batch.demand.waiting_batch = 3;
    batch.demand.oldest_arrival = Some(Timestamp(0));
    batch.demand.earliest_deadline = Some(Timestamp::at(600 * MINUTE));
    let mut relaxed = deployment("relaxed");
    relaxed.demand.waiting_interactive = 20;
    relaxed.demand.earliest_deadline = Some(Timestamp::at(9 * MINUTE));
    let mut urgent = deployment("urgent");
    urgent.demand.waiting_critical = 1;
    urgent.demand.earliest_deadline = Some(Timestamp::at(10 * MINUTE));
    let near = [("urgent", CacheTier::HostMemory)];
    let runners = vec![runner("r1", &[]), runner("r2", &near)];
    let view = view(MINUTE, runners, vec![batch, relaxed, urgent]);
    let decided = loads(&planner().plan(&view));
    let expected = [
        ("urgent".into(), "r2".to_owned()),
        ("relaxed".into(), "r1".to_owned()),
    ];
    assert_eq!(decided, expected);
}

#[test]
fn batch_work_is_gathered_until_its_window_or_its_deadline() {
    let cases = [
        ("just arrived", 3, 1, 600, false),
        ("the window has ended", 3, 61, 600, true),
        ("the deadline is near", 3, 10, 21, true),
        ("enough for a load", 40, 1, 600, true),
    ];
    for (case, waiting, waited, deadline, expected) in cases {
        let mut one = deployment("a");
        one.demand.waiting_batch = waiting;
        let now = 100 * MINUTE;
        one.demand.oldest_arrival = Some(Timestamp::at(now - waited * MINUTE));
        one.demand.earliest_deadline = Some(Timestamp::at(now + (deadline - waited) * MINUTE));
        let view = view(now, vec![runner("r1", &[])], vec![one]);
        let loaded = !loads(&planner().plan(&view)).is_empty();
        assert_eq!(loaded, expected, "{case}");
    }
}

#[test]
fn an_idle_replica_goes_and_one_in_use_stays() {
    let cases = [
        ("idle for hours", 0, 0, 1),
        ("running", 1, 0, 0),
        ("wanted", 0, 1, 0),
    ];
    for (case, running, waiting, expected) in cases {
        let mut one = deployment("a");
        one.demand.waiting_interactive = waiting;
        one.replicas = vec![ReplicaView {
            running,
            ..ready("r1", 0)
        }];
        let view = view(300 * MINUTE, vec![runner("r1", &[])], vec![one]);
        assert_eq!(unloads(&planner().plan(&view)), expected, "{case}");
    }
}

#[test]
fn a_call_that_is_due_is_loaded_ahead() {
    let mut planner = planner();
    let near = [("a", CacheTier::HostMemory)];
    for step in 0..10_u64 {
        planner.observe(&DemandEvent::Arrived {
            deployment: "a".into(),
            class: PriorityClass::Critical,
            count: 1,
            at: Timestamp::at(step * 20 * MINUTE),
        });
    }
    let at = |now| view(now, vec![runner("r1", &near)], vec![deployment("a")]);
    let early = at(190 * MINUTE);
    assert!(loads(&planner.plan(&early)).is_empty());
    let wake = planner.next_wake(&early).unwrap();
    assert!(wake <= Timestamp::at(190 * MINUTE + 15 * SECOND));
    let due = at(200 * MINUTE - 12 * SECOND);
    assert_eq!(loads(&planner.plan(&due)).len(), 1);
}

#[test]
fn staging_leaves_the_weight_store_to_loads() {
    let deployments = vec![deployment("a"), deployment("b"), deployment("c")];
    let mut busy = view(MINUTE, vec![runner("r1", &[])], deployments.clone());
    busy.store.active_loads = 3;
    assert!(
        planner().plan(&busy).is_empty(),
        "half of the store is in use"
    );
    let calm = view(MINUTE, vec![runner("r1", &[])], deployments);
    let staged = planner().plan(&calm);
    assert_eq!(staged.len(), 1, "one at a time on a runner: {staged:?}");
    assert!(matches!(staged[0].kind, DecisionKind::Stage { .. }));
}

#[test]
fn forecasts_of_unknown_deployments_are_those_of_the_mean() {
    let forecast = Forecast::default();
    let now = Timestamp::at(MINUTE);
    assert!(forecast.hazard(&"a".into(), now) > 0.0);
    assert_eq!(forecast.next_due(&"a".into(), now), None);
    assert_eq!(forecast.interval(&"a".into()), None);
}
