//! Runners and the weight store in virtual time.

use super::Mutant;
use super::event::{Event, Process, RunnerNumber};
use super::measures::{AcceleratorTime, Waits};
use super::requests::Request;
use super::world::World;
use courseshunt_standin::model::{
    RunnerEvent, RunnerModel, RunnerModelSettings, SequenceKey, StoreModel, StoreModelSettings,
    TransferId,
};
use courseshunt_types::runner_api::{MachineState, OrderAction, OrderRejection, OrderRequest};
use courseshunt_types::{Incarnation, Millis, ModelName, RunnerId, Timestamp, Zone};
use std::collections::BTreeMap;

/// One runner.
#[derive(Debug)]
pub struct SimulatedRunner {
    /// The model.
    pub model: RunnerModel,
    /// Whether its process runs.
    pub up: bool,
    /// Whether nothing passes to or from it.
    pub cut: bool,
    /// Since when it is leaving.
    pub leaving_since: Option<Timestamp>,
    /// State of its machine, which the platform's list shows later.
    pub listed: MachineState,
    /// Whether a read of its inventory is under way.
    pub inventory_due: bool,
    /// Whether a read of its load is under way.
    pub load_due: bool,
    wake_at: Option<Timestamp>,
    accounted: Timestamp,
    /// Requests running, with their attempts.
    pub executions: BTreeMap<usize, u64>,
}

impl SimulatedRunner {
    fn new(settings: RunnerModelSettings) -> Self {
        Self {
            model: RunnerModel::new(settings),
            up: true,
            cut: false,
            leaving_since: None,
            listed: MachineState::Live,
            inventory_due: false,
            load_due: false,
            wake_at: None,
            accounted: Timestamp(0),
            executions: BTreeMap::new(),
        }
    }

    /// Its name.
    #[must_use]
    pub fn name(&self) -> &RunnerId {
        &self.model.settings().runner
    }

    /// Its zone.
    #[must_use]
    pub fn zone(&self) -> &Zone {
        &self.model.settings().zone
    }

    /// Starts again under a new incarnation; another machine has empty disks.
    pub fn restart(&mut self, other_machine: bool) {
        let mut settings = self.model.settings().clone();
        settings.incarnation = settings.incarnation.next();
        let accounted = self.accounted;
        let mut model = RunnerModel::new(settings.clone());
        if !other_machine {
            model.keep_disk_of(&self.model);
        }
        *self = Self::new(settings);
        self.model = model;
        self.accounted = accounted;
    }

    /// Its incarnation.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.model.settings().incarnation
    }
}

/// A transfer from the weight store.
#[derive(Debug, Clone)]
struct Transfer {
    runner: Process,
    model: ModelName,
    size_mib: u64,
    asked: Timestamp,
}

/// See the module.
#[derive(Debug)]
pub struct Fleet {
    /// All runners.
    pub runners: Vec<SimulatedRunner>,
    /// The weight store.
    pub store: StoreModel,
    store_settings: StoreModelSettings,
    transfers: BTreeMap<TransferId, Transfer>,
    store_wake_at: Option<Timestamp>,
    /// Accelerator time.
    pub time: AcceleratorTime,
    /// Delays by the store's limits and slowness.
    pub store_waits: Waits,
}

impl Fleet {
    /// An idle fleet.
    #[must_use]
    pub fn new(runners: Vec<RunnerModelSettings>, store: StoreModelSettings) -> Self {
        Self {
            runners: runners.into_iter().map(SimulatedRunner::new).collect(),
            store: StoreModel::new(store),
            store_settings: store,
            transfers: BTreeMap::new(),
            store_wake_at: None,
            time: AcceleratorTime::default(),
            store_waits: Waits::default(),
        }
    }

    /// Whether a message to this runner incarnation reaches it.
    #[must_use]
    pub fn reaches(&self, runner: Process) -> bool {
        let known = &self.runners[runner.number];
        known.up && !known.cut && known.incarnation() == runner.incarnation
    }
}

impl World {
    /// Adds the accelerator time since the last call; before every change of
    /// what a runner holds or runs.
    pub(super) fn account(&mut self, runner: RunnerNumber) {
        let now = self.now.min(self.horizon);
        let one = &mut self.fleet.runners[runner];
        let passed = now.since(one.accounted);
        one.accounted = now.max(one.accounted);
        if !one.up || passed == Millis(0) {
            return;
        }
        let settings = one.model.settings();
        let accelerators = f64::from(settings.accelerators);
        for held in one.model.held() {
            let share = held.memory_mib as f64 / settings.memory_mib.max(1) as f64;
            let running = held.running > 0;
            self.fleet.time.add(accelerators * share, passed, running);
        }
    }

    /// Wakes a runner when something is due there.
    pub(super) fn schedule_runner(&mut self, runner: RunnerNumber) {
        let now = self.now;
        let one = &mut self.fleet.runners[runner];
        let Some(next) = one.model.next_event() else {
            return;
        };
        let next = next.max(now);
        if one.wake_at.is_none_or(|known| next < known) {
            one.wake_at = Some(next);
            self.events.push(next, Event::RunnerWake(runner));
        }
    }

    pub(super) fn runner_wake(&mut self, runner: RunnerNumber) {
        let now = self.now;
        let one = &mut self.fleet.runners[runner];
        if one.wake_at != Some(now) || !one.up {
            return;
        }
        one.wake_at = None;
        self.account(runner);
        let events = self.fleet.runners[runner].model.advance(now);
        for event in events {
            self.runner_event(runner, event);
        }
        self.schedule_runner(runner);
    }

