//! Faults of a schedule, carried out on the simulated world.

mod targets;

use super::Mutant;
use super::event::{Event, RouterNumber, RunnerNumber};
use super::requests::{End, Stage};
use super::world::World;
use courseshunt_controller::scheduler::{load_order, unload_order};
use courseshunt_standin::faults::FaultKind;
use courseshunt_state::{ChangeRequest, Command, ReplicaPhase};
use courseshunt_types::runner_api::{LoadPhase, MachineState, OrderRequest};
use courseshunt_types::{Incarnation, Millis, PriorityClass, Revision, Timestamp, Version};
use targets::Target;

/// Time until a holder gives up a runner that is silent.
const SILENCE_TIMEOUT: Millis = Millis::from_secs(5);
/// Time until routers notice that another is gone.
const OWNER_TIMEOUT: Millis = Millis(500);
/// A caller asks again this long after its router died.
const CALLER_RETRY: Millis = Millis::from_secs(1);
/// Pause between looks whether a stopping router has answered all it holds.
const DRAIN_LOOK: Millis = Millis::from_secs(1);

/// A fault under way.
#[derive(Debug, Clone)]
pub struct ActiveFault {
    kind: FaultKind,
    target: Target,
    length: Millis,
    /// Orders of a leader that was cut off, which arrive when it is back.
    late_orders: Vec<(RunnerNumber, OrderRequest)>,
}

impl World {
    /// Puts the schedule's faults into the queue; notes those that the
    /// simulation can't carry out.
    pub(in crate::simulate) fn schedule_faults(&mut self) {
        for number in 0..self.settings.faults.fault.len() {
            let fault = self.settings.faults.fault[number].clone();
            match self.resolve(&fault) {
                Ok(target) => {
                    self.active_faults.push(Some(ActiveFault {
                        kind: fault.kind.clone(),
                        target,
                        length: fault.for_ms,
                        late_orders: Vec::new(),
                    }));
                    let at = Timestamp::at(fault.at_ms.0);
                    self.events.push(at, Event::FaultBegins(number));
                }
                Err(reason) => {
                    self.active_faults.push(None);
                    let text = format!("fault {} ({:?}): {reason}", number + 1, fault.kind);
                    self.report.skipped_faults.push(text);
                }
            }
        }
    }

    pub(in crate::simulate) fn fault_begins(&mut self, number: usize) {
        let Some(mut fault) = self.active_faults[number].clone() else {
            return;
        };
        let at_the_moment = match fault.target {
            Target::LoadingRunner => Some(self.pick_runner(|one| one.phase == LoadPhase::Loading)),
            Target::BusyRunner => Some(self.pick_runner(|one| one.running > 0)),
            _ => None,
        };
        if let Some(runner) = at_the_moment {
            fault.target = Target::Runner(runner);
            self.active_faults[number] = Some(fault.clone());
        }
        if fault.length > Millis(0) {
            self.push(fault.length, Event::FaultEnds(number));
        }
        match (&fault.kind, &fault.target) {
            (FaultKind::SlowStore(speed), _) => self.set_store_speed(*speed),
            (FaultKind::StaleList, _) => self.list_frozen_until = self.now + fault.length,
            (FaultKind::OperatorRace, _) => self.operators_race(),
            (FaultKind::ResentChange, _) => self.change_resent(),
            (FaultKind::SilentCut | FaultKind::Freeze, Target::Leader) => {
                self.lose_leader_silently(number);
            }
            (_, Target::Leader) => self.lose_leader(),
            (FaultKind::PlannedRestart, Target::Router(router)) => self.stop_router(*router),
            (_, Target::Router(router)) => self.lose_router(*router),
            (kind, Target::Runner(runner)) => self.hit_runner(*runner, kind),
            (kind, Target::Zone(zone)) => self.hit_zone(zone, kind == &FaultKind::ZoneLoss),
            _ => {}
        }
    }

