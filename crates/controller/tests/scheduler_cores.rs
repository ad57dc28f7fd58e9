//! Contract of the scheduler's pure parts, with fault cases in tables.

use courseshunt_controller::scheduler::{
    LoadTracker, Moment, ReconcileAction, ReplicaUsage, Takeover, reconcile,
};
use courseshunt_state::{ReplicaPhase, ReplicaRecord};
use courseshunt_types::runner_api::{CacheTier, Inventory, InventoryItem, LoadPhase};
use courseshunt_types::{
    DeploymentDocument, Fence, Incarnation, Millis, ReplicaKey, RunnerId, Term, Timestamp,
    UnixMillis,
};

fn fence(sequence: u64) -> Fence {
    Fence {
        term: Term(1),
        sequence,
    }
}

fn key() -> ReplicaKey {
    ReplicaKey {
        deployment: "a".into(),
        runner: "r1".into(),
    }
}

fn record(phase: ReplicaPhase) -> ReplicaRecord {
    ReplicaRecord {
        replica: key(),
        fence: fence(5),
        memory_mib: 60,
        phase,
        incarnation: Incarnation(1),
        placed_at: UnixMillis(1_000_000),
    }
}

fn inventory(held: Option<(u64, LoadPhase)>) -> Inventory {
    let items = held.into_iter().map(|(sequence, phase)| InventoryItem {
        deployment: "a".into(),
        model: "a".into(),
        fence: fence(sequence),
        phase,
        memory_mib: 60,
        remaining_ms: Millis(0),
    });
    Inventory {
        runner: "r1".into(),
        incarnation: Incarnation(1),
        zone: "a".into(),
        accelerators: 1,
        memory_mib: 100,
        host_memory_mib: 0,
        disk_mib: 0,
        draining: false,
        deployments: items.collect(),
        cached: Vec::new(),
        staging: Vec::new(),
    }
}

#[test]
fn reconciliation_brings_runners_to_the_decided_state() {
    use ReconcileAction as Action;
    use ReplicaPhase::{Loading, Ready, Withdrawn};
    let load = Action::OrderLoad(key(), fence(5));
    let unload = Action::OrderUnload(key(), fence(5));
    let release = Action::FenceAndRelease(key(), fence(5));
    let withdraw = Action::Withdraw(key(), fence(5));
    let confirm = Action::Confirm(key(), fence(5));
    let unload_undecided = Action::OrderUnloadUndecided("a".into(), fence(5));
    let cases = [
        ("order lost", Some(Loading), false, None, Some(load)),
        (
            "failed during the load",
            Some(Loading),
            true,
            None,
            Some(withdraw.clone()),
        ),
        ("lost after ready", Some(Ready), false, None, Some(withdraw)),
        (
            "load in progress is adopted",
            Some(Loading),
            false,
            Some((5, LoadPhase::Loading)),
            None,
        ),
        (
            "loaded",
            Some(Loading),
            true,
            Some((5, LoadPhase::Ready)),
            Some(confirm),
        ),
        (
            "ready",
            Some(Ready),
            true,
            Some((5, LoadPhase::Ready)),
            None,
        ),
        (
            "load of an older decision",
            Some(Loading),
            false,
            Some((4, LoadPhase::Ready)),
            Some(unload.clone()),
        ),
        (
            "decision newer than this member's log",
            Some(Ready),
            false,
            Some((6, LoadPhase::Ready)),
            None,
        ),
        (
            "unload lost",
            Some(Withdrawn),
            false,
            Some((4, LoadPhase::Ready)),
            Some(unload),
        ),
        (
            "unloading",
            Some(Withdrawn),
            false,
            Some((5, LoadPhase::Unloading)),
            None,
        ),
        ("unloaded", Some(Withdrawn), false, None, Some(release)),
        (
            "undecided replica",
            None,
            false,
            Some((5, LoadPhase::Loading)),
            Some(unload_undecided),
        ),
    ];
    for (case, phase, accepted, held, expected) in cases {
        let records: Vec<ReplicaRecord> = phase.map(record).into_iter().collect();
        let actions = reconcile(&records, &inventory(held), |_, _| accepted);
        let expected: Vec<Action> = expected.into_iter().collect();
        assert_eq!(actions, expected, "{case}");
    }
}

