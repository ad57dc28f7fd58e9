//! Subcommands.

mod apply;
mod check;
mod diff;
mod documents;
mod drain;
mod explain;
mod get;
mod history;
mod job;
mod manual;
mod member;
mod render;
mod serve;
mod status;
mod token;
mod trace;

pub use documents::DocumentFiles;
pub use manual::help_of_all;

use crate::error::CommandError;

/// One subcommand.
pub struct Subcommand {
    /// Its name.
    pub name: &'static str,
    /// What it does, in a line.
    pub summary: &'static str,
    run: fn(&[String]) -> Result<(), CommandError>,
    help: fn() -> String,
}

/// All subcommands, in the order of the help text.
pub const SUBCOMMANDS: &[Subcommand] = &[
    Subcommand {
        name: "controller",
        summary: "run a member of the control group",
        run: serve::controller,
        help: serve::controller_help,
    },
    Subcommand {
        name: "router",
        summary: "run a request router",
        run: serve::router,
        help: serve::router_help,
    },
    Subcommand {
        name: "render",
        summary: "render a template with a tenant's parameters",
        run: render::run,
        help: render::help,
    },
    Subcommand {
        name: "apply",
        summary: "send rendered documents to the controllers",
        run: apply::run,
        help: apply::help,
    },
    Subcommand {
        name: "diff",
        summary: "show what rendered documents would change",
        run: diff::run,
        help: diff::help,
    },
    Subcommand {
        name: "get",
        summary: "show the deployments in force",
        run: get::deployments,
        help: get::deployments_help,
    },
    Subcommand {
        name: "history",
        summary: "show the accepted changes: who, when, what",
        run: history::run,
        help: history::help,
    },
    Subcommand {
        name: "token",
        summary: "print the digest of a token, for operators and tenants",
        run: token::run,
        help: token::help,
    },
    Subcommand {
        name: "status",
        summary: "show the fleet, warm and cold models, queues and who lags",
        run: status::status,
        help: status::status_help,
    },
    Subcommand {
        name: "top",
        summary: "show the status again and again",
        run: status::top,
        help: status::top_help,
    },
    Subcommand {
        name: "explain",
        summary: "tell why a deployment is, or is not, loaded",
        run: explain::run,
        help: explain::help,
    },
    Subcommand {
        name: "trace",
        summary: "tell one request's story from the logs of all processes",
        run: trace::run,
        help: trace::help,
    },
    Subcommand {
        name: "member",
        summary: "list, add, promote, replace or remove members of the control group",
        run: member::run,
        help: member::help,
    },
    Subcommand {
        name: "drain",
        summary: "ask a router or runner to stop as planned",
        run: drain::run,
        help: drain::help,
    },
    Subcommand {
        name: "job",
        summary: "submit, show, cancel and list deferred jobs",
        run: job::run,
        help: job::help,
    },
    Subcommand {
        name: "check",
        summary: "check a settings file, template, parameters, documents, scenario or faults",
        run: check::run,
        help: check::help,
    },
    Subcommand {
        name: "settings-reference",
        summary: "print the page of all settings",
        run: manual::reference,
        help: manual::reference_help,
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
pub fn run(arguments: &[String]) -> Result<(), CommandError> {
    let Some((name, rest)) = arguments.split_first() else {
        return Err(CommandError::usage(format!(
            "no subcommand\n\n{}",
            overview()
        )));
    };
    if matches!(name.as_str(), "--help" | "-h" | "help") {
        println!("{}", overview());
        return Ok(());
    }
    let Some(subcommand) = SUBCOMMANDS.iter().find(|one| one.name == name) else {
        let problem = format!("unknown subcommand `{name}`\n\n{}", overview());
        return Err(CommandError::usage(problem));
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
    let mut text = "Usage: courseshunt SUBCOMMAND [OPTIONS]\n\nSubcommands:\n".to_owned();
    for subcommand in SUBCOMMANDS {
        text.push_str(&format!(
            "  {:<20}{}\n",
            subcommand.name, subcommand.summary
        ));
    }
    text.push_str("\n`courseshunt SUBCOMMAND --help` shows the options of one.");
    text
}

/// Parses flags, with the error of the command line.
fn parse(
    options: &getopts::Options,
    arguments: &[String],
) -> Result<getopts::Matches, CommandError> {
    let parsed = options.parse(arguments);
    parsed.map_err(|error| CommandError::usage(error.to_string()))
}

/// Runs asynchronous work to its end.
fn block_on<T>(work: impl Future<Output = Result<T, CommandError>>) -> Result<T, CommandError> {
    tokio::runtime::Runtime::new()?.block_on(work)
}