    fn hit_runner(&mut self, runner: RunnerNumber, kind: &FaultKind) {
        match kind {
            FaultKind::Reclaim => self.reclaim(runner),
            FaultKind::ReclaimWithoutNotice => self.machine_taken(runner),
            FaultKind::SilentCut | FaultKind::Freeze => self.cut_runner(runner),
            FaultKind::PlannedRestart => self.start_draining(runner),
            _ => self.lose_runner(runner),
        }
    }

    fn hit_zone(&mut self, zone: &str, lost: bool) {
        for router in 0..self.routers.len() {
            if self.routers[router].site.zone.as_str() == zone {
                self.lose_router(router);
            }
        }
        for runner in 0..self.fleet.runners.len() {
            let there = self.fleet.runners[runner].zone().as_str() == zone;
            match (there, lost) {
                (true, true) => self.lose_runner(runner),
                (true, false) => self.cut_runner(runner),
                (false, _) => {}
            }
        }
        let leaders = self.settings.scenario.zones.first().map(String::as_str);
        if leaders == Some(zone) {
            self.lose_leader();
        }
    }

    pub(in crate::simulate) fn fault_ends(&mut self, number: usize) {
        let Some(fault) = self.active_faults[number].clone() else {
            return;
        };
        for (runner, order) in fault.late_orders {
            self.receive_order(runner, &order);
        }
        match (&fault.kind, &fault.target) {
            (FaultKind::SlowStore(_), _) => self.set_store_speed(1.0),
            (FaultKind::PlannedRestart, Target::Router(router)) => {
                self.finish_stop(number, *router);
            }
            (_, Target::Router(router)) => self.router_back(*router),
            (_, Target::Runner(runner)) => self.runner_back(*runner),
            (_, Target::Zone(zone)) => self.zone_back(zone),
            _ => {}
        }
    }

    fn zone_back(&mut self, zone: &str) {
        for router in 0..self.routers.len() {
            if self.routers[router].site.zone.as_str() == zone {
                self.router_back(router);
            }
        }
        for runner in 0..self.fleet.runners.len() {
            if self.fleet.runners[runner].zone().as_str() == zone {
                self.runner_back(runner);
            }
        }
    }

    fn set_store_speed(&mut self, speed: f64) {
        let finished = self.fleet.store.set_speed(speed, self.now);
        self.transfers_finished(&finished);
        self.schedule_store();
    }

    fn lose_leader(&mut self) {
        if std::mem::replace(&mut self.control.leading, false) {
            let failover = self.settings.scenario.control.failover_ms;
            self.push(failover, Event::Elected);
        }
    }

    /// A leader that is cut off goes on sending what it had decided; its
    /// orders arrive when the cut ends.
    fn lose_leader_silently(&mut self, number: usize) {
        let orders = self.orders_in_force();
        if let Some(fault) = &mut self.active_faults[number] {
            fault.late_orders = orders;
        }
        self.lose_leader();
    }

    fn orders_in_force(&self) -> Vec<(RunnerNumber, OrderRequest)> {
        let records = self.control.state.placement.replicas.values();
        let orders = records.filter_map(|record| {
            let replica = &record.replica;
            let runner = self.runner_numbers.get(&replica.runner)?;
            let state = &self.control.state;
            let order = match record.phase {
                ReplicaPhase::Loading | ReplicaPhase::Ready => {
                    load_order(state, replica, record.fence)?
                }
                ReplicaPhase::Withdrawn => {
                    unload_order(state, &replica.runner, &replica.deployment, record.fence)
                }
            };
            Some((*runner, order))
        });
        orders.collect()
    }

    /// A router that found the new leader reports the demand of all its queues.
    pub(in crate::simulate) fn report_all(&mut self, router: RouterNumber) {
        let owner = self.router_process(router);
        let queues: Vec<usize> = self.routers[router].queues.keys().copied().collect();
        for deployment in queues {
            self.push(Millis(2), Event::Demand { owner, deployment });
        }
    }