    fn runner_event(&mut self, runner: RunnerNumber, event: RunnerEvent) {
        match event {
            RunnerEvent::FetchNeeded { model, size_mib } => self.fetch(runner, model, size_mib),
            RunnerEvent::Loaded(_) | RunnerEvent::Unloaded(_) => self.inventory_changed(runner),
            RunnerEvent::Token { key, last, .. } if last => self.execution_ended(runner, &key),
            RunnerEvent::Token { .. } => {}
        }
    }

    fn execution_ended(&mut self, runner: RunnerNumber, key: &SequenceKey) {
        self.load_changed(runner);
        let Some(request) = Request::number_of(&key.request) else {
            return;
        };
        self.fleet.runners[runner].executions.remove(&request);
        let process = self.runner_process(runner);
        if self.fleet.reaches(process) {
            let delay = self.back_from(request, process);
            let attempt = key.attempt.0;
            self.push(delay, Event::Answered { request, attempt });
        }
    }

    fn fetch(&mut self, runner: RunnerNumber, model: ModelName, size_mib: u64) {
        let transfer = self.fleet.store.request(size_mib, self.now);
        let known = Transfer {
            runner: self.runner_process(runner),
            model,
            size_mib,
            asked: self.now,
        };
        self.fleet.transfers.insert(transfer, known);
        self.schedule_store();
    }

    pub(super) fn schedule_store(&mut self) {
        let Some(next) = self.fleet.store.next_event() else {
            return;
        };
        let next = next.max(self.now);
        if self.fleet.store_wake_at.is_none_or(|known| next < known) {
            self.fleet.store_wake_at = Some(next);
            self.events.push(next, Event::StoreWake);
        }
    }

    pub(super) fn store_wake(&mut self) {
        if self.fleet.store_wake_at != Some(self.now) {
            return;
        }
        self.fleet.store_wake_at = None;
        let finished = self.fleet.store.advance(self.now);
        self.transfers_finished(&finished);
        self.schedule_store();
    }

    pub(super) fn transfers_finished(&mut self, finished: &[TransferId]) {
        for transfer in finished {
            let Some(transfer) = self.fleet.transfers.remove(transfer) else {
                continue;
            };
            self.note_store_wait(&transfer);
            if !self.fleet.reaches(transfer.runner) {
                continue;
            }
            let runner = transfer.runner.number;
            self.account(runner);
            let now = self.now;
            let model = &mut self.fleet.runners[runner].model;
            model.fetch_finished(&transfer.model, transfer.size_mib, now);
            self.inventory_changed(runner);
            self.schedule_runner(runner);
        }
    }

    fn note_store_wait(&mut self, transfer: &Transfer) {
        let speed = self.fleet.store_settings.transfer_mib_per_second;
        let alone = Millis((transfer.size_mib as f64 / speed * 1000.0).ceil() as u64);
        let taken = self.now.since(transfer.asked);
        self.fleet
            .store_waits
            .add(Millis(taken.0.saturating_sub(alone.0)));
    }

    /// Gives up the transfers to a runner that is gone.
    pub(super) fn cancel_transfers(&mut self, runner: RunnerNumber) {
        let to_it = |transfer: &Transfer| transfer.runner.number == runner;
        let gone = self.fleet.transfers.iter().filter(|(_, one)| to_it(one));
        let gone: Vec<TransferId> = gone.map(|(transfer, _)| *transfer).collect();
        for transfer in gone {
            self.fleet.store.cancel(transfer);
            self.fleet.transfers.remove(&transfer);
        }
    }

    /// An order reaches a runner, unless it is dead or cut off. Returns whether
    /// the runner took it.
    pub(super) fn receive_order(&mut self, runner: RunnerNumber, order: &OrderRequest) -> bool {
        if !self.fleet.reaches(self.runner_process(runner)) {
            return false;
        }
        self.account(runner);
        let now = self.now;
        if self.mutates(Mutant::IgnoresFences) {
            self.fleet.runners[runner].model.forget_fences();
        }
        let mutated = self.mutated(order);
        let order = mutated.as_ref().unwrap_or(order);
        let result = self.fleet.runners[runner].model.order(order, now);
        if matches!(result, Err(OrderRejection::OutOfMemory { .. })) {
            self.checks.overcommit_ordered();
        }
        self.order_answered(runner, order, result.as_ref().err());
        self.check_runner(runner);
        self.inventory_changed(runner);
        self.schedule_runner(runner);
        result.is_ok()
    }

    /// The order as a fault of the product would have it.
    fn mutated(&self, order: &OrderRequest) -> Option<OrderRequest> {
        if self.mutates(Mutant::IgnoresFences) {
            let incarnation = None;
            let order = order.clone();
            return Some(OrderRequest {
                incarnation,
                ..order
            });
        }
        if !self.mutates(Mutant::ReservesNothing) {
            return None;
        }
        let number = self.deployment_numbers.get(&order.deployment)?;
        let document = &self.site[*number].document;
        let mut mutated = order.clone();
        if let OrderAction::Load { memory_mib, .. } = &mut mutated.action {
            *memory_mib = document.replica_memory_mib();
        }
        Some(mutated)
    }

    /// Compares what a runner holds with what was decided.
    pub(super) fn check_runner(&mut self, runner: RunnerNumber) {
        let one = &self.fleet.runners[runner];
        if !one.up {
            return;
        }
        self.checks.runner_changed(
            one.name(),
            one.model.settings().memory_mib,
            one.model.held(),
            &self.control.state.placement,
        );
    }
}
