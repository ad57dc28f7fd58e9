//! `courseshunt drain`: asks a router or runner to stop as planned.

use super::get::{client, connection_options};
use super::{block_on, parse};
use crate::error::CommandError;

pub fn help() -> String {
    let usage = "Usage: courseshunt drain [OPTIONS] router|runner ID\n\n\
                 A router finishes its requests, hands its queues over and exits. A runner\n\
                 gets no new work until its process starts again.";
    connection_options().usage(usage)
}

pub fn run(arguments: &[String]) -> Result<(), CommandError> {
    let matches = parse(&connection_options(), arguments)?;
    let [kind, id] = matches.free.as_slice() else {
        return Err(CommandError::usage(
            "drain: give `router` or `runner`, and an ID",
        ));
    };
    if !matches!(kind.as_str(), "router" | "runner") {
        let problem = format!("drain: `{kind}` can't be drained; allowed: router, runner");
        return Err(CommandError::usage(problem));
    }
    let client = client(&matches)?;
    block_on(async { Ok(client.drain(kind, id).await?) })?;
    println!("{kind} {id} drains");
    Ok(())
}
