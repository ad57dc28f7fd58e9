//! Tenants: whose a request is, by its key, and how much they may use.
//!
//! Keys are kept as digests only. A look-up hashes the key that came and finds the
//! digest, so that its time tells nothing about the keys that are held. Cost: one
//! digest and one hash look-up, whatever the number of tenants.

use crate::validation::ConfigurationError;
use courseshunt_types::Digest;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// One tenant.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Name, as instances and logs are told it.
    pub name: String,
    /// Digests of the keys that its requests may carry.
    pub keys: Vec<Digest>,
    /// Rank of its requests, 0 first; goes before the route's.
    pub priority: Option<u8>,
    /// How much it may use; `None` for no limit.
    pub quota: Option<Quota>,
}

/// How much a tenant may use, over all routers together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Units a second.
    pub rate_per_second: f64,
    /// Units besides, at once.
    pub burst: f64,
    /// What is counted.
    pub unit: QuotaUnit,
}

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Each request as one.
    Requests,
    /// The tokens of a prompt and the most that may come out of it.
    Tokens {
        /// What a request counts that says nothing about its tokens.
        default_units: u32,
    },
}

impl Quota {
    /// Units of a request with these tokens in and out.
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

/// All tenants, indexed by their keys.
#[derive(Debug, Default)]
pub struct TenantTable {
    by_key: HashMap<Digest, Arc<Tenant>>,
    declared: bool,
}

impl TenantTable {
    /// Indexes valid tenants.
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
            declared: !tenants.is_empty(),
        }
    }

    /// Whether requests need a key: where tenants are declared.
    #[must_use]
    pub fn requires_key(&self) -> bool {
        self.declared
    }

    /// The tenant that holds a key.
    #[must_use]
    pub fn find(&self, key: &Digest) -> Option<&Arc<Tenant>> {
        self.by_key.get(key)
    }
}

/// Checks the tenants of a configuration.
///
/// # Errors
/// The first fault found; it names tenants, never keys.
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
            let holder = holders.insert(*key, &tenant.name);
            if let Some(other) = holder.filter(|other| *other != tenant.name) {
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
