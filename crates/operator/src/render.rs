//! Templates with parameters for each tenant → plain deployment documents.
//!
//! A template is TOML text with `minijinja` placeholders; parameters come from
//! one TOML file per tenant. The rendered text holds `[[deployment]]`,
//! `[[tenant]]`, `[[model]]` and `[[removal]]` tables.

use courseshunt_settings::locate::{field_of_named, line_of_offset};
use courseshunt_state::{ChangeRequest, ModelDocument, Removal, TenantDocument};
use courseshunt_types::deployment::DocumentError;
use courseshunt_types::{ChangeId, DeploymentDocument};
use snafu::ResultExt;
use std::path::{Path, PathBuf};

/// A fault in a template, a parameter file or rendered text.
#[derive(Debug, snafu::Snafu)]
pub enum RenderError {
    /// A file can't be read.
    #[snafu(display("{}: can't be read: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A template is wrong or a parameter is missing.
    #[snafu(display("{}:{line}: {problem}", path.display()))]
    Template {
        /// The template.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// What is wrong.
        problem: String,
    },
    /// A TOML text is wrong.
    #[snafu(display("{}:{line}: {problem}", path.display()))]
    Document {
        /// The file that the text came from.
        path: PathBuf,
        /// The line in the (rendered) text, from 1.
        line: usize,
        /// What is wrong.
        problem: String,
    },
}

/// Rendered documents.
#[derive(Debug, Clone, Default, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RenderedBatch {
    /// Deployments.
    pub deployment: Vec<DeploymentDocument>,
    /// Tenants.
    pub tenant: Vec<TenantDocument>,
    /// Models of the catalogue.
    pub model: Vec<ModelDocument>,
    /// Removals.
    pub removal: Vec<Removal>,
}

impl RenderedBatch {
    /// Adds the documents of another batch.
    pub fn extend(&mut self, other: RenderedBatch) {
        self.deployment.extend(other.deployment);
        self.tenant.extend(other.tenant);
        self.model.extend(other.model);
        self.removal.extend(other.removal);
    }

    /// The batch as a change.
    #[must_use]
    pub fn into_change(self, change_id: ChangeId) -> ChangeRequest {
        ChangeRequest {
            change_id,
            deployments: self.deployment,
            tenants: self.tenant,
            models: self.model,
            removals: self.removal,
            operator: String::new(),
        }
    }
}

/// Renders a template with a tenant's parameters.
///
/// # Errors
/// With file and line.
pub fn render(template: &Path, parameters: &Path) -> Result<String, RenderError> {
    let text = read(template)?;
    let parameters: toml::Table = parse(parameters, &read(parameters)?)?;
    let mut environment = minijinja::Environment::new();
    environment.set_undefined_behavior(minijinja::UndefinedBehavior::Strict);
    let rendered = environment.render_str(&text, minijinja::value::Serde(&parameters));
    rendered.map_err(|error| RenderError::Template {
        path: template.to_owned(),
        line: error.line().unwrap_or(1),
        problem: error.to_string(),
    })
}

/// Reads rendered text; `path` is named in errors.
///
/// # Errors
/// With file and line.
pub fn read_documents(path: &Path, text: &str) -> Result<RenderedBatch, RenderError> {
    let batch: RenderedBatch = parse(path, text)?;
    for document in &batch.deployment {
        document
            .validate()
            .map_err(|error| document_fault(path, text, &error))?;
    }
    Ok(batch)
}

fn document_fault(path: &Path, text: &str, error: &DocumentError) -> RenderError {
    let written = field_of_named(text, error.deployment.as_str(), error.field);
    let value = written.value.map(|value| format!(" (it is {value})"));
    RenderError::Document {
        path: path.to_owned(),
        line: written.line,
        problem: format!("{error}{}", value.unwrap_or_default()),
    }
}

fn read(path: &Path) -> Result<String, RenderError> {
    std::fs::read_to_string(path).context(UnreadableSnafu { path })
}

fn parse<T: serde::de::DeserializeOwned>(path: &Path, text: &str) -> Result<T, RenderError> {
    toml::from_str(text).map_err(|error| RenderError::Document {
        path: path.to_owned(),
        line: error
            .span()
            .map_or(1, |span| line_of_offset(text, span.start)),
        problem: error.message().to_owned(),
    })
}
