//! The declared configuration: routes, services and limits, as one document.

use crate::tenants::Tenant;
use courseshunt_types::{Millis, ModelName};
use std::collections::BTreeMap;

/// A whole configuration. The one with the highest number prevails.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ServiceConfiguration {
    /// The operator's number; rises in uneven steps.
    pub number: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// All tenants; where there are some, requests need a key.
    pub tenants: Vec<Tenant>,
    /// What clients may send.
    pub limits: ClientLimits,
}

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// Runs at most once; the answer is a series of events.
    Streaming,
}

/// One part of a route's traffic.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Share of the traffic, relative to the other targets.
    pub weight: f64,
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host, in lower case, without a port.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time that a request is held.
    pub timeout: Millis,
    /// Time within which an answer earns its full credit.
    pub objective: Millis,
    /// Longest pause between events that keeps a stream in time.
    pub event_gap_objective: Option<Millis>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Where requests go.
    pub targets: Vec<Target>,
    /// Back ends that one client attempt may be sent to at the most.
    pub max_attempts: u32,
    /// Whether a broken stream may go on at another back end.
    pub resumable: bool,
    /// Whether requests need no key.
    pub public: bool,
}

/// One service: a set of back-end instances.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Connections that one instance accepts over all callers.
    pub max_connections: u32,
    /// Path of the instances' health check; `None` when the operator names none.
    pub health_path: Option<String>,
    /// Model engine of the instances; `None` for a plain HTTP service.
    pub engine: Option<Engine>,
}

/// What the instances of a service with models can hold.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory for weights and adapters, in MB.
    pub memory_mb: f64,
    /// Adapters at once.
    pub adapter_slots: u32,
    /// Loads that the weight store allows in a second, over all instances.
    pub loads_per_second: f64,
    /// Memory of an instance for copies of weights that it does not hold, in MB.
    pub cache_memory_mb: f64,
    /// Disk of an instance for copies of weights, in MB.
    pub cache_disk_mb: f64,
    /// All models, by name.
    pub models: BTreeMap<String, ModelSpecification>,
}

impl Engine {
    /// The specification of a model.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&ModelSpecification> {
        self.models.get(name)
    }
}

/// One model that a service offers.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpecification {
    /// Name.
    pub name: ModelName,
    /// Memory of the weights, in MB.
    pub memory_mb: f64,
    /// Time of a load from the weight store.
    pub load_time: Millis,
    /// Time of a load from the instance's memory of copies.
    pub warm_load_time: Millis,
    /// Time of a load from the instance's disk.
    pub disk_load_time: Millis,
    /// Its adapters.
    pub adapters: Vec<String>,
    /// Memory of one adapter, in MB.
    pub adapter_mb: f64,
}

/// Limits on what clients send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Longest header, in bytes.
    pub max_header_bytes: usize,
    /// Longest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a request's head.
    pub header_timeout: Millis,
    /// Longest rest of a connection.
    pub idle_timeout: Millis,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        }
    }
}

impl ServiceConfiguration {
    /// The model engine of a service's instances.
    #[must_use]
    pub fn engine(&self, service: &str) -> Option<&Engine> {
        self.service(service)?.engine.as_ref()
    }

    /// A service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}
