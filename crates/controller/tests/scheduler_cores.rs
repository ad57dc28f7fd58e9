//! Contract of the scheduler's pure parts, with the faults in tables.

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
fn runners_are_brought_to_what_was_decided() {
    use ReconcileAction as Action;
    use ReplicaPhase::{Loading, Ready, Withdrawn};
    let load = Action::OrderLoad(key(), fence(5));
    let unload = Action::OrderUnload(key(), fence(5));
    let release = Action::FenceAndRelease(key(), fence(5));
    let withdraw = Action::Withdraw(key(), fence(5));
    let confirm = Action::Confirm(key(), fence(5));
    let stray = Action::OrderUnloadUndecided("a".into(), fence(5));
    let cases = [
        ("order lost", Some(Loading), false, None, Some(load)),
        (
            "died mid-load",
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
            "serves",
            Some(Ready),
            true,
            Some((5, LoadPhase::Ready)),
            None,
        ),
        (
            "old load under a new decision",
            Some(Loading),
            false,
            Some((4, LoadPhase::Ready)),
            Some(unload.clone()),
        ),
        (
            "a newer decision than this member knows",
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
            "nobody decided it",
            None,
            false,
            Some((5, LoadPhase::Loading)),
            Some(stray),
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
fn an_inventory_asked_for_before_the_order_proves_no_death() {
    let mut loads = LoadTracker::new(3, 6);
    loads.order_accepted(&key(), fence(5), Timestamp(100));
    let cases = [
        ("asked before", fence(5), 100, false),
        ("asked after", fence(5), 101, true),
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
fn adopted_loads_take_their_place_at_the_weight_store_and_slowness_lowers_it() {
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
fn a_new_leader_waits_for_the_holders_but_not_for_ever() {
    let takeover = Takeover {
        term: Term(2),
        began: Timestamp(1000),
    };
    let holders: [RunnerId; 2] = ["r1".into(), "r2".into()];
    let cases = [
        ("nobody answered", 1500, vec![], false),
        ("one is silent", 1500, vec!["r1"], false),
        ("all answered", 1500, vec!["r1", "r2"], true),
        ("one stays silent", 4000, vec!["r1"], true),
    ];
    for (case, now, answered, expected) in cases {
        let may = takeover.may_plan(Timestamp(now), holders.iter(), |runner| {
            answered.contains(&runner.as_str())
        });
        assert_eq!(may, expected, "{case}");
    }
}

#[test]
fn use_is_known_for_each_replica_and_a_new_leader_presumes_it() {
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
        ("quiet", 20_000, 0, None, 10_000),
        ("runs", 30_000, 2, None, 30_000),
        ("quiet again", 40_000, 0, None, 30_000),
        ("a short request", 50_000, 0, Some(45_000), 45_000),
    ];
    for (step, now, running, arrival, last_used) in steps {
        let view = usage.observe(&ready, running, arrival.map(Timestamp), at(now));
        assert_eq!(view.last_used, Timestamp(last_used), "{step}");
        assert_eq!(view.since, Timestamp(10_000), "{step}");
    }
}
