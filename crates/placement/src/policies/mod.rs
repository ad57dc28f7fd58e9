//! Placement policies.

pub mod adaptive;
mod always_loaded;
mod fixed_keepalive;
mod load_on_demand;
mod placing;

pub use adaptive::Adaptive;
pub use always_loaded::AlwaysLoaded;
pub use fixed_keepalive::FixedKeepalive;
pub use load_on_demand::LoadOnDemand;

use crate::policy::PlacementPolicy;

/// Names of all policies, for settings and help texts.
pub const POLICY_NAMES: [&str; 4] = [
    "adaptive",
    "always-loaded",
    "fixed-keepalive",
    "load-on-demand",
];

/// The policy of that name.
#[must_use]
pub fn policy_by_name(name: &str) -> Option<Box<dyn PlacementPolicy>> {
    match name {
        "always-loaded" => Some(Box::new(AlwaysLoaded)),
        "fixed-keepalive" => Some(Box::new(FixedKeepalive)),
        "adaptive" => Some(Box::new(Adaptive::default())),
        "load-on-demand" => Some(Box::new(LoadOnDemand)),
        _ => None,
    }
}
