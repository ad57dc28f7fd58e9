//! Contract of `courseshunt check`: each kind of file is recognised; each
//! fault gives file, line, value and what is allowed, with exit code 2.

use courseshunt_cli::file_kind::FileKind;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const ROUTER: &str = "id = \"r\"\ncontrollers = [\"127.0.0.1:7101\"]\ncluster_key_file = \"k\"\n";
const CONTROLLER: &str = "id = 1\ndata_folder = \"d\"\noperator_token_file = \"o\"\nrunner_token_file = \"t\"\ncluster_key_file = \"k\"\n";
const STANDIN: &str = "id = \"s\"\nstore_address = \"127.0.0.1:7002\"\nrunner_token_file = \"t\"\n";
const TENANT: &str = "tenant = \"souss\"\nversion = 1\ntoken_digests = []\ncrops = [\"tomato\"]\n";
const DOCUMENTS: &str = "[[deployment]]\nname = \"a\"\nversion = 1\nmodel = \"m\"\ntenant = \"t\"\nmemory_mib = 10\nmax_replicas = 2\n";
const TEMPLATE: &str = "{% for crop in crops %}\n[[deployment]]\nname = \"{{ crop }}\"\nversion = {{ version }}\nmodel = \"m\"\ntenant = \"{{ tenant }}\"\nmemory_mib = 10\n{% endfor %}\n";
const FAULTS: &str = "[[fault]]\nat_ms = 1000\nkind = { slow-store = 0.1 }\n";
const SCENARIO: &str = r#"name = "small"
hours = 2.0
zones = ["a"]

[control]
voters = 3

[[runner_pool]]
name = "runner"
count = 2
memory_mib = 1000
host_memory_mib = 1000
disk_mib = 1000

[[family]]
name = "models"
count = 3
memory_mib_min = 100
memory_mib_max = 200

[[traffic]]
name = "calls"
family = "models"
class = "interactive"
requests_per_day = 100.0
shape = { kind = "flat" }
popularity_exponent = 1.0
prompt_tokens = 100
answer_tokens = 10
deadline_ms = 1000
once_only = 0.5
"#;

fn write(folder: &Path, name: &str, text: &str) -> PathBuf {
    let path = folder.join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn check(arguments: &[&str], file: &Path) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_courseshunt"));
    command.arg("check").args(arguments).arg(file);
    command.output().unwrap()
}

#[test]
fn each_kind_of_file_is_recognised() {
    let folder = tempfile::tempdir().unwrap();
    let cases = [
        (ROUTER, "ok (router)"),
        (CONTROLLER, "ok (controller)"),
        (STANDIN, "ok (standin)"),
        (
            TENANT,
            "ok (tenant, gives crops, tenant, token_digests, version)",
        ),
        (
            DOCUMENTS,
            "ok (documents, 1 deployments, 0 tenants, 0 removals)",
        ),
        (TEMPLATE, "ok (template, needs crops, tenant, version)"),
        (FAULTS, "ok (faults, 1 faults)"),
        (SCENARIO, "ok (scenario, 2 hours)"),
    ];
    for (text, expected) in cases {
        let file = write(folder.path(), "file.toml", text);
        let output = check(&[], &file);
        let message = String::from_utf8_lossy(&output.stdout);
        assert!(message.contains(expected), "{message} {output:?}");
        assert_eq!(output.status.code(), Some(0));
    }
}

