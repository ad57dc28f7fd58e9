//! Contract of the command line: help for each subcommand, faults with exit code 2.

use courseshunt_cli::commands::{SUBCOMMANDS, overview, run};

fn arguments(list: &[&str]) -> Vec<String> {
    list.iter().map(|one| (*one).to_owned()).collect()
}

#[test]
fn each_subcommand_has_help() {
    for subcommand in SUBCOMMANDS {
        run(&arguments(&[subcommand.name, "--help"])).unwrap();
    }
}

#[test]
fn the_overview_names_all_subcommands() {
    insta::assert_snapshot!(overview());
}

#[test]
fn faults_are_named() {
    let cases = [
        (vec![], "no subcommand"),
        (vec!["fly"], "unknown subcommand `fly`"),
        (vec!["router", "--nonsense"], "nonsense"),
        (
            vec!["drain", "router"],
            "give `router` or `runner`, and an ID",
        ),
        (vec!["drain", "fleet", "x"], "`fleet` can't be drained"),
        (vec!["job"], "job: no action"),
        (vec!["job", "drop"], "unknown action `drop`"),
        (vec!["job", "get"], "one job identity must be given"),
        (vec!["job", "submit", "--once"], "--once needs --key"),
        (
            vec!["job", "submit", "--deadline-ms", "soon"],
            "--deadline-ms is `soon`",
        ),
        (vec!["check"], "no file to check"),
        (vec!["check", "/nonexistent"], "/nonexistent: can't be read"),
        (vec!["check", "--as", "tea", "x"], "--as is `tea`"),
    ];
    for (list, expected) in cases {
        let error = run(&arguments(&list)).unwrap_err();
        assert!(error.to_string().contains(expected), "{error}");
    }
}
