//! The operators' page names every metric, refusal and log prefix; its
//! commands are valid, and those that need no running site do run.

use courseshunt_cli::commands::help_of_all;
use courseshunt_lab::site::{OPERATOR_TOKEN, Site, SiteSettings};
use courseshunt_standin::model::StoreModelSettings;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Subcommands that need no running site.
const OFFLINE: [&str; 5] = [
    "check",
    "render",
    "completion",
    "manual",
    "settings-reference",
];

fn root() -> PathBuf {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    path.canonicalize().unwrap()
}

fn page() -> String {
    std::fs::read_to_string(root().join("docs/OPERATIONS.md")).unwrap()
}

/// Lines of the page's `sh` blocks that call the product.
fn commands(page: &str) -> Vec<String> {
    let blocks = page.split("```sh\n").skip(1);
    let blocks = blocks.filter_map(|block| block.split("```").next());
    let lines = blocks.flat_map(str::lines);
    let ours = lines.filter(|line| line.starts_with("courseshunt "));
    ours.map(str::to_owned).collect()
}

#[test]
fn every_command_has_known_flags() {
    let known = help_of_all();
    let commands = commands(&page());
    assert!(commands.len() >= 12, "{} commands", commands.len());
    for line in commands {
        let words: Vec<&str> = line.split_whitespace().skip(1).collect();
        let command = known.iter().find(|one| one.name == words[0]);
        let command = command.unwrap_or_else(|| panic!("no such subcommand: {line}"));
        let flags = command.flags();
        for word in words
            .iter()
            .filter(|word| word.starts_with('-') && word.len() > 1)
        {
            let names =
                |flag: &&courseshunt_settings::manual::Flag| flag.names().any(|one| one == *word);
            assert!(flags.iter().find(names).is_some(), "{word} in: {line}");
        }
    }
}

#[test]
fn commands_that_need_no_site_run() {
    let folder = tempfile::tempdir().unwrap();
    std::os::unix::fs::symlink(root().join("examples"), folder.path().join("examples")).unwrap();
    let binary = Path::new(env!("CARGO_BIN_EXE_courseshunt"));
    let path = format!(
        "{}:{}",
        binary.parent().unwrap().display(),
        std::env::var("PATH").unwrap_or_default()
    );
    let mut ran = 0;
    for line in commands(&page()) {
        let subcommand = line.split_whitespace().nth(1).unwrap_or_default();
        if !OFFLINE.contains(&subcommand) {
            continue;
        }
        let mut shell = Command::new("sh");
        shell
            .args(["-c", &line])
            .env("PATH", &path)
            .current_dir(folder.path());
        let output = shell.output().unwrap();
        assert!(output.status.success(), "{line}: {output:?}");
        ran += 1;
    }
    assert!(ran >= 7, "{ran} commands ran");
}

