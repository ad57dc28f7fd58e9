//! `courseshunt get`: reads the deployments in force; options that name a
//! controller.

use super::{block_on, parse};
use crate::error::CommandError;
use courseshunt_operator::AdminClient;

/// Environment variable with the operator's token.
const TOKEN_VARIABLE: &str = "COURSESHUNT_TOKEN";
const DEFAULT_CONTROLLER: &str = "127.0.0.1:7100";

/// Options that name a controller and a token.
pub fn connection_options() -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optopt(
        "",
        "controller",
        "addresses of controllers' operators' APIs, with commas between; the first that answers is used [default: 127.0.0.1:7100]",
        "ADDRESSES",
    );
    options.optopt(
        "",
        "token-file",
        "file with the operator's token [default: the variable COURSESHUNT_TOKEN]",
        "FILE",
    );
    options
}

/// The client that the options name.
pub fn client(matches: &getopts::Matches) -> Result<AdminClient, CommandError> {
    let address = matches.opt_str("controller");
    let address = address.unwrap_or_else(|| DEFAULT_CONTROLLER.to_owned());
    let token = match matches.opt_str("token-file") {
        Some(file) => std::fs::read_to_string(&file)
            .map_err(|error| CommandError::usage(format!("{file}: can't be read: {error}")))?,
        None => std::env::var(TOKEN_VARIABLE).unwrap_or_default(),
    };
    Ok(AdminClient::new(address, token.trim()))
}

pub fn deployments_help() -> String {
    connection_options()
        .usage("Usage: courseshunt get [OPTIONS] [NAME]\n\nShows all documents in force, or those named NAME.")
}

pub fn deployments(arguments: &[String]) -> Result<(), CommandError> {
    let matches = parse(&connection_options(), arguments)?;
    let client = client(&matches)?;
    let page = block_on(async { Ok(client.get("/admin/v1/configuration").await?) })?;
    let Some(name) = matches.free.first() else {
        println!("{page:#}");
        return Ok(());
    };
    let kinds = ["deployments", "tenants", "models"];
    let all = kinds.iter().filter_map(|kind| page[kind].as_array());
    let mut named = all.flatten().filter(|one| one["name"] == **name).peekable();
    if named.peek().is_none() {
        return Err(CommandError::usage(format!(
            "no document {name} is in force"
        )));
    }
    named.for_each(|document| println!("{document:#}"));
    Ok(())
}