    fn lose_router(&mut self, router: RouterNumber) {
        if !std::mem::replace(&mut self.routers[router].up, false) {
            return;
        }
        self.control
            .demand
            .forget(&self.routers[router].site.router.clone());
        self.owners_move();
        for request in 0..self.requests.len() {
            let one = &self.requests[request];
            if one.stage != Stage::Ended && one.holder.number == router {
                self.holder_lost(request);
            }
        }
    }

    /// Queues move to other owners, after the loss was noticed.
    fn owners_move(&mut self) {
        let before = self.owners.clone();
        self.choose_owners();
        for (deployment, earlier) in before.into_iter().enumerate() {
            if self.owners[deployment] != earlier {
                self.push(OWNER_TIMEOUT, Event::OwnerChanged(deployment));
            }
        }
    }

    /// The router that held a request died. A deferred job is in the ledger
    /// and goes to another executor; any other caller asks again.
    fn holder_lost(&mut self, number: usize) {
        let request = &self.requests[number];
        let running = request.stage == Stage::Running;
        let arrival = &self.arrivals[request.arrival];
        let (class, once_only) = (arrival.class, arrival.once_only);
        if let (true, Some(runner)) = (running, request.runner) {
            self.abandon_execution(number, runner.number, once_only);
        }
        let job = class == PriorityClass::Batch && !(once_only && running);
        if job {
            self.return_grant(number);
            let holder = self.pick_router(number);
            let request = &mut self.requests[number];
            request.holder = holder;
            request.attempt += 1;
            request.stage = Stage::Waiting;
            request.owner = holder;
            request.avoid.clear();
            self.send_ticket(number);
            return;
        }
        self.end(number, End::Interrupted);
        self.push(CALLER_RETRY, Event::Repeat(number));
    }

    /// The runner sees that its router is gone: repeatable work is cancelled.
    fn abandon_execution(&mut self, number: usize, runner: RunnerNumber, once_only: bool) {
        if once_only {
            return;
        }
        self.account(runner);
        let now = self.now;
        let key = self.sequence_key(number);
        let one = &mut self.fleet.runners[runner];
        one.executions.remove(&number);
        one.model.cancel(&key, now);
        self.schedule_runner(runner);
        self.load_changed(runner);
    }

    fn router_back(&mut self, router: RouterNumber) {
        if self.routers[router].up {
            return;
        }
        self.routers[router].restart();
        self.owners_move();
        self.configuration_fed(router);
    }

    /// A planned stop: no new callers, queues to other owners, running
    /// requests finish.
    fn stop_router(&mut self, router: RouterNumber) {
        self.routers[router].accepting = false;
        self.owners_move();
        let owner = self.router_process(router);
        for request in 0..self.requests.len() {
            let one = &self.requests[request];
            if one.stage == Stage::Waiting && one.owner == owner {
                let (deployment, id) = (one.deployment, one.id.clone());
                let queue = self.routers[router].queues.get_mut(&deployment);
                if queue.is_some_and(|queue| queue.cancel(&id)) {
                    self.send_ticket(request);
                }
            }
        }
    }

    fn finish_stop(&mut self, number: usize, router: RouterNumber) {
        let holds = |one: &super::requests::Request| {
            one.stage != Stage::Ended && one.holder.number == router
        };
        let busy = self.requests.iter().any(holds);
        if busy {
            self.push(DRAIN_LOOK, Event::FaultEnds(number));
            return;
        }
        self.control
            .demand
            .forget(&self.routers[router].site.router.clone());
        self.routers[router].restart();
        self.owners_move();
        self.configuration_fed(router);
    }

    /// A runner's process dies with all that it held in memory.
    fn lose_runner(&mut self, runner: RunnerNumber) {
        self.account(runner);
        let one = &mut self.fleet.runners[runner];
        if !std::mem::replace(&mut one.up, false) {
            return;
        }
        let executions = std::mem::take(&mut one.executions);
        self.cancel_transfers(runner);
        for (request, attempt) in executions {
            self.push(Millis(2), Event::ConnectionLost { request, attempt });
        }
    }

