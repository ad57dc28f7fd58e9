//! `courseshunt apply`: sends rendered documents to the controllers.

use super::{block_on, parse};
use crate::error::CommandError;
use courseshunt_operator::{AdminClient, RenderedBatch, read_documents};
use courseshunt_types::Digest;
use std::path::Path;

fn options() -> getopts::Options {
    let mut options = super::get::connection_options();
    options.optopt("", "change-id", "identity of this change, so that a resend is recognised [default: digest of the documents]", "ID");
    options
}

pub fn help() -> String {
    options().usage("Usage: courseshunt apply [OPTIONS] FILE...\n\nFILE is rendered text; `-` reads standard input.")
}

pub fn run(arguments: &[String]) -> Result<(), CommandError> {
    let matches = parse(&options(), arguments)?;
    if matches.free.is_empty() {
        return Err(CommandError::usage("no file to apply"));
    }
    let mut batch = RenderedBatch::default();
    let mut all = String::new();
    for file in &matches.free {
        let text = read(file)?;
        batch.extend(read_documents(Path::new(file), &text)?);
        all.push_str(&text);
    }
    let change_id = matches.opt_str("change-id");
    let change_id = change_id.unwrap_or_else(|| Digest::of(all.as_bytes()).to_string());
    let client: AdminClient = super::get::client(&matches)?;
    let change = batch.into_change(change_id.into());
    let revision = block_on(async { Ok(client.apply(&change).await?) })?;
    println!("accepted as revision {revision}");
    Ok(())
}

fn read(file: &str) -> Result<String, CommandError> {
    if file == "-" {
        return Ok(std::io::read_to_string(std::io::stdin())?);
    }
    std::fs::read_to_string(file)
        .map_err(|error| CommandError::usage(format!("{file}: can't be read: {error}")))
}
