//! `courseshunt diff`: what rendered documents would change.

use super::documents::DocumentFiles;
use super::{block_on, parse};
use crate::error::CommandError;

pub fn help() -> String {
    super::get::connection_options()
        .usage("Usage: courseshunt diff [OPTIONS] FILE...\n\nFILE is rendered text; `-` reads standard input.")
}

pub fn run(arguments: &[String]) -> Result<(), CommandError> {
    let matches = parse(&super::get::connection_options(), arguments)?;
    let files = DocumentFiles::read(&matches.free)?;
    let client = super::get::client(&matches)?;
    let in_force = block_on(async { Ok(client.get("/admin/v1/configuration").await?) })?;
    let diffs = courseshunt_operator::diff(&in_force, &files.batch);
    if diffs.is_empty() {
        println!("no difference to revision {}", in_force["revision"]);
    }
    for line in diffs.iter().flat_map(|diff| &diff.lines) {
        println!("{line}");
    }
    Ok(())
}
