//! The configuration of the design size: models and adapters, most of them idle.

use crate::error::LabError;
use courseshunt_operator::read_documents;
use courseshunt_state::ChangeRequest;
use courseshunt_types::{DeploymentName, Digest};
use std::fmt::Write;
use std::path::Path;

/// Models of the design size.
pub const MODELS: usize = 97;
/// Adapters of the design size.
pub const ADAPTERS: usize = 2_900;
/// Token of the tenant that owns everything.
pub const TENANT_TOKEN: &str = "capacity-token";

/// Name of the `number`-th deployment.
#[must_use]
pub fn deployment_name(number: usize) -> DeploymentName {
    format!("deployment-{number:03}").into()
}

/// Everything, as one change.
///
/// # Errors
/// When the documents are not valid.
pub fn whole_configuration() -> Result<ChangeRequest, LabError> {
    let digest = Digest::of(TENANT_TOKEN.as_bytes());
    let mut text =
        format!("[[tenant]]\nname = \"tenant\"\nversion = 1\ntoken_digests = [\"{digest}\"]\n");
    for number in 0..MODELS {
        write_deployment(&mut text, number, 1);
    }
    change("capacity", &text)
}

/// A change of one deployment.
///
/// # Errors
/// When the document is not valid.
pub fn one_change(number: usize, version: u64) -> Result<ChangeRequest, LabError> {
    let mut text = String::new();
    write_deployment(&mut text, number, version);
    change(&format!("capacity-{number}-{version}"), &text)
}

fn change(id: &str, text: &str) -> Result<ChangeRequest, LabError> {
    let batch = read_documents(Path::new("capacity.toml"), text)?;
    Ok(batch.into_change(id.into()))
}

fn write_deployment(text: &mut String, number: usize, version: u64) {
    let name = deployment_name(number);
    let spare = usize::from(number < ADAPTERS % MODELS);
    let adapters = (0..ADAPTERS / MODELS + spare)
        .map(|adapter| format!("{{ name = \"adapter-{adapter:02}\", memory_mib = 64 }}"));
    let adapters: Vec<String> = adapters.collect();
    // Writing into a string does not fail.
    let _ = write!(
        text,
        "[[deployment]]\nname = \"{name}\"\nversion = {version}\nmodel = \"model-{number:03}\"\n\
         tenant = \"tenant\"\nmemory_mib = 16000\nmax_replicas = 8\nslots_per_replica = 16\n\
         load_estimate_ms = 20000\nadapters = [{}]\n",
        adapters.join(", ")
    );
}
