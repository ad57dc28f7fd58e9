//! Pure planning of model placement: views, policies and decisions.
//!
//! The controller and the simulator build a [`ClusterView`] and ask a
//! [`Planner`] for [`Decision`]s. A policy proposes; the planner drops what
//! would break a limit. A decision takes effect only after it is committed.

pub mod decision;
pub mod planner;
pub mod policies;
pub mod policy;
pub mod view;

pub use decision::{Decision, DecisionKind};
pub use planner::Planner;
pub use policy::{DemandEvent, PlacementPolicy};
pub use view::{
    CacheView, ClusterView, DemandView, DeploymentView, ReplicaView, RunnerView, WeightStoreView,
};
