//! Tenants: identification of a request's tenant by its key, and the tenants' quotas.
//!
//! Invariant: keys are held only as digests. A look-up hashes the presented key and looks up the
//! digest, so that its duration reveals nothing about the held keys. Cost: one digest and one
//! hash look-up, independent of the number of tenants.

use crate::validation::ConfigurationError;
use courseshunt_types::Digest;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// A declared tenant.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Name, sent to instances and written to logs.
    pub name: String,
    /// Digests of the keys that its requests may carry.
    pub keys: Vec<Digest>,
    /// Priority of its requests, 0 is the most urgent; overrides the priority of the route.
    pub priority: Option<u8>,
    /// Its quota; `None` for no limit.
    pub quota: Option<Quota>,
}

/// Quota of a tenant, over all routers together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Units per second.
    pub rate_per_second: f64,
    /// Additional units that may be used at once.
    pub burst: f64,
    /// The unit that is counted.
    pub unit: QuotaUnit,
}

/// Unit of a quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Each request counts as one unit.
    Requests,
    /// Each request counts its prompt tokens and its maximum number of output tokens.
    Tokens {
        /// Units of a request that names no token counts.
        default_units: u32,
    },
}

impl Quota {
    /// Units of a request with these numbers of prompt and output tokens.
    #[must_use]
    pub fn weight(&self, prompt_tokens: u32, output_tokens: u32) -> u32 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { default_units } => {
                match prompt_tokens.saturating_add(output_tokens) {
                    0 => default_units,
                    tokens => tokens,
                }
            }
        }
    }
}

/// All tenants, indexed by the digests of their keys.
#[derive(Debug, Default)]
pub struct TenantTable {
    by_key: HashMap<Digest, Arc<Tenant>>,
    has_tenants: bool,
}

impl TenantTable {
    /// Indexes the tenants of a valid configuration.
    #[must_use]
    pub fn new(tenants: &[Tenant]) -> Self {
        let mut by_key = HashMap::new();
        for tenant in tenants {
            let tenant = Arc::new(tenant.clone());
            let keys = tenant.keys.iter();
            by_key.extend(keys.map(|key| (*key, tenant.clone())));
        }
        Self {
            by_key,
            has_tenants: !tenants.is_empty(),
        }
    }

    /// Whether requests need a key, which is the case if any tenant is declared.
    #[must_use]
    pub fn requires_key(&self) -> bool {
        self.has_tenants
    }

    /// The tenant with a key of this digest.
    #[must_use]
    pub fn find(&self, key: &Digest) -> Option<&Arc<Tenant>> {
        self.by_key.get(key)
    }
}

/// Validates the tenants of a configuration.
///
/// # Errors
/// The first error found; it names tenants, never keys.
pub(crate) fn validate_tenants(tenants: &[Tenant]) -> Result<(), ConfigurationError> {
    let mut names = BTreeSet::new();
    let mut holders: HashMap<Digest, &str> = HashMap::new();
    for tenant in tenants {
        if !names.insert(tenant.name.as_str()) {
            return Err(ConfigurationError::DuplicateTenant {
                tenant: tenant.name.clone(),
            });
        }
        validate_quota(tenant)?;
        for key in &tenant.keys {
            let previous = holders.insert(*key, &tenant.name);
            if let Some(other) = previous.filter(|other| *other != tenant.name) {
                return Err(ConfigurationError::SharedKey {
                    tenant: tenant.name.clone(),
                    other: other.to_owned(),
                });
            }
        }
    }
    Ok(())
}

fn validate_quota(tenant: &Tenant) -> Result<(), ConfigurationError> {
    let Some(quota) = tenant.quota else {
        return Ok(());
    };
    let valid = |value: f64| value.is_finite() && value >= 0.0;
    match valid(quota.rate_per_second) && valid(quota.burst) {
        true => Ok(()),
        false => Err(ConfigurationError::InvalidQuota {
            tenant: tenant.name.clone(),
        }),
    }
}
