//! Looks up the route of a request: by its host, then by the longest matching path prefix.

use crate::configuration::{Route, Service, ServiceConfiguration, Target};
use crate::tenants::TenantTable;
use courseshunt_types::Millis;
use std::collections::HashMap;
use std::sync::Arc;

/// A configuration, indexed for look-ups. A look-up costs one hash of the host and one for each
/// slash in the path, independent of the number of routes.
#[derive(Debug, Default)]
pub struct RouteTable {
    configuration: ServiceConfiguration,
    hosts: HashMap<String, HashMap<String, Arc<Route>>>,
    services: HashMap<String, Arc<Service>>,
    /// See [`ServiceConfiguration::allowed_pause`], by service.
    allowed_pauses: HashMap<String, Millis>,
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
        let allowed_pauses = configuration.services.iter().filter_map(|service| {
            let pause = configuration.allowed_pause(&service.name)?;
            Some((service.name.clone(), pause))
        });
        let allowed_pauses = allowed_pauses.collect();
        let services = configuration.services.iter();
        let services = services
            .map(|service| (service.name.clone(), Arc::new(service.clone())))
            .collect();
        Self {
            allowed_pauses,
            tenants: TenantTable::new(&configuration.tenants),
            configuration,
            hosts,
            services,
        }
    }

    /// Version number of the configuration.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.configuration.number
    }

    /// The indexed configuration.
    #[must_use]
    pub fn configuration(&self) -> &ServiceConfiguration {
        &self.configuration
    }

    /// The tenants, indexed by key.
    #[must_use]
    pub fn tenants(&self) -> &TenantTable {
        &self.tenants
    }

    /// The service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// See [`ServiceConfiguration::allowed_pause`].
    #[must_use]
    pub fn allowed_pause(&self, service: &str) -> Option<Millis> {
        self.allowed_pauses.get(service).copied()
    }

    /// The route for `host` and `path`; a port in `host` is ignored.
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
        let mut positions = slashes.into_iter();
        positions.find_map(|position| prefixes.get(&path[..=position]))
    }
}

/// Selects a target in proportion to the weights; `draw` is uniform in [0, 1).
#[must_use]
pub fn pick_target(targets: &[Target], draw: f64) -> Option<&Target> {
    let total: f64 = targets.iter().map(|target| target.weight).sum();
    let mut remaining = draw * total;
    for target in targets {
        if target.weight <= 0.0 {
            continue;
        }
        if remaining < target.weight {
            return Some(target);
        }
        remaining -= target.weight;
    }
    targets.iter().rev().find(|target| target.weight > 0.0)
}
