//! Documents, removals and batches of them, as operators send them.

use courseshunt_types::{
    ChangeId, DeploymentDocument, DeploymentName, Digest, ModelName, TenantName, Version,
};

/// Kinds of documents. Each kind has its own namespace.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Default,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[rkyv(derive(Debug, PartialEq, Eq, PartialOrd, Ord))]
#[serde(rename_all = "lowercase")]
pub enum DocumentKind {
    /// A deployment.
    #[default]
    Deployment,
    /// A tenant.
    Tenant,
    /// A base model in the catalogue.
    Model,
}

impl DocumentKind {
    /// Name of the kind, as written in documents.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Deployment => "deployment",
            Self::Tenant => "tenant",
            Self::Model => "model",
        }
    }
}

/// Kind and name of a document.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[rkyv(derive(Debug, PartialEq, Eq, PartialOrd, Ord))]
pub struct DocumentKey {
    /// The kind.
    pub kind: DocumentKind,
    /// The name.
    pub name: String,
}

impl DocumentKey {
    /// Key of a deployment.
    #[must_use]
    pub fn deployment(name: &DeploymentName) -> Self {
        Self::of(DocumentKind::Deployment, name.as_str())
    }

    /// Key of a tenant.
    #[must_use]
    pub fn tenant(name: &TenantName) -> Self {
        Self::of(DocumentKind::Tenant, name.as_str())
    }

    /// Key of a model.
    #[must_use]
    pub fn model(name: &ModelName) -> Self {
        Self::of(DocumentKind::Model, name.as_str())
    }

    fn of(kind: DocumentKind, name: &str) -> Self {
        let name = name.to_owned();
        Self { kind, name }
    }
}

impl std::fmt::Display for DocumentKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} {}", self.kind.as_str(), self.name)
    }
}

/// A tenant and the digests of its bearer tokens.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct TenantDocument {
    /// The tenant.
    pub name: TenantName,
    /// Version chosen by the operator; increases with each change.
    pub version: Version,
    /// SHA-256 digests of the bearer tokens.
    pub token_digests: Vec<Digest>,
}

impl TenantDocument {
    /// Digest of the content.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(&serde_json::to_vec(self).unwrap_or_default())
    }
}

/// A base model that deployments may refer to. The catalogue is optional: while
/// it has no entry, every model name is allowed.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct ModelDocument {
    /// Name of the model in the weight store.
    pub name: ModelName,
    /// Version chosen by the operator; increases with each change.
    pub version: Version,
}

impl ModelDocument {
    /// Digest of the content.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(&serde_json::to_vec(self).unwrap_or_default())
    }
}

/// Removal of one document; like any change it has a version.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct Removal {
    /// Kind of the document.
    #[serde(default)]
    pub kind: DocumentKind,
    /// Its name.
    pub name: String,
    /// Version of the removal, higher than that of the removed document.
    pub version: Version,
}

impl Removal {
    /// Key of the removed document.
    #[must_use]
    pub fn key(&self) -> DocumentKey {
        DocumentKey::of(self.kind, &self.name)
    }

    /// Digest of every removal: two removals of the same version are equal.
    #[must_use]
    pub fn digest() -> Digest {
        Digest::of(b"removal")
    }
}

/// A batch of documents.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Default,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[serde(deny_unknown_fields, default)]
pub struct ChangeRequest {
    /// Change identifier, by which a resend is detected.
    pub change_id: ChangeId,
    /// Deployments to set.
    pub deployments: Vec<DeploymentDocument>,
    /// Tenants to set.
    pub tenants: Vec<TenantDocument>,
    /// Models to set.
    pub models: Vec<ModelDocument>,
    /// Documents to remove.
    pub removals: Vec<Removal>,
    /// The sender; set by the controller that authenticated the operator.
    #[serde(skip)]
    pub operator: String,
}

impl ChangeRequest {
    /// Digest of the content, without the change identifier and the operator.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let content = (
            &self.deployments,
            &self.tenants,
            &self.models,
            &self.removals,
        );
        Digest::of(&serde_json::to_vec(&content).unwrap_or_default())
    }

    /// Every document of the batch.
    #[must_use]
    pub fn items(&self) -> Vec<ChangeItem> {
        let deployments = self.deployments.iter().map(|one| ChangeItem {
            key: DocumentKey::deployment(&one.name),
            version: one.version,
            digest: one.digest(),
        });
        let tenants = self.tenants.iter().map(|one| ChangeItem {
            key: DocumentKey::tenant(&one.name),
            version: one.version,
            digest: one.digest(),
        });
        let models = self.models.iter().map(|one| ChangeItem {
            key: DocumentKey::model(&one.name),
            version: one.version,
            digest: one.digest(),
        });
        let removals = self.removals.iter().map(|one| ChangeItem {
            key: one.key(),
            version: one.version,
            digest: Removal::digest(),
        });
        let all = deployments.chain(tenants).chain(models).chain(removals);
        all.collect()
    }
}

/// One document of a batch, reduced to what is compared between versions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeItem {
    /// Kind and name.
    pub key: DocumentKey,
    /// Its version.
    pub version: Version,
    /// Digest of the content.
    pub digest: Digest,
}
