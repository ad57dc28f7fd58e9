//! The leading controller: replicated state, soft views, planner.
//!
//! Decisions go the product's way: plan, commit, order; each commit takes its
//! time, and inventories and loads are seen late.

use super::event::{DeploymentNumber, Event, RunnerNumber};
use super::world::World;
use courseshunt_controller::demand::DemandBook;
use courseshunt_controller::scheduler::{ReconcileAction, reconcile};
use courseshunt_placement::policies::policy_by_name;
use courseshunt_placement::{
    Decision, DecisionKind, DemandEvent, LoadBackoff, LoadTimes, Planner, StoreLimiter,
};
use courseshunt_standin::model::StoreModelSettings;
use courseshunt_state::{
    ChangeRequest, Command, CommandEnvelope, CommandReply, ReplicaPhase, ReplicaRecord,
    ReplicatedState, RunnerRecord,
};
use courseshunt_types::runner_api::{
    CacheTier, Inventory, MachineState, OrderAction, OrderRequest,
};
use courseshunt_types::{
    ClientId, ClientSequence, DeploymentName, Fence, Incarnation, LogIndex, Millis, ModelName,
    PriorityClass, ReplicaKey, RunnerId, Term, Timestamp, UnixMillis,
};
use rand::RngExt;
use std::collections::{BTreeMap, VecDeque};

/// Time between looks at all inventories.
const SWEEP_INTERVAL: Millis = Millis::from_secs(5);
/// An inventory is read this long after a change at the latest.
const LARGEST_INVENTORY_LAG: u64 = 300;
/// A load is read this long after a change.
const LOAD_LAG: Millis = Millis::from_secs(1);
/// Shortest time to a plan that a policy asks for.
const SHORTEST_WAKE: Millis = Millis(100);
/// A runner that does not answer for this long counts as unreachable.
const REACHABLE_FOR: Millis = Millis::from_secs(3);

/// What the leader saw of one runner.
#[derive(Debug, Clone)]
pub struct SeenRunner {
    /// The last inventory.
    pub inventory: Inventory,
    /// Since when it does not answer.
    pub silent_since: Option<Timestamp>,
    /// State of its machine in the platform's list.
    pub listed: MachineState,
}

impl SeenRunner {
    /// Whether it answered within the last seconds.
    #[must_use]
    pub fn is_reachable(&self, now: Timestamp) -> bool {
        let silent = |since: Timestamp| now.since(since) >= REACHABLE_FOR;
        !self.silent_since.is_some_and(silent)
    }
}

/// Use of one replica, from the runners' load reports.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaUse {
    /// When its phase was entered.
    pub since: Timestamp,
    /// Last moment at which it was seen busy.
    pub last_used: Timestamp,
    /// Requests seen running.
    pub running: u32,
}

/// A load in progress.
#[derive(Debug, Clone)]
pub struct LoadInProgress {
    /// When it was ordered.
    pub started: Timestamp,
    /// Tier that it comes from.
    pub tier: CacheTier,
    /// The model.
    pub model: ModelName,
    /// Size, in MiB.
    pub size_mib: u64,
    /// Expected length.
    pub expected: Millis,
}

/// See the module.
pub struct Control {
    /// The replicated state; it outlives every leader.
    pub state: ReplicatedState,
    index: u64,
    /// Term of the present leader.
    pub term: u64,
    /// Whether there is a leader.
    pub leading: bool,
    policy: String,
    store: StoreModelSettings,
    /// The planner. Soft.
    pub planner: Planner,
    /// Limits on the weight store. Soft.
    pub limiter: StoreLimiter,
    /// Learned load times. Soft.
    pub load_times: LoadTimes,
    /// Failed loads. Soft.
    pub backoff: LoadBackoff,
    /// Demand. Soft.
    pub demand: DemandBook,
    /// Last views of runners. Soft.
    pub seen: BTreeMap<RunnerId, SeenRunner>,
    /// Use of replicas. Soft.
    pub uses: BTreeMap<ReplicaKey, ReplicaUse>,
    /// Loads in progress. Soft.
    pub loads: BTreeMap<ReplicaKey, LoadInProgress>,
    /// Load orders that runners took. Soft.
    pub accepted: BTreeMap<ReplicaKey, (Fence, Timestamp)>,
    /// Staging in progress. Soft.
    pub staging: BTreeMap<(RunnerId, ModelName), Timestamp>,
    decisions: VecDeque<Decision>,
    plan_at: Option<Timestamp>,
}

