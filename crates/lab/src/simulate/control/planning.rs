//! Plans, commits of decisions, and the orders that follow.

use super::PlannedDecision;
use crate::simulate::Mutant;
use crate::simulate::event::Event;
use crate::simulate::world::World;
use courseshunt_controller::scheduler::{cluster_view, load_order, unload_order};
use courseshunt_placement::{ClusterView, DecisionKind, DemandEvent};
use courseshunt_state::{Command, CommandReply};
use courseshunt_types::runner_api::{CacheTier, MachineState, OrderAction, OrderRequest};
use courseshunt_types::{
    DeploymentDocument, DeploymentName, Fence, Millis, ModelName, PriorityClass, ReplicaKey,
    RunnerId, Term,
};
use std::sync::Arc;

/// Shortest time to a plan that a policy asks for.
const SHORTEST_WAKE: Millis = Millis(100);
/// Pause before a new leader looks again whether it may plan.
const TAKEOVER_PAUSE: Millis = Millis(500);
/// Prefix of the names under which runners keep the fences of staging orders.
const STAGING_PREFIX: &str = "~stage/";

impl World {
    /// Plans after `pause`, or earlier if that is due anyway.
    pub(in crate::simulate) fn request_plan(&mut self, pause: Millis) {
        let at = self.now + pause;
        if self.control.plan_at.is_none_or(|known| at < known) {
            self.control.plan_at = Some(at);
            self.events.push(at, Event::Plan);
        }
    }

    pub(in crate::simulate) fn plan(&mut self) {
        if self.control.plan_at != Some(self.now) {
            return;
        }
        self.control.plan_at = None;
        let busy = !self.control.decisions.is_empty();
        let over = self.now > self.horizon && self.open == 0;
        if !self.control.leading || busy || over {
            return;
        }
        self.observe_arrivals();
        if !self.may_plan() {
            self.request_plan(TAKEOVER_PAUSE);
            return;
        }
        let view = self.cluster_view();
        let decisions = self.control.scheduler.planner().plan(&view);
        if decisions.is_empty() {
            self.sleep_until_next_plan(&view);
            return;
        }
        let planned = decisions.into_iter().map(|decision| PlannedDecision {
            source: source_of(&view, &decision.kind),
            decision,
        });
        self.control.decisions = planned.collect();
        let commit = self.settings.scenario.control.commit_ms;
        self.push(commit, Event::CommitDecisions);
    }

    fn sleep_until_next_plan(&mut self, view: &ClusterView) {
        let wake = self.control.scheduler.planner().next_wake(view);
        if let Some(wake) = wake {
            let pause = wake.since(self.now).max(SHORTEST_WAKE);
            self.request_plan(pause);
        }
    }

    fn cluster_view(&self) -> ClusterView {
        let control = &self.control;
        let moment = self.moment();
        cluster_view(&control.state, &control.scheduler, &control.demand, moment)
    }

    fn may_plan(&self) -> bool {
        let control = &self.control;
        let placement = &control.state.placement;
        let runners = placement.runners.values();
        let in_service = runners.filter(|one| one.state != MachineState::Gone);
        let holders = in_service.filter(|one| placement.on_runner(&one.runner).next().is_some());
        let began = control.takeover.began;
        let book = &control.scheduler.runners;
        let answered = |runner: &RunnerId| book.answered_since(runner, began);
        let holders = holders.map(|one| &one.runner);
        control.takeover.may_plan(self.now, holders, answered)
    }

    fn observe_arrivals(&mut self) {
        let mut planner = self.control.scheduler.planner();
        for arrivals in self.control.demand.take_arrivals() {
            for class in PriorityClass::ALL {
                let count = arrivals.count.of(class);
                if count == 0 {
                    continue;
                }
                planner.observe(&DemandEvent::Arrived {
                    deployment: arrivals.deployment.clone(),
                    class,
                    count,
                    at: self.now,
                });
            }
        }
    }

    /// Commits all decisions of a plan.
    pub(in crate::simulate) fn commit_decisions(&mut self) {
        let decisions = std::mem::take(&mut self.control.decisions);
        if self.control.leading {
            for planned in decisions {
                self.decide(&planned);
            }
        }
        self.request_plan(self.settings.scenario.control.plan_ms);
    }

    fn decide(&mut self, planned: &PlannedDecision) {
        match &planned.decision.kind {
            DecisionKind::Load { deployment, runner } => {
                self.decide_load(&replica_key(deployment, runner), planned.source);
            }
            DecisionKind::Unload { deployment, runner } => {
                self.decide_unload(&replica_key(deployment, runner));
            }
            DecisionKind::Stage {
                model,
                runner,
                tier,
            } => self.order_staging(model, runner, planned.source, *tier),
        }
    }

