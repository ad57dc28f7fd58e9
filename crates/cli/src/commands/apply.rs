//! `courseshunt apply`: sends rendered documents to the controllers.

use super::documents::DocumentFiles;
use super::{block_on, parse};
use crate::error::CommandError;
use courseshunt_operator::{ApplyOptions, ChangeReply};
use std::time::Duration;

/// Wait for a revision to be in force when the flag gives no time, in seconds.
const DEFAULT_WAIT_SECONDS: u64 = 16;

fn options() -> getopts::Options {
    let mut options = super::get::connection_options();
    options.optopt("", "change-id", "identity of this change, so that a resend is recognised [default: digest of the documents]", "ID");
    options.optflag("", "dry-run", "only say what would change");
    options.optflagopt(
        "",
        "wait",
        "wait until every live router has the change in force [default: 16 seconds]",
        "SECONDS",
    );
    options
}

pub fn help() -> String {
    options().usage("Usage: courseshunt apply [OPTIONS] FILE...\n\nFILE is rendered text; `-` reads standard input.")
}

pub fn run(arguments: &[String]) -> Result<(), CommandError> {
    let matches = parse(&options(), arguments)?;
    let files = DocumentFiles::read(&matches.free)?;
    let apply_options = ApplyOptions {
        dry_run: matches.opt_present("dry-run"),
        wait: wait(&matches)?,
    };
    let change_id = matches.opt_str("change-id");
    let change_id = change_id.unwrap_or_else(|| files.digest().to_string());
    let client = super::get::client(&matches)?;
    let change = files.batch.clone().into_change(change_id.into());
    let submitted = block_on(async { Ok(client.submit(&change, &apply_options).await) })?;
    let reply = submitted.map_err(|error| files.locate(error))?;
    report(&reply, &apply_options)
}

fn wait(matches: &getopts::Matches) -> Result<Option<Duration>, CommandError> {
    if !matches.opt_present("wait") {
        return Ok(None);
    }
    let seconds = match matches.opt_str("wait") {
        None => DEFAULT_WAIT_SECONDS,
        Some(text) => text.parse().map_err(|_| {
            CommandError::usage(format!("--wait is `{text}`; allowed: whole seconds"))
        })?,
    };
    Ok(Some(Duration::from_secs(seconds)))
}

fn report(reply: &ChangeReply, options: &ApplyOptions) -> Result<(), CommandError> {
    if options.dry_run {
        println!("would be revision {}", reply.revision);
        for document in &reply.changes {
            println!("  {document}");
        }
        return Ok(());
    }
    println!("accepted as revision {}", reply.revision);
    if reply.current_revision > reply.revision {
        println!(
            "it was accepted before; revision {} is newer",
            reply.current_revision
        );
    }
    if options.wait.is_none() {
        return Ok(());
    }
    let lagging = reply.lagging.iter();
    let lagging = lagging.map(|one| format!("{} (revision {})", one.router, one.revision));
    let unheard = reply.unheard.iter();
    let unheard = unheard.map(|one| format!("the routers of controller {one}, not heard yet"));
    let missing: Vec<String> = lagging.chain(unheard).collect();
    if missing.is_empty() {
        println!("in force at every live router");
        return Ok(());
    }
    Err(CommandError::Lagging {
        routers: missing.join(", "),
    })
}