impl Control {
    /// A leader with a fresh state; `None` when the policy is unknown.
    #[must_use]
    pub fn new(policy: &str, store: StoreModelSettings) -> Option<Self> {
        Some(Self {
            state: ReplicatedState::default(),
            index: 0,
            term: 1,
            leading: true,
            policy: policy.to_owned(),
            store,
            planner: Planner::new(policy_by_name(policy)?),
            limiter: StoreLimiter::new(store.starts_per_second, store.full_speed_transfers),
            load_times: LoadTimes::default(),
            backoff: LoadBackoff::default(),
            demand: DemandBook::default(),
            seen: BTreeMap::new(),
            uses: BTreeMap::new(),
            loads: BTreeMap::new(),
            accepted: BTreeMap::new(),
            staging: BTreeMap::new(),
            decisions: VecDeque::new(),
            plan_at: None,
        })
    }

    /// The next leader knows the replicated state only.
    pub fn take_over(&mut self) {
        let Some(fresh) = Self::new(&self.policy, self.store) else {
            return;
        };
        let earlier = std::mem::replace(self, fresh);
        self.state = earlier.state;
        self.index = earlier.index;
        self.term = earlier.term + 1;
    }
}

impl World {
    /// Configures the deployments and reads the platform's list and runners.
    pub(super) fn start_control(&mut self) {
        let documents = self.site.iter().map(|one| (*one.document).clone());
        let request = ChangeRequest {
            change_id: "site".into(),
            deployments: documents.collect(),
            ..ChangeRequest::default()
        };
        self.apply(Command::ChangeConfiguration(request));
        for runner in 0..self.fleet.runners.len() {
            self.read_inventory(runner);
        }
        self.push(Millis(0), Event::Sweep);
        self.request_plan(Millis(0));
    }

    /// Applies a committed command.
    pub(super) fn apply(&mut self, command: Command) -> CommandReply {
        let proposed_at = UnixMillis(self.now.0);
        let envelope = CommandEnvelope {
            client: ClientId::default(),
            sequence: ClientSequence(0),
            acknowledged: ClientSequence(0),
            proposed_at,
            command,
        };
        self.apply_envelope(&envelope)
    }

    pub(super) fn apply_envelope(&mut self, envelope: &CommandEnvelope) -> CommandReply {
        self.control.index += 1;
        let (index, term) = (LogIndex(self.control.index), Term(self.control.term));
        self.control.state.apply(index, term, envelope)
    }

    /// Commits a command later, if there is a leader then.
    pub(super) fn propose(&mut self, command: Command) {
        let envelope = CommandEnvelope {
            client: ClientId::default(),
            sequence: ClientSequence(0),
            acknowledged: ClientSequence(0),
            proposed_at: UnixMillis(self.now.0),
            command,
        };
        let commit = self.settings.scenario.control.commit_ms;
        self.push(commit, Event::Commit(Box::new(envelope)));
    }

    pub(super) fn commit(&mut self, envelope: &CommandEnvelope) {
        if !self.control.leading {
            return;
        }
        let reply = self.apply_envelope(envelope);
        match &envelope.command {
            Command::ConfirmReplica { replica, .. } => {
                if matches!(reply, CommandReply::Done { .. }) {
                    self.replica_ready(replica);
                }
            }
            Command::ReleaseReplica { replica, .. } => self.replica_gone(replica),
            Command::RecordRunner(record) => self.runner_recorded(&record.runner.clone()),
            Command::SetRunnerState { runner, .. } => self.runner_recorded(&runner.clone()),
            _ => {}
        }
        self.request_plan(self.settings.scenario.control.plan_ms);
    }

