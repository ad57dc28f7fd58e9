//! Watches the platform's list and all runners, each in its own task, so that
//! a runner that hangs delays nobody else. Runs only while this member leads.

use super::SchedulerState;
use super::book::SeenRunner;
use super::client::{CALL_TIMEOUT, RunnerClient};
use super::reconcile::reconcile;
use super::repair::carry_out;
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

/// Time between readings of the platform's list.
const LIST_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between visits to one runner.
const SHORTEST_PAUSE: Duration = Duration::from_millis(20);
/// Time between visits to a runner that is loading or unloading something.
const BUSY_PAUSE: Duration = Duration::from_millis(250);
/// Longest time between visits to a quiet runner: a draining runner must be
/// noticed within three seconds.
const QUIET_PAUSE: Duration = Duration::from_millis(1000);
/// Pause for each known runner, so that a large fleet is asked less often.
const PAUSE_FOR_EACH: Duration = Duration::from_micros(1200);
/// Visits at the same time to runners that answer.
const VISITS: usize = 64;
/// Visits at the same time to runners that did not answer last time: they have
/// their own share, and can't take that of the others.
const SILENT_VISITS: usize = 16;

/// What the watching tasks share.
#[derive(Debug, Clone)]
struct Watch {
    context: ControllerContext,
    scheduler: Arc<SchedulerState>,
    targets: Arc<Mutex<BTreeMap<RunnerId, MachineItem>>>,
    visits: Arc<Semaphore>,
    silent_visits: Arc<Semaphore>,
    stop: CancellationToken,
}

/// Watches until cancelled; starts afresh at each leadership.
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
            visits: Arc::new(Semaphore::new(VISITS)),
            silent_visits: Arc::new(Semaphore::new(SILENT_VISITS)),
            stop: context.stop.child_token(),
        };
        let _stop_at_the_end = watch.stop.clone().drop_guard();
        let term = status.borrow().term;
        tokio::select! {
            () = watch.follow_list() => {}
            ended = status.wait_for(|status| !status.leads() || status.term != term) => {
                if ended.is_err() {
                    return;
                }
            }
        }
        scheduler.book.clear();
    }
}

impl Watch {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<RunnerId, MachineItem>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the platform's list again and again and watches what it names,
    /// and the runners of the log that it leaves out.
    async fn follow_list(&self) {
        self.add_targets(self.known_machines());
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

    /// The runners of the log, as if listed.
    fn known_machines(&self) -> Vec<MachineItem> {
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
                log::warn!("scheduler: platform list: {error}");
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

    /// Records what the platform says about a machine whose runner may be
    /// silent: a notice, or the end.
    async fn record_listed_state(&self, machine: &MachineItem) {
        if machine.state == MachineState::Live || self.lags(machine) {
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
            log::info!("scheduler: {} is {:?}", machine.runner, machine.state);
            let command = Command::SetRunnerState {
                runner: machine.runner.clone(),
                incarnation,
                state: machine.state,
            };
            submit(&self.context, command).await;
        }
    }

    /// Whether the list calls a machine gone whose runner answers: the list lags
    /// behind another machine of the same name.
    fn lags(&self, machine: &MachineItem) -> bool {
        let now = self.context.clock.now();
        let seen = self.scheduler.book.get(&machine.runner);
        machine.state == MachineState::Gone && seen.is_some_and(|seen| seen.is_fresh(now))
    }

    async fn watch_runner(self, runner: RunnerId) {
        let mut answers = true;
        loop {
            let machine = self.lock().get(&runner).cloned();
            let Some(machine) = machine else {
                return;
            };
            let pause = self.visit_in_turn(&machine, answers).await;
            answers = pause.is_some();
            let pause = pause.unwrap_or(QUIET_PAUSE);
            tokio::time::sleep(pause).await;
        }
    }

    /// Visits a runner when its turn comes; gives the pause to the next visit,
    /// or `None` when it did not answer.
    async fn visit_in_turn(&self, machine: &MachineItem, answers: bool) -> Option<Duration> {
        let turns = match answers {
            true => &self.visits,
            false => &self.silent_visits,
        };
        let _turn = turns.acquire().await.ok()?;
        self.visit(machine).await
    }

    async fn visit(&self, machine: &MachineItem) -> Option<Duration> {
        let client = RunnerClient::new(&self.context, &machine.runner, &machine.address);
        let asked_at = self.context.clock.now();
        let inventory = client.inventory().await?;
        let load = match inventory.deployments.is_empty() {
            true => None,
            false => client.load().await,
        };
        record_runner(&self.context, machine, &inventory).await;
        self.scheduler.observe_inventory(&inventory, asked_at);
        self.reconcile_runner(&client, &inventory, asked_at).await;
        let pause = self.pause_after(&inventory);
        self.scheduler.book.record(SeenRunner {
            inventory,
            load,
            asked_at,
        });
        Some(pause)
    }

    async fn reconcile_runner(
        &self,
        client: &RunnerClient<'_>,
        inventory: &Inventory,
        asked_at: Timestamp,
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
                loads.was_accepted(replica, fence, asked_at)
            })
        };
        for action in actions {
            carry_out(
                &self.context,
                &self.scheduler,
                client,
                &inventory.runner,
                action,
            )
            .await;
        }
    }

    /// The next visit comes soon while something is on its way, at the end of
    /// a load in particular.
    fn pause_after(&self, inventory: &Inventory) -> Duration {
        let known = u32::try_from(self.lock().len()).unwrap_or(u32::MAX);
        let quiet = (PAUSE_FOR_EACH * known).clamp(BUSY_PAUSE, QUIET_PAUSE);
        let moving = inventory
            .deployments
            .iter()
            .filter(|item| item.phase != LoadPhase::Ready);
        let ends = moving.map(|item| match item.remaining_ms {
            Millis(0) => BUSY_PAUSE,
            rest => Duration::from(rest).clamp(SHORTEST_PAUSE, BUSY_PAUSE),
        });
        ends.min().unwrap_or(quiet)
    }
}

async fn record_runner(context: &ControllerContext, machine: &MachineItem, inventory: &Inventory) {
    let state = match (inventory.draining, machine.state) {
        (true, _) => MachineState::Leaving,
        // It answers, so the list lags.
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
        log::info!("scheduler: runner {} is {:?}", record.runner, record.state);
        submit(context, Command::RecordRunner(record)).await;
    }
}

/// Commits a command; a failure is logged, and found again by the next visit.
pub async fn submit(context: &ControllerContext, command: Command) {
    if let Err(error) = context.replica.submit_as_leader(command).await {
        log::warn!("scheduler: {error}");
    }
}
