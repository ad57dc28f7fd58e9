//! A router's paths to the instances: which ones it reaches by connections of its own.
//!
//! A router that can't open a connection does not know whether the instance is down or its own path
//! is lost. Another router that reaches the instance shows that it is the path.
//!
//! Invariant: an instance counts as reached through other routers only after one of them reached
//! it, and until a connection of this router's own succeeds.

use courseshunt_types::RunnerId;
use std::collections::{BTreeMap, BTreeSet};

/// A router that fails to open connections to this many instances of a service, and to open any in
/// between, counts as partitioned from the service: one instance that is down does not show this.
const PARTITIONED_FAILURES: usize = 2;

/// See the module documentation.
#[derive(Debug, Default)]
pub struct InstancePaths {
    /// Instances that other routers reach and this one does not.
    forwarded: BTreeSet<RunnerId>,
    /// By service, the instances to which connections failed since the last one that succeeded, to
    /// any instance of the service. Services have networks of their own.
    failed: BTreeMap<String, BTreeSet<RunnerId>>,
    /// The instance whose path was tried last.
    last_tried: Option<RunnerId>,
}

impl InstancePaths {
    /// Records that a connection of this router's own succeeded. Returns whether other paths may
    /// be back as well, since this one had been lost.
    pub fn record_success(&mut self, service: &str, instance: &RunnerId) -> bool {
        self.failed.remove(service);
        self.forwarded.remove(instance)
    }

    /// Records that a connection of this router's own failed.
    pub fn record_failure(&mut self, service: &str, instance: &RunnerId) {
        let failed = self.failed.entry(service.to_owned()).or_default();
        failed.insert(instance.clone());
    }

    /// Records that another router reached an instance to which this router's own connection
    /// failed. Returns whether this is new.
    pub fn record_forwarded(&mut self, instance: &RunnerId) -> bool {
        self.forwarded.insert(instance.clone())
    }

    /// Whether the instance is reached through other routers only.
    #[must_use]
    pub fn is_forwarded(&self, instance: &RunnerId) -> bool {
        self.forwarded.contains(instance)
    }

    /// Number of instances that are reached through other routers only.
    #[must_use]
    pub fn forwarded_count(&self) -> usize {
        self.forwarded.len()
    }

    /// Number of instances to which the path is lost, as far as is known: those that are reached
    /// through other routers only, and those of services from which this router appears to be
    /// partitioned.
    #[must_use]
    pub fn lost_count(&self) -> usize {
        let services = self.failed.values();
        let failed = services.filter(|failed| failed.len() >= PARTITIONED_FAILURES);
        let failed = failed.flatten().filter(|id| !self.forwarded.contains(*id));
        self.forwarded.len() + failed.count()
    }

    /// Whether the path to any instance is lost, or the last connection failed.
    #[must_use]
    pub fn needs_forwarder(&self) -> bool {
        !self.forwarded.is_empty() || !self.failed.is_empty()
    }

    /// Services from which this router appears to be partitioned.
    pub fn partitioned_services(&self) -> impl Iterator<Item = &str> {
        let services = self.failed.iter();
        let services = services.filter(|(_, failed)| failed.len() >= PARTITIONED_FAILURES);
        services.map(|(service, _)| service.as_str())
    }

    /// Whether this router appears to have lost its paths to a service, rather than to single
    /// instances.
    #[must_use]
    pub fn is_partitioned_from(&self, service: &str) -> bool {
        let failed = self.failed.get(service);
        failed.is_some_and(|failed| failed.len() >= PARTITIONED_FAILURES)
    }

    /// Whether an instance of the service that this router can't reach is evidence against the
    /// instance: another router that forwards did not reach it either, or this router reaches
    /// other instances of the service.
    #[must_use]
    pub fn is_evidence(&self, service: &str, has_forwarder: bool) -> bool {
        has_forwarder || !self.is_partitioned_from(service)
    }

    /// Whether this router appears to be partitioned from any service.
    #[must_use]
    pub fn is_partitioned(&self) -> bool {
        self.partitioned_services().next().is_some()
    }

    /// The next instance whose path is to be tried, in turn over all lost paths; `None` if no path
    /// is lost.
    pub fn next_to_try(&mut self) -> Option<RunnerId> {
        let after = match &self.last_tried {
            Some(last) => self.forwarded.range(last.clone()..).find(|id| *id != last),
            None => None,
        };
        let next = after.or_else(|| self.forwarded.first()).cloned();
        self.last_tried.clone_from(&next);
        next
    }

    /// Removes instances that no longer exist.
    pub fn remove(&mut self, gone: &[RunnerId]) {
        for id in gone {
            self.forwarded.remove(id);
            for failed in self.failed.values_mut() {
                failed.remove(id);
            }
        }
        self.failed.retain(|_, failed| !failed.is_empty());
    }
}