    fn cut_runner(&mut self, runner: RunnerNumber) {
        self.fleet.runners[runner].cut = true;
        for (request, attempt) in self.fleet.runners[runner].executions.clone() {
            self.push(SILENCE_TIMEOUT, Event::ConnectionLost { request, attempt });
        }
    }

    fn runner_back(&mut self, runner: RunnerNumber) {
        self.account(runner);
        let one = &mut self.fleet.runners[runner];
        let gone = one.listed == MachineState::Gone;
        let restarted = !one.up || one.model.is_draining();
        if restarted {
            self.cancel_transfers(runner);
            self.fleet.runners[runner].restart(gone);
        }
        self.fleet.runners[runner].cut = false;
        if gone {
            self.list(runner, MachineState::Live);
        }
        self.inventory_changed(runner);
        self.schedule_runner(runner);
    }

    fn start_draining(&mut self, runner: RunnerNumber) {
        let now = self.now;
        let one = &mut self.fleet.runners[runner];
        one.leaving_since.get_or_insert(now);
        if self.settings.mutant == Some(Mutant::HidesLeaving) {
            return;
        }
        one.model.start_draining();
        self.inventory_changed(runner);
    }

    fn reclaim(&mut self, runner: RunnerNumber) {
        self.start_draining(runner);
        self.list(runner, MachineState::Leaving);
        let notice = self.settings.scenario.platform.reclaim_notice_ms;
        self.push(notice, Event::MachineTaken(runner));
    }

    pub(in crate::simulate) fn machine_taken(&mut self, runner: RunnerNumber) {
        self.lose_runner(runner);
        self.list(runner, MachineState::Gone);
    }

    /// The platform's list shows a state after its lag.
    fn list(&mut self, runner: RunnerNumber, state: MachineState) {
        self.fleet.runners[runner].listed = state;
        if self.mutates(Mutant::HidesLeaving) {
            return;
        }
        let lag = self.settings.scenario.platform.list_lag_ms;
        self.push(lag, Event::Listed { runner, state });
    }

    /// Two operators change one document under equal version numbers.
    fn operators_race(&mut self) {
        let version = self.next_version();
        for slots in [3, 5] {
            self.change(&format!("race-{}-{slots}", self.now.0), version, slots);
        }
        self.feed_configuration();
    }

    /// An operator's change is resent after another one went by.
    fn change_resent(&mut self) {
        let version = self.next_version();
        let first = format!("first-{}", self.now.0);
        self.change(&first, version, 3);
        self.change(&format!("second-{}", self.now.0), version.next(), 5);
        self.change(&first, version, 3);
        self.feed_configuration();
    }

    fn next_version(&self) -> Version {
        let deployments = &self.control.state.configuration.deployments;
        let stored = deployments.get(&self.site[0].document.name);
        stored.map_or(Version(1), |stored| stored.document.version.next())
    }

    /// Applies one change and checks that the document in force never goes back.
    fn change(&mut self, change_id: &str, version: Version, rate: u32) {
        let mut document = (*self.site[0].document).clone();
        document.version = version;
        document.tenant_rate_per_second = f64::from(rate);
        self.apply(Command::ChangeConfiguration(ChangeRequest {
            change_id: change_id.into(),
            deployments: vec![document],
            ..ChangeRequest::default()
        }));
        let configuration = &self.control.state.configuration;
        let name = &self.site[0].document.name;
        if let Some(stored) = configuration.deployments.get(name) {
            self.checks
                .document(name, stored.document.version, &stored.document.digest());
        }
    }

    fn feed_configuration(&mut self) {
        for router in 0..self.routers.len() {
            self.push(Millis(2), Event::ConfigurationFed(router));
        }
    }

    pub(in crate::simulate) fn configuration_fed(&mut self, router: RouterNumber) {
        let mut revision = self.control.state.configuration.revision;
        if self.mutates(Mutant::StartsStale) && self.routers[router].incarnation > Incarnation(1) {
            revision = Revision(1);
        }
        let name = self.routers[router].site.router.as_str();
        self.checks.configuration(name, revision);
    }
}
