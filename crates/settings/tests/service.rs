//! Settings of services: what is refused, and how a changed file is followed.

mod service_file;

use courseshunt_settings::limit_variables::VariableLimits;
use courseshunt_settings::service::{ServiceSettings, SettingsFile};
use service_file::VALID;
use std::time::Duration;

#[test]
fn a_valid_file_is_read() {
    let settings = ServiceSettings::parse(VALID).expect("valid");
    assert_eq!(
        settings.seed_wire_addresses()[0].to_string(),
        "127.0.0.2:7000"
    );
    assert_eq!(settings.listen.ready, None, "an empty address is none");
    assert!(!settings.found_group);
}

#[test]
fn limits_against_crowds_may_be_left_out() {
    let settings = ServiceSettings::parse(VALID).expect("valid");
    assert_eq!(settings.limits.memory_bytes(), None);
    assert_eq!(settings.limits.max_open_files, None);
    let stated = format!("{VALID}memory_mb = 260\nmax_open_files = 4100\n");
    let settings = ServiceSettings::parse(&stated).expect("valid");
    assert_eq!(settings.limits.memory_bytes(), Some(260_000_000));
    assert_eq!(settings.limits.max_open_files, Some(4_100));
}

#[test]
fn faults_are_refused_with_their_line() {
    let cases = [
        ("unknown key", VALID.replace("zone", "zonne"), "line 3"),
        (
            "bad address",
            VALID.replace("127.0.0.1:8080", "here"),
            "line 9",
        ),
        (
            "short key",
            VALID.replace("sixteen bytes at least", "short"),
            "cluster_key",
        ),
        ("missing", VALID.replace("grace_s = 8\n", ""), "grace_s"),
        (
            "negative",
            VALID.replace("wire_port = 7000", "wire_port = -1"),
            "line 5",
        ),
    ];
    for (name, text, told) in cases {
        let problem = ServiceSettings::parse(&text).expect_err(name);
        assert!(problem.contains(told), "{name}: {problem}");
    }
}

/// A grace period below the minimum leaves no time for the answers of a stop; a negative or endless
/// one is no time at all.
#[test]
fn a_grace_period_that_a_stop_cannot_keep_is_refused() {
    for refused in ["0.49", "0.0", "-1", "nan", "inf", "86401"] {
        let text = VALID.replace("grace_s = 8", &format!("grace_s = {refused}"));
        let problem = ServiceSettings::parse(&text).expect_err(refused);
        assert!(problem.contains("`grace_s`"), "{refused}: {problem}");
        assert!(problem.contains("0.5 to 86400 seconds"), "{problem}");
    }
    let shortest = VALID.replace("grace_s = 8", "grace_s = 0.5");
    assert!(ServiceSettings::parse(&shortest).is_ok());
}

#[test]
fn margins_of_a_stop_are_shorter_only_for_short_grace_periods() {
    let full = Duration::from_millis(400);
    let cases = [("8", 400), ("2", 400), ("1", 200), ("0.5", 100)];
    for (grace_s, expected_ms) in cases {
        let text = VALID.replace("grace_s = 8", &format!("grace_s = {grace_s}"));
        let limits = ServiceSettings::parse(&text).expect("valid").limits;
        let expected = Duration::from_millis(expected_ms);
        assert_eq!(limits.stop_margin(full), expected, "{grace_s} s");
    }
}

#[test]
fn a_changed_file_is_followed_and_a_wrong_one_told_once() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("settings.toml");
    std::fs::write(&path, VALID).expect("a file");
    let (mut file, _) = SettingsFile::open(path.clone(), VariableLimits::default()).expect("valid");
    assert!(file.changed().expect("unchanged").is_none());
    std::fs::write(&path, VALID.replace("127.0.0.2", "127.0.0.3")).expect("a file");
    let changed = file.changed().expect("valid").expect("changed");
    assert_eq!(changed.seeds[0].to_string(), "127.0.0.3:8000");
    std::fs::write(&path, "name = 5").expect("a file");
    assert!(file.changed().is_err());
    assert!(file.changed().expect("told already").is_none());
    std::fs::write(&path, VALID).expect("a file");
    assert!(file.changed().expect("valid").is_some());
}
