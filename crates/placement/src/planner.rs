//! The planner: a policy's proposals, cut to what the limits allow.

use crate::decision::{Decision, DecisionKind};
use crate::policy::{DemandEvent, PlacementPolicy};
use crate::upkeep::{upkeep, without_leaving};
use crate::view::ClusterView;
use courseshunt_types::runner_api::CacheTier;
use courseshunt_types::{DeploymentName, ModelName, RunnerId, Timestamp};
use std::collections::BTreeMap;

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

    /// What the policy thinks of one deployment.
    #[must_use]
    pub fn explain(&self, view: &ClusterView, deployment: &DeploymentName) -> Vec<String> {
        self.policy.explain(view, deployment)
    }

    /// The decisions for the present view. Each is possible under memory,
    /// replica and weight-store limits, taken together and in order.
    pub fn plan(&mut self, view: &ClusterView) -> Vec<Decision> {
        let proposals = self.policy.plan(&without_leaving(view));
        let mut budget = Budget::of(view);
        let allowed = |decision: &Decision| budget.admit(view, &decision.kind);
        let mut decisions = upkeep(view);
        decisions.extend(proposals.into_iter().filter(allowed));
        decisions
    }
}

/// What is left of the limits while decisions are admitted.
struct Budget {
    taken_mib: BTreeMap<RunnerId, u64>,
    placed: BTreeMap<DeploymentName, u32>,
    store_starts: u32,
}

impl Budget {
    fn of(view: &ClusterView) -> Self {
        let store = &view.store;
        let concurrent = store.concurrency_limit.saturating_sub(store.active_loads);
        Self {
            taken_mib: BTreeMap::new(),
            placed: BTreeMap::new(),
            store_starts: concurrent.min(store.starts_available),
        }
    }

    fn admit(&mut self, view: &ClusterView, kind: &DecisionKind) -> bool {
        match kind {
            DecisionKind::Load { deployment, runner } => self.admit_load(view, deployment, runner),
            DecisionKind::Unload { .. } => true,
            DecisionKind::Stage { model, runner, .. } => self.admit_stage(view, model, runner),
        }
    }

    fn admit_load(
        &mut self,
        view: &ClusterView,
        deployment: &DeploymentName,
        runner: &RunnerId,
    ) -> bool {
        let (Some(wanted), Some(place)) = (view.deployment(deployment), view.runner(runner)) else {
            return false;
        };
        let document = &wanted.document;
        let memory = document.replica_memory_mib();
        let taken = self.taken_mib.get(runner).copied().unwrap_or_default();
        let placed = self.placed.get(deployment).copied().unwrap_or_default();
        let fits = memory + taken <= place.free_mib();
        let held = wanted.replicas.iter().any(|one| one.runner == *runner);
        if !place.accepts_loads() || !fits || held || place.avoid.contains(&document.model) {
            return false;
        }
        if view.count_against_limit(wanted) + placed >= document.max_replicas {
            return false;
        }
        if place.tier_of(&document.model) == CacheTier::Remote && !self.take_store_start() {
            return false;
        }
        self.taken_mib.insert(runner.clone(), taken + memory);
        self.placed.insert(deployment.clone(), placed + 1);
        true
    }

    fn admit_stage(&mut self, view: &ClusterView, model: &ModelName, runner: &RunnerId) -> bool {
        let Some(place) = view.runner(runner) else {
            return false;
        };
        let remote = place.tier_of(model) == CacheTier::Remote;
        place.accepts_loads() && (!remote || self.take_store_start())
    }

    fn take_store_start(&mut self) -> bool {
        let available = self.store_starts > 0;
        self.store_starts = self.store_starts.saturating_sub(1);
        available
    }
}