#[test]
fn each_fault_names_file_line_value_and_what_is_allowed() {
    let folder = tempfile::tempdir().unwrap();
    let cases = [
        (
            ROUTER,
            "id = \"r\"",
            "id = \"r\"\nmax_body_bytes = 5",
            "file.toml:2: `max_body_bytes` is `5`; allowed: a whole number from 1024 to 67108864",
        ),
        (
            ROUTER,
            "7101",
            "port",
            "file.toml:2: `controllers` is `127.0.0.1:port`; allowed: addresses such as",
        ),
        (
            CONTROLLER,
            "id = 1",
            "id = 0",
            "file.toml:1: `id` is `0`; allowed: a whole number from 1 to",
        ),
        (
            CONTROLLER,
            "data_folder",
            "data_foldre",
            "file.toml:2: unknown setting `data_foldre`; known are: id,",
        ),
        (
            STANDIN,
            "id = \"s\"\n",
            "id = \"s\"\nmemory_mib = 0\n",
            "file.toml:2: `memory_mib` is `0`; allowed: a whole number from 1 to",
        ),
        (STANDIN, "id = \"s\"", "id = ", "file.toml:1: "),
        (
            TENANT,
            "version = 1",
            "version = 0",
            "file.toml:2: `version` is `0`; allowed: a whole number from 1",
        ),
        (
            TENANT,
            "[]",
            "[\"abc\"]",
            "file.toml:3: `token_digests` is `[\"abc\"]`; allowed: a list of SHA-256 digests",
        ),
        (
            DOCUMENTS,
            "max_replicas = 2",
            "max_replicas = 5000",
            "file.toml:7: deployment a: field `max_replicas`: must be from 1 to 1024 (it is 5000)",
        ),
        (
            DOCUMENTS,
            "memory_mib",
            "memory",
            "file.toml:6: unknown field `memory`, expected one of",
        ),
        (TEMPLATE, "{% endfor %}", "{% endfro %}", "file.toml:8: "),
        (
            FAULTS,
            "0.1",
            "7.0",
            "file.toml:3: `kind` is `7`; allowed: a number from 0 to 1",
        ),
        (
            FAULTS,
            "slow-store",
            "slow-stor",
            "file.toml:3: unknown variant `slow-stor`, expected one of",
        ),
        (
            SCENARIO,
            "hours = 2.0",
            "hours = -1.0",
            "file.toml:2: `hours` is `-1`; allowed: a number above 0",
        ),
        (
            SCENARIO,
            "voters = 3",
            "voters = 99",
            "file.toml:6: `voters` is `99`; allowed: a number from 1 to 9",
        ),
        (
            SCENARIO,
            "memory_mib_max = 200",
            "memory_mib_max = 20",
            "file.toml:19: `memory_mib_max` is `20`; allowed: a number from 100",
        ),
        (
            SCENARIO,
            "family = \"models\"",
            "family = \"none\"",
            "file.toml:23: `family` is `none`; allowed: a family of this file: models",
        ),
        (
            SCENARIO,
            "once_only = 0.5",
            "once_only = 1.5",
            "file.toml:31: `once_only` is `1.5`; allowed: a number from 0 to 1",
        ),
        (
            SCENARIO,
            "answer_tokens = 10",
            "answer_tokens = \"few\"",
            "file.toml:29: invalid type: string \"few\", expected u32",
        ),
    ];
    for (good, part, fault, expected) in cases {
        let text = good.replacen(part, fault, 1);
        assert_ne!(text, good, "the case changes nothing: {part}");
        let file = write(folder.path(), "file.toml", &text);
        let output = check(&[], &file);
        let message = String::from_utf8_lossy(&output.stderr);
        assert!(
            message.contains(expected),
            "expected {expected}\n got {message}"
        );
        assert_eq!(output.status.code(), Some(2), "{message}");
    }
}

#[test]
fn other_faults_have_exit_code_2() {
    let folder = tempfile::tempdir().unwrap();
    let empty = write(folder.path(), "empty.toml", "");
    let binary = folder.path().join("binary.toml");
    std::fs::write(&binary, [0xff, 0xfe, 0x00]).unwrap();
    let template = write(folder.path(), "template.toml", TEMPLATE);
    let tenant = write(
        folder.path(),
        "tenant.toml",
        &TENANT.replace("version", "versoin"),
    );
    let tenant = tenant.to_string_lossy().into_owned();
    let cases = [
        (vec![], folder.path().join("none"), "can't be read"),
        (vec![], folder.path().to_owned(), "can't be read"),
        (vec![], binary, "can't be read"),
        (vec![], empty, "can't tell what it is; say it with --as"),
        (
            vec!["--as", "tea"],
            template.clone(),
            "--as is `tea`; allowed: controller, router",
        ),
        (vec!["--parameters", &tenant], template, "template.toml:4: "),
    ];
    for (arguments, file, expected) in cases {
        let output = check(&arguments, &file);
        let message = String::from_utf8_lossy(&output.stderr);
        assert!(
            message.contains(expected),
            "expected {expected}\n got {message}"
        );
        assert_eq!(output.status.code(), Some(2), "{message}");
    }
}

#[test]
fn all_example_files_are_recognised_and_good() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let mut checked = 0;
    for site in ["souss", "andrade"] {
        for (folder, kind) in [
            ("templates", "template"),
            ("tenants", "tenant"),
            ("settings", ""),
        ] {
            for entry in std::fs::read_dir(examples.join(site).join(folder)).unwrap() {
                let path = entry.unwrap().path();
                let output = check(&[], &path);
                assert_eq!(output.status.code(), Some(0), "{output:?}");
                let stem = path.file_stem().unwrap().to_string_lossy().into_owned();
                let kind = if kind.is_empty() { &stem } else { kind };
                let message = String::from_utf8_lossy(&output.stdout);
                assert!(message.contains(&format!("ok ({kind}")), "{message}");
                checked += 1;
            }
        }
    }
    assert!(checked >= 12, "{checked} files");
}

#[test]
fn words_of_kinds_are_read_back() {
    for word in FileKind::words().split(", ") {
        assert_eq!(FileKind::parse(word).map(FileKind::word), Some(word));
    }
}
