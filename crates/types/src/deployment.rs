//! Deployment documents: what operators declare for one model.

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
    /// Name that callers use as `model`.
    pub name: DeploymentName,
    /// Operator-chosen version; grows with each change.
    pub version: Version,
    /// Base model in the weight store.
    pub model: ModelName,
    /// Tenant that owns the deployment.
    pub tenant: TenantName,
    /// Tenants that may call it besides the owner.
    #[serde(default)]
    pub shared_with: Vec<TenantName>,
    /// Adapters over the base model; called as `name:adapter`.
    #[serde(default)]
    pub adapters: Vec<AdapterDocument>,
    /// Accelerator memory of one replica, in MiB.
    pub memory_mib: u64,
    /// Size of the checkpoint in the weight store, in MiB. Defaults to `memory_mib`.
    #[serde(default)]
    pub checkpoint_mib: u64,
    /// Replicas kept loaded even when nobody calls.
    #[serde(default)]
    pub min_replicas: u32,
    /// Replicas loaded at the most.
    #[serde(default = "default_max_replicas")]
    pub max_replicas: u32,
    /// Requests that one replica runs together.
    #[serde(default = "default_slots")]
    pub slots_per_replica: u32,
    /// Expected length of a load from the weight store, in milliseconds; an
    /// estimate until measured.
    #[serde(default = "default_load_estimate")]
    pub load_estimate_ms: Millis,
    /// Limits by class.
    #[serde(default)]
    pub limits: ClassLimits,
    /// Requests per second that one tenant may send; 0 means no limit.
    #[serde(default)]
    pub tenant_rate_per_second: f64,
    /// What the operator weighs.
    #[serde(default)]
    pub weights: ObjectiveWeights,
    /// How long batch requests may be gathered before a load, in milliseconds.
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
    /// Waiting requests at the most.
    pub queue_length: u32,
    /// Deadline of a request that names none, in milliseconds.
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
    /// The limit of one class.
    #[must_use]
    pub fn of(&self, class: crate::PriorityClass) -> ClassLimit {
        match class {
            crate::PriorityClass::Critical => self.critical,
            crate::PriorityClass::Interactive => self.interactive,
            crate::PriorityClass::Batch => self.batch,
        }
    }
}

/// The operator's trade-off between the two measures.
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
    /// Cost of one second that a first request waits for a load.
    pub cold_start_weight: f64,
    /// Cost of one accelerator second that a loaded replica is idle.
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

/// A fault in a document, naming the field.
#[derive(Debug, Clone, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("deployment {deployment}: field `{field}`: {problem}"))]
pub struct DocumentError {
    /// The faulty deployment.
    pub deployment: DeploymentName,
    /// The faulty field.
    pub field: &'static str,
    /// What is wrong and what is allowed.
    pub problem: String,
}

/// Longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

impl DeploymentDocument {
    /// Digest of the content without the version, so that equal versions with
    /// equal content are recognised.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        Digest::of(&bytes)
    }

    /// Accelerator memory that one replica takes with all adapters, in MiB.
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

    /// Checks every field that can be checked without other documents.
    ///
    /// # Errors
    /// The first faulty field, with what is allowed.
    pub fn validate(&self) -> Result<(), DocumentError> {
        let fault = |field, problem: &str| {
            Err(DocumentError {
                deployment: self.name.clone(),
                field,
                problem: problem.to_owned(),
            })
        };
        if !valid_name(self.name.as_str()) {
            return fault("name", NAME_RULE);
        }
        if !valid_name(self.model.as_str()) {
            return fault("model", NAME_RULE);
        }
        if !valid_name(self.tenant.as_str()) {
            return fault("tenant", NAME_RULE);
        }
        if self
            .adapters
            .iter()
            .any(|one| !valid_name(one.name.as_str()))
        {
            return fault("adapters", NAME_RULE);
        }
        if self.version.0 == 0 {
            return fault("version", "must be 1 or more");
        }
        if self.memory_mib == 0 {
            return fault("memory_mib", "must be 1 or more");
        }
        if self.max_replicas == 0 || self.max_replicas > MAX_REPLICAS {
            return fault("max_replicas", "must be from 1 to 1024");
        }
        if self.min_replicas > self.max_replicas {
            return fault("min_replicas", "must not exceed max_replicas");
        }
        if self.slots_per_replica == 0 || self.slots_per_replica > MAX_SLOTS {
            return fault("slots_per_replica", "must be from 1 to 4096");
        }
        if !(self.tenant_rate_per_second.is_finite() && self.tenant_rate_per_second >= 0.0) {
            return fault("tenant_rate_per_second", "must be 0 or more");
        }
        let weights = [self.weights.cold_start_weight, self.weights.idle_weight];
        if weights.iter().any(|one| !one.is_finite() || *one < 0.0) {
            return fault("weights", "must be finite numbers, 0 or more");
        }
        Ok(())
    }
}

/// Replicas of one deployment at the most.
pub const MAX_REPLICAS: u32 = 1024;
/// Slots of one replica at the most.
pub const MAX_SLOTS: u32 = 4096;

const NAME_RULE: &str =
    "must be 1 to 128 letters, digits, '-', '_', '.' or '/', starting with a letter or digit";

/// Whether `name` may be used for deployments, models, tenants and adapters.
#[must_use]
pub fn valid_name(name: &str) -> bool {
    let allowed = |one: char| one.is_ascii_alphanumeric() || "-_./".contains(one);
    name.len() <= MAX_NAME_BYTES
        && name.starts_with(|first: char| first.is_ascii_alphanumeric())
        && name.chars().all(allowed)
}