    fn replica_ready(&mut self, replica: &ReplicaKey) {
        self.enter_phase(replica);
        let now = self.now;
        if let Some(load) = self.control.loads.remove(replica) {
            let taken = now.since(load.started);
            let times = &mut self.control.load_times;
            times.record(&load.model, load.tier, load.size_mib, taken);
            if load.tier == CacheTier::Remote {
                self.control
                    .limiter
                    .observe(taken, load.expected, true, now);
            }
            self.control.backoff.succeeded(&replica.runner, &load.model);
        }
        self.feed_deployment(&replica.deployment.clone());
    }

    fn replica_gone(&mut self, replica: &ReplicaKey) {
        self.control.uses.remove(replica);
        self.control.loads.remove(replica);
    }

    fn enter_phase(&mut self, replica: &ReplicaKey) {
        let now = self.now;
        let known = self.control.uses.get(replica);
        let entered = ReplicaUse {
            since: now,
            last_used: known.map_or(now, |known| known.last_used),
            running: known.map_or(0, |known| known.running),
        };
        self.control.uses.insert(replica.clone(), entered);
    }

    /// Replicas on a runner may have gone with it.
    fn runner_recorded(&mut self, runner: &RunnerId) {
        let replicas = &self.control.state.placement.replicas;
        let gone = self.control.uses.keys();
        let gone = gone.filter(|key| key.runner == *runner && !replicas.contains_key(key));
        let gone: Vec<ReplicaKey> = gone.cloned().collect();
        for replica in gone {
            self.replica_gone(&replica);
        }
        for deployment in 0..self.site.len() {
            self.push(Millis(1), Event::Feed(deployment));
        }
    }

    pub(super) fn feed_deployment(&mut self, deployment: &DeploymentName) {
        if let Some(number) = self.deployment_numbers.get(deployment) {
            let network = self.settings.scenario.network.zone_delay_ms.ceil() as u64;
            self.push(Millis(network), Event::Feed(*number));
        }
    }

    /// Plans after `pause`, or earlier if that is due anyway.
    pub(super) fn request_plan(&mut self, pause: Millis) {
        let at = self.now + pause;
        if self.control.plan_at.is_none_or(|known| at < known) {
            self.control.plan_at = Some(at);
            self.events.push(at, Event::Plan);
        }
    }

    pub(super) fn plan(&mut self) {
        if self.control.plan_at != Some(self.now) {
            return;
        }
        self.control.plan_at = None;
        let busy = !self.control.decisions.is_empty();
        if !self.control.leading || busy || self.now > self.horizon && self.open == 0 {
            return;
        }
        self.observe_arrivals();
        let view = self.cluster_view();
        let decisions = self.control.planner.plan(&view);
        if !decisions.is_empty() {
            self.control.decisions.extend(decisions);
            let commit = self.settings.scenario.control.commit_ms;
            self.push(commit, Event::CommitDecision);
            return;
        }
        if let Some(wake) = self.control.planner.next_wake(&view) {
            let pause = wake.since(self.now).max(SHORTEST_WAKE);
            self.request_plan(pause);
        }
    }

    fn observe_arrivals(&mut self) {
        for arrivals in self.control.demand.take_arrivals() {
            for class in PriorityClass::ALL {
                let count = arrivals.count.of(class);
                if count == 0 {
                    continue;
                }
                self.control.planner.observe(&DemandEvent::Arrived {
                    deployment: arrivals.deployment.clone(),
                    class,
                    count,
                    at: self.now,
                });
            }
        }
    }

    pub(super) fn commit_decision(&mut self) {
        let Some(decision) = self.control.decisions.pop_front() else {
            return;
        };
        if self.control.leading {
            self.decide(&decision.kind);
        }
        match self.control.decisions.is_empty() {
            true => self.request_plan(self.settings.scenario.control.plan_ms),
            false => {
                let commit = self.settings.scenario.control.commit_ms;
                self.push(commit, Event::CommitDecision);
            }
        }
    }

