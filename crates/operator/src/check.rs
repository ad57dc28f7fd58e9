//! Checks templates and parameter files without rendering them together.

use crate::render::RenderError;
use courseshunt_settings::locate::{field_of_table, line_of_offset};
use courseshunt_types::deployment::valid_name;
use std::collections::BTreeSet;
use std::path::Path;

/// Whether a parameter has an allowed value.
type Accepts = fn(&toml::Value) -> bool;

/// Length of a token's digest in hexadecimal digits.
const DIGEST_DIGITS: usize = 64;

/// Checks a template's syntax; returns the parameters that it needs.
///
/// # Errors
/// With file and line.
pub fn check_template(path: &Path, text: &str) -> Result<BTreeSet<String>, RenderError> {
    let environment = minijinja::Environment::new();
    let template = environment.template_from_str(text);
    let template = template.map_err(|error| RenderError::Template {
        path: path.to_owned(),
        line: error.line().unwrap_or(1),
        problem: error.to_string(),
    })?;
    let needed = template.undeclared_variables(false).into_iter();
    Ok(needed.filter(|name| name != "range").collect())
}

/// Checks a tenant's parameter file; returns its parameters.
///
/// # Errors
/// With file, line, value and what is allowed.
pub fn check_parameters(path: &Path, text: &str) -> Result<BTreeSet<String>, RenderError> {
    let parsed: Result<toml::Table, toml::de::Error> = toml::from_str(text);
    let parameters = parsed.map_err(|error| RenderError::Document {
        path: path.to_owned(),
        line: error
            .span()
            .map_or(1, |span| line_of_offset(text, span.start)),
        problem: error.message().to_owned(),
    })?;
    let check = ParameterCheck { path, text };
    let rules: [(&str, Accepts, &str); 3] = [
        (
            "tenant",
            is_name,
            "a name of letters, digits, '-', '_', '.' or '/'",
        ),
        ("version", is_version, "a whole number from 1"),
        (
            "token_digests",
            is_digests,
            "a list of SHA-256 digests, 64 hexadecimal digits each",
        ),
    ];
    for (key, accepts, allowed) in rules {
        check.rule(&parameters, key, accepts, allowed)?;
    }
    Ok(parameters.keys().cloned().collect())
}

struct ParameterCheck<'a> {
    path: &'a Path,
    text: &'a str,
}

impl ParameterCheck<'_> {
    fn rule(
        &self,
        parameters: &toml::Table,
        key: &str,
        accepts: Accepts,
        allowed: &str,
    ) -> Result<(), RenderError> {
        let problem = match parameters.get(key) {
            Some(value) if accepts(value) => return Ok(()),
            Some(value) => format!("`{key}` is `{value}`; allowed: {allowed}"),
            None => format!("`{key}` is missing; allowed: {allowed}"),
        };
        Err(RenderError::Document {
            path: self.path.to_owned(),
            line: field_of_table(self.text, "", 0, key).line,
            problem,
        })
    }
}

fn is_name(value: &toml::Value) -> bool {
    value.as_str().is_some_and(valid_name)
}

fn is_version(value: &toml::Value) -> bool {
    value.as_integer().is_some_and(|version| version >= 1)
}

fn is_digests(value: &toml::Value) -> bool {
    let digest = |one: &toml::Value| {
        let text = one.as_str().unwrap_or_default();
        text.len() == DIGEST_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit())
    };
    value
        .as_array()
        .is_some_and(|digests| digests.iter().all(digest))
}
