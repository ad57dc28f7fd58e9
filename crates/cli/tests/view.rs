//! How the overview reads in a terminal.

use courseshunt_cli::view::render;
use courseshunt_types::overview::Overview;
use serde_json::json;

fn overview() -> Overview {
    let fence = json!({"term": 3, "sequence": 40});
    let deployment = |name: &str, warmth: &str, replicas, waiting: u32, oldest: u64| {
        json!({
            "deployment": name, "warmth": warmth, "replicas": replicas, "max_replicas": 3,
            "waiting_critical": 0, "waiting_interactive": waiting, "waiting_batch": 0,
            "running": 0, "oldest_wait_ms": oldest,
        })
    };
    let replica =
        |runner: &str, phase: &str| json!([{"runner": runner, "phase": phase, "fence": fence}]);
    let router = |name: &str, revision: u64| {
        json!({"router": name, "zone": "chtouka", "http_address": "127.0.0.1:8080",
               "revision": revision, "behind": 7 - revision})
    };
    let runner = |name: &str, state: &str, reserved: u64| {
        json!({"runner": name, "zone": "chtouka", "state": state, "memory_mib": 81920,
               "reserved_mib": reserved})
    };
    let page = json!({
        "controller": 1, "role": "leader", "term": 3, "leader": 1, "applied": 41, "revision": 7,
        "control_group": {"voters": 5, "live_voters": 4, "bearable_losses": 1},
        "routers": [router("router-1", 7), router("router-2", 5)],
        "runners": [runner("runner-1", "live", 24576), runner("runner-2", "leaving", 0)],
        "deployments": [
            deployment("climate-ctl-vents", "cold", json!([]), 0, 0),
            deployment("agro-llm-tomato", "loading", replica("runner-1", "loading"), 12, 2500),
            deployment("report-daily", "warm", replica("runner-1", "ready"), 0, 0),
        ],
    });
    serde_json::from_value(page).unwrap()
}

#[test]
fn busy_deployments_come_first_and_who_lags_is_named() {
    insta::assert_snapshot!(render(&overview(), false));
}

#[test]
fn all_shows_cold_deployments() {
    let text = render(&overview(), true);
    assert!(text.contains("climate-ctl-vents"), "{text}");
    assert!(!text.contains("--all"), "{text}");
}

#[test]
fn a_group_that_bears_no_loss_stands_out() {
    let mut overview = overview();
    if let Some(group) = &mut overview.control_group {
        group.live_voters = 3;
        group.bearable_losses = 0;
    }
    let text = render(&overview, false);
    assert!(text.contains("3 of 5 live, BEARS NO LOSS"), "{text}");
    overview.control_group = None;
    let text = render(&overview, false);
    assert!(text.contains("voters      the leader knows"), "{text}");
}

#[test]
fn a_missing_leader_stands_out() {
    let mut overview = overview();
    overview.leader = None;
    assert!(render(&overview, false).contains("NO LEADER"));
}
