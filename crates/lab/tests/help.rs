//! `--help` of every subcommand, as the binary prints it.

use courseshunt_lab::commands::SUBCOMMANDS;
use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_courseshunt-lab"));
    command.args(arguments).output().unwrap()
}

#[test]
fn every_subcommand_has_help() {
    for subcommand in SUBCOMMANDS {
        for flag in ["--help", "-h"] {
            let output = run(&[subcommand.name, flag]);
            let text = String::from_utf8_lossy(&output.stdout);
            let usage = format!("Usage: courseshunt-lab {}", subcommand.name);
            assert!(text.starts_with(&usage), "{}: {text}", subcommand.name);
            assert_eq!(output.status.code(), Some(0), "{}", subcommand.name);
        }
    }
}

#[test]
fn every_subcommand_refuses_an_unknown_flag() {
    for subcommand in SUBCOMMANDS {
        let output = run(&[subcommand.name, "--no-such-flag"]);
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(text.contains("no-such-flag"), "{}: {text}", subcommand.name);
        assert_eq!(output.status.code(), Some(2), "{}: {text}", subcommand.name);
    }
}
