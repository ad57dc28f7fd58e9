//! Estimates how long the answers of a deployment take.
//!
//! Invariant: without an observed answer the expected time is 0. Each further
//! answer moves the estimate, an exponential moving average.

use courseshunt_types::{DeploymentName, Millis};
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Weight of the newest answer in the moving average.
const NEWEST_WEIGHT: f64 = 0.2;

/// Service time estimates by deployment.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    deployments: Mutex<BTreeMap<DeploymentName, Estimate>>,
}

/// Times of one deployment, in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    first_byte_ms: f64,
    token_ms: f64,
}

impl ServiceTimes {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<DeploymentName, Estimate>> {
        self.deployments
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the time per token with a complete answer of at most `tokens`.
    pub fn observe_answer(&self, deployment: &DeploymentName, tokens: u32, total: Millis) {
        let token_ms = total.0 as f64 / f64::from(tokens.max(1));
        self.update(deployment, |estimate| {
            estimate.token_ms += NEWEST_WEIGHT * (token_ms - estimate.token_ms);
        });
    }

    /// Updates the time until the first event with that of a stream.
    pub fn observe_first_event(&self, deployment: &DeploymentName, first_byte: Millis) {
        let first_byte_ms = first_byte.0 as f64;
        self.update(deployment, |estimate| {
            estimate.first_byte_ms += NEWEST_WEIGHT * (first_byte_ms - estimate.first_byte_ms);
        });
    }

    fn update(&self, deployment: &DeploymentName, change: impl FnOnce(&mut Estimate)) {
        let initial = Estimate {
            first_byte_ms: 0.0,
            token_ms: 0.0,
        };
        let mut deployments = self.lock();
        change(deployments.entry(deployment.clone()).or_insert(initial));
    }

    /// Expected time until a complete answer, or until the first event of a stream.
    #[must_use]
    pub fn expected(&self, deployment: &DeploymentName, tokens: u32, stream: bool) -> Millis {
        let deployments = self.lock();
        let Some(estimate) = deployments.get(deployment) else {
            return Millis(0);
        };
        let millis = match stream {
            true => estimate.first_byte_ms,
            false => estimate.token_ms * f64::from(tokens.max(1)),
        };
        Millis(millis as u64)
    }
}