#[test]
fn an_inventory_requested_before_the_order_does_not_prove_a_failed_load() {
    let mut loads = LoadTracker::new(3, 6);
    loads.order_accepted(&key(), fence(5), Timestamp(100));
    let cases = [
        ("requested before", fence(5), 100, false),
        ("requested after", fence(5), 101, true),
        ("another decision", fence(6), 101, false),
    ];
    for (case, fence, requested_at, expected) in cases {
        let accepted = loads.was_accepted(&key(), fence, Timestamp(requested_at));
        assert_eq!(accepted, expected, "{case}");
    }
}

fn document() -> DeploymentDocument {
    serde_json::from_value(serde_json::json!({
        "name": "a", "version": 1, "model": "a", "tenant": "souss", "memory_mib": 60,
        "load_estimate_ms": 10_000
    }))
    .unwrap()
}

#[test]
fn adopted_loads_occupy_the_weight_store_and_overdue_loads_lower_its_limit() {
    let mut loads = LoadTracker::new(3, 6);
    let moment = Moment {
        now: Timestamp(50_000),
        wall: UnixMillis(1_004_000),
    };
    let record = record(ReplicaPhase::Loading);
    for _ in 0..2 {
        loads.adopt(&record, &document(), CacheTier::Remote, moment);
    }
    assert_eq!(loads.store_view(moment.now).active_loads, 1);
    loads.watch(Timestamp(60_000));
    assert_eq!(loads.store_view(Timestamp(60_000)).concurrency_limit, 6);
    loads.watch(Timestamp(70_000));
    assert_eq!(loads.store_view(Timestamp(70_000)).concurrency_limit, 4);
    loads.failed(&record.replica, &"a".into(), Timestamp(70_000));
    assert_eq!(loads.store_view(Timestamp(70_000)).active_loads, 0);
    assert_eq!(loads.avoided(&"r1".into(), Timestamp(70_001)), ["a".into()]);
}

#[test]
fn a_new_leader_waits_a_limited_time_for_runners_with_replicas() {
    let takeover = Takeover {
        term: Term(2),
        began: Timestamp(1000),
    };
    let holders: [RunnerId; 2] = ["r1".into(), "r2".into()];
    let cases = [
        ("none answered", 1500, vec![], false),
        ("one has not answered", 1500, vec!["r1"], false),
        ("all answered", 1500, vec!["r1", "r2"], true),
        ("one has not answered in time", 4000, vec!["r1"], true),
    ];
    for (case, now, answered, expected) in cases {
        let may = takeover.may_plan(Timestamp(now), holders.iter(), |runner| {
            answered.contains(&runner.as_str())
        });
        assert_eq!(may, expected, "{case}");
    }
}

#[test]
fn use_is_tracked_for_each_replica_and_assumed_by_a_new_leader() {
    let mut usage = ReplicaUsage::default();
    let at = |now| Moment {
        now: Timestamp::at(now),
        wall: UnixMillis(1_000_000 + now),
    };
    let loading = usage.observe(&record(ReplicaPhase::Loading), 0, None, at(9_000));
    assert_eq!(loading.since, Timestamp(0), "placed at the start");
    let ready = record(ReplicaPhase::Ready);
    let steps = [
        ("became ready", 10_000, 0, None, 10_000),
        ("idle", 20_000, 0, None, 10_000),
        ("running", 30_000, 2, None, 30_000),
        ("idle again", 40_000, 0, None, 30_000),
        ("a short request", 50_000, 0, Some(45_000), 45_000),
    ];
    for (step, now, running, arrival, last_used) in steps {
        let view = usage.observe(&ready, running, arrival.map(Timestamp), at(now));
        assert_eq!(view.last_used, Timestamp(last_used), "{step}");
        assert_eq!(view.since, Timestamp(10_000), "{step}");
    }
}
