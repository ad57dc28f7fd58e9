//! The simulator: the product's decision cores against modelled runners,
//! weight store, platform list, network and callers, in virtual time.
//!
//! The queue core, the planner, the replicated state and the reconciliation
//! are the product's own code; what the planner sees is late, as in a real
//! controller. Equal settings give equal reports, byte for byte.

pub mod checks;
pub mod control;
pub mod event;
mod faults;
pub mod fleet;
mod flow;
pub mod measures;
pub mod report;
pub mod requests;
pub mod routers;
pub mod site;
mod view;
mod world;

pub use checks::Violations;
pub use report::Report;

use crate::error::LabError;
use control::Control;
use courseshunt_placement::policies::POLICY_NAMES;
use courseshunt_standin::faults::FaultSchedule;
use courseshunt_standin::scenario::Scenario;
use world::World;

/// Settings of one run.
#[derive(Debug, Clone)]
pub struct SimulationSettings {
    /// The scenario.
    pub scenario: Scenario,
    /// Name of the placement policy.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// What breaks when.
    pub faults: FaultSchedule,
}

/// Runs a simulation to its end.
///
/// # Errors
/// When the policy is unknown.
pub fn simulate(settings: SimulationSettings) -> Result<Report, LabError> {
    let Some(control) = Control::new(&settings.policy, settings.scenario.store) else {
        let allowed = POLICY_NAMES.join(", ");
        let problem = format!("unknown policy `{}`; there are {allowed}", settings.policy);
        return Err(LabError::usage(problem));
    };
    Ok(World::new(settings, control).run())
}
