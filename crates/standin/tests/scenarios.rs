//! Contract of scenario and fault files: what is wrong is refused with its
//! place, and the page names every field.

use courseshunt_standin::faults::{FaultKind, FaultSchedule};
use courseshunt_standin::scenario::Scenario;
use std::collections::BTreeSet;
use std::path::PathBuf;

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(name: &str) -> String {
    std::fs::read_to_string(root().join(name)).unwrap()
}

fn problem(text: &str) -> String {
    match toml::from_str::<Scenario>(text) {
        Ok(scenario) => scenario.validate().unwrap_err().to_string(),
        Err(error) => error.to_string(),
    }
}

#[test]
fn wrong_fields_are_refused_with_their_place() {
    let good = read("scenarios/souss.toml");
    toml::from_str::<Scenario>(&good)
        .unwrap()
        .validate()
        .unwrap();
    // What is replaced, by what, and what the error names.
    let cases = [
        (
            "hours = 24.0",
            "hours = 0.0",
            "field `hours`: must be more than 0",
        ),
        ("hours = 24.0", "hour = 24.0", "unknown field `hour`"),
        ("routers = 8", "routers = 0", "field `control.routers`"),
        ("count = 6\n", "count = 0\n", "field `runner_pool[1].count`"),
        (
            "memory_mib_max = 38_912",
            "memory_mib_max = 1",
            "field `family[2].memory_mib_max`",
        ),
        (
            "memory_mib_max = 153_600",
            "memory_mib_max = 900_000",
            "it must fit a runner",
        ),
        (
            "family = \"assistant\"",
            "family = \"asistant\"",
            "field `traffic[4].family`",
        ),
        (
            "burst_size = 20.0",
            "burst_size = 0.5",
            "field `traffic[5].burst_size`",
        ),
        (
            "once_only = 1.0",
            "once_only = 1.5",
            "field `traffic[2].once_only`",
        ),
        (
            "peak_hour = 13.0",
            "peak_hour = 25.0",
            "field `traffic[2].shape.peak_hour`",
        ),
        (
            "class = \"batch\"",
            "class = \"bulk\"",
            "unknown variant `bulk`",
        ),
        (
            "starts_per_second = 3.0",
            "starts_per_second = -1.0",
            "field `store.starts_per_second`",
        ),
        (
            "name = \"valves\"",
            "name = \"setpoints\"",
            "field `traffic`: the name `setpoints`",
        ),
    ];
    for (old, new, expected) in cases {
        assert!(good.contains(old), "{old}");
        let found = problem(&good.replacen(old, new, 1));
        assert!(found.contains(expected), "{new}: {found}");
    }
}

#[test]
fn wrong_faults_are_refused_with_their_place() {
    let cases = [
        (
            "[[fault]]\nat_ms = 1\nkind = { slow-store = 2.0 }\nfor_ms = 5\n",
            "fault[1].kind.slow-store",
        ),
        (
            "[[fault]]\nat_ms = 1\nkind = \"stale-list\"\n",
            "fault[1].for_ms",
        ),
        (
            "[[fault]]\nat_ms = 1\nkind = \"crash\"\ntarget = \"\"\n",
            "fault[1].target",
        ),
    ];
    for (text, expected) in cases {
        let schedule: FaultSchedule = toml::from_str(text).unwrap();
        let found = schedule.validate().unwrap_err().to_string();
        assert!(found.contains(expected), "{found}");
    }
    let unknown = toml::from_str::<FaultSchedule>("[[fault]]\nat_ms = 1\nkind = \"quake\"\n");
    assert!(
        unknown
            .unwrap_err()
            .to_string()
            .contains("unknown variant `quake`")
    );
}

fn keys(value: &toml::Value, found: &mut BTreeSet<String>) {
    match value {
        toml::Value::Table(table) => {
            for (key, inner) in table {
                found.insert(key.clone());
                keys(inner, found);
            }
        }
        toml::Value::Array(items) => items.iter().for_each(|item| keys(item, found)),
        _ => {}
    }
}

/// One of each kind. A new kind must be added here: the match has no rest.
fn all_fault_kinds() -> Vec<FaultKind> {
    let all = vec![
        FaultKind::Crash,
        FaultKind::LoseDisk,
        FaultKind::PlannedRestart,
        FaultKind::SilentCut,
        FaultKind::SlowLink(courseshunt_types::Millis(50)),
        FaultKind::Freeze,
        FaultKind::ZoneCut,
        FaultKind::ZoneLoss,
        FaultKind::Reclaim,
        FaultKind::ReclaimWithoutNotice,
        FaultKind::SlowStore(0.5),
        FaultKind::StaleList,
        FaultKind::DiskFull,
        FaultKind::OperatorRace,
        FaultKind::ResentChange,
    ];
    for kind in &all {
        match kind {
            FaultKind::Crash
            | FaultKind::LoseDisk
            | FaultKind::PlannedRestart
            | FaultKind::SilentCut
            | FaultKind::SlowLink(_)
            | FaultKind::Freeze
            | FaultKind::ZoneCut
            | FaultKind::ZoneLoss
            | FaultKind::Reclaim
            | FaultKind::ReclaimWithoutNotice
            | FaultKind::SlowStore(_)
            | FaultKind::StaleList
            | FaultKind::DiskFull
            | FaultKind::OperatorRace
            | FaultKind::ResentChange => {}
        }
    }
    all
}

#[test]
fn the_page_names_every_field_and_kind() {
    let page = read("docs/SCENARIOS.md");
    let mut names = BTreeSet::new();
    for file in ["souss", "andrade", "design-size"] {
        let text = read(&format!("scenarios/{file}.toml"));
        let scenario: Scenario = toml::from_str(&text).unwrap();
        scenario.validate().unwrap();
        keys(&toml::Value::try_from(&scenario).unwrap(), &mut names);
        for traffic in &scenario.traffic {
            let shape = toml::Value::try_from(&traffic.shape).unwrap();
            names.extend(
                shape
                    .get("kind")
                    .and_then(|one| one.as_str())
                    .map(str::to_owned),
            );
        }
    }
    for kind in all_fault_kinds() {
        match toml::Value::try_from(&kind).unwrap() {
            toml::Value::String(name) => names.extend([name]),
            other => keys(&other, &mut names),
        }
    }
    let schedule: FaultSchedule =
        toml::from_str("[[fault]]\nat_ms = 1\nkind = \"crash\"\n").unwrap();
    keys(&toml::Value::try_from(&schedule).unwrap(), &mut names);
    assert!(names.len() > 70, "{names:?}");
    let missing: Vec<&String> = names
        .iter()
        .filter(|name| !page.contains(&format!("`{name}`")) && !page.contains(&format!("{name}]")))
        .collect();
    assert!(missing.is_empty(), "not named: {missing:?}");
}
