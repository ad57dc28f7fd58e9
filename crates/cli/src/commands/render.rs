//! `courseshunt render`: template + parameters → documents on standard output.

use super::parse;
use crate::error::CommandError;
use courseshunt_operator::{read_documents, render};
use std::path::Path;

fn options() -> getopts::Options {
    let mut options = getopts::Options::new();
    options.reqopt("t", "template", "template (TOML with placeholders)", "FILE");
    options.reqopt("p", "parameters", "the tenant's parameters (TOML)", "FILE");
    options
}

pub fn help() -> String {
    options().usage("Usage: courseshunt render --template FILE --parameters FILE")
}

pub fn run(arguments: &[String]) -> Result<(), CommandError> {
    let matches = parse(&options(), arguments)?;
    let template = matches.opt_str("template").unwrap_or_default();
    let parameters = matches.opt_str("parameters").unwrap_or_default();
    let template = Path::new(&template);
    let text = render(template, Path::new(&parameters))?;
    read_documents(template, &text)?;
    print!("{text}");
    Ok(())
}
