//! What the leader reads from runners and the platform's list, and how it
//! repairs what differs from the log.

use crate::simulate::event::{Event, RunnerNumber};
use crate::simulate::world::World;
use courseshunt_controller::scheduler::{ReconcileAction, RunnerObservation, reconcile};
use courseshunt_state::{Command, ReplicaRecord, RunnerRecord};
use courseshunt_types::runner_api::{
    Inventory, MachineState, OrderAction, OrderRejection, OrderRequest,
};
use courseshunt_types::{DeploymentName, Fence, Millis, ModelName, ReplicaKey};
use rand::RngExt;

/// Time between looks at all inventories; below the time after which a runner
/// counts as unreachable.
const SWEEP_INTERVAL: Millis = Millis::from_secs(4);
/// Time between readings of the platform's list.
const LIST_INTERVAL: Millis = Millis(500);
/// An inventory is read this long after a change at the latest.
const LARGEST_INVENTORY_LAG: u64 = 300;
/// A load is read this long after a change.
const LOAD_LAG: Millis = Millis::from_secs(1);

impl World {
    /// A runner's inventory changed; the leader reads it soon.
    pub(in crate::simulate) fn inventory_changed(&mut self, runner: RunnerNumber) {
        let one = &mut self.fleet.runners[runner];
        if !std::mem::replace(&mut one.inventory_due, true) {
            let lag = self.random.random_range(1..=LARGEST_INVENTORY_LAG);
            self.push(Millis(lag), Event::ReadInventory(runner));
        }
    }

    /// A runner's load changed; the leader reads it a while later.
    pub(in crate::simulate) fn load_changed(&mut self, runner: RunnerNumber) {
        let one = &mut self.fleet.runners[runner];
        if !std::mem::replace(&mut one.load_due, true) {
            self.push(LOAD_LAG, Event::ReadLoad(runner));
        }
    }

    pub(in crate::simulate) fn sweep(&mut self) {
        for runner in 0..self.fleet.runners.len() {
            self.read_inventory(runner);
        }
        self.request_plan(self.settings.scenario.control.plan_ms);
        self.push(SWEEP_INTERVAL, Event::Sweep);
    }

    /// Whether the leader visits a runner and gets an answer.
    fn answers(&self, runner: RunnerNumber) -> bool {
        self.control.leading && self.fleet.reaches(self.runner_process(runner))
    }

    pub(in crate::simulate) fn read_inventory(&mut self, runner: RunnerNumber) {
        self.fleet.runners[runner].inventory_due = false;
        if !self.answers(runner) {
            return;
        }
        let now = self.now;
        let inventory = self.fleet.runners[runner].model.inventory(now);
        self.record_runner(&inventory);
        let scheduler = &self.control.scheduler;
        scheduler.loads().observe_inventory(&inventory, now);
        let load = scheduler.runners.get(&inventory.runner);
        let load = load.and_then(|seen| seen.load.clone());
        scheduler.runners.record(RunnerObservation {
            inventory: inventory.clone(),
            load,
            requested_at: now,
        });
        for action in self.differences(&inventory) {
            self.repair(runner, action);
        }
    }

    fn differences(&self, inventory: &Inventory) -> Vec<ReconcileAction> {
        let here = self.control.state.placement.on_runner(&inventory.runner);
        let here = here.filter(|one| one.incarnation == inventory.incarnation);
        let records: Vec<ReplicaRecord> = here.cloned().collect();
        let loads = self.control.scheduler.loads();
        reconcile(&records, inventory, |replica, fence| {
            loads.was_accepted(replica, fence, self.now)
        })
    }

    fn record_runner(&mut self, inventory: &Inventory) {
        let listed = self.control.listed.get(&inventory.runner);
        let state = match (inventory.draining, listed) {
            (true, _) => MachineState::Leaving,
            // It answers, so the list lags.
            (false, None | Some(MachineState::Gone)) => MachineState::Live,
            (false, Some(listed)) => *listed,
        };
        let record = RunnerRecord {
            runner: inventory.runner.clone(),
            address: String::new(),
            zone: inventory.zone.clone(),
            incarnation: inventory.incarnation,
            accelerators: inventory.accelerators,
            memory_mib: inventory.memory_mib,
            state,
        };
        let known = self.control.state.placement.runners.get(&record.runner);
        if known.is_none() {
            self.apply(Command::RecordRunner(record));
        } else if known != Some(&record) {
            self.propose(Command::RecordRunner(record));
        }
    }

    fn repair(&mut self, runner: RunnerNumber, action: ReconcileAction) {
        match action {
            ReconcileAction::OrderLoad(replica, fence) => self.order_load(&replica, fence),
            ReconcileAction::OrderUnload(replica, fence) => {
                self.order_unload(&replica.runner, &replica.deployment, fence);
            }
            ReconcileAction::FenceAndRelease(replica, fence) => {
                let order = Event::FenceAndRelease {
                    runner,
                    replica,
                    fence,
                };
                self.push(self.order_delay(), order);
            }
            ReconcileAction::Confirm(replica, fence) => {
                self.propose(Command::ConfirmReplica { replica, fence });
            }
            ReconcileAction::Withdraw(replica, fence) => self.withdraw_failed(replica, fence),
            ReconcileAction::OrderUnloadUndecided(deployment, fence) => {
                let runner = self.fleet.runners[runner].name().clone();
                self.order_unload(&runner, &deployment, fence);
            }
        }
    }

