//! Watches the platform's machine list and probes all runners, each in its own task, so that an
//! unresponsive runner does not delay the others.
//!
//! Invariant: the tasks run only while this member is the leader.

use super::SchedulerState;
use super::client::{CALL_TIMEOUT, RunnerClient};
use super::reconcile::reconcile;
use super::repair::execute_action;
use super::runner_table::RunnerObservation;
use crate::ControllerContext;
use courseshunt_state::{Command, ReplicaRecord, RunnerRecord};
use courseshunt_types::runner_api::{Inventory, LoadPhase, MachineItem, MachineState};
use courseshunt_types::{Millis, RunnerId, Timestamp};
use hyper::Method;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

/// Interval at which the platform's machine list is read.
const LIST_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest pause between probes of one runner.
const MIN_PROBE_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause between probes of a runner that is loading or unloading.
const BUSY_PROBE_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause between probes of an idle runner: a draining runner must be detected within
/// three seconds.
const IDLE_PROBE_PAUSE: Duration = Duration::from_millis(1000);
/// Share of each known runner in the pause, so that runners of a large fleet are probed less
/// often.
const PAUSE_PER_RUNNER: Duration = Duration::from_micros(1200);
/// Concurrent probes of responsive runners.
const MAX_PROBES: usize = 64;
/// Concurrent probes of runners that did not respond to the last one. They have permits of their
/// own, so that they can't exhaust those of responsive runners.
const MAX_UNRESPONSIVE_PROBES: usize = 16;

/// State that the watching tasks share.
#[derive(Debug, Clone)]
struct Watch {
    context: ControllerContext,
    scheduler: Arc<SchedulerState>,
    targets: Arc<Mutex<BTreeMap<RunnerId, MachineItem>>>,
    probe_permits: Arc<Semaphore>,
    unresponsive_probe_permits: Arc<Semaphore>,
    stop: CancellationToken,
}

/// Watches until cancelled, with new state for each leadership.
pub async fn run(context: ControllerContext, scheduler: Arc<SchedulerState>) {
    let mut status = context.replica.status();
    loop {
        if status.wait_for(|status| status.leads()).await.is_err() {
            return;
        }
        let watch = Watch {
            context: context.clone(),
            scheduler: scheduler.clone(),
            targets: Arc::default(),
            probe_permits: Arc::new(Semaphore::new(MAX_PROBES)),
            unresponsive_probe_permits: Arc::new(Semaphore::new(MAX_UNRESPONSIVE_PROBES)),
            stop: context.stop.child_token(),
        };
        let _stop_guard = watch.stop.clone().drop_guard();
        let term = status.borrow().term;
        tokio::select! {
            () = watch.follow_list() => {}
            ended = status.wait_for(|status| !status.leads() || status.term != term) => {
                if ended.is_err() {
                    return;
                }
            }
        }
        scheduler.runners.clear();
    }
}

impl Watch {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<RunnerId, MachineItem>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the platform's list periodically and watches the listed runners, and those of the
    /// log that are not listed.
    async fn follow_list(&self) {
        self.add_targets(self.recorded_machines());
        let mut interval = tokio::time::interval(LIST_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            let machines = self.listed_machines().await;
            for machine in &machines {
                self.record_listed_state(machine).await;
            }
            self.add_targets(machines);
        }
    }

    /// The runners of the log, in the form of the platform's list.
    fn recorded_machines(&self) -> Vec<MachineItem> {
        let state = self.context.replica.state();
        let runners = state.placement.runners.values();
        let machines = runners.map(|record| MachineItem {
            runner: record.runner.clone(),
            address: record.address.clone(),
            zone: record.zone.clone(),
            state: record.state,
        });
        machines.collect()
    }

    async fn listed_machines(&self) -> Vec<MachineItem> {
        let address = self.context.settings.platform_address.to_string();
        let client = &self.context.client;
        let reply = client
            .call::<()>(Method::GET, &address, "/machines", None, None, CALL_TIMEOUT)
            .await;
        match reply {
            Ok(reply) => serde_json::from_slice(&reply.body).unwrap_or_default(),
            Err(error) => {
                log::warn!("scheduler: reading the machine list from {address} failed: {error}");
                Vec::new()
            }
        }
    }

    fn add_targets(&self, machines: Vec<MachineItem>) {
        for machine in machines {
            let runner = machine.runner.clone();
            let known = self.lock().insert(runner.clone(), machine);
            if known.is_none() {
                let watching = self.clone().watch_runner(runner);
                tokio::spawn(self.stop.clone().run_until_cancelled_owned(watching));
            }
        }
    }

    /// Records the listed state of a machine that is leaving or gone, since its runner may no
    /// longer respond.
    async fn record_listed_state(&self, machine: &MachineItem) {
        if machine.state == MachineState::Live || self.is_listing_outdated(machine) {
            return;
        }
        let incarnation = {
            let state = self.context.replica.state();
            let known = state.placement.runners.get(&machine.runner);
            known
                .filter(|known| known.state != machine.state && known.state != MachineState::Gone)
                .map(|known| known.incarnation)
        };
        if let Some(incarnation) = incarnation {
            log::info!(
                "scheduler: platform lists {} as {:?}",
                machine.runner,
                machine.state
            );
            let command = Command::SetRunnerState {
                runner: machine.runner.clone(),
                incarnation,
                state: machine.state,
            };
            submit(&self.context, command).await;
        }
    }