    fn decide(&mut self, kind: &DecisionKind) {
        match kind {
            DecisionKind::Load { deployment, runner } => self.decide_load(deployment, runner),
            DecisionKind::Unload { deployment, runner } => self.decide_unload(deployment, runner),
            DecisionKind::Stage {
                model,
                runner,
                tier,
            } => self.decide_stage(model, runner, *tier),
        }
    }

    fn decide_load(&mut self, deployment: &DeploymentName, runner: &RunnerId) {
        let Some(number) = self.deployment_numbers.get(deployment).copied() else {
            return;
        };
        let document = self.site[number].document.clone();
        let replica = ReplicaKey {
            deployment: deployment.clone(),
            runner: runner.clone(),
        };
        let command = Command::PlaceReplica {
            replica: replica.clone(),
            memory_mib: document.replica_memory_mib(),
        };
        let CommandReply::Placed { fence } = self.apply(command) else {
            return;
        };
        let placement = &self.control.state.placement;
        self.checks
            .decided(placement, deployment, document.max_replicas);
        self.enter_phase(&replica);
        self.note_load(&replica, number);
        self.report.loads += 1;
        self.order_load(&replica, fence);
    }

    fn note_load(&mut self, replica: &ReplicaKey, number: DeploymentNumber) {
        let document = self.site[number].document.clone();
        let tier = self.tier_seen(&replica.runner, &document.model);
        let load = LoadInProgress {
            started: self.now,
            tier,
            size_mib: document.checkpoint_size_mib(),
            expected: self.control.load_times.expected(&document, tier),
            model: document.model.clone(),
        };
        if tier == CacheTier::Remote {
            self.control.limiter.take(self.now);
            self.report.remote_loads += 1;
        }
        self.control.loads.insert(replica.clone(), load);
    }

    fn tier_seen(&self, runner: &RunnerId, model: &ModelName) -> CacheTier {
        let seen = self.control.seen.get(runner);
        let cached = seen.map(|seen| seen.inventory.cached.iter());
        let tiers = cached.into_iter().flatten();
        let tiers = tiers.filter(|item| item.model == *model);
        tiers
            .map(|item| item.tier)
            .min()
            .unwrap_or(CacheTier::Remote)
    }

    fn order_load(&mut self, replica: &ReplicaKey, fence: Fence) {
        let Some(number) = self.deployment_numbers.get(&replica.deployment) else {
            return;
        };
        let document = &self.site[*number].document;
        let adapters = document.adapters.iter().map(|one| one.name.clone());
        let action = OrderAction::Load {
            model: document.model.clone(),
            checkpoint_mib: document.checkpoint_size_mib(),
            memory_mib: document.replica_memory_mib(),
            slots: document.slots_per_replica,
            adapters: adapters.collect(),
        };
        self.send_order(replica, fence, action);
    }

    fn send_order(&mut self, replica: &ReplicaKey, fence: Fence, action: OrderAction) {
        let Some(runner) = self.runner_numbers.get(&replica.runner).copied() else {
            return;
        };
        let order = OrderRequest {
            fence,
            deployment: replica.deployment.clone(),
            incarnation: self.recorded_incarnation(&replica.runner),
            action,
        };
        self.push(self.order_delay(), Event::Order { runner, order });
    }

    fn recorded_incarnation(&self, runner: &RunnerId) -> Option<Incarnation> {
        let record = self.control.state.placement.runners.get(runner)?;
        Some(record.incarnation)
    }

    pub(super) fn order_delay(&self) -> Millis {
        Millis(self.settings.scenario.network.zone_delay_ms.ceil() as u64)
    }

    fn decide_unload(&mut self, deployment: &DeploymentName, runner: &RunnerId) {
        let replica = ReplicaKey {
            deployment: deployment.clone(),
            runner: runner.clone(),
        };
        let Some(record) = self.control.state.placement.replicas.get(&replica) else {
            return;
        };
        if record.phase == ReplicaPhase::Withdrawn {
            return;
        }
        let command = Command::WithdrawReplica {
            replica: replica.clone(),
            fence: record.fence,
        };
        let CommandReply::Placed { fence } = self.apply(command) else {
            return;
        };
        self.enter_phase(&replica);
        self.control.loads.remove(&replica);
        self.feed_deployment(deployment);
        self.send_order(&replica, fence, OrderAction::Unload);
    }

