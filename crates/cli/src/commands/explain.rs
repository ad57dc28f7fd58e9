//! `courseshunt explain`: why a deployment is, or is not, loaded.

use super::get::{client, connection_options};
use super::{block_on, parse};
use crate::error::CommandError;
use serde_json::Value;

fn options() -> getopts::Options {
    let mut options = connection_options();
    options.optflag("", "json", "print the whole answer as JSON");
    options
}

pub fn help() -> String {
    options().usage("Usage: courseshunt explain [OPTIONS] DEPLOYMENT")
}

pub fn run(arguments: &[String]) -> Result<(), CommandError> {
    let matches = parse(&options(), arguments)?;
    let [deployment] = matches.free.as_slice() else {
        return Err(CommandError::usage("name one deployment".to_owned()));
    };
    let client = client(&matches)?;
    let path = format!("/admin/v1/explain/{deployment}");
    let page = block_on(async { Ok(client.get(&path).await?) })?;
    if matches.opt_present("json") {
        println!("{page:#}");
    } else {
        println!("{}", text(&page));
    }
    Ok(())
}

/// The answer as text: reasons, runners, last decisions.
fn text(page: &Value) -> String {
    let mut lines = vec![format!(
        "{} (policy {})",
        word(&page["deployment"]),
        word(&page["policy"])
    )];
    lines.extend(items(&page["reasons"]).map(|one| format!("  {}", word(one))));
    lines.push(format!(
        "  expected load: {} ms from host memory, {} ms from disk, {} ms from the weight store",
        page["load_times"]["host_memory"], page["load_times"]["disk"], page["load_times"]["remote"]
    ));
    let fitting = items(&page["fitting_runners"]).count();
    lines.push(format!("  runners that could take a replica: {fitting}"));
    for (obstacle, count) in page["refused_runners"].as_object().into_iter().flatten() {
        lines.push(format!("  runners that can't: {count} ({obstacle})"));
    }
    lines.push("  last decisions:".to_owned());
    lines.extend(items(&page["decisions"]).map(decision));
    lines.join("\n")
}

fn decision(entry: &Value) -> String {
    let decision = &entry["decision"];
    format!(
        "    {} on {}: {} [{}]",
        word(&decision["kind"]["kind"]),
        word(&decision["kind"]["runner"]),
        word(&decision["reason"]),
        word(&entry["outcome"])
    )
}

fn items(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

fn word(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}
