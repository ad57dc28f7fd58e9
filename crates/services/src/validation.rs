//! Decides whether a configuration is valid.

use crate::configuration::{Route, ServiceConfiguration};
use crate::tenants::validate_tenants;
use std::collections::BTreeSet;

/// Why a configuration is invalid.
#[derive(Debug, Clone, PartialEq, Eq, snafu::Snafu)]
pub enum ConfigurationError {
    /// The document can't be read.
    #[snafu(display("the configuration can't be read: {message}"))]
    Unreadable {
        /// What is wrong.
        message: String,
    },
    /// A route names a service that isn't declared.
    #[snafu(display("route {route}: unknown service {service}"))]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes share host and prefix.
    #[snafu(display("route {route}: host {host} and prefix {prefix} are taken already"))]
    DuplicateRoute {
        /// The second route.
        route: String,
        /// The host.
        host: String,
        /// The prefix.
        prefix: String,
    },
    /// A route's weights add up to nothing.
    #[snafu(display("route {route}: its weights add up to nothing"))]
    InvalidWeights {
        /// The route.
        route: String,
    },
    /// A route has no time limit.
    #[snafu(display("route {route}: its time limit is 0"))]
    ZeroTimeout {
        /// The route.
        route: String,
    },
    /// A prefix that does not begin and end with a slash.
    #[snafu(display("route {route}: prefix {prefix} must begin and end with a slash"))]
    InvalidPrefix {
        /// The route.
        route: String,
        /// The prefix.
        prefix: String,
    },
    /// Two tenants share a name.
    #[snafu(display("tenant {tenant} is declared twice"))]
    DuplicateTenant {
        /// The tenant.
        tenant: String,
    },
    /// Two tenants hold the same key.
    #[snafu(display("tenant {tenant}: it holds a key that tenant {other} holds already"))]
    SharedKey {
        /// The second tenant.
        tenant: String,
        /// The first one.
        other: String,
    },
    /// A tenant's limit is no number from 0 up.
    #[snafu(display("tenant {tenant}: its rate and burst must be numbers from 0 up"))]
    InvalidQuota {
        /// The tenant.
        tenant: String,
    },
    /// Two services share a name.
    #[snafu(display("service {service} is declared twice"))]
    DuplicateService {
        /// The service.
        service: String,
    },
}

/// Checks a configuration as a whole.
///
/// # Errors
/// The first fault found.
pub fn validate(configuration: &ServiceConfiguration) -> Result<(), ConfigurationError> {
    let mut services = BTreeSet::new();
    for service in &configuration.services {
        if !services.insert(service.name.as_str()) {
            return Err(ConfigurationError::DuplicateService {
                service: service.name.clone(),
            });
        }
    }
    let mut places = BTreeSet::new();
    for route in &configuration.routes {
        validate_route(route, &services)?;
        if !places.insert((route.host.as_str(), route.prefix.as_str())) {
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
