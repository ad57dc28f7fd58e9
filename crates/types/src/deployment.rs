//! Deployment documents, in which operators declare how a model is served.

use crate::digest::Digest;
use crate::ids::{AdapterName, DeploymentName, ModelName, TenantName, Version};
use crate::time::Millis;

/// One deployment: a base model, its adapters, replica bounds and limits.
///
/// Written by operators as TOML (after rendering) and sent as JSON.
#[derive(
    Debug,
    Clone,
    PartialEq,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct DeploymentDocument {
    /// Name that clients send as `model`.
    pub name: DeploymentName,
    /// Operator-chosen version; it increases with each change.
    pub version: Version,
    /// Base model in the weight store.
    pub model: ModelName,
    /// Tenant that owns the deployment.
    pub tenant: TenantName,
    /// Tenants besides the owner that may call the deployment.
    #[serde(default)]
    pub shared_with: Vec<TenantName>,
    /// Adapters of the base model; clients call them as `name:adapter`.
    #[serde(default)]
    pub adapters: Vec<AdapterDocument>,
    /// Accelerator memory of one replica, in MiB.
    pub memory_mib: u64,
    /// Size of the checkpoint in the weight store, in MiB. Defaults to `memory_mib`.
    #[serde(default)]
    pub checkpoint_mib: u64,
    /// Minimum number of loaded replicas, also without requests.
    #[serde(default)]
    pub min_replicas: u32,
    /// Maximum number of loaded replicas.
    #[serde(default = "default_max_replicas")]
    pub max_replicas: u32,
    /// Number of requests that one replica runs concurrently.
    #[serde(default = "default_slots")]
    pub slots_per_replica: u32,
    /// Estimated duration of a load from the weight store, in milliseconds; used until a load has
    /// been measured.
    #[serde(default = "default_load_estimate")]
    pub load_estimate_ms: Millis,
    /// Limits of each priority class.
    #[serde(default)]
    pub limits: ClassLimits,
    /// Maximum rate of requests of one tenant, per second; 0 means no limit.
    #[serde(default)]
    pub tenant_rate_per_second: f64,
    /// Weights of cold starts and idle replicas in placement decisions.
    #[serde(default)]
    pub weights: ObjectiveWeights,
    /// Maximum time for which batch requests are collected before a load, in milliseconds.
    #[serde(default)]
    pub batch_window_ms: Millis,
}

fn default_max_replicas() -> u32 {
    1
}

fn default_slots() -> u32 {
    8
}

fn default_load_estimate() -> Millis {
    Millis::from_secs(30)
}

/// One adapter of a deployment.
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
pub struct AdapterDocument {
    /// Name within the deployment.
    pub name: AdapterName,
    /// Version of the adapter's weights.
    #[serde(default)]
    pub version: Version,
    /// Accelerator memory, in MiB.
    pub memory_mib: u64,
}

/// Limits of one priority class.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct ClassLimit {
    /// Maximum number of queued requests.
    pub queue_length: u32,
    /// Deadline of a request that specifies none, in milliseconds after its arrival.
    pub deadline_ms: Millis,
}

/// Limits for each priority class.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[serde(deny_unknown_fields, default)]
pub struct ClassLimits {
    /// Limits of critical requests.
    pub critical: ClassLimit,
    /// Limits of interactive requests.
    pub interactive: ClassLimit,
    /// Limits of batch requests.
    pub batch: ClassLimit,
}

impl Default for ClassLimits {
    fn default() -> Self {
        let limit = |queue_length, seconds| ClassLimit {
            queue_length,
            deadline_ms: Millis::from_secs(seconds),
        };
        Self {
            critical: limit(256, 60),
            interactive: limit(1024, 180),
            batch: limit(10_000, 6 * 3600),
        }
    }
}

impl ClassLimits {
    /// Limits of one class.
    #[must_use]
    pub fn of(&self, class: crate::PriorityClass) -> ClassLimit {
        match class {
            crate::PriorityClass::Critical => self.critical,
            crate::PriorityClass::Interactive => self.interactive,
            crate::PriorityClass::Batch => self.batch,
        }
    }
}

