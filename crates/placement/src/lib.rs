//! Pure planning of model placement: views, policies and decisions.
//!
//! The controller and the simulator build a [`ClusterView`] and ask a
//! [`Planner`] for [`Decision`]s. A policy proposes; the planner drops what
//! would break a limit. A decision takes effect only after it is committed.

pub mod backoff;
pub mod decision;
pub mod load_times;
pub mod planner;
pub mod policies;
pub mod policy;
pub mod store_limiter;
pub mod upkeep;
pub mod view;

pub use backoff::LoadBackoff;
pub use decision::{Decision, DecisionKind};
pub use load_times::LoadTimes;
pub use planner::Planner;
pub use policy::{DemandEvent, PlacementPolicy};
pub use store_limiter::StoreLimiter;
pub use view::{
    CacheView, ClusterView, DemandView, DeploymentView, LoadEstimates, ReplicaView, RunnerView,
    WeightStoreView,
};
