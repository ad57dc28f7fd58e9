//! How long answers of a deployment take, learned from whole answers.
//!
//! Invariant: an estimate is there only after an answer; it follows later ones.

use courseshunt_types::{DeploymentName, Millis};
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Weight of the newest answer.
const NEWEST: f64 = 0.2;

/// See the module.
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

    /// Learns from a whole answer of at most `tokens`.
    pub fn learn(&self, deployment: &DeploymentName, tokens: u32, total: Millis) {
        let token_ms = total.0 as f64 / f64::from(tokens.max(1));
        self.update(deployment, |estimate| {
            estimate.token_ms += NEWEST * (token_ms - estimate.token_ms);
        });
    }

    /// Learns from the first event of a stream.
    pub fn learn_first(&self, deployment: &DeploymentName, first_byte: Millis) {
        let first_byte_ms = first_byte.0 as f64;
        self.update(deployment, |estimate| {
            estimate.first_byte_ms += NEWEST * (first_byte_ms - estimate.first_byte_ms);
        });
    }

    fn update(&self, deployment: &DeploymentName, change: impl FnOnce(&mut Estimate)) {
        let unknown = Estimate {
            first_byte_ms: 0.0,
            token_ms: 0.0,
        };
        let mut deployments = self.lock();
        change(deployments.entry(deployment.clone()).or_insert(unknown));
    }

    /// Expected time until a whole answer, or until a stream's first event.
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
