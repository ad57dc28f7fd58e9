//! `courseshunt check`: checks a file without starting anything.

use super::parse;
use crate::error::CommandError;
use courseshunt_operator::read_documents;
use courseshunt_settings::{ControllerSettings, RouterSettings};
use std::path::Path;

fn options() -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optopt(
        "",
        "as",
        "what the file is: controller, router or documents [default: documents]",
        "KIND",
    );
    options
}

pub fn help() -> String {
    options().usage("Usage: courseshunt check [--as KIND] FILE...")
}

pub fn run(arguments: &[String]) -> Result<(), CommandError> {
    let matches = parse(&options(), arguments)?;
    if matches.free.is_empty() {
        return Err(CommandError::usage("no file to check"));
    }
    let kind = matches
        .opt_str("as")
        .unwrap_or_else(|| "documents".to_owned());
    for file in &matches.free {
        check(&kind, file)?;
        println!("{file}: ok");
    }
    Ok(())
}

fn check(kind: &str, file: &str) -> Result<(), CommandError> {
    let config = ["--config".to_owned(), file.to_owned()];
    match kind {
        "controller" => {
            ControllerSettings::load(&config)?;
        }
        "router" => {
            RouterSettings::load(&config)?;
        }
        "documents" => {
            let text = std::fs::read_to_string(file);
            let text = text
                .map_err(|error| CommandError::usage(format!("{file}: can't be read: {error}")))?;
            read_documents(Path::new(file), &text)?;
        }
        other => {
            let problem = format!("--as is `{other}`; allowed: controller, router, documents");
            return Err(CommandError::usage(problem));
        }
    }
    Ok(())
}
