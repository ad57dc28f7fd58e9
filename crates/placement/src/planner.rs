//! The planner: a policy's proposals, cut to what the limits allow.

use crate::decision::{Decision, DecisionKind};
use crate::policy::{DemandEvent, PlacementPolicy};
use crate::view::ClusterView;
use courseshunt_types::runner_api::CacheTier;
use courseshunt_types::{DeploymentName, RunnerId, Timestamp};

/// Runs a policy under the limits that always hold.
pub struct Planner {
    policy: Box<dyn PlacementPolicy>,
}

impl Planner {
    /// A planner that follows `policy`.
    #[must_use]
    pub fn new(policy: Box<dyn PlacementPolicy>) -> Self {
        Self { policy }
    }

    /// Name of the policy.
    #[must_use]
    pub fn policy_name(&self) -> &'static str {
        self.policy.name()
    }

    /// Passes an event on to the policy.
    pub fn observe(&mut self, event: &DemandEvent) {
        self.policy.observe(event);
    }

    /// When to plan again without any event.
    #[must_use]
    pub fn next_wake(&self, view: &ClusterView) -> Option<Timestamp> {
        self.policy.next_wake(view)
    }

    /// The decisions for the present view. Each is possible under memory,
    /// replica and weight-store limits, taken together and in order.
    pub fn plan(&mut self, view: &ClusterView) -> Vec<Decision> {
        let proposals = self.policy.plan(view);
        let mut budget = Budget::of(view);
        let allowed = |decision: &Decision| budget.admit(view, &decision.kind);
        proposals.into_iter().filter(allowed).collect()
    }
}

/// What is left of the limits while decisions are admitted.
struct Budget {
    free_mib: Vec<u64>,
    replicas: Vec<u32>,
    store_starts: u32,
}

impl Budget {
    fn of(view: &ClusterView) -> Self {
        let free_mib = view
            .runners
            .iter()
            .map(|runner| runner.free_mib())
            .collect();
        let count = |length: usize| u32::try_from(length).unwrap_or(u32::MAX);
        let replicas = view
            .deployments
            .iter()
            .map(|one| count(one.replicas.len()))
            .collect();
        let store = &view.store;
        let concurrent = store.concurrency_limit.saturating_sub(store.active_loads);
        Self {
            free_mib,
            replicas,
            store_starts: concurrent.min(store.starts_available),
        }
    }

    fn admit(&mut self, view: &ClusterView, kind: &DecisionKind) -> bool {
        match kind {
            DecisionKind::Load { deployment, runner } => self.admit_load(view, deployment, runner),
            DecisionKind::Unload { .. } => true,
            DecisionKind::Stage { .. } => self.take_store_start(),
        }
    }

    fn admit_load(
        &mut self,
        view: &ClusterView,
        deployment: &DeploymentName,
        runner: &RunnerId,
    ) -> bool {
        let Some(place) = view.runners.iter().position(|one| one.runner == *runner) else {
            return false;
        };
        let Some(which) = view
            .deployments
            .iter()
            .position(|one| one.name() == deployment)
        else {
            return false;
        };
        let document = &view.deployments[which].document;
        let memory = document.replica_memory_mib();
        let runner = &view.runners[place];
        let fits = runner.accepts_loads() && memory <= self.free_mib[place];
        if !fits || self.replicas[which] >= document.max_replicas {
            return false;
        }
        if runner.tier_of(&document.model) == CacheTier::Remote && !self.take_store_start() {
            return false;
        }
        self.free_mib[place] -= memory;
        self.replicas[which] += 1;
        true
    }

    fn take_store_start(&mut self) -> bool {
        let available = self.store_starts > 0;
        self.store_starts = self.store_starts.saturating_sub(1);
        available
    }
}
