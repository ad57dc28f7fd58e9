//! `courseshunt job`: deferred jobs, through a router.

use super::{block_on, parse};
use crate::error::CommandError;
use courseshunt_operator::{JobClient, JobOptions};
use serde_json::Value;
use std::io::Read;

/// Environment variable with the tenant's token.
const TOKEN_VARIABLE: &str = "COURSESHUNT_TOKEN";
const DEFAULT_ROUTER: &str = "127.0.0.1:8080";
const USAGE: &str = "Usage: courseshunt job submit [OPTIONS] [FILE]\n       \
                     courseshunt job get|cancel [OPTIONS] ID\n       \
                     courseshunt job list [OPTIONS]\n\n\
                     FILE holds the body of a completion; without it, the body is read from\n\
                     standard input.";

fn options() -> getopts::Options {
    let mut options = getopts::Options::new();
    let values = [
        (
            "router",
            "address of a router [default: 127.0.0.1:8080]",
            "ADDRESS",
        ),
        (
            "token-file",
            "file with the tenant's token [default: the variable COURSESHUNT_TOKEN]",
            "FILE",
        ),
        ("key", "submit: key that recognises a resend", "KEY"),
        (
            "deadline-ms",
            "submit: to be done within this time, in milliseconds",
            "NUMBER",
        ),
        (
            "class",
            "submit: critical, interactive or batch [default: batch]",
            "CLASS",
        ),
    ];
    for (name, help, hint) in values {
        options.optopt("", name, help, hint);
    }
    options.optflag("", "once", "submit: run at most once; needs --key");
    options
}

pub fn help() -> String {
    options().usage(USAGE)
}

pub fn run(arguments: &[String]) -> Result<(), CommandError> {
    let matches = parse(&options(), arguments)?;
    let Some((action, names)) = matches.free.split_first() else {
        return Err(usage("no action; allowed: submit, get, cancel, list"));
    };
    let client = client(&matches)?;
    let reply = match (action.as_str(), names) {
        ("submit", files) if files.len() < 2 => submit(&client, &matches, files.first())?,
        ("get", [job]) => block_on(async { Ok(client.get(job).await?) })?,
        ("cancel", [job]) => block_on(async { Ok(client.cancel(job).await?) })?,
        ("list", []) => block_on(async { Ok(client.list().await?) })?,
        ("get" | "cancel", _) => return Err(usage("one job identity must be given")),
        ("submit" | "list", _) => return Err(usage("too many arguments")),
        _ => {
            let problem = format!("unknown action `{action}`; allowed: submit, get, cancel, list");
            return Err(usage(&problem));
        }
    };
    println!("{reply:#}");
    Ok(())
}

fn usage(problem: &str) -> CommandError {
    CommandError::usage(format!("job: {problem}"))
}

fn client(matches: &getopts::Matches) -> Result<JobClient, CommandError> {
    let address = matches.opt_str("router");
    let address = address.unwrap_or_else(|| DEFAULT_ROUTER.to_owned());
    let token = match matches.opt_str("token-file") {
        Some(file) => std::fs::read_to_string(&file)
            .map_err(|error| CommandError::usage(format!("{file}: can't be read: {error}")))?,
        None => std::env::var(TOKEN_VARIABLE).unwrap_or_default(),
    };
    Ok(JobClient::new(address, token.trim()))
}

fn submit(
    client: &JobClient,
    matches: &getopts::Matches,
    file: Option<&String>,
) -> Result<Value, CommandError> {
    let deadline = matches.opt_str("deadline-ms");
    let deadline = deadline.map(|text| {
        let number = text.parse::<u64>();
        number.map_err(|_| usage(&format!("--deadline-ms is `{text}`; allowed: milliseconds")))
    });
    let options = JobOptions {
        key: matches.opt_str("key"),
        once_only: matches.opt_present("once"),
        deadline_ms: deadline.transpose()?,
        class: matches.opt_str("class"),
    };
    if options.once_only && options.key.is_none() {
        return Err(usage("--once needs --key"));
    }
    let body = read(file)?;
    block_on(async { Ok(client.submit(body, &options).await?) })
}

fn read(file: Option<&String>) -> Result<Vec<u8>, CommandError> {
    let Some(file) = file else {
        let mut body = Vec::new();
        std::io::stdin().read_to_end(&mut body)?;
        return Ok(body);
    };
    std::fs::read(file)
        .map_err(|error| CommandError::usage(format!("{file}: can't be read: {error}")))
}
