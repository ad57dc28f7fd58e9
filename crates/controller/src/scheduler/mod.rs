//! Placement at run time: decide → commit → order, and reconcile what the
//! runners hold with what was decided.

mod plan;
mod reconcile;
mod runners;

pub use reconcile::{ReconcileAction, reconcile};
pub use runners::{RunnerBook, RunnerClient};

use crate::ControllerContext;
use crate::error::ControllerError;
use courseshunt_placement::policies::{POLICY_NAMES, policy_by_name};
use courseshunt_placement::{PlacementPolicy, Planner};
use std::sync::Arc;

/// Starts the scheduler's tasks. They act only while this member leads.
///
/// # Errors
/// When the policy of the settings is unknown.
pub fn start(context: &ControllerContext) -> Result<(), ControllerError> {
    let policy = policy(&context.settings.policy)?;
    let book = Arc::new(RunnerBook::default());
    let stop = context.stop.clone();
    let watching = runners::watch(context.clone(), book.clone());
    tokio::spawn(stop.clone().run_until_cancelled_owned(watching));
    let planning = plan::run(context.clone(), book, Planner::new(policy));
    tokio::spawn(stop.run_until_cancelled_owned(planning));
    Ok(())
}

fn policy(name: &str) -> Result<Box<dyn PlacementPolicy>, ControllerError> {
    policy_by_name(name).ok_or_else(|| ControllerError::UnknownPolicy {
        name: name.to_owned(),
        allowed: POLICY_NAMES.join(", "),
    })
}
