//! Finds the route of a request: by host, then the longest prefix.

use crate::configuration::{Route, Service, ServiceConfiguration, Target};
use crate::tenants::TenantTable;
use std::collections::HashMap;
use std::sync::Arc;

/// A configuration, indexed for look-ups. Cost of a look-up: one hash of the
/// host and one for each slash of the path, whatever the number of routes.
#[derive(Debug, Default)]
pub struct RouteTable {
    configuration: ServiceConfiguration,
    hosts: HashMap<String, HashMap<String, Arc<Route>>>,
    services: HashMap<String, Arc<Service>>,
    tenants: TenantTable,
}

impl RouteTable {
    /// Indexes a valid configuration.
    #[must_use]
    pub fn new(configuration: ServiceConfiguration) -> Self {
        let mut hosts: HashMap<String, HashMap<String, Arc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            let prefixes = hosts.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), Arc::new(route.clone()));
        }
        let services = configuration.services.iter();
        let services = services
            .map(|service| (service.name.clone(), Arc::new(service.clone())))
            .collect();
        Self {
            tenants: TenantTable::new(&configuration.tenants),
            configuration,
            hosts,
            services,
        }
    }

    /// The configuration's number.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.configuration.number
    }

    /// The configuration.
    #[must_use]
    pub fn configuration(&self) -> &ServiceConfiguration {
        &self.configuration
    }

    /// All tenants.
    #[must_use]
    pub fn tenants(&self) -> &TenantTable {
        &self.tenants
    }

    /// A service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// The route for `host` (a port is left out of account) and `path`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.hosts.get(host) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let slashes = path.match_indices('/').map(|(position, _)| position);
        let mut slashes: Vec<usize> = slashes.collect();
        slashes.reverse();
        let mut found = slashes.into_iter();
        found.find_map(|position| prefixes.get(&path[..=position]))
    }
}

/// The target of a request, given a number drawn evenly from 0 up to 1.
#[must_use]
pub fn pick_target(targets: &[Target], draw: f64) -> Option<&Target> {
    let total: f64 = targets.iter().map(|target| target.weight).sum();
    let mut left = draw * total;
    for target in targets {
        if target.weight <= 0.0 {
            continue;
        }
        if left < target.weight {
            return Some(target);
        }
        left -= target.weight;
    }
    targets.iter().rev().find(|target| target.weight > 0.0)
}
