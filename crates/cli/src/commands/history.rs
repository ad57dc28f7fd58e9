//! `courseshunt history`: accepted changes, the newest first.

use super::{block_on, parse};
use crate::error::CommandError;
use serde_json::Value;

fn options() -> getopts::Options {
    let mut options = super::get::connection_options();
    options.optopt("n", "number", "changes to show [default: 20]", "N");
    options
}

pub fn help() -> String {
    options().usage("Usage: courseshunt history [OPTIONS]")
}

pub fn run(arguments: &[String]) -> Result<(), CommandError> {
    let matches = parse(&options(), arguments)?;
    let number = matches.opt_str("number").unwrap_or_else(|| "20".to_owned());
    let number: usize = number
        .parse()
        .map_err(|_| CommandError::usage(format!("--number is `{number}`; allowed: a number")))?;
    let client = super::get::client(&matches)?;
    let path = format!("/admin/v1/history?limit={number}");
    let entries = block_on(async { Ok(client.get(&path).await?) })?;
    for entry in entries.as_array().into_iter().flatten() {
        println!("{}", line(entry));
    }
    Ok(())
}

/// `revision 7  2026-12-02T07:00:00Z  ana  change x: 2 documents: ...`
fn line(entry: &Value) -> String {
    let text = |key: &str| entry[key].as_str().unwrap_or_default().to_owned();
    let documents = entry["documents"].as_array().into_iter().flatten();
    let documents = documents.map(|one| {
        let (kind, name) = (&one["kind"], &one["name"]);
        let [kind, name] = [kind, name].map(|one| one.as_str().unwrap_or_default());
        format!("{kind} {name}")
    });
    let (operator, change_id) = (text("operator"), text("change_id"));
    let (revision, at, changed) = (&entry["revision"], &entry["at"], &entry["changed"]);
    let documents = documents.collect::<Vec<_>>().join(", ");
    format!(
        "revision {revision}  at {at} ms  by {operator}  change {change_id}  {changed} changed: {documents}"
    )
}
