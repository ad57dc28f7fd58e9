//! A small fleet of real processes' parts under faults: every checker holds.
//! The whole suite takes minutes: `courseshunt-lab suite --scenario FILE`.

use courseshunt_lab::fleet::{FleetSettings, run};
use courseshunt_standin::faults::FaultSchedule;
use courseshunt_standin::scenario::Scenario;
use std::time::Duration;

/// Three zones, enough memory for all models.
const SCENARIO: &str = r#"
name = "small"
zones = ["a", "b", "c"]

[control]
voters = 3
routers = 3

[[runner_pool]]
name = "pool"
count = 4
memory_mib = 40000
host_memory_mib = 80000
disk_mib = 160000

[store]
starts_per_second = 10.0
full_speed_transfers = 6
transfer_mib_per_second = 4000.0

[platform]
list_lag_ms = 1000
reclaim_notice_ms = 3000

[[family]]
name = "plan"
count = 4
memory_mib_min = 4000
memory_mib_max = 8000
max_replicas = 2

[[family]]
name = "valve"
count = 2
memory_mib_min = 1000
memory_mib_max = 2000

[[traffic]]
name = "plans"
family = "plan"
class = "interactive"
requests_per_day = 1000.0
shape = { kind = "flat" }
popularity_exponent = 1.0
burst_size = 2.0
prompt_tokens = 100
answer_tokens = 12
deadline_ms = 60000

[[traffic]]
name = "commands"
family = "valve"
class = "critical"
requests_per_day = 500.0
shape = { kind = "flat" }
popularity_exponent = 0.0
prompt_tokens = 50
answer_tokens = 4
deadline_ms = 60000
once_only = 1.0
"#;

/// Faults of one case: kind, target, begin and length in milliseconds.
type Planned = (&'static str, &'static str, u64, u64);

fn schedule(faults: &[Planned]) -> FaultSchedule {
    let tables = faults.iter().map(|(kind, target, at, length)| {
        format!(
            "[[fault]]\nkind = \"{kind}\"\ntarget = \"{target}\"\nat_ms = {at}\nfor_ms = {length}\n"
        )
    });
    toml::from_str(&tables.collect::<String>()).unwrap()
}

/// Runs each case and expects answers and no violation.
async fn survives(cases: &[(&str, &[Planned])]) {
    let scenario: Scenario = toml::from_str(SCENARIO).unwrap();
    for (name, faults) in cases {
        let settings = FleetSettings {
            scenario: scenario.clone(),
            faults: schedule(faults),
            length: Duration::from_secs(5),
            scale: 1.0,
            rate_per_second: 15.0,
            max_deadline: Duration::from_secs(20),
            seed: 1,
            progress: false,
        };
        let report = run(&settings).await.unwrap();
        assert!(report.violations.is_empty(), "{name}: {}", report.text());
        assert!(
            report.load.count_of("answered") > 0,
            "{name}: {}",
            report.text()
        );
        assert_eq!(report.faults.len(), faults.len(), "{name}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashes_lose_and_double_nothing() {
    survives(&[(
        "leader, router and runner crash",
        &[
            ("crash", "controller", 1500, 1000),
            ("crash", "router-1", 2000, 1000),
            ("crash", "runner", 2500, 1000),
        ],
    )])
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_cuts_lose_and_double_nothing() {
    survives(&[(
        "leader, router and runner cut off in silence",
        &[
            ("silent-cut", "controller", 1500, 2000),
            ("silent-cut", "router-2", 2000, 2000),
            ("silent-cut", "runner", 2500, 1500),
        ],
    )])
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_restarts_break_nothing_off() {
    survives(&[(
        "a router, the leader and another router restart as planned",
        &[
            ("planned-restart", "router-1", 1000, 200),
            ("planned-restart", "controller", 2000, 200),
            ("planned-restart", "router-2", 3000, 200),
            ("operator-race", "*", 1500, 0),
            ("resent-change", "*", 2500, 0),
        ],
    )])
    .await;
}
