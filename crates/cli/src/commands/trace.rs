//! `courseshunt trace`: one request's story, from the logs of all processes.

use super::parse;
use crate::error::CommandError;
use courseshunt_records::read_stories;

pub fn help() -> String {
    getopts::Options::new().usage(
        "Usage: courseshunt trace ID LOGFILE...\n\nReads the records of the processes and prints what became of the request\nwith this identity, in order.",
    )
}

pub fn run(arguments: &[String]) -> Result<(), CommandError> {
    let matches = parse(&getopts::Options::new(), arguments)?;
    let [id, files @ ..] = matches.free.as_slice() else {
        return Err(CommandError::usage("name a request's id".to_owned()));
    };
    if files.is_empty() {
        return Err(CommandError::usage("name at least one log file".to_owned()));
    }
    let texts = files.iter().map(std::fs::read_to_string);
    let texts = texts.collect::<Result<Vec<String>, _>>()?;
    let story = read_stories(id, texts.iter().map(String::as_str));
    if story.is_empty() {
        return Err(CommandError::usage(format!("no record names {id}")));
    }
    print!("{story}");
    Ok(())
}
