//! Completion and manual page know every subcommand and every flag.

use courseshunt_cli::commands::{SUBCOMMANDS, help_of_all};
use std::io::Write;
use std::process::{Command, Stdio};

fn print(subcommand: &str) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_courseshunt"));
    let output = command.arg(subcommand).output().unwrap();
    assert!(output.status.success());
    String::from_utf8(output.stdout).unwrap()
}

/// What bash offers after `courseshunt WORDS...`.
fn complete(script: &str, words: &[&str]) -> Vec<String> {
    let list = words.join(" ");
    let count = words.len();
    let ask = format!(
        "{script}\nCOMP_WORDS=(courseshunt {list}); COMP_CWORD={count}; _courseshunt; printf '%s\\n' \"${{COMPREPLY[@]}}\"\n"
    );
    let mut bash = Command::new("bash");
    bash.args(["--norc", "--noprofile", "-s"]);
    let mut bash = bash
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    bash.stdin
        .take()
        .unwrap()
        .write_all(ask.as_bytes())
        .unwrap();
    let output = bash.wait_with_output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    text.lines().map(str::to_owned).collect()
}

#[test]
fn bash_completes_subcommands_and_flags() {
    let script = print("completion");
    let names: Vec<&str> = SUBCOMMANDS.iter().map(|one| one.name).collect();
    assert_eq!(complete(&script, &["''"]), names);
    let cases = [
        (["router", "--max-b"], vec!["--max-body-bytes"]),
        (["check", "--p"], vec!["--parameters"]),
        (["render", "--t"], vec!["--template"]),
        (["controller", "--he"], vec!["--help"]),
    ];
    for (words, expected) in cases {
        assert_eq!(complete(&script, &words), expected, "{words:?}");
    }
}

#[test]
fn the_manual_names_every_flag() {
    let page = print("manual").replace("\\-", "-");
    let mut flags = 0;
    for command in help_of_all() {
        assert!(
            page.contains(&format!(".SS {}\n", command.name)),
            "{}",
            command.name
        );
        for flag in command.flags() {
            assert!(page.contains(&format!(".B {}\n", flag.form)), "{flag:?}");
            assert!(!flag.help.is_empty(), "{}: {flag:?}", command.name);
            flags += 1;
        }
    }
    assert!(flags > 30, "{flags} flags");
}
