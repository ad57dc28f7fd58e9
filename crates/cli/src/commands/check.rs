//! `courseshunt check`: checks a file without starting anything.

use super::parse;
use crate::error::CommandError;
use crate::file_kind::FileKind;
use courseshunt_operator::{check_parameters, check_template, read_documents, render};
use courseshunt_settings::{ControllerSettings, RouterSettings, StandinSettings};
use courseshunt_standin::check::{check_faults, check_scenario};
use std::path::Path;

fn options() -> getopts::Options {
    let mut options = getopts::Options::new();
    let kinds = format!(
        "what the files are: {} [default: told by their content]",
        FileKind::words()
    );
    options.optopt("", "as", &kinds, "KIND");
    options.optopt(
        "p",
        "parameters",
        "render templates with this tenant's parameters and check the outcome",
        "FILE",
    );
    options
}

pub fn help() -> String {
    options().usage("Usage: courseshunt check [OPTIONS] FILE...")
}

pub fn run(arguments: &[String]) -> Result<(), CommandError> {
    let matches = parse(&options(), arguments)?;
    if matches.free.is_empty() {
        return Err(CommandError::usage("no file to check"));
    }
    let word = matches.opt_str("as");
    let wanted = word.as_deref().map(kind_of_word).transpose()?;
    let parameters = matches.opt_str("parameters");
    for file in &matches.free {
        let report = check(wanted, file, parameters.as_deref())?;
        println!("{file}: {report}");
    }
    Ok(())
}

fn kind_of_word(word: &str) -> Result<FileKind, CommandError> {
    FileKind::parse(word).ok_or_else(|| {
        let allowed = FileKind::words();
        CommandError::usage(format!("--as is `{word}`; allowed: {allowed}"))
    })
}

/// Checks one file; returns what it is, for people.
fn check(
    wanted: Option<FileKind>,
    file: &str,
    parameters: Option<&str>,
) -> Result<String, CommandError> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| CommandError::usage(format!("{file}: can't be read: {error}")))?;
    let kind = wanted.or_else(|| FileKind::recognise(&text));
    let kind = kind.ok_or_else(|| {
        let words = FileKind::words();
        CommandError::usage(format!(
            "{file}: can't tell what it is; say it with --as: {words}"
        ))
    })?;
    let path = Path::new(file);
    let config = ["--config".to_owned(), file.to_owned()];
    let detail = match kind {
        FileKind::Controller => ControllerSettings::load(&config).map(|_| String::new())?,
        FileKind::Router => RouterSettings::load(&config).map(|_| String::new())?,
        FileKind::Standin => StandinSettings::load(&config).map(|_| String::new())?,
        FileKind::Documents => documents(path, &text)?,
        FileKind::Template => template(path, &text, parameters)?,
        FileKind::Tenant => {
            let names = check_parameters(path, &text)?.into_iter();
            format!(", gives {}", names.collect::<Vec<_>>().join(", "))
        }
        FileKind::Scenario => {
            let scenario = check_scenario(path, &text)?;
            format!(", {} hours", scenario.hours)
        }
        FileKind::Faults => {
            let schedule = check_faults(path, &text)?;
            format!(", {} faults", schedule.fault.len())
        }
    };
    Ok(format!("ok ({}{detail})", kind.word()))
}

fn documents(path: &Path, text: &str) -> Result<String, CommandError> {
    let batch = read_documents(path, text)?;
    let deployments = batch.deployment.len();
    let tenants = batch.tenant.len();
    let removals = batch.removal.len();
    Ok(format!(
        ", {deployments} deployments, {tenants} tenants, {removals} removals"
    ))
}

fn template(path: &Path, text: &str, parameters: Option<&str>) -> Result<String, CommandError> {
    let needed = check_template(path, text)?.into_iter();
    let Some(parameters) = parameters else {
        return Ok(format!(", needs {}", needed.collect::<Vec<_>>().join(", ")));
    };
    let rendered = render(path, Path::new(parameters))?;
    documents(path, &rendered)
}
