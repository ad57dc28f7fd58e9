//! Splits configuration updates into parts, so that each message stays small.
//!
//! Invariant: every part but the last has `more` set, and only the first carries the tenants and
//! the `full` flag.

use crate::message::{ConfigurationUpdate, Message};
use courseshunt_state::StoredDeployment;
use courseshunt_types::{DeploymentName, Revision};

/// Maximum number of documents in one part of an update.
pub const DOCUMENTS_PER_PART: usize = 128;

impl ConfigurationUpdate {
    /// Splits the update into messages of at most [`DOCUMENTS_PER_PART`] documents each. The
    /// receiver puts the update into force when the last one has arrived.
    #[must_use]
    pub fn into_parts(self) -> Vec<Message> {
        let deployments = self.deployments.chunks(DOCUMENTS_PER_PART);
        let mut parts: Vec<Self> = deployments
            .map(|documents| part(self.revision, documents.to_vec(), Vec::new()))
            .collect();
        let removed = self.removed.chunks(DOCUMENTS_PER_PART);
        parts.extend(removed.map(|names| part(self.revision, Vec::new(), names.to_vec())));
        if parts.is_empty() {
            parts.push(part(self.revision, Vec::new(), Vec::new()));
        }
        if let Some(first) = parts.first_mut() {
            first.full = self.full;
            first.tenants = self.tenants;
        }
        if let Some(last) = parts.last_mut() {
            last.more = false;
        }
        parts.into_iter().map(Message::Configuration).collect()
    }
}

fn part(
    revision: Revision,
    deployments: Vec<StoredDeployment>,
    removed: Vec<DeploymentName>,
) -> ConfigurationUpdate {
    ConfigurationUpdate {
        full: false,
        revision,
        deployments,
        removed,
        tenants: None,
        more: true,
    }
}