/// The operator's trade-off between cold starts and idle replicas.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[serde(deny_unknown_fields, default)]
pub struct ObjectiveWeights {
    /// Cost of each second for which a first request waits for a load.
    pub cold_start_weight: f64,
    /// Cost of each accelerator second for which a loaded replica is idle.
    pub idle_weight: f64,
}

impl Default for ObjectiveWeights {
    fn default() -> Self {
        Self {
            cold_start_weight: 1.0,
            idle_weight: 0.02,
        }
    }
}

/// An invalid field of a document.
#[derive(Debug, Clone, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("deployment {deployment}: field `{field}`: {problem}"))]
pub struct DocumentError {
    /// Deployment whose document is invalid.
    pub deployment: DeploymentName,
    /// Name of the invalid field.
    pub field: &'static str,
    /// Rule that the value violates, such as `must be 1 or more`.
    pub problem: String,
}

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

impl DeploymentDocument {
    /// Digest of the content without the version, so that equal versions with
    /// equal content are recognised.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        Digest::of(&bytes)
    }

    /// Accelerator memory of one replica with all adapters, in MiB.
    #[must_use]
    pub fn replica_memory_mib(&self) -> u64 {
        let adapters: u64 = self.adapters.iter().map(|adapter| adapter.memory_mib).sum();
        self.memory_mib + adapters
    }

    /// Size of the checkpoint in the weight store, in MiB.
    #[must_use]
    pub fn checkpoint_size_mib(&self) -> u64 {
        match self.checkpoint_mib {
            0 => self.memory_mib,
            size => size,
        }
    }

    /// Validates each field that can be validated without other documents.
    ///
    /// # Errors
    /// The first invalid field, with the rule that it violates.
    pub fn validate(&self) -> Result<(), DocumentError> {
        let invalid = |field, problem: &str| {
            Err(DocumentError {
                deployment: self.name.clone(),
                field,
                problem: problem.to_owned(),
            })
        };
        if !valid_name(self.name.as_str()) {
            return invalid("name", NAME_RULE);
        }
        if !valid_name(self.model.as_str()) {
            return invalid("model", NAME_RULE);
        }
        if !valid_name(self.tenant.as_str()) {
            return invalid("tenant", NAME_RULE);
        }
        if self
            .adapters
            .iter()
            .any(|adapter| !valid_name(adapter.name.as_str()))
        {
            return invalid("adapters", NAME_RULE);
        }
        if self.version.0 == 0 {
            return invalid("version", "must be 1 or more");
        }
        if self.memory_mib == 0 {
            return invalid("memory_mib", "must be 1 or more");
        }
        if self.max_replicas == 0 || self.max_replicas > MAX_REPLICAS {
            return invalid("max_replicas", "must be from 1 to 1024");
        }
        if self.min_replicas > self.max_replicas {
            return invalid("min_replicas", "must not exceed max_replicas");
        }
        if self.slots_per_replica == 0 || self.slots_per_replica > MAX_SLOTS {
            return invalid("slots_per_replica", "must be from 1 to 4096");
        }
        if !(self.tenant_rate_per_second.is_finite() && self.tenant_rate_per_second >= 0.0) {
            return invalid("tenant_rate_per_second", "must be 0 or more");
        }
        let weights = [self.weights.cold_start_weight, self.weights.idle_weight];
        if weights
            .iter()
            .any(|weight| !weight.is_finite() || *weight < 0.0)
        {
            return invalid("weights", "must be finite numbers, 0 or more");
        }
        Ok(())
    }
}

/// Maximum number of replicas of one deployment.
pub const MAX_REPLICAS: u32 = 1024;
/// Maximum number of slots of one replica.
pub const MAX_SLOTS: u32 = 4096;

const NAME_RULE: &str =
    "must be 1 to 128 letters, digits, '-', '_', '.' or '/', starting with a letter or digit";

/// Whether `name` is a valid name of a deployment, model, tenant or adapter.
#[must_use]
pub fn valid_name(name: &str) -> bool {
    let allowed = |character: char| character.is_ascii_alphanumeric() || "-_./".contains(character);
    name.len() <= MAX_NAME_BYTES
        && name.starts_with(|first: char| first.is_ascii_alphanumeric())
        && name.chars().all(allowed)
}
