//! The `courseshunt-lab` binary: picks the subcommand.

use courseshunt_lab::commands;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match commands::run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("courseshunt-lab: {error}");
            error.exit_code()
        }
    }
}
