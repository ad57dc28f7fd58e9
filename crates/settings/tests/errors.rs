//! Contract of settings: each fault names its place, the value and what is allowed.

use courseshunt_settings::{ControllerSettings, RouterSettings};

fn arguments(list: &[&str]) -> Vec<String> {
    list.iter().map(|one| (*one).to_owned()).collect()
}

#[test]
fn each_fault_names_its_place() {
    let folder = tempfile::tempdir().unwrap();
    let cases = [
        (
            "id = \"a\"\nmax_body_bytes = 5\n",
            "settings.toml:2: `max_body_bytes` is `5`; allowed: a whole number from 1024",
        ),
        (
            "id = \"a\"\n\nmax_bodies = 5\n",
            "settings.toml:3: unknown setting `max_bodies`",
        ),
        ("id = ", "settings.toml:1: "),
        (
            "id = \"a\"\n",
            "setting `controllers` is missing; give it in the settings file or as --controllers",
        ),
    ];
    for (text, expected) in cases {
        let path = folder.path().join("settings.toml");
        std::fs::write(&path, text).unwrap();
        let path = path.to_string_lossy().into_owned();
        let error = RouterSettings::load(&arguments(&["--config", &path])).unwrap_err();
        let message = error.to_string();
        assert!(message.contains(expected), "{message}");
    }
}

#[test]
fn faulty_flags_are_named() {
    let cases = [
        (vec!["--nonsense"], "nonsense"),
        (vec!["extra"], "unexpected argument `extra`"),
        (
            vec!["--id", "0"],
            "--id: `id` is `0`; allowed: a whole number from 1",
        ),
        (
            vec!["--config", "/nonexistent/file"],
            "/nonexistent/file: can't be read",
        ),
    ];
    for (list, expected) in cases {
        let error = ControllerSettings::load(&arguments(&list)).unwrap_err();
        assert!(error.to_string().contains(expected), "{error}");
    }
}

#[test]
fn flags_override_the_file() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("router.toml");
    let text = "id = \"a\"\ncontrollers = [\"127.0.0.1:1\"]\ncluster_key_file = \"key\"\n";
    std::fs::write(&path, text).unwrap();
    let path = path.to_string_lossy().into_owned();
    let settings = RouterSettings::load(&arguments(&["--config", &path, "--id", "b"])).unwrap();
    assert_eq!(settings.id.as_str(), "b");
    assert_eq!(settings.controllers.len(), 1);
}
