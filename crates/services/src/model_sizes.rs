//! Sizes with which instances may hold models that a configuration lists smaller, or lists no longer.
//!
//! Invariant: for each model that any earlier version listed larger than the present one in weights
//! or adapters, the largest sizes of all earlier versions are known. They are carried from version to
//! version, so that a leader that knows of a model from a report alone does not count it too small.

use crate::configuration::{ModelSpecification, ServiceConfiguration};
use std::collections::BTreeMap;

/// Memory of a model's weights and of each of its adapters, in MB.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ModelSize {
    /// Memory of the weights.
    pub weights_mb: f64,
    /// Memory of one adapter.
    pub adapter_mb: f64,
}

impl ModelSize {
    /// The size that a configuration lists.
    #[must_use]
    pub fn listed(specification: &ModelSpecification) -> Self {
        Self {
            weights_mb: specification.memory_mb,
            adapter_mb: specification.adapter_mb,
        }
    }

    /// The larger weights and the larger adapters of the two.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            weights_mb: self.weights_mb.max(other.weights_mb),
            adapter_mb: self.adapter_mb.max(other.adapter_mb),
        }
    }
}

/// Sizes of models, by name of the service and of the model.
pub type ModelSizes = BTreeMap<String, BTreeMap<String, ModelSize>>;

/// Sizes that versions up to `older` listed larger than `newer` does, or that it lists no longer.
#[must_use]
pub fn earlier_sizes(older: &ServiceConfiguration, newer: &ServiceConfiguration) -> ModelSizes {
    let mut sizes = largest_sizes(older);
    for (service, models) in &mut sizes {
        let engine = newer.engine(service);
        models.retain(|name, earlier| {
            let listed = engine.and_then(|engine| engine.model(name));
            listed.is_none_or(|listed| {
                let listed = ModelSize::listed(listed);
                listed.max(*earlier) != listed
            })
        });
    }
    sizes.retain(|_, models| !models.is_empty());
    sizes
}

/// The largest sizes that a version and all before it listed.
fn largest_sizes(configuration: &ServiceConfiguration) -> ModelSizes {
    let mut sizes = configuration.earlier_services.clone();
    for service in &configuration.services {
        let Some(engine) = &service.engine else {
            continue;
        };
        let known = sizes.entry(service.name.clone()).or_default();
        known.extend(engine.earlier_sizes.clone());
        for (name, specification) in &engine.models {
            let listed = ModelSize::listed(specification);
            let largest = known.entry(name.clone()).or_insert(listed);
            *largest = largest.max(listed);
        }
    }
    sizes
}
