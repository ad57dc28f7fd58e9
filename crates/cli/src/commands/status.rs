//! `courseshunt status` and `courseshunt top`: a person's view of the whole.

use super::get::{client, connection_options};
use super::{block_on, parse};
use crate::error::CommandError;
use crate::view::render;
use std::time::Duration;

/// Clears the terminal and goes to its first line.
const CLEAR: &str = "\x1b[2J\x1b[H";
const DEFAULT_INTERVAL_SECONDS: u64 = 2;

fn status_options() -> getopts::Options {
    let mut options = connection_options();
    options.optflag("", "all", "show idle cold deployments too");
    options.optflag("", "json", "print JSON, for machines");
    options
}

fn top_options() -> getopts::Options {
    let mut options = status_options();
    options.optopt(
        "",
        "interval-seconds",
        "time between looks [default: 2]",
        "N",
    );
    options.optopt("", "count", "looks before the end [default: no end]", "N");
    options
}

pub fn status_help() -> String {
    status_options().usage("Usage: courseshunt status [OPTIONS]")
}

pub fn top_help() -> String {
    top_options().usage("Usage: courseshunt top [OPTIONS]")
}

pub fn status(arguments: &[String]) -> Result<(), CommandError> {
    let matches = parse(&status_options(), arguments)?;
    block_on(async {
        println!("{}", look(&matches).await?);
        Ok(())
    })
}

pub fn top(arguments: &[String]) -> Result<(), CommandError> {
    let matches = parse(&top_options(), arguments)?;
    let seconds = number(&matches, "interval-seconds")?.unwrap_or(DEFAULT_INTERVAL_SECONDS);
    let count = number(&matches, "count")?;
    let clear = if matches.opt_present("json") {
        ""
    } else {
        CLEAR
    };
    block_on(async {
        let mut looks = 0;
        loop {
            println!("{clear}{}", look(&matches).await?);
            looks += 1;
            if count.is_some_and(|count| looks >= count) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_secs(seconds)).await;
        }
    })
}

async fn look(matches: &getopts::Matches) -> Result<String, CommandError> {
    let overview = client(matches)?.overview().await?;
    Ok(match matches.opt_present("json") {
        true => serde_json::to_string(&overview).unwrap_or_default(),
        false => render(&overview, matches.opt_present("all")),
    })
}

fn number(matches: &getopts::Matches, flag: &str) -> Result<Option<u64>, CommandError> {
    let Some(text) = matches.opt_str(flag) else {
        return Ok(None);
    };
    let number = text.parse::<u64>().ok().filter(|number| *number > 0);
    number.map(Some).ok_or_else(|| {
        CommandError::usage(format!(
            "--{flag} is `{text}`; allowed: a whole number from 1"
        ))
    })
}