    fn decide_load(&mut self, replica: &ReplicaKey, source: CacheTier) {
        let Some(document) = self.document(&replica.deployment) else {
            return;
        };
        let memory_mib = match self.mutates(Mutant::ReservesNothing) {
            true => 0,
            false => document.replica_memory_mib(),
        };
        let command = Command::PlaceReplica {
            replica: replica.clone(),
            memory_mib,
        };
        let CommandReply::Placed { fence } = self.apply(command) else {
            return;
        };
        let placement = &self.control.state.placement;
        let limit = document.max_replicas;
        self.checks.decided(placement, &replica.deployment, limit);
        let now = self.now;
        let scheduler = &self.control.scheduler;
        scheduler.loads().begin(replica, &document, source, now);
        self.report.loads += 1;
        if source == CacheTier::Remote {
            self.report.remote_loads += 1;
        }
        self.order_load(replica, fence);
    }

    fn document(&self, deployment: &DeploymentName) -> Option<Arc<DeploymentDocument>> {
        let number = self.deployment_numbers.get(deployment)?;
        Some(self.site[*number].document.clone())
    }

    fn decide_unload(&mut self, replica: &ReplicaKey) {
        let Some(record) = self.control.state.placement.replicas.get(replica) else {
            return;
        };
        let command = Command::WithdrawReplica {
            replica: replica.clone(),
            fence: record.fence,
        };
        let CommandReply::Placed { fence } = self.apply(command) else {
            return;
        };
        if self.mutates(Mutant::ReleasesEarly) {
            let replica = replica.clone();
            self.apply(Command::ReleaseReplica { replica, fence });
        }
        self.feed_deployment(&replica.deployment);
        self.order_unload(&replica.runner, &replica.deployment, fence);
    }

    pub(super) fn order_load(&mut self, replica: &ReplicaKey, fence: Fence) {
        if let Some(order) = load_order(&self.control.state, replica, fence) {
            self.send_order(&replica.runner, order);
        }
    }

    pub(super) fn order_unload(
        &mut self,
        runner: &RunnerId,
        deployment: &DeploymentName,
        fence: Fence,
    ) {
        let order = unload_order(&self.control.state, runner, deployment, fence);
        self.send_order(runner, order);
    }

    fn send_order(&mut self, runner: &RunnerId, order: OrderRequest) {
        if let Some(runner) = self.runner_numbers.get(runner).copied() {
            self.push(self.order_delay(), Event::Order { runner, order });
        }
    }

    /// Staging takes no accelerator memory and is not committed.
    fn order_staging(
        &mut self,
        model: &ModelName,
        runner: &RunnerId,
        source: CacheTier,
        tier: CacheTier,
    ) {
        let mut documents = self.site.iter().map(|one| &one.document);
        let Some(document) = documents.find(|one| one.model == *model).cloned() else {
            return;
        };
        let now = self.now;
        let scheduler = &self.control.scheduler;
        let mut loads = scheduler.loads();
        loads.begin_staging(runner, &document, source, tier, now);
        drop(loads);
        self.report.staged += 1;
        let record = self.control.state.placement.runners.get(runner);
        let order = OrderRequest {
            fence: Fence {
                term: Term(self.control.term),
                sequence: self.control.index,
            },
            deployment: format!("{STAGING_PREFIX}{model}").into(),
            incarnation: record.map(|record| record.incarnation),
            action: OrderAction::Stage {
                model: model.clone(),
                checkpoint_mib: document.checkpoint_size_mib(),
                tier,
            },
        };
        self.send_order(runner, order);
    }
}

fn replica_key(deployment: &DeploymentName, runner: &RunnerId) -> ReplicaKey {
    ReplicaKey {
        deployment: deployment.clone(),
        runner: runner.clone(),
    }
}

/// Where the checkpoint of a load or staging comes from.
fn source_of(view: &ClusterView, kind: &DecisionKind) -> CacheTier {
    let (model, runner) = match kind {
        DecisionKind::Load { deployment, runner } => {
            let model = view.deployment(deployment).map(|one| &one.document.model);
            (model, runner)
        }
        DecisionKind::Stage { model, runner, .. } => (Some(model), runner),
        DecisionKind::Unload { .. } => return CacheTier::Accelerator,
    };
    let tier = model.zip(view.runner(runner));
    tier.map_or(CacheTier::Remote, |(model, runner)| runner.tier_of(model))
}
