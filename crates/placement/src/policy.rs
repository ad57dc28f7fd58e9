//! The trait that placement policies implement.

use crate::decision::Decision;
use crate::view::ClusterView;
use courseshunt_types::{DeploymentName, PriorityClass, Timestamp};

/// An event that a policy may learn from. All of them reach a real controller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DemandEvent {
    /// Requests arrived.
    Arrived {
        /// For which deployment.
        deployment: DeploymentName,
        /// Class.
        class: PriorityClass,
        /// How many.
        count: u32,
        /// When.
        at: Timestamp,
    },
}

/// Decides what should be loaded where.
pub trait PlacementPolicy: Send {
    /// Name in settings and reports.
    fn name(&self) -> &'static str;

    /// Learns from an event.
    fn observe(&mut self, event: &DemandEvent);

    /// Proposes decisions for the present view, the most urgent first.
    fn plan(&mut self, view: &ClusterView) -> Vec<Decision>;

    /// When to plan again without any event; `None` means only on events.
    fn next_wake(&self, view: &ClusterView) -> Option<Timestamp>;

    /// What the policy thinks of one deployment at present, a line for each
    /// matter, for `explain`.
    fn explain(&self, view: &ClusterView, deployment: &DeploymentName) -> Vec<String> {
        let _ = (view, deployment);
        Vec::new()
    }
}
