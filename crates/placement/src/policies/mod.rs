//! Placement policies.

pub mod adaptive;
mod load_on_demand;

pub use adaptive::Adaptive;
pub use load_on_demand::LoadOnDemand;

use crate::policy::PlacementPolicy;

/// Names of all policies, for settings and help texts.
pub const POLICY_NAMES: [&str; 2] = ["adaptive", "load-on-demand"];

/// The policy of that name.
#[must_use]
pub fn policy_by_name(name: &str) -> Option<Box<dyn PlacementPolicy>> {
    match name {
        "adaptive" => Some(Box::new(Adaptive::default())),
        "load-on-demand" => Some(Box::new(LoadOnDemand)),
        _ => None,
    }
}