    /// Staging holds no accelerator memory and needs no decision in the log;
    /// its fence is that of the present term.
    fn decide_stage(&mut self, model: &ModelName, runner: &RunnerId, tier: CacheTier) {
        let of_model = |one: &&super::site::SiteDeployment| one.document.model == *model;
        let Some(document) = self.site.iter().find(of_model).map(|one| &one.document) else {
            return;
        };
        let (checkpoint_mib, name) = (document.checkpoint_size_mib(), document.name.clone());
        if self.tier_seen(runner, model) == CacheTier::Remote {
            self.control.limiter.take(self.now);
        }
        let key = (runner.clone(), model.clone());
        self.control.staging.insert(key, self.now);
        self.report.staged += 1;
        let record = self.control.state.placement.replicas.get(&ReplicaKey {
            deployment: name.clone(),
            runner: runner.clone(),
        });
        let fence = record.map_or(Fence::default(), |record| record.fence);
        let order = OrderRequest {
            fence,
            deployment: format!("~stage/{model}").into(),
            incarnation: self.recorded_incarnation(runner),
            action: OrderAction::Stage {
                model: model.clone(),
                checkpoint_mib,
                tier,
            },
        };
        if let Some(runner) = self.runner_numbers.get(runner).copied() {
            self.push(self.order_delay(), Event::Order { runner, order });
        }
    }

    /// A runner's inventory changed; the leader reads it soon.
    pub(super) fn inventory_changed(&mut self, runner: RunnerNumber) {
        let one = &mut self.fleet.runners[runner];
        if !std::mem::replace(&mut one.inventory_due, true) {
            let lag = self.random.random_range(1..=LARGEST_INVENTORY_LAG);
            self.push(Millis(lag), Event::ReadInventory(runner));
        }
    }

    /// A runner's load changed; the leader reads it a while later.
    pub(super) fn load_changed(&mut self, runner: RunnerNumber) {
        let one = &mut self.fleet.runners[runner];
        if !std::mem::replace(&mut one.load_due, true) {
            self.push(LOAD_LAG, Event::ReadLoad(runner));
        }
    }

    pub(super) fn sweep(&mut self) {
        if self.control.leading {
            self.observe_slow_loads();
            for runner in 0..self.fleet.runners.len() {
                self.read_inventory(runner);
            }
        }
        self.request_plan(self.settings.scenario.control.plan_ms);
        self.push(SWEEP_INTERVAL, Event::Sweep);
    }

    fn observe_slow_loads(&mut self) {
        let now = self.now;
        for load in self.control.loads.values() {
            if load.tier == CacheTier::Remote {
                let taken = now.since(load.started);
                self.control
                    .limiter
                    .observe(taken, load.expected, false, now);
            }
        }
    }

    pub(super) fn read_inventory(&mut self, runner: RunnerNumber) {
        self.fleet.runners[runner].inventory_due = false;
        if !self.control.leading {
            return;
        }
        let now = self.now;
        let process = self.runner_process(runner);
        let name = self.fleet.runners[runner].name().clone();
        if !self.fleet.reaches(process) {
            if let Some(seen) = self.control.seen.get_mut(&name) {
                seen.silent_since.get_or_insert(now);
            }
            return;
        }
        let inventory = self.fleet.runners[runner].model.inventory(now);
        let listed = self.control.seen.get(&name).map(|seen| seen.listed);
        let seen = SeenRunner {
            inventory: inventory.clone(),
            silent_since: None,
            listed: listed.unwrap_or(MachineState::Live),
        };
        self.record_runner(&seen);
        self.control.seen.insert(name, seen);
        self.finish_staging(&inventory);
        let records = self.records_of(&inventory);
        let accepted = &self.control.accepted;
        let was_accepted = |replica: &ReplicaKey, fence| {
            let known = accepted.get(replica);
            known.is_some_and(|(known, at)| *known == fence && *at < now)
        };
        for action in reconcile(&records, &inventory, was_accepted) {
            self.reconcile_one(runner, action);
        }
    }