    /// Whether the platform lists a machine as gone although its runner responds: the list does
    /// not contain the new machine of the same name yet.
    fn is_listing_outdated(&self, machine: &MachineItem) -> bool {
        let now = self.context.clock.now();
        let observation = self.scheduler.runners.get(&machine.runner);
        machine.state == MachineState::Gone
            && observation.is_some_and(|observation| observation.is_fresh(now))
    }

    async fn watch_runner(self, runner: RunnerId) {
        let mut responsive = true;
        loop {
            let machine = self.lock().get(&runner).cloned();
            let Some(machine) = machine else {
                return;
            };
            let pause = self.probe_with_permit(&machine, responsive).await;
            responsive = pause.is_some();
            let pause = pause.unwrap_or(IDLE_PROBE_PAUSE);
            tokio::time::sleep(pause).await;
        }
    }

    /// Probes a runner once a permit is available. Returns the pause until the next probe, or
    /// `None` when the runner did not respond.
    async fn probe_with_permit(&self, machine: &MachineItem, responsive: bool) -> Option<Duration> {
        let permits = match responsive {
            true => &self.probe_permits,
            false => &self.unresponsive_probe_permits,
        };
        let _permit = permits.acquire().await.ok()?;
        self.probe(machine).await
    }

    async fn probe(&self, machine: &MachineItem) -> Option<Duration> {
        let client = RunnerClient::new(&self.context, &machine.runner, &machine.address);
        let requested_at = self.context.clock.now();
        let inventory = client.inventory().await?;
        let load = match inventory.deployments.is_empty() {
            true => None,
            false => client.load().await,
        };
        record_runner(&self.context, machine, &inventory).await;
        self.scheduler.observe_inventory(&inventory, requested_at);
        self.reconcile_runner(&client, &inventory, requested_at)
            .await;
        let pause = self.pause_after(&inventory);
        self.scheduler.runners.record(RunnerObservation {
            inventory,
            load,
            requested_at,
        });
        Some(pause)
    }

    async fn reconcile_runner(
        &self,
        client: &RunnerClient<'_>,
        inventory: &Inventory,
        requested_at: Timestamp,
    ) {
        let records: Vec<ReplicaRecord> = {
            let state = self.context.replica.state();
            let here = state.placement.on_runner(&inventory.runner);
            here.filter(|one| one.incarnation == inventory.incarnation)
                .cloned()
                .collect()
        };
        let actions = {
            let loads = self.scheduler.loads();
            reconcile(&records, inventory, |replica, fence| {
                loads.was_accepted(replica, fence, requested_at)
            })
        };
        for action in actions {
            execute_action(
                &self.context,
                &self.scheduler,
                client,
                &inventory.runner,
                action,
            )
            .await;
        }
    }

    /// Pause until the next probe. It is short while a load or unload is in progress, and ends
    /// with the load when its remaining time is known.
    fn pause_after(&self, inventory: &Inventory) -> Duration {
        let known = u32::try_from(self.lock().len()).unwrap_or(u32::MAX);
        let idle = (PAUSE_PER_RUNNER * known).clamp(BUSY_PROBE_PAUSE, IDLE_PROBE_PAUSE);
        let in_progress = inventory
            .deployments
            .iter()
            .filter(|item| item.phase != LoadPhase::Ready);
        let pauses = in_progress.map(|item| match item.remaining_ms {
            Millis(0) => BUSY_PROBE_PAUSE,
            remaining => Duration::from(remaining).clamp(MIN_PROBE_PAUSE, BUSY_PROBE_PAUSE),
        });
        pauses.min().unwrap_or(idle)
    }
}

async fn record_runner(context: &ControllerContext, machine: &MachineItem, inventory: &Inventory) {
    let state = match (inventory.draining, machine.state) {
        (true, _) => MachineState::Leaving,
        // The runner responds, so the list is outdated.
        (false, MachineState::Gone) => MachineState::Live,
        (false, listed) => listed,
    };
    let state = {
        let replicated = context.replica.state();
        let drains = &replicated.drains;
        drains.effective_state(&inventory.runner, inventory.incarnation, state)
    };
    let record = RunnerRecord {
        runner: inventory.runner.clone(),
        address: machine.address.clone(),
        zone: inventory.zone.clone(),
        incarnation: inventory.incarnation,
        accelerators: inventory.accelerators,
        memory_mib: inventory.memory_mib,
        state,
    };
    let known = {
        let replicated = context.replica.state();
        replicated.placement.runners.get(&record.runner).cloned()
    };
    if known.as_ref() != Some(&record) {
        log::info!(
            "scheduler: recording runner {} as {:?}",
            record.runner,
            record.state
        );
        submit(context, Command::RecordRunner(record)).await;
    }
}

/// Commits a command. A failure is only logged, since the next probe finds the difference again.
pub async fn submit(context: &ControllerContext, command: Command) {
    if let Err(error) = context.replica.submit_as_leader(command).await {
        log::warn!("scheduler: committing a command failed: {error}");
    }
}