#[test]
fn every_refusal_is_explained() {
    let source = std::fs::read_to_string(root().join("crates/types/src/outcome.rs")).unwrap();
    let codes = source.lines().filter_map(|line| {
        let (name, code) = line.trim().strip_prefix("Self::")?.split_once(" => \"")?;
        let reason = name.chars().all(char::is_alphanumeric);
        reason.then(|| code.trim_end_matches("\",").to_owned())
    });
    let codes: BTreeSet<String> = codes.collect();
    assert!(codes.len() >= 19, "{codes:?}");
    let page = page();
    let outcomes = ["done", "not-run", "unknown"];
    for code in codes
        .iter()
        .filter(|code| !outcomes.contains(&code.as_str()))
    {
        assert!(
            page.contains(&format!("| `{code}` |")),
            "refusal `{code}` is not on the page"
        );
    }
}

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() && !path.ends_with("tests") {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Prefixes of the log lines in one source text.
fn prefixes(text: &str) -> BTreeSet<String> {
    let calls = ["error", "warn", "info", "debug"].map(|level| format!("log::{level}!("));
    let after = calls
        .iter()
        .flat_map(|call| text.split(call.as_str()).skip(1));
    let messages = after.filter_map(|rest| rest.trim_start().strip_prefix('"'));
    let found = messages.filter_map(|message| {
        let (prefix, _) = message.split_once(": ")?;
        let word = !prefix.is_empty() && prefix.chars().all(|one| one.is_ascii_lowercase());
        word.then(|| prefix.to_owned())
    });
    found.collect()
}

#[test]
fn every_log_prefix_is_explained() {
    let mut files = Vec::new();
    sources(&root().join("crates"), &mut files);
    let texts = files
        .iter()
        .map(|file| std::fs::read_to_string(file).unwrap());
    let found: BTreeSet<String> = texts.flat_map(|text| prefixes(&text)).collect();
    assert!(found.len() >= 8, "{found:?}");
    let page = page();
    for prefix in found {
        assert!(
            page.contains(&format!("| `{prefix}:` |")),
            "log prefix `{prefix}:` is not on the page"
        );
    }
}

async fn metric_names(address: std::net::SocketAddr) -> BTreeSet<String> {
    let client = courseshunt_http::HttpClient::default();
    let limit = std::time::Duration::from_secs(20);
    let peer = address.to_string();
    let call = client.call::<()>(hyper::Method::GET, &peer, "/metrics", None, None, limit);
    let reply = call.await.unwrap();
    let text = String::from_utf8(reply.body.to_vec()).unwrap();
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let names = types.filter_map(|line| line.split(' ').next());
    names.map(str::to_owned).collect()
}

fn courseshunt(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_courseshunt"));
    command
        .env("COURSESHUNT_TOKEN", OPERATOR_TOKEN)
        .args(arguments);
    command.output().unwrap()
}

/// Against a running site: metrics are on the page, and the commands work.
#[tokio::test(flavor = "multi_thread")]
async fn a_running_site_matches_the_page() {
    let settings = SiteSettings {
        routers: 1,
        runners: 2,
        runner_memory_mib: 81_920,
        store: StoreModelSettings::default(),
        zones: vec!["a".to_owned()],
    };
    let site = Site::start(&settings).await.unwrap();
    let controller = site.controllers[0].http_address;
    let mut names = metric_names(controller).await;
    names.extend(metric_names(site.routers[0].http_address).await);
    assert!(names.len() >= 18, "{names:?}");
    let page = page();
    names.retain(|name| !page.contains(&format!("| `{name}` |")));
    assert!(
        names.is_empty(),
        "metrics that are not on the page: {names:?}"
    );
    let address = controller.to_string();
    tokio::task::spawn_blocking(move || commands_against(&address))
        .await
        .unwrap();
    site.stop().await;
}

fn commands_against(controller: &str) {
    let folder = tempfile::tempdir().unwrap();
    let documents = folder.path().join("documents.toml");
    let examples = root().join("examples/souss");
    let template = examples.join("templates/climate-ctl.toml");
    let tenant = examples.join("tenants/cooperative.toml");
    let (template, tenant) = (template.to_string_lossy(), tenant.to_string_lossy());
    let rendered = courseshunt(&["render", "--template", &template, "--parameters", &tenant]);
    std::fs::write(&documents, rendered.stdout).unwrap();
    let documents = documents.to_string_lossy();
    let cases = [
        (vec!["apply", &documents], "accepted as revision 1"),
        (vec!["apply", &documents], "accepted as revision 1"),
        (vec!["get"], "climate-ctl-vents"),
        (vec!["status"], "2 live"),
        (vec!["status", "--json"], "\"warmth\":\"cold\""),
        (
            vec!["top", "--count", "2", "--interval-seconds", "1"],
            "32 cold",
        ),
    ];
    for (arguments, expected) in cases {
        let at = ["--controller", controller];
        let output = courseshunt(&[arguments.as_slice(), &at].concat());
        let text = String::from_utf8_lossy(&output.stdout);
        assert!(text.contains(expected), "{arguments:?}: {output:?}");
        assert!(output.status.success(), "{arguments:?}: {output:?}");
    }
    let refused = courseshunt(&[
        "status",
        "--controller",
        controller,
        "--token-file",
        "/dev/null",
    ]);
    assert_eq!(refused.status.code(), Some(1));
    assert!(
        String::from_utf8_lossy(&refused.stderr).contains("401"),
        "{refused:?}"
    );
}
