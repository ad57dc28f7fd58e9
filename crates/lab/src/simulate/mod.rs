//! The simulator: the product's decision cores against modelled runners,
//! weight store, platform list, network and callers, in virtual time.
//!
//! The queue core, the planner, the replicated state and the reconciliation
//! are the product's own code; what the planner sees is late, as in a real
//! controller. Equal settings give equal reports, byte for byte.

pub mod bound;
pub mod checks;
pub mod clairvoyant;
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
mod world;

pub use checks::Violations;
pub use report::Report;

use crate::callers::arrivals;
use crate::error::LabError;
use clairvoyant::Clairvoyant;
use control::{Control, PolicyFactory};
use courseshunt_placement::PlacementPolicy;
use courseshunt_placement::policies::{LoadOnDemand, POLICY_NAMES, policy_by_name};
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
    /// A fault of the product, put in to show that a checker finds it.
    pub mutant: Option<Mutant>,
}

/// Faults of the product that the checkers must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// Reservations end when the unload is decided, not when memory is free.
    ReleasesEarly,
    /// Replicas are placed without a reservation.
    ReservesNothing,
    /// Runners take orders without looking at fences and incarnations.
    IgnoresFences,
    /// Once-only requests are sent without a claim.
    SkipsClaims,
    /// A request whose runner died is refused as not run.
    DeniesExecutions,
    /// Leaving runners say nothing and are not listed.
    HidesLeaving,
    /// A router that starts again takes an earlier configuration.
    StartsStale,
}

/// Runs a simulation to its end.
///
/// # Errors
/// When the policy is unknown.
pub fn simulate(settings: SimulationSettings) -> Result<Report, LabError> {
    let policy = policy_factory(&settings)?;
    let control = Control::new(policy, settings.scenario.store);
    Ok(World::new(settings, control).run())
}

fn policy_factory(settings: &SimulationSettings) -> Result<PolicyFactory, LabError> {
    let name = settings.policy.clone();
    if name == clairvoyant::NAME {
        let site = site::deployments(&settings.scenario);
        let arrivals = arrivals(&settings.scenario, &site, settings.seed);
        return Ok(Box::new(move || {
            Box::new(Clairvoyant::new(&site, &arrivals))
        }));
    }
    if policy_by_name(&name).is_none() {
        let allowed = POLICY_NAMES.join(", ");
        let problem = format!(
            "unknown policy `{name}`; there are {allowed}, {}",
            clairvoyant::NAME
        );
        return Err(LabError::usage(problem));
    }
    let fallback = || Box::new(LoadOnDemand) as Box<dyn PlacementPolicy>;
    Ok(Box::new(move || {
        policy_by_name(&name).unwrap_or_else(fallback)
    }))
}