    fn finish_staging(&mut self, inventory: &Inventory) {
        for item in &inventory.cached {
            let key = (inventory.runner.clone(), item.model.clone());
            self.control.staging.remove(&key);
        }
    }

    fn records_of(&self, inventory: &Inventory) -> Vec<ReplicaRecord> {
        let records = self.control.state.placement.replicas.values();
        let here = records.filter(|one| {
            let same = one.incarnation == inventory.incarnation;
            one.replica.runner == inventory.runner && same
        });
        here.cloned().collect()
    }

    fn record_runner(&mut self, seen: &SeenRunner) {
        let inventory = &seen.inventory;
        let state = match inventory.draining {
            true => MachineState::Leaving,
            false => seen.listed,
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

    fn reconcile_one(&mut self, runner: RunnerNumber, action: ReconcileAction) {
        match action {
            ReconcileAction::OrderLoad(replica, fence) => self.order_load(&replica, fence),
            ReconcileAction::OrderUnload(replica, fence) => {
                self.send_order(&replica, fence, OrderAction::Unload);
            }
            ReconcileAction::FenceAndRelease(replica, fence) => {
                let delay = self.order_delay();
                let order = Event::FenceAndRelease {
                    runner,
                    replica,
                    fence,
                };
                self.push(delay, order);
            }
            ReconcileAction::Confirm(replica, fence) => {
                self.propose(Command::ConfirmReplica { replica, fence });
            }
            ReconcileAction::Withdraw(replica, fence) => {
                self.control.loads.remove(&replica);
                self.propose(Command::WithdrawReplica { replica, fence });
            }
            ReconcileAction::OrderUnloadUndecided(deployment, fence) => {
                let runner = self.fleet.runners[runner].name().clone();
                let replica = ReplicaKey { deployment, runner };
                self.send_order(&replica, fence, OrderAction::Unload);
            }
        }
    }

    /// The runner takes the last unload order; free of the replica after it,
    /// the release is proposed.
    pub(super) fn fence_and_release(
        &mut self,
        runner: RunnerNumber,
        replica: ReplicaKey,
        fence: Fence,
    ) {
        let order = OrderRequest {
            fence,
            deployment: replica.deployment.clone(),
            incarnation: self.recorded_incarnation(&replica.runner),
            action: OrderAction::Unload,
        };
        if !self.fleet.reaches(self.runner_process(runner)) {
            return;
        }
        self.receive_order(runner, &order);
        let mut held = self.fleet.runners[runner].model.held();
        let free = held.all(|one| *one.deployment != replica.deployment);
        drop(held);
        if free {
            self.propose(Command::ReleaseReplica { replica, fence });
        }
    }

    pub(super) fn read_load(&mut self, runner: RunnerNumber) {
        self.fleet.runners[runner].load_due = false;
        let process = self.runner_process(runner);
        if !self.control.leading || !self.fleet.reaches(process) {
            return;
        }
        let now = self.now;
        let report = self.fleet.runners[runner].model.load_report();
        for load in report.deployments {
            let replica = ReplicaKey {
                deployment: load.deployment,
                runner: report.runner.clone(),
            };
            if let Some(known) = self.control.uses.get_mut(&replica) {
                if load.running > 0 || known.running > 0 {
                    known.last_used = now;
                }
                known.running = load.running;
            }
        }
    }

    /// Whether anything is loading, for the view.
    pub(super) fn remote_loads(&self) -> u32 {
        let loads = self.control.loads.values();
        let loads = loads.filter(|load| load.tier == CacheTier::Remote).count();
        u32::try_from(loads + self.control.staging.len()).unwrap_or(u32::MAX)
    }
}