    /// A load died or was refused: the planner decides anew.
    fn withdraw_failed(&mut self, replica: ReplicaKey, fence: Fence) {
        if let Some(model) = self.model_of(&replica.deployment) {
            let now = self.now;
            let scheduler = &self.control.scheduler;
            scheduler.loads().failed(&replica, &model, now);
        }
        self.propose(Command::WithdrawReplica { replica, fence });
    }

    fn model_of(&self, deployment: &DeploymentName) -> Option<ModelName> {
        let number = self.deployment_numbers.get(deployment)?;
        Some(self.site[*number].document.model.clone())
    }

    /// The runner takes the last unload order; free of the replica after it,
    /// the release is proposed.
    pub(in crate::simulate) fn fence_and_release(
        &mut self,
        runner: RunnerNumber,
        replica: ReplicaKey,
        fence: Fence,
    ) {
        let record = self.control.state.placement.runners.get(&replica.runner);
        let order = OrderRequest {
            fence,
            deployment: replica.deployment.clone(),
            incarnation: record.map(|record| record.incarnation),
            action: OrderAction::Unload,
        };
        if !self.receive_order(runner, &order) {
            return;
        }
        let mut held = self.fleet.runners[runner].model.held();
        let free = held.all(|one| *one.deployment != replica.deployment);
        drop(held);
        if free {
            self.propose(Command::ReleaseReplica { replica, fence });
        }
    }

    /// The leader learns what a runner said to an order.
    pub(in crate::simulate) fn order_answered(
        &mut self,
        runner: RunnerNumber,
        order: &OrderRequest,
        rejection: Option<&OrderRejection>,
    ) {
        let now = self.now;
        let name = self.fleet.runners[runner].name().clone();
        match (&order.action, rejection) {
            (OrderAction::Load { .. }, None) => {
                let replica = ReplicaKey {
                    deployment: order.deployment.clone(),
                    runner: name,
                };
                let mut loads = self.control.scheduler.loads();
                loads.order_accepted(&replica, order.fence, now);
            }
            (OrderAction::Load { .. }, Some(rejection)) if is_final(rejection) => {
                let replica = ReplicaKey {
                    deployment: order.deployment.clone(),
                    runner: name,
                };
                self.withdraw_failed(replica, order.fence);
            }
            (OrderAction::Stage { model, .. }, Some(_)) => {
                let mut loads = self.control.scheduler.loads();
                loads.staging_refused(&name, model, now);
            }
            _ => {}
        }
    }

    pub(in crate::simulate) fn read_load(&mut self, runner: RunnerNumber) {
        self.fleet.runners[runner].load_due = false;
        if !self.answers(runner) {
            return;
        }
        let load = self.fleet.runners[runner].model.load_report();
        let book = &self.control.scheduler.runners;
        if let Some(seen) = book.get(&load.runner) {
            book.record(RunnerObservation {
                load: Some(load),
                ..RunnerObservation::clone(&seen)
            });
        }
    }

    /// The platform's list shows a machine's state.
    pub(in crate::simulate) fn listed(&mut self, runner: RunnerNumber, state: MachineState) {
        if self.now < self.list_frozen_until {
            let later = Event::Listed { runner, state };
            self.events.push(self.list_frozen_until, later);
            return;
        }
        let name = self.fleet.runners[runner].name().clone();
        let current = self.fleet.runners[runner].listed;
        let known = self.control.listed.get(&name);
        if state != current && known == Some(&current) {
            return;
        }
        self.control.listed.insert(name.clone(), state);
        if state == MachineState::Live {
            self.inventory_changed(runner);
            return;
        }
        let seen = self.control.scheduler.runners.get(&name);
        let answers = seen.is_some_and(|seen| seen.is_fresh(self.now));
        if state == MachineState::Gone && answers {
            self.push(LIST_INTERVAL, Event::Listed { runner, state });
            return;
        }
        let known = self.control.state.placement.runners.get(&name);
        let known = known.filter(|known| known.state != state && known.state != MachineState::Gone);
        if let Some(incarnation) = known.map(|known| known.incarnation) {
            self.propose(Command::SetRunnerState {
                runner: name,
                incarnation,
                state,
            });
        }
    }
}

/// Whether the planner must decide anew after this rejection.
fn is_final(rejection: &OrderRejection) -> bool {
    matches!(
        rejection,
        OrderRejection::OutOfMemory { .. }
            | OrderRejection::Draining
            | OrderRejection::Invalid { .. }
    )
}
