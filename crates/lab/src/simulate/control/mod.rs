//! The leading controller: replicated state, soft views, planner.
//!
//! Invariant: what is decided goes the product's way: plan, commit, order; each
//! commit takes its time, and inventories and loads are seen late. Views,
//! trackers and reconciliation are the controller's own code.

mod planning;
mod watching;

use super::event::Event;
use super::world::World;
use courseshunt_controller::demand::DemandTracker;
use courseshunt_controller::scheduler::{LoadTracker, Moment, SchedulerState, Takeover};
use courseshunt_placement::{Decision, PlacementPolicy, Planner};
use courseshunt_standin::model::StoreModelSettings;
use courseshunt_state::{ChangeRequest, Command, CommandEnvelope, CommandReply, ReplicatedState};
use courseshunt_types::runner_api::{CacheTier, MachineState};
use courseshunt_types::{
    ClientId, ClientSequence, DeploymentName, LogIndex, Millis, RunnerId, Term, Timestamp,
    UnixMillis,
};
use std::collections::BTreeMap;

/// Makes the policy of each new leader.
pub type PolicyFactory = Box<dyn Fn() -> Box<dyn PlacementPolicy>>;

/// A decision and the tier that its checkpoint comes from.
#[derive(Debug, Clone)]
struct PlannedDecision {
    decision: Decision,
    source: CacheTier,
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
    policy: PolicyFactory,
    store: StoreModelSettings,
    /// The scheduler's soft state.
    pub scheduler: SchedulerState,
    /// Demand. Soft.
    pub demand: DemandTracker,
    /// The platform's list, as the leader read it last.
    pub listed: BTreeMap<RunnerId, MachineState>,
    takeover: Takeover,
    decisions: Vec<PlannedDecision>,
    plan_at: Option<Timestamp>,
}

fn scheduler(policy: &PolicyFactory, store: StoreModelSettings) -> SchedulerState {
    let starts = store.starts_per_second.floor().max(1.0) as u32;
    let loads = LoadTracker::new(starts, store.full_speed_transfers);
    SchedulerState::with(Planner::new(policy()), loads)
}

impl Control {
    /// A leader with a fresh state.
    #[must_use]
    pub fn new(policy: PolicyFactory, store: StoreModelSettings) -> Self {
        Self {
            state: ReplicatedState::default(),
            index: 0,
            term: 1,
            leading: true,
            scheduler: scheduler(&policy, store),
            policy,
            store,
            demand: DemandTracker::default(),
            listed: BTreeMap::new(),
            takeover: Takeover {
                term: Term(1),
                began: Timestamp(0),
            },
            decisions: Vec::new(),
            plan_at: None,
        }
    }

    /// Another member leads; it knows the replicated state and the platform's
    /// list only.
    pub fn take_over(&mut self, now: Timestamp) {
        self.term += 1;
        self.leading = true;
        self.scheduler = scheduler(&self.policy, self.store);
        self.demand = DemandTracker::default();
        self.takeover = Takeover {
            term: Term(self.term),
            began: now,
        };
        self.decisions.clear();
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

    /// This moment, on both clocks; the simulation starts at midnight.
    pub(super) fn moment(&self) -> Moment {
        Moment {
            now: self.now,
            wall: self.wall(),
        }
    }

    fn wall(&self) -> UnixMillis {
        UnixMillis(self.now.since(Timestamp::default()).0)
    }

    fn envelope(&self, command: Command) -> CommandEnvelope {
        CommandEnvelope {
            client: ClientId::default(),
            sequence: ClientSequence(0),
            acknowledged: ClientSequence(0),
            proposed_at: self.wall(),
            command,
        }
    }

    /// Applies a committed command.
    pub(super) fn apply(&mut self, command: Command) -> CommandReply {
        let envelope = self.envelope(command);
        self.apply_envelope(&envelope)
    }

    fn apply_envelope(&mut self, envelope: &CommandEnvelope) -> CommandReply {
        self.control.index += 1;
        let (index, term) = (LogIndex(self.control.index), Term(self.control.term));
        self.control.state.apply(index, term, envelope)
    }

    /// Commits a command later, if there is a leader then.
    pub(super) fn propose(&mut self, command: Command) {
        let envelope = self.envelope(command);
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
                    let now = self.now;
                    self.control.scheduler.loads().finished(replica, now);
                }
                self.feed_deployment(&replica.deployment);
            }
            Command::WithdrawReplica { replica, .. } => self.feed_deployment(&replica.deployment),
            Command::RecordRunner(record) => self.runner_recorded(&record.runner),
            Command::SetRunnerState { runner, .. } => self.runner_recorded(runner),
            _ => {}
        }
        self.request_plan(self.settings.scenario.control.plan_ms);
    }

    /// Replicas on a runner may have gone with it.
    fn runner_recorded(&mut self, runner: &RunnerId) {
        if let Some(number) = self.runner_numbers.get(runner).copied() {
            self.check_runner(number);
        }
        for deployment in 0..self.site.len() {
            self.push(Millis(1), Event::Feed(deployment));
        }
    }

    pub(super) fn feed_deployment(&mut self, deployment: &DeploymentName) {
        if let Some(number) = self.deployment_numbers.get(deployment) {
            self.push(self.order_delay(), Event::Feed(*number));
        }
    }

    /// One way from the leader to a router or runner.
    pub(super) fn order_delay(&self) -> Millis {
        Millis(self.settings.scenario.network.zone_delay_ms.ceil() as u64)
    }

    /// Another member has been elected.
    pub(super) fn elected(&mut self) {
        self.control.take_over(self.now);
        for runner in 0..self.fleet.runners.len() {
            self.read_inventory(runner);
        }
        for router in 0..self.routers.len() {
            self.report_all(router);
        }
        self.request_plan(self.settings.scenario.control.plan_ms);
    }
}
