//! Subcommands of the laboratory.

mod arguments;
mod capacity;
mod compare;
mod demo;
mod flags;
mod fleet;
mod load;
mod manual;
mod propagate;
mod ready;
mod simulate;
mod standin;
mod suite;

use crate::error::LabError;

/// One subcommand.
pub struct Subcommand {
    /// Its name.
    pub name: &'static str,
    /// What it does, in a line.
    pub summary: &'static str,
    run: fn(&[String]) -> Result<(), LabError>,
    help: fn() -> String,
}

/// All subcommands, in the order of the help text.
pub const SUBCOMMANDS: &[Subcommand] = &[
    Subcommand {
        name: "demo",
        summary: "a small site in one process: cold models, a burst, a once-only command",
        run: demo::run,
        help: demo::help,
    },
    Subcommand {
        name: "compare",
        summary: "policies, seeds and faults side by side, as a table and plots",
        run: compare::run,
        help: compare::help,
    },
    Subcommand {
        name: "simulate",
        summary: "a scenario in virtual time under one placement policy",
        run: simulate::run,
        help: simulate::help,
    },
    Subcommand {
        name: "load",
        summary: "open-loop load against running routers, with every answer checked",
        run: load::run,
        help: load::help,
    },
    Subcommand {
        name: "fleet",
        summary: "a whole fleet in one process under load and faults, with checkers",
        run: fleet::run,
        help: fleet::help,
    },
    Subcommand {
        name: "suite",
        summary: "each failure, each pair of failures and a rolling restart, as a table",
        run: suite::run,
        help: suite::help,
    },
    Subcommand {
        name: "ready",
        summary: "whether a process says that it is ready",
        run: ready::run,
        help: ready::help,
    },
    Subcommand {
        name: "standin",
        summary: "one stand-in (runner, store, platform) as a process of its own",
        run: standin::run,
        help: standin::help,
    },
    Subcommand {
        name: "capacity",
        summary: "what a large fleet costs: hollow nodes at growing sizes, slopes by role",
        run: capacity::run,
        help: capacity::help,
    },
    Subcommand {
        name: "propagate",
        summary: "how fast a change is in force at all of many hollow routers",
        run: propagate::run,
        help: propagate::help,
    },
    Subcommand {
        name: "completion",
        summary: "print the completion script for bash",
        run: manual::completion,
        help: manual::completion_help,
    },
    Subcommand {
        name: "manual",
        summary: "print the manual page (roff)",
        run: manual::manual,
        help: manual::manual_help,
    },
];

/// Runs the subcommand that `arguments` name.
///
/// # Errors
/// The subcommand's error.
pub fn run(arguments: &[String]) -> Result<(), LabError> {
    let Some((name, rest)) = arguments.split_first() else {
        return Err(LabError::usage(format!("no subcommand\n\n{}", overview())));
    };
    if matches!(name.as_str(), "--help" | "-h" | "help") {
        println!("{}", overview());
        return Ok(());
    }
    let Some(subcommand) = SUBCOMMANDS.iter().find(|one| one.name == name) else {
        let problem = format!("unknown subcommand `{name}`\n\n{}", overview());
        return Err(LabError::usage(problem));
    };
    if rest.iter().any(|one| one == "--help" || one == "-h") {
        println!("{}", (subcommand.help)());
        return Ok(());
    }
    (subcommand.run)(rest)
}

/// The overview of all subcommands.
#[must_use]
pub fn overview() -> String {
    let mut text = "Usage: courseshunt-lab SUBCOMMAND [OPTIONS]\n\nSubcommands:\n".to_owned();
    for subcommand in SUBCOMMANDS {
        text.push_str(&format!(
            "  {:<12}{}\n",
            subcommand.name, subcommand.summary
        ));
    }
    text
}

/// Runs asynchronous work to its end.
fn block_on<T>(work: impl Future<Output = Result<T, LabError>>) -> Result<T, LabError> {
    tokio::runtime::Runtime::new()?.block_on(work)
}
