//! The `courseshunt` binary: picks the subcommand.

use courseshunt_cli::commands;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match commands::run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("courseshunt: {error}");
            error.exit_code()
        }
    }
}
