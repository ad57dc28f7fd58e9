//! The common scale of the two measures: waits of first requests and idle
//! accelerator time, weighed as the operator says. Pure.

use crate::view::{DeploymentView, RunnerView};
use courseshunt_types::Millis;

/// A wait of this length costs twice its seconds, a longer one more: the users
/// measure the tail.
const TAIL_SCALE_SECONDS: f64 = 5.0;
/// Time over which the loss of an evicted replica counts, in seconds.
const EVICTION_HORIZON: f64 = 900.0;

/// Cost of a wait.
#[must_use]
pub fn wait_cost(deployment: &DeploymentView, wait: Millis) -> f64 {
    let seconds = wait.as_secs_f64();
    let tail = seconds * (1.0 + seconds / TAIL_SCALE_SECONDS);
    deployment.document.weights.cold_start_weight * tail
}

/// Cost of one second in which a replica is idle on a runner.
#[must_use]
pub fn idle_cost(deployment: &DeploymentView, runner: &RunnerView) -> f64 {
    let memory = deployment.document.replica_memory_mib() as f64;
    let share = memory / runner.memory_mib.max(1) as f64;
    deployment.document.weights.idle_weight * share * f64::from(runner.accelerators)
}

/// What the loss of a replica costs: the wait of its next call, if that comes
/// soon.
#[must_use]
pub fn eviction_loss(deployment: &DeploymentView, hazard: f64, reload: Millis) -> f64 {
    let soon = 1.0 - (-hazard * EVICTION_HORIZON).exp();
    soon * wait_cost(deployment, reload)
}
