//! Limits given by variables: which value holds, what is refused, and a changed file.

mod service_file;

use courseshunt_settings::limit_variables::{LIMIT_VARIABLES, LimitVariableError, VariableLimits};
use courseshunt_settings::service::{ServiceLimits, ServiceSettings, SettingsFile};
use service_file::VALID;
use std::ffi::OsString;
use std::os::unix::ffi::OsStringExt;

/// Every limit that a variable may give, in the file.
const STATED: &str = "memory_mb = 100\nmax_open_files = 1000\nquota_window_s = 4\n\
                      quota_overshoot = 0.1\nquota_slack = 10\nkey_trust_ms = 500\n";
const GIVEN: [(&str, &str); 6] = [
    ("COURSESHUNT_MEMORY_MB", "260"),
    ("COURSESHUNT_MAX_OPEN_FILES", "4100"),
    ("COURSESHUNT_QUOTA_WINDOW_S", "6"),
    ("COURSESHUNT_QUOTA_OVERSHOOT", "0.25"),
    ("COURSESHUNT_QUOTA_SLACK", "40.5"),
    ("COURSESHUNT_KEY_TRUST_MS", "2500"),
];

fn read(given: &[(&str, &str)]) -> Result<VariableLimits, LimitVariableError> {
    VariableLimits::read(|name| {
        let found = given.iter().find(|(one, _)| *one == name);
        found.map(|(_, value)| OsString::from(*value))
    })
}

fn limits_of_file(text: &str) -> ServiceLimits {
    ServiceSettings::parse(text).expect("valid").limits
}

fn assert_given(limits: &ServiceLimits) {
    assert_eq!(limits.memory_bytes(), Some(260_000_000));
    assert_eq!(limits.max_open_files, Some(4_100));
    assert_eq!(limits.quota_window_s, 6.0);
    assert_eq!(limits.quota_overshoot, 0.25);
    assert_eq!(limits.quota_slack, 40.5);
    assert_eq!(limits.key_trust_ms, Some(2_500));
}

#[test]
fn a_limit_of_a_variable_was_lost() {
    let variables = read(&GIVEN).expect("allowed");
    let limits = variables.over(limits_of_file(VALID));
    assert_given(&limits);
    assert_eq!(limits.grace_s, 8.0, "the others are the file's");
}

#[test]
fn a_limit_of_the_file_won_over_its_variable() {
    let variables = read(&GIVEN).expect("allowed");
    assert_given(&variables.over(limits_of_file(&format!("{VALID}{STATED}"))));
}

#[test]
fn an_absent_or_empty_variable_changed_a_limit() {
    let empty = GIVEN.map(|(name, _)| (name, ""));
    for variables in [read(&[]), read(&empty)] {
        let variables = variables.expect("allowed");
        for text in [VALID.to_owned(), format!("{VALID}{STATED}")] {
            let limits = limits_of_file(&text);
            assert_eq!(variables.over(limits), limits);
        }
    }
}

#[test]
fn a_wrong_variable_was_passed_over() {
    for variable in LIMIT_VARIABLES {
        for value in ["many", "-1", "NaN", "inf", " 5", "5 MB", "null"] {
            let error = read(&[(variable.name, value)]).expect_err(variable.name);
            let expected = format!(
                "environment variable {} is `{value}`; allowed: {}, or empty",
                variable.name, variable.allowed
            );
            assert_eq!(error.to_string(), expected);
        }
    }
    for name in ["MEMORY_MB", "MAX_OPEN_FILES", "QUOTA_WINDOW_S"] {
        let name = format!("COURSESHUNT_{name}");
        assert!(read(&[(&name, "0")]).is_err(), "{name} of 0");
    }
    assert!(read(&[("COURSESHUNT_MAX_OPEN_FILES", "1.5")]).is_err());
    assert!(read(&[("COURSESHUNT_KEY_TRUST_MS", "1.5")]).is_err());
}

#[test]
fn a_variable_that_is_no_text_was_passed_over() {
    let read = VariableLimits::read(|_| Some(OsString::from_vec(vec![0xff])));
    assert!(read.is_err());
}

#[test]
fn a_changed_file_ended_the_limits_of_variables() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("settings.toml");
    std::fs::write(&path, VALID).expect("a file");
    let variables = read(&GIVEN).expect("allowed");
    let (mut file, settings) = SettingsFile::open(path.clone(), variables).expect("valid");
    assert_given(&settings.limits);
    let changed = format!("{}{STATED}", VALID.replace("127.0.0.2", "127.0.0.3"));
    std::fs::write(&path, changed).expect("a file");
    let settings = file.changed().expect("valid").expect("changed");
    assert_eq!(settings.seeds[0].to_string(), "127.0.0.3:8000");
    assert_given(&settings.limits);
}

#[test]
fn a_default_of_the_reference_page_was_not_the_one_in_force() {
    let limits = limits_of_file(VALID);
    let key_trust = limits
        .key_trust_ms
        .map_or("none".to_owned(), |milliseconds| milliseconds.to_string());
    let in_force = [
        (
            "memory_mb",
            (limits.process_memory_bytes() / 1_000_000).to_string(),
        ),
        ("max_open_files", limits.open_files().to_string()),
        ("quota_window_s", limits.quota_window_s.to_string()),
        ("quota_overshoot", limits.quota_overshoot.to_string()),
        ("quota_slack", limits.quota_slack.to_string()),
        ("key_trust_ms", key_trust),
    ];
    let page = LIMIT_VARIABLES.map(|variable| (variable.key, variable.default.to_owned()));
    assert_eq!(page, in_force);
}
