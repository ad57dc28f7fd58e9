//! `courseshunt member`: members of the control group.

use super::get::{client, connection_options};
use super::{block_on, parse};
use crate::error::CommandError;
use serde_json::{Value, json};
use std::time::Duration;

/// Longest wait for a change; a learner may have to catch up.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(75);

pub fn help() -> String {
    connection_options().usage(
        "Usage: courseshunt member [OPTIONS] ACTION\n\nActions:\n    \
         list                 show the members and how far they are\n    \
         add ID ADDRESS       add a learner, found at this wire address\n    \
         promote ID           make a learner a voter once it has caught up\n    \
         replace LOST ID      let a learner take the place of a lost voter\n    \
         remove ID            remove a voter or learner",
    )
}

pub fn run(arguments: &[String]) -> Result<(), CommandError> {
    let matches = parse(&connection_options(), arguments)?;
    let client = client(&matches)?;
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    let page = match change(&words)? {
        None => block_on(async { Ok(client.get("/admin/v1/members").await?) })?,
        Some(change) => block_on(async {
            let path = "/admin/v1/members/changes";
            Ok(client.post(path, &change, CHANGE_TIMEOUT).await?)
        })?,
    };
    println!("{page:#}");
    Ok(())
}

/// The change that the words ask for; `None` for a list.
fn change(words: &[&str]) -> Result<Option<Value>, CommandError> {
    let change = match *words {
        ["list"] => return Ok(None),
        ["add", id, address] => {
            json!({"action": "add", "member": member(id)?, "wire_address": address})
        }
        ["promote", id] => json!({"action": "promote", "member": member(id)?}),
        ["replace", lost, id] => {
            json!({"action": "replace", "lost": member(lost)?, "learner": member(id)?})
        }
        ["remove", id] => json!({"action": "remove", "member": member(id)?}),
        _ => return Err(CommandError::usage(help())),
    };
    Ok(Some(change))
}

fn member(word: &str) -> Result<u64, CommandError> {
    let problem = || CommandError::usage(format!("`{word}` is no member id, a whole number"));
    word.parse().map_err(|_| problem())
}
