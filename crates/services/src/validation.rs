//! Validation of configurations.
//!
//! Invariant: each route of a valid configuration leads to declared services, has a time limit
//! and has a host and prefix of its own; names of tenants and services are unique.

use crate::configuration::{Route, ServiceConfiguration};
use crate::tenants::validate_tenants;
use courseshunt_types::Millis;
use std::collections::BTreeSet;

const MS_PER_DAY: u64 = 86_400_000;
/// Longest time that a configuration may state.
pub const MAX_CONFIGURED_TIME: Millis = Millis(366 * MS_PER_DAY);

/// Why a configuration is invalid.
#[derive(Debug, Clone, PartialEq, Eq, snafu::Snafu)]
pub enum ConfigurationError {
    /// The document can't be parsed.
    #[snafu(display("the configuration can't be read: {message}"))]
    Unreadable {
        /// Description of the error.
        message: String,
    },
    /// A route names a service that isn't declared.
    #[snafu(display("route {route}: unknown service {service}"))]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the service.
        service: String,
    },
    /// Two routes have the same host and prefix.
    #[snafu(display("route {route}: host {host} and prefix {prefix} are taken already"))]
    DuplicateRoute {
        /// Name of the second route.
        route: String,
        /// Host of the route.
        host: String,
        /// Prefix of the route.
        prefix: String,
    },
    /// A weight of the route is negative, or all weights add up to 0.
    #[snafu(display("route {route}: its weights add up to nothing"))]
    InvalidWeights {
        /// Name of the route.
        route: String,
    },
    /// The time limit of a route is 0.
    #[snafu(display("route {route}: its time limit is 0"))]
    ZeroTimeout {
        /// Name of the route.
        route: String,
    },
    /// A time is longer than the clocks of all processes can add to any moment.
    #[snafu(display("{owner}: {field} is longer than {} days", MAX_CONFIGURED_TIME.0 / MS_PER_DAY))]
    TimeTooLong {
        /// What the time belongs to.
        owner: String,
        /// Name of the field in the operator's document.
        field: &'static str,
    },
    /// The prefix of a route does not begin and end with a slash.
    #[snafu(display("route {route}: prefix {prefix} must begin and end with a slash"))]
    InvalidPrefix {
        /// Name of the route.
        route: String,
        /// Prefix of the route.
        prefix: String,
    },
    /// Two tenants have the same name.
    #[snafu(display("tenant {tenant} is declared twice"))]
    DuplicateTenant {
        /// Name of the tenant.
        tenant: String,
    },
    /// Two tenants have a key in common.
    #[snafu(display("tenant {tenant}: it holds a key that tenant {other} holds already"))]
    SharedKey {
        /// Name of the second tenant.
        tenant: String,
        /// Name of the first tenant.
        other: String,
    },
    /// The rate or burst of a tenant's quota is negative, infinite or not a number.
    #[snafu(display("tenant {tenant}: its rate and burst must be numbers from 0 up"))]
    InvalidQuota {
        /// Name of the tenant.
        tenant: String,
    },
    /// Two services have the same name.
    #[snafu(display("service {service} is declared twice"))]
    DuplicateService {
        /// Name of the service.
        service: String,
    },
}

/// Validates a configuration as a whole.
///
/// # Errors
/// The first error found.
pub fn validate(configuration: &ServiceConfiguration) -> Result<(), ConfigurationError> {
    let mut services = BTreeSet::new();
    for service in &configuration.services {
        if !services.insert(service.name.as_str()) {
            return Err(ConfigurationError::DuplicateService {
                service: service.name.clone(),
            });
        }
    }
    let mut prefixes = BTreeSet::new();
    for route in &configuration.routes {
        validate_route(route, &services)?;
        if !prefixes.insert((route.host.as_str(), route.prefix.as_str())) {
            return Err(ConfigurationError::DuplicateRoute {
                route: route.name.clone(),
                host: route.host.clone(),
                prefix: route.prefix.clone(),
            });
        }
    }
    validate_tenants(&configuration.tenants)
}

fn validate_route(route: &Route, services: &BTreeSet<&str>) -> Result<(), ConfigurationError> {
    let name = || route.name.clone();
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(ConfigurationError::InvalidPrefix {
            route: name(),
            prefix: route.prefix.clone(),
        });
    }
    if route.timeout.0 == 0 {
        return Err(ConfigurationError::ZeroTimeout { route: name() });
    }
    for target in &route.targets {
        if !services.contains(target.service.as_str()) {
            return Err(ConfigurationError::UnknownService {
                route: name(),
                service: target.service.clone(),
            });
        }
    }
    let weights = route.targets.iter().map(|target| target.weight);
    let valid = weights.clone().all(|weight| weight >= 0.0);
    if !valid || weights.sum::<f64>() <= 0.0 {
        return Err(ConfigurationError::InvalidWeights { route: name() });
    }
    Ok(())
}
