//! `courseshunt token`: the line that admits an operator or a tenant's token
//! without writing the token down.

use super::parse;
use crate::error::CommandError;
use courseshunt_types::Digest;

fn options() -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optopt(
        "",
        "role",
        "role of an operator: read, apply or operate",
        "ROLE",
    );
    options.optopt("", "name", "name of the operator, for the history", "NAME");
    options
}

pub fn help() -> String {
    options().usage("Usage: courseshunt token [OPTIONS] < FILE\n\nReads a token from standard input. Without a role it prints the digest for a\ntenant's document; with a role, the line for the operators' file.")
}

pub fn run(arguments: &[String]) -> Result<(), CommandError> {
    let matches = parse(&options(), arguments)?;
    let token = std::io::read_to_string(std::io::stdin())?;
    let token = token.trim();
    if token.is_empty() || token.contains(char::is_whitespace) {
        return Err(CommandError::usage("the token must be one word"));
    }
    let digest = Digest::of(token.as_bytes());
    let name = matches.opt_str("name").unwrap_or_default();
    match matches.opt_str("role").as_deref() {
        None => println!("{digest}"),
        Some(role @ ("read" | "apply" | "operate")) => {
            let line = format!("{role} sha256:{digest} {name}");
            println!("{}", line.trim_end());
        }
        Some(other) => {
            let problem = format!("--role is `{other}`; allowed: read, apply, operate");
            return Err(CommandError::usage(problem));
        }
    }
    Ok(())
}
