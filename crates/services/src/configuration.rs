//! The operator's configuration: routes, services, tenants and limits, as one document.

use crate::model_sizes::{ModelSize, ModelSizes};
use crate::tenants::Tenant;
use courseshunt_types::{Millis, ModelName};
use std::collections::BTreeMap;

/// A complete configuration. The one with the highest number takes precedence.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ServiceConfiguration {
    /// Version number set by the operator; increases, possibly with gaps.
    pub number: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// All tenants. If any is declared, requests need a key.
    pub tenants: Vec<Tenant>,
    /// Limits on client requests.
    pub limits: ClientLimits,
    /// Sizes of the models of services that only earlier versions declared.
    pub earlier_services: ModelSizes,
}

/// Whether a request may be retried, and the form of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// May be executed more than once.
    Safe,
    /// Executed at most once.
    Unsafe,
    /// Executed at most once; the answer is a stream of events.
    Streaming,
}

/// A service that receives a share of a route's traffic.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Share of the traffic, relative to the weights of the other targets.
    pub weight: f64,
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, used in logs.
    pub name: String,
    /// Host in lower case, without a port.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may be retried.
    pub kind: RequestKind,
    /// Maximum time for which a router holds a request.
    pub timeout: Millis,
    /// Latency objective: an answer within this time receives full credit.
    pub objective: Millis,
    /// Longest gap between two events with which a stream meets its objective.
    pub event_gap_objective: Option<Millis>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that receive the requests.
    pub targets: Vec<Target>,
    /// Maximum number of back ends that one client attempt is sent to.
    pub max_attempts: u32,
    /// Whether an interrupted stream may be resumed at another back end.
    pub resumable: bool,
    /// Whether requests are accepted without a key.
    pub public: bool,
}

/// One service: a set of back-end instances.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Maximum number of connections to one instance, over all callers.
    pub max_connections: u32,
    /// Path of the instances' health check; `None` without a health check.
    pub health_path: Option<String>,
    /// Model engine of the instances; `None` for a service without models.
    pub engine: Option<Engine>,
}

/// Capacity of each instance of a service with models, and the models that it offers.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Memory for the weights and adapters of loaded models, in MB.
    pub memory_mb: f64,
    /// Maximum number of adapters loaded at the same time.
    pub adapter_slots: u32,
    /// Memory for running requests and cached prefixes, in tokens; `None` if it is not declared.
    pub kv_capacity_tokens: Option<u32>,
    /// Loads per second that the weight store allows, over all instances.
    pub loads_per_second: f64,
    /// Host memory of an instance for cached weights of models that are not loaded, in MB.
    pub cache_memory_mb: f64,
    /// Disk space of an instance for cached weights, in MB.
    pub cache_disk_mb: f64,
    /// All models, by name.
    pub models: BTreeMap<String, ModelSpecification>,
    /// Sizes that earlier versions listed, of models that this one lists smaller or not at all.
    pub earlier_sizes: BTreeMap<String, ModelSize>,
}

impl Engine {
    /// The specification of a model.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&ModelSpecification> {
        self.models.get(name)
    }
}

/// A model that a service offers.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpecification {
    /// Name.
    pub name: ModelName,
    /// Memory that the weights need, in MB.
    pub memory_mb: f64,
    /// Load time from the weight store.
    pub load_time: Millis,
    /// Load time from weights cached in the instance's host memory.
    pub warm_load_time: Millis,
    /// Load time from weights cached on the instance's disk.
    pub disk_load_time: Millis,
    /// Names of its adapters.
    pub adapters: Vec<String>,
    /// Memory that one adapter needs, in MB.
    pub adapter_mb: f64,
}

/// Limits on client requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time until a request head is complete.
    pub header_timeout: Millis,
    /// Maximum time that a connection stays idle.
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

    /// Sets the sizes that earlier versions listed.
    #[must_use]
    pub fn with_earlier_sizes(mut self, mut earlier: ModelSizes) -> Self {
        for service in &mut self.services {
            if let Some(engine) = &mut service.engine {
                engine.earlier_sizes = earlier.remove(&service.name).unwrap_or_default();
            }
        }
        self.earlier_services = earlier;
        self
    }

    /// Longest pause that all routes to a service allow for their streams; `None` if none of them
    /// limits it.
    #[must_use]
    pub fn allowed_pause(&self, service: &str) -> Option<Millis> {
        let routes = self.routes.iter();
        let routes = routes.filter(|route| route.targets.iter().any(|one| one.service == service));
        routes.filter_map(|route| route.event_gap_objective).min()
    }

    /// A service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}
